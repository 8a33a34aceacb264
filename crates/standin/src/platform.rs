//! The platform: table, objects and list of instances over HTTP.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::http::StatusCode;
use salvo::writing::Json;
use salvo::writing::Text;
use table::Commit;
use table::Listing;
use table::memory::MemoryStore;
use table::protocol::Transaction;

use crate::fault;

/// Limit on the size of a request body.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Delay of a response that counts as lost: longer than any client waits.
const LOST_RESPONSE_DELAY: Duration = Duration::from_secs(30);

/// State of the simulated platform.
#[derive(Default)]
pub struct Platform {
    memory: Mutex<MemoryStore>,
    listing: Mutex<Listing>,
    faults: Mutex<fault::Platform>,
}

impl Platform {
    /// Creates a platform with an empty table and this list of instances.
    #[must_use]
    pub fn new(listing: Listing) -> Platform {
        Platform {
            listing: Mutex::new(listing),
            ..Platform::default()
        }
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: fault::Platform) {
        *lock(&self.faults) = faults;
    }

    /// Replaces the list of instances.
    pub fn set_listing(&self, listing: Listing) {
        *lock(&self.listing) = listing;
    }

    /// Whether this response is to be lost; consumes one of the injected losses.
    fn take_lost_response(&self) -> bool {
        let mut faults = lock(&self.faults);
        let is_lost = faults.lose_answers > 0;
        faults.lose_answers -= u32::from(is_lost);
        is_lost
    }
}

/// HTTP routes of the platform.
#[must_use]
pub fn router(platform: Arc<Platform>) -> Router {
    let handler = |operation| OperationHandler {
        platform: platform.clone(),
        operation,
    };
    Router::with_path("v1")
        .push(Router::with_path("rows/{key}").get(handler(Operation::Read)))
        .push(Router::with_path("transact").post(handler(Operation::Transact)))
        .push(
            Router::with_path("objects/{key}")
                .put(handler(Operation::Put))
                .get(handler(Operation::Get)),
        )
        .push(Router::with_path("instances").get(handler(Operation::Instances)))
}

#[derive(Clone, Copy)]
enum Operation {
    Read,
    Transact,
    Put,
    Get,
    Instances,
}

struct OperationHandler {
    platform: Arc<Platform>,
    operation: Operation,
}

#[salvo::async_trait]
impl Handler for OperationHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let faults = lock(&self.platform.faults).clone();
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        if faults.outage {
            response.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return;
        }
        match self.operation {
            Operation::Read => self.read(request, response),
            Operation::Transact => self.transact(request, response).await,
            Operation::Put => self.put(request, response).await,
            Operation::Get => self.get(request, response),
            Operation::Instances => response.render(Json(lock(&self.platform.listing).clone())),
        }
    }
}

impl OperationHandler {
    /// Responds with a row, or 304 if the client has its version.
    fn read(&self, request: &Request, response: &mut Response) {
        let memory = lock(&self.platform.memory);
        let Some(row) = memory.row(&key(request)) else {
            response.status_code(StatusCode::NOT_FOUND);
            return;
        };
        let known = request.headers().get("if-none-match");
        if known.is_some_and(|it| *it == format!("\"{}\"", row.version)) {
            response.status_code(StatusCode::NOT_MODIFIED);
            return;
        }
        response.render(Json(row.clone()));
    }

    async fn transact(&self, request: &mut Request, response: &mut Response) {
        let body = request.payload_with_max_size(MAX_BODY_BYTES).await;
        let parsed = body
            .ok()
            .and_then(|it| serde_json::from_slice::<Transaction>(it).ok());
        let Some(transaction) = parsed else {
            response.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let commit = lock(&self.platform.memory).transact(transaction.ops);
        if self.platform.take_lost_response() {
            tokio::time::sleep(LOST_RESPONSE_DELAY).await;
        }
        if matches!(commit, Commit::Conflict(_)) {
            response.status_code(StatusCode::CONFLICT);
        }
        response.render(Json(commit));
    }

    async fn put(&self, request: &mut Request, response: &mut Response) {
        let key = key(request);
        let body = request.payload_with_max_size(MAX_BODY_BYTES).await;
        let text = body.ok().and_then(|it| String::from_utf8(it.to_vec()).ok());
        let Some(text) = text else {
            response.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        lock(&self.platform.memory).put_object(key, text);
        response.status_code(StatusCode::NO_CONTENT);
    }

    fn get(&self, request: &Request, response: &mut Response) {
        match lock(&self.platform.memory).object(&key(request)) {
            Some(text) => response.render(Text::Plain(text.clone())),
            None => {
                response.status_code(StatusCode::NOT_FOUND);
            }
        }
    }
}

fn key(request: &Request) -> String {
    request.param("key").unwrap_or_default()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
