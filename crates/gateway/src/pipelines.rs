//! `POST /v1/pipelines/{pipeline}`: a plain answer, or server-sent events.

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
use crate::failure::Failure;
use crate::http;
use crate::http::Gateway;
use crate::http::Head;

/// Tokens buffered for a slow reader.
const OUTPUT_BUFFER: usize = 64;

/// Body of the call.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    input: Value,
    max_tokens: Option<u32>,
}

pub(crate) struct Pipelines(pub(crate) Arc<Gateway>);

#[salvo::async_trait]
impl Handler for Pipelines {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let parsed = match parse(request).await {
            Ok(parsed) => parsed,
            Err(bad) => return Failure::from(bad).write(response),
        };
        let accept = request.headers().get("accept");
        let is_stream = accept.is_some_and(|it| it == "text/event-stream");
        if is_stream {
            let events =
                run_streaming(self.0.clone(), parsed).map(|it| Ok::<_, Infallible>(event(it)));
            return salvo::sse::stream(response, events);
        }
        let outcome = self.0.runner.run(parsed, None).await;
        match http::answer(outcome) {
            Ok(answer) => response.render(Json(json!({
                "result": answer.result,
                "replayed": answer.is_replayed,
            }))),
            Err(failure) => failure.write(response),
        }
    }
}

async fn parse(request: &mut Request) -> Result<pipeline::Request, BadRequest> {
    let head = Head::read(request)?;
    let pipeline = http::path_part(request, "pipeline")?;
    let body: Body = http::body(request).await?;
    Ok(pipeline::Request {
        trace: head.trace,
        workspace: head.workspace,
        pipeline,
        key: head.key,
        input: body.input,
        max_tokens: body.max_tokens,
        deadline: head.deadline,
    })
}

/// Output of a streamed request. The last item is always the outcome.
pub(crate) enum Output {
    Token(String),
    Ended(Outcome),
}

/// Runs a request whose tokens are streamed. Dropping the stream cancels the request.
pub(crate) fn run_streaming(
    gateway: Arc<Gateway>,
    request: pipeline::Request,
) -> impl Stream<Item = Output> + Send + 'static {
    let (sender, receiver) = mpsc::channel(OUTPUT_BUFFER);
    let run = async move {
        let runner = gateway.runner.clone();
        runner.run(request, Some(sender)).await
    };
    let state = (Some(Box::pin(run)), receiver, None);
    stream::unfold(state, |(mut run, mut receiver, mut ended)| async move {
        loop {
            let Some(running) = run.as_mut() else {
                // The run is over: what is left in the channel goes out before the outcome.
                if let Some(token) = receiver.recv().await {
                    return Some((Output::Token(token), (run, receiver, ended)));
                }
                let outcome = ended.take()?;
                return Some((Output::Ended(outcome), (run, receiver, None)));
            };
            tokio::select! {
                biased;
                Some(token) = receiver.recv() => {
                    return Some((Output::Token(token), (run, receiver, ended)));
                }
                outcome = running => {
                    ended = Some(outcome);
                    run = None;
                }
            }
        }
    })
}

fn event(output: Output) -> SseEvent {
    match output {
        Output::Token(token) => SseEvent::default()
            .name("token")
            .text(json!({"token": token}).to_string()),
        Output::Ended(outcome) => match http::answer(outcome) {
            Ok(answer) => {
                let data = json!({"result": answer.result, "replayed": answer.is_replayed});
                SseEvent::default().name("done").text(data.to_string())
            }
            Err(failure) => SseEvent::default()
                .name("error")
                .text(failure.body().to_string()),
        },
    }
}
