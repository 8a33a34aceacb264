//! `POST /v1/pipelines/{pipeline}`: responds with JSON, or with server-sent events if the caller
//! accepts them.

use std::convert::Infallible;
use std::sync::Arc;

use futures_util::Stream;
use futures_util::StreamExt;
use futures_util::stream;
use pipeline::Outcome;
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
use tokio::sync::mpsc;

use crate::failure::BadRequest;
use crate::failure::ErrorResponse;
use crate::http;
use crate::http::Gateway;
use crate::http::RequestHeaders;

/// Tokens buffered between a running request and a caller that reads slowly.
const TOKEN_BUFFER: usize = 64;

/// JSON body of the request.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    input: Value,
    max_tokens: Option<u32>,
}

pub(crate) struct PipelineHandler(pub(crate) Arc<Gateway>);

#[salvo::async_trait]
impl Handler for PipelineHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let pipeline_request = match parse(request).await {
            Ok(pipeline_request) => pipeline_request,
            Err(bad_request) => return ErrorResponse::from(bad_request).write(response),
        };
        let accept = request.headers().get("accept");
        let is_stream = accept.is_some_and(|it| it == "text/event-stream");
        if is_stream {
            let events = run_streaming(self.0.clone(), pipeline_request)
                .map(|it| Ok::<_, Infallible>(sse_event(it)));
            return salvo::sse::stream(response, events);
        }
        let outcome = self.0.runner.run(pipeline_request, None).await;
        match http::into_answer(outcome) {
            Ok(answer) => response.render(Json(json!({
                "result": answer.result,
                "replayed": answer.is_replayed,
            }))),
            Err(error) => error.write(response),
        }
    }
}

async fn parse(request: &mut Request) -> Result<pipeline::Request, BadRequest> {
    let headers = RequestHeaders::parse(request)?;
    let pipeline = http::path_param(request, "pipeline")?;
    let body: Body = http::json_body(request).await?;
    Ok(pipeline::Request {
        trace: headers.trace,
        workspace: headers.workspace,
        pipeline,
        key: headers.key,
        input: body.input,
        max_tokens: body.max_tokens,
        deadline: headers.deadline,
    })
}

/// Item of a streamed response. The last item is always the outcome.
pub(crate) enum StreamItem {
    Token(String),
    Ended(Outcome),
}

/// Runs a request and streams its tokens. Dropping the stream cancels the request.
pub(crate) fn run_streaming(
    gateway: Arc<Gateway>,
    request: pipeline::Request,
) -> impl Stream<Item = StreamItem> + Send + 'static {
    let (sender, receiver) = mpsc::channel(TOKEN_BUFFER);
    let run = async move {
        let runner = gateway.runner.clone();
        runner.run(request, Some(sender)).await
    };
    let state = (Some(Box::pin(run)), receiver, None);
    stream::unfold(state, |(mut run, mut receiver, mut ended)| async move {
        loop {
            let Some(running) = run.as_mut() else {
                // The request has ended: buffered tokens are sent before the outcome.
                if let Some(token) = receiver.recv().await {
                    return Some((StreamItem::Token(token), (run, receiver, ended)));
                }
                let outcome = ended.take()?;
                return Some((StreamItem::Ended(outcome), (run, receiver, None)));
            };
            tokio::select! {
                biased;
                Some(token) = receiver.recv() => {
                    return Some((StreamItem::Token(token), (run, receiver, ended)));
                }
                outcome = running => {
                    ended = Some(outcome);
                    run = None;
                }
            }
        }
    })
}

fn sse_event(item: StreamItem) -> SseEvent {
    match item {
        StreamItem::Token(token) => SseEvent::default()
            .name("token")
            .text(json!({"token": token}).to_string()),
        StreamItem::Ended(outcome) => match http::into_answer(outcome) {
            Ok(answer) => {
                let data = json!({"result": answer.result, "replayed": answer.is_replayed});
                SseEvent::default().name("done").text(data.to_string())
            }
            Err(error) => SseEvent::default()
                .name("error")
                .text(error.body().to_string()),
        },
    }
}
