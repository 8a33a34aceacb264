//! Errors as callers see them.

use std::time::Duration;

use base::Executed;
use pipeline::Failed;
use pipeline::FailedReason;
use pipeline::NotRun;
use pipeline::NotRunReason;
use salvo::Response;
use salvo::http::HeaderValue;
use salvo::http::StatusCode;
use serde_json::Value;
use serde_json::json;

const RETRY_AFTER_BAD_REQUEST: Duration = Duration::from_secs(60);

/// A request that cannot be understood.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
pub(crate) enum BadRequest {
    /// The body is larger than the limit.
    #[strum(to_string = "body_too_large")]
    BodyTooLarge,
    /// The body is not the JSON that the call takes.
    #[strum(to_string = "malformed_body")]
    MalformedBody(String),
    /// A header is missing or malformed.
    #[strum(to_string = "bad_header")]
    BadHeader(&'static str),
    /// A part of the path is malformed.
    #[strum(to_string = "bad_path")]
    BadPath,
}

/// An answer that is not a success.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Failure {
    status: StatusCode,
    reason: String,
    executed: Executed,
    retry_after: Duration,
    detail: Option<String>,
}

impl Failure {
    /// The JSON body, also the data of an error event.
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
        let ran = match self.executed {
            Executed::No => "the request was not run",
            Executed::Yes => "the request was run",
            Executed::Unknown => "the request may have been run",
        };
        match &self.detail {
            Some(detail) => format!("{}: {detail}; {ran}", self.reason),
            None => format!("{}; {ran}", self.reason),
        }
    }

    /// Writes the answer.
    pub(crate) fn write(&self, response: &mut Response) {
        response.status_code(self.status);
        let seconds = self.retry_after.as_millis().div_ceil(1000).max(1);
        let headers = response.headers_mut();
        headers.insert("retry-after", HeaderValue::from(seconds as u64));
        let executed = HeaderValue::from_str(&self.executed.to_string());
        headers.extend(executed.ok().map(|it| (EXECUTED, it)));
        response.render(salvo::writing::Json(self.body()));
    }
}

/// Header that repeats `executed` for clients that do not read the body.
const EXECUTED: salvo::http::HeaderName = salvo::http::HeaderName::from_static("x-executed");

impl From<BadRequest> for Failure {
    fn from(bad: BadRequest) -> Failure {
        let status = match bad {
            BadRequest::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            _ => StatusCode::BAD_REQUEST,
        };
        let reason = bad.to_string();
        let detail = match bad {
            BadRequest::MalformedBody(detail) => Some(detail),
            BadRequest::BadHeader(name) => Some(name.to_owned()),
            BadRequest::BodyTooLarge | BadRequest::BadPath => None,
        };
        Failure {
            status,
            reason,
            executed: Executed::No,
            retry_after: RETRY_AFTER_BAD_REQUEST,
            detail,
        }
    }
}

impl From<&NotRun> for Failure {
    fn from(refusal: &NotRun) -> Failure {
        Failure {
            status: not_run_status(refusal.reason()),
            reason: refusal.reason().to_string(),
            executed: Executed::No,
            retry_after: refusal.retry_after(),
            detail: not_run_detail(refusal.reason()),
        }
    }
}

impl From<&Failed> for Failure {
    fn from(failed: &Failed) -> Failure {
        let (status, detail) = match failed.reason {
            FailedReason::Deadline => (StatusCode::GATEWAY_TIMEOUT, None),
            FailedReason::OutcomeUnknown => {
                let detail = "ask for the outcome at /v1/outcomes/{pipeline}/{key}";
                (StatusCode::GATEWAY_TIMEOUT, Some(detail.to_owned()))
            }
            FailedReason::StageFailed => (StatusCode::BAD_GATEWAY, None),
            FailedReason::StageRefused(reason) => {
                (StatusCode::SERVICE_UNAVAILABLE, Some(reason.to_string()))
            }
        };
        Failure {
            status,
            reason: failed.reason.to_string(),
            executed: failed.executed,
            retry_after: failed.retry_after,
            detail,
        }
    }
}

impl From<table::Error> for Failure {
    fn from(err: table::Error) -> Failure {
        Failure {
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
        NotRunReason::StoreDown => "earlier requests with this key were not checked",
        NotRunReason::MissingKey => "this pipeline needs an idempotency-key header",
        NotRunReason::KeyReused => "the key belongs to a request with another body",
        _ => return None,
    };
    Some(detail.to_owned())
}
