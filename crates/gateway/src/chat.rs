//! `POST /v1/chat/completions`: the form that model clients use, with the pipeline as the model.

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
use crate::failure::Failure;
use crate::http;
use crate::http::Gateway;
use crate::http::Head;
use crate::pipelines::Output;
use crate::pipelines::run_streaming;

/// Body of the call. Fields that model clients send and that change nothing here are accepted.
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

pub(crate) struct Chat(pub(crate) Arc<Gateway>);

#[salvo::async_trait]
impl Handler for Chat {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let (parsed, is_stream) = match parse(request).await {
            Ok(parsed) => parsed,
            Err(bad) => return Failure::from(bad).write(response),
        };
        let trace = parsed.trace;
        let model = parsed.pipeline.clone();
        if is_stream {
            let events = run_streaming(self.0.clone(), parsed);
            let events = events.flat_map(move |it| stream::iter(chunks(trace, &model, it)));
            return salvo::sse::stream(response, events.map(Ok::<_, Infallible>));
        }
        let outcome = self.0.runner.run(parsed, None).await;
        match http::answer(outcome) {
            Ok(answer) => response.render(Json(completion(trace, &model, &answer.result))),
            Err(failure) => failure.write(response),
        }
    }
}

async fn parse(request: &mut Request) -> Result<(pipeline::Request, bool), BadRequest> {
    let head = Head::read(request)?;
    let body: Body = http::body(request).await?;
    let pipeline: id::Pipeline = body
        .model
        .parse()
        .map_err(|_| BadRequest::MalformedBody("model is not a pipeline name".to_owned()))?;
    let parsed = pipeline::Request {
        trace: head.trace,
        workspace: head.workspace,
        pipeline,
        key: head.key,
        input: Value::String(prompt(&body.messages)),
        max_tokens: body.max_completion_tokens.or(body.max_tokens),
        deadline: head.deadline,
    };
    Ok((parsed, body.stream))
}

fn prompt(messages: &[Message]) -> String {
    let lines = messages
        .iter()
        .map(|it| format!("{}: {}", it.role, it.content));
    lines.collect::<Vec<_>>().join("\n")
}

fn text(result: &Value) -> String {
    match result {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Seconds since the Unix epoch, which model clients expect in every answer.
fn created() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_secs()
}

fn completion(trace: id::Trace, model: &id::Pipeline, result: &Value) -> Value {
    json!({
        "id": format!("chatcmpl-{trace}"),
        "object": "chat.completion",
        "created": created(),
        "model": model.as_str(),
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": text(result)},
            "finish_reason": "stop",
        }],
    })
}

fn chunk(trace: id::Trace, model: &id::Pipeline, delta: Value, finish: Option<&str>) -> SseEvent {
    let data = json!({
        "id": format!("chatcmpl-{trace}"),
        "object": "chat.completion.chunk",
        "created": created(),
        "model": model.as_str(),
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
    });
    SseEvent::default().text(data.to_string())
}

fn chunks(trace: id::Trace, model: &id::Pipeline, output: Output) -> Vec<SseEvent> {
    match output {
        Output::Token(token) => vec![chunk(trace, model, json!({"content": token}), None)],
        Output::Ended(outcome) => match http::answer(outcome) {
            Ok(_) => vec![
                chunk(trace, model, json!({}), Some("stop")),
                SseEvent::default().text("[DONE]"),
            ],
            // Without the end marker no client takes the answer for whole.
            Err(failure) => vec![SseEvent::default().text(failure.body().to_string())],
        },
    }
}
