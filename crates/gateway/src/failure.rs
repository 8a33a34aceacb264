//! Error responses to callers.

use std::time::Duration;

use base::Executed;
use pipeline::Failure;
use pipeline::FailureReason;
use pipeline::NotRun;
use pipeline::NotRunReason;
use salvo::Response;
use salvo::http::HeaderValue;
use salvo::http::StatusCode;
use serde_json::Value;
use serde_json::json;

const RETRY_AFTER_BAD_REQUEST: Duration = Duration::from_secs(60);

/// A request that cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
pub(crate) enum BadRequest {
    /// The body is larger than the limit.
    #[strum(to_string = "body_too_large")]
    BodyTooLarge,
    /// The body is not JSON of the expected form; holds the parse error.
    #[strum(to_string = "malformed_body")]
    MalformedBody(String),
    /// The named header is missing or malformed.
    #[strum(to_string = "bad_header")]
    BadHeader(&'static str),
    /// A path parameter is malformed.
    #[strum(to_string = "bad_path")]
    BadPath,
}

/// An unsuccessful HTTP response.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ErrorResponse {
    status: StatusCode,
    reason: String,
    executed: Executed,
    retry_after: Duration,
    detail: Option<String>,
}

impl ErrorResponse {
    /// Returns the JSON body, which is also the data of an `error` event in a stream.
    pub(crate) fn body(&self) -> Value {
        json!({
            "error": {
                "type": self.reason,
                "message": self.message(),
                "executed": self.executed.to_string(),
                "retry_after_ms": self.retry_after.as_millis() as u64,
            }
        })
    }

    fn message(&self) -> String {
        let execution = match self.executed {
            Executed::No => "the request was not run",
            Executed::Yes => "the request was run",
            Executed::Unknown => "the request may have been run",
        };
        match &self.detail {
            Some(detail) => format!("{}: {detail}; {execution}", self.reason),
            None => format!("{}; {execution}", self.reason),
        }
    }

    /// Writes status, headers and JSON body.
    pub(crate) fn write(&self, response: &mut Response) {
        response.status_code(self.status);
        let seconds = self.retry_after.as_millis().div_ceil(1000).max(1);
        let headers = response.headers_mut();
        headers.insert("retry-after", HeaderValue::from(seconds as u64));
        let executed = HeaderValue::from_str(&self.executed.to_string());
        headers.extend(executed.ok().map(|it| (EXECUTED_HEADER, it)));
        response.render(salvo::writing::Json(self.body()));
    }
}

/// Header that repeats the `executed` field for clients that do not read the body.
const EXECUTED_HEADER: salvo::http::HeaderName = salvo::http::HeaderName::from_static("x-executed");

impl From<BadRequest> for ErrorResponse {
    fn from(bad_request: BadRequest) -> ErrorResponse {
        let status = match bad_request {
            BadRequest::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            _ => StatusCode::BAD_REQUEST,
        };
        let reason = bad_request.to_string();
        let detail = match bad_request {
            BadRequest::MalformedBody(detail) => Some(detail),
            BadRequest::BadHeader(name) => Some(name.to_owned()),
            BadRequest::BodyTooLarge | BadRequest::BadPath => None,
        };
        ErrorResponse {
            status,
            reason,
            executed: Executed::No,
            retry_after: RETRY_AFTER_BAD_REQUEST,
            detail,
        }
    }
}

impl From<&NotRun> for ErrorResponse {
    fn from(refusal: &NotRun) -> ErrorResponse {
        ErrorResponse {
            status: not_run_status(refusal.reason()),
            reason: refusal.reason().to_string(),
            executed: Executed::No,
            retry_after: refusal.retry_after(),
            detail: not_run_detail(refusal.reason()),
        }
    }
}

impl From<&Failure> for ErrorResponse {
    fn from(failure: &Failure) -> ErrorResponse {
        let (status, detail) = match failure.reason {
            FailureReason::Deadline => (StatusCode::GATEWAY_TIMEOUT, None),
            FailureReason::OutcomeUnknown => {
                let detail = "look up the outcome at /v1/outcomes/{pipeline}/{key}";
                (StatusCode::GATEWAY_TIMEOUT, Some(detail.to_owned()))
            }
            FailureReason::StageFailed => (StatusCode::BAD_GATEWAY, None),
            FailureReason::StageRefused(reason) => {
                (StatusCode::SERVICE_UNAVAILABLE, Some(reason.to_string()))
            }
        };
        ErrorResponse {
            status,
            reason: failure.reason.to_string(),
            executed: failure.executed,
            retry_after: failure.retry_after,
            detail,
        }
    }
}

impl From<table::Error> for ErrorResponse {
    fn from(err: table::Error) -> ErrorResponse {
        ErrorResponse {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason: "store_down".to_owned(),
            executed: Executed::Unknown,
            retry_after: Duration::from_secs(5),
            detail: Some(err.to_string()),
        }
    }
}

fn not_run_status(reason: NotRunReason) -> StatusCode {
    match reason {
        NotRunReason::UnknownPipeline | NotRunReason::UnknownWorkspace => StatusCode::NOT_FOUND,
        NotRunReason::MissingKey => StatusCode::BAD_REQUEST,
        NotRunReason::KeyReused => StatusCode::CONFLICT,
        NotRunReason::RateLimited => StatusCode::TOO_MANY_REQUESTS,
        NotRunReason::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
        NotRunReason::NotReady
        | NotRunReason::Stopping
        | NotRunReason::DeadlineTooShort
        | NotRunReason::Overloaded
        | NotRunReason::NoUpstream
        | NotRunReason::StoreDown => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn not_run_detail(reason: NotRunReason) -> Option<String> {
    let detail = match reason {
        NotRunReason::StoreDown => "cannot look up earlier requests with this idempotency key",
        NotRunReason::MissingKey => "this pipeline requires an idempotency-key header",
        NotRunReason::KeyReused => "the idempotency key was already used with a different input",
        _ => return None,
    };
    Some(detail.to_owned())
}
