//! A plain service: waits for its step time and responds with its input.

use std::sync::Arc;

use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::http::StatusCode;
use salvo::writing::Json;
use serde_json::Value;
use serde_json::json;

use crate::upstream;
use crate::upstream::Upstream;

const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

pub(crate) struct Run(pub(crate) Arc<Upstream>);

#[salvo::async_trait]
impl Handler for Run {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        upstream::echo_attempt_id(&self.0, request, response);
        let payload = request.payload_with_max_size(MAX_BODY_BYTES).await;
        let text = payload.map(|it| String::from_utf8_lossy(it).into_owned());
        let text = text.unwrap_or_default();
        let Ok(body) = serde_json::from_str::<Value>(&text) else {
            response.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let Some(call) = self.0.start_call(body["key"].as_str()) else {
            response.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return;
        };
        self.0.crash_on_poison(&text);
        tokio::time::sleep(self.0.step_time()).await;
        call.complete();
        response.render(Json(json!({
            "by": self.0.settings.name,
            "input": body["input"],
            "key": body["key"],
        })));
    }
}
