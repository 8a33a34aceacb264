//! `POST /v1/chat/completions`: OpenAI-compatible chat API; `model` names the pipeline.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use base::id;
use futures_util::StreamExt;
use futures_util::stream;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::sse::SseEvent;
use salvo::writing::Json;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::failure::BadRequest;
use crate::failure::ErrorResponse;
use crate::http;
use crate::http::Gateway;
use crate::http::RequestHeaders;
use crate::pipelines::StreamItem;
use crate::pipelines::run_streaming;

/// JSON body of the request. Unknown fields are ignored, since chat clients send fields that have
/// no effect here.
#[derive(Debug, Deserialize)]
struct Body {
    model: String,
    messages: Vec<Message>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: String,
}

pub(crate) struct ChatHandler(pub(crate) Arc<Gateway>);

#[salvo::async_trait]
impl Handler for ChatHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let (pipeline_request, is_stream) = match parse(request).await {
            Ok(parsed) => parsed,
            Err(bad_request) => return ErrorResponse::from(bad_request).write(response),
        };
        let trace = pipeline_request.trace;
        let model = pipeline_request.pipeline.clone();
        if is_stream {
            let events = run_streaming(self.0.clone(), pipeline_request);
            let events = events.flat_map(move |it| stream::iter(sse_chunks(trace, &model, it)));
            return salvo::sse::stream(response, events.map(Ok::<_, Infallible>));
        }
        let outcome = self.0.runner.run(pipeline_request, None).await;
        match http::into_answer(outcome) {
            Ok(answer) => response.render(Json(completion_body(trace, &model, &answer.result))),
            Err(error) => error.write(response),
        }
    }
}

async fn parse(request: &mut Request) -> Result<(pipeline::Request, bool), BadRequest> {
    let headers = RequestHeaders::parse(request)?;
    let body: Body = http::json_body(request).await?;
    let pipeline: id::Pipeline = body.model.parse().map_err(|_| {
        BadRequest::MalformedBody("`model` is not a valid pipeline name".to_owned())
    })?;
    let pipeline_request = pipeline::Request {
        trace: headers.trace,
        workspace: headers.workspace,
        pipeline,
        key: headers.key,
        input: Value::String(join_messages(&body.messages)),
        max_tokens: body.max_completion_tokens.or(body.max_tokens),
        deadline: headers.deadline,
    };
    Ok((pipeline_request, body.stream))
}

/// Joins the messages into one prompt, a `role: content` line each.
fn join_messages(messages: &[Message]) -> String {
    let lines = messages
        .iter()
        .map(|it| format!("{}: {}", it.role, it.content));
    lines.collect::<Vec<_>>().join("\n")
}

fn result_text(result: &Value) -> String {
    match result {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Seconds since the Unix epoch, which chat clients expect in every response.
fn unix_seconds() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_secs()
}

fn completion_body(trace: id::Trace, model: &id::Pipeline, result: &Value) -> Value {
    json!({
        "id": format!("chatcmpl-{trace}"),
        "object": "chat.completion",
        "created": unix_seconds(),
        "model": model.as_str(),
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": result_text(result)},
            "finish_reason": "stop",
        }],
    })
}

fn sse_chunk(
    trace: id::Trace,
    model: &id::Pipeline,
    delta: Value,
    finish_reason: Option<&str>,
) -> SseEvent {
    let data = json!({
        "id": format!("chatcmpl-{trace}"),
        "object": "chat.completion.chunk",
        "created": unix_seconds(),
        "model": model.as_str(),
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish_reason}],
    });
    SseEvent::default().text(data.to_string())
}

fn sse_chunks(trace: id::Trace, model: &id::Pipeline, item: StreamItem) -> Vec<SseEvent> {
    match item {
        StreamItem::Token(token) => vec![sse_chunk(trace, model, json!({"content": token}), None)],
        StreamItem::Ended(outcome) => match http::into_answer(outcome) {
            Ok(_) => vec![
                sse_chunk(trace, model, json!({}), Some("stop")),
                SseEvent::default().text("[DONE]"),
            ],
            // No `[DONE]` follows an error, so that clients do not take the answer as complete.
            Err(error) => vec![SseEvent::default().text(error.body().to_string())],
        },
    }
}
