//! The control port, through which tests inject faults, read statistics and replace the list of
//! instances.

use std::collections::BTreeMap;
use std::sync::Arc;

use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::http::StatusCode;
use salvo::writing::Json;
use serde::Deserialize;
use serde::Serialize;

use crate::fault;
use crate::platform::Platform;
use crate::upstream::Stats;
use crate::upstream::Upstream;

/// State that the control port reads and changes.
pub struct Control {
    /// The simulated platform.
    pub platform: Arc<Platform>,
    /// The simulated upstreams, by name.
    pub upstreams: BTreeMap<String, Arc<Upstream>>,
}

/// A command to the control port.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlCommand {
    /// Replaces the injected faults of the platform.
    Platform(fault::Platform),
    /// Replaces the injected faults of the upstream with this name.
    Upstream(String, fault::Upstream),
    /// Replaces the list of instances.
    Listing(table::Listing),
}

/// HTTP routes of the control port.
#[must_use]
pub fn router(control: Arc<Control>) -> Router {
    Router::new()
        .push(Router::with_path("order").post(PostCommand(control.clone())))
        .push(Router::with_path("stats").get(GetStats(control)))
}

struct PostCommand(Arc<Control>);

#[salvo::async_trait]
impl Handler for PostCommand {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let payload = request.payload().await;
        let command = payload
            .ok()
            .and_then(|it| serde_json::from_slice::<ControlCommand>(it).ok());
        let is_accepted = match command {
            Some(ControlCommand::Platform(faults)) => {
                self.0.platform.set_faults(faults);
                true
            }
            Some(ControlCommand::Listing(listing)) => {
                self.0.platform.set_listing(listing);
                true
            }
            Some(ControlCommand::Upstream(name, faults)) => {
                let upstream = self.0.upstreams.get(&name);
                upstream.inspect(|it| it.set_faults(faults)).is_some()
            }
            None => false,
        };
        response.status_code(match is_accepted {
            true => StatusCode::NO_CONTENT,
            false => StatusCode::BAD_REQUEST,
        });
    }
}

struct GetStats(Arc<Control>);

#[salvo::async_trait]
impl Handler for GetStats {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let upstreams = self.0.upstreams.iter();
        let stats: BTreeMap<String, Stats> = upstreams
            .map(|(name, it)| (name.clone(), it.stats()))
            .collect();
        response.render(Json(stats));
    }
}
