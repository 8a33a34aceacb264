//! A model engine: streams tokens that depend on the prompt alone, and can resume a stream after
//! tokens that were already delivered.

use std::sync::Arc;

use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::http::HeaderValue;
use salvo::http::StatusCode;
use salvo::http::body::BodySender;
use serde::Deserialize;
use serde_json::json;

use crate::upstream;
use crate::upstream::InFlightCall;
use crate::upstream::Upstream;

pub use fakes::tokens::answer;
use fakes::tokens::token;

const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

#[derive(Debug, Deserialize)]
struct ChatRequest {
    messages: Vec<Message>,
    max_tokens: u32,
    #[serde(default)]
    resume_tokens: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct Message {
    content: String,
}

pub(crate) struct Generate(pub(crate) Arc<Upstream>);

#[salvo::async_trait]
impl Handler for Generate {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        upstream::echo_attempt_id(&self.0, request, response);
        let payload = request.payload_with_max_size(MAX_BODY_BYTES).await;
        let chat = payload
            .ok()
            .and_then(|it| serde_json::from_slice::<ChatRequest>(it).ok());
        let Some(chat) = chat else {
            response.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let Some(call) = self.0.start_call(None) else {
            response.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return;
        };
        let event_stream = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert("content-type", event_stream);
        let sender = response.channel();
        tokio::spawn(stream(self.0.clone(), call, chat, sender));
    }
}

async fn stream(
    upstream: Arc<Upstream>,
    call: InFlightCall,
    chat: ChatRequest,
    mut sender: BodySender,
) {
    let prompt: String = chat.messages.iter().map(|it| it.content.as_str()).collect();
    upstream.crash_on_poison(&prompt);
    let is_cut = upstream.take_stream_cut();
    let total = chat.max_tokens as usize;
    let first = chat.resume_tokens.len();
    for idx in first..total {
        tokio::time::sleep(upstream.step_time()).await;
        if is_cut && idx == first + (total - first) / 2 {
            sender.send_error(std::io::Error::other("stream cut by an injected fault"));
            return;
        }
        let data = json!({"choices": [{"delta": {"content": token(&prompt, idx)}}]});
        if sender.send_data(format!("data: {data}\n\n")).await.is_err() {
            // The client has closed the connection.
            return;
        }
    }
    if sender.send_data("data: [DONE]\n\n").await.is_ok() {
        call.complete();
    }
}
