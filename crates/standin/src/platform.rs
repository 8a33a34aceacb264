//! The platform: table, objects and instance list over HTTP.

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
use table::memory::Memory;
use table::protocol::Transaction;

use crate::fault;

const BODY_MAX: usize = 8 * 1024 * 1024;
/// Longer than any client waits.
const LOST: Duration = Duration::from_secs(30);

/// State of the platform.
#[derive(Default)]
pub struct Platform {
    memory: Mutex<Memory>,
    listing: Mutex<Listing>,
    faults: Mutex<fault::Platform>,
}

impl Platform {
    /// An empty platform that lists `listing`.
    #[must_use]
    pub fn new(listing: Listing) -> Platform {
        Platform {
            listing: Mutex::new(listing),
            ..Platform::default()
        }
    }

    /// Switches faults.
    pub fn set_faults(&self, faults: fault::Platform) {
        *lock(&self.faults) = faults;
    }

    /// Replaces the instance list.
    pub fn set_listing(&self, listing: Listing) {
        *lock(&self.listing) = listing;
    }

    fn takes_lost_answer(&self) -> bool {
        let mut faults = lock(&self.faults);
        let is_lost = faults.lose_answers > 0;
        faults.lose_answers -= u32::from(is_lost);
        is_lost
    }
}

/// Routes of the platform.
#[must_use]
pub fn router(platform: Arc<Platform>) -> Router {
    let call = |call| Call {
        platform: platform.clone(),
        call,
    };
    Router::with_path("v1")
        .push(Router::with_path("rows/{key}").get(call(Kind::Read)))
        .push(Router::with_path("transact").post(call(Kind::Transact)))
        .push(
            Router::with_path("objects/{key}")
                .put(call(Kind::Put))
                .get(call(Kind::Get)),
        )
        .push(Router::with_path("instances").get(call(Kind::Instances)))
}

#[derive(Clone, Copy)]
enum Kind {
    Read,
    Transact,
    Put,
    Get,
    Instances,
}

struct Call {
    platform: Arc<Platform>,
    call: Kind,
}

#[salvo::async_trait]
impl Handler for Call {
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
        match self.call {
            Kind::Read => self.read(request, response),
            Kind::Transact => self.transact(request, response).await,
            Kind::Put => self.put(request, response).await,
            Kind::Get => self.get(request, response),
            Kind::Instances => response.render(Json(lock(&self.platform.listing).clone())),
        }
    }
}

impl Call {
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
        let body = request.payload_with_max_size(BODY_MAX).await;
        let parsed = body
            .ok()
            .and_then(|it| serde_json::from_slice::<Transaction>(it).ok());
        let Some(transaction) = parsed else {
            response.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let commit = lock(&self.platform.memory).transact(transaction.ops);
        if self.platform.takes_lost_answer() {
            tokio::time::sleep(LOST).await;
        }
        if matches!(commit, Commit::Conflict(_)) {
            response.status_code(StatusCode::CONFLICT);
        }
        response.render(Json(commit));
    }

    async fn put(&self, request: &mut Request, response: &mut Response) {
        let key = key(request);
        let body = request.payload_with_max_size(BODY_MAX).await;
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
