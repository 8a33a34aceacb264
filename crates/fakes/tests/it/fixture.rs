//! Deployment shared by the scenarios, and accessors for expected outcomes.

use std::time::Duration;

use base::Executed;
use pipeline::NotRunReason;
use pipeline::Outcome;
use serde_json::Value;
use serde_json::json;

pub(crate) use fakes::schedule::DEPLOYMENT as CONFIG;

/// Defines test functions that run on a deployment of two instances in each of three zones, and
/// fail if a task panics.
macro_rules! scenarios {
    ($($(#[$doc:meta])* async fn $name:ident($cluster:ident) $body:block)*) => {
        $(
            $(#[$doc])*
            #[tokio::test(start_paused = true)]
            async fn $name() {
                #[allow(unused_mut, clippy::allow_attributes)]
                let mut $cluster = fakes::Cluster::start(crate::fixture::CONFIG, 2, 1).await;
                $body
                assert_eq!(
                    fakes::process::panic_count(),
                    0,
                    "panics or violated program invariants",
                );
            }
        )*
    };
}

pub(crate) use scenarios;

pub(crate) fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

pub(crate) async fn wait(duration: Duration) {
    tokio::time::sleep(duration).await;
}

/// Returns the result of an outcome that must be a complete answer.
#[track_caller]
pub(crate) fn expect_answer(outcome: Outcome) -> Value {
    match outcome {
        Outcome::Answered(answer) => answer.result,
        other => panic!("expected a complete answer, got {other:?}"),
    }
}

/// Returns the reason of an outcome that must be a refusal.
#[track_caller]
pub(crate) fn expect_not_run(outcome: Outcome) -> NotRunReason {
    match outcome {
        Outcome::NotRun(refusal) => refusal.reason(),
        other => panic!("expected a refusal, got {other:?}"),
    }
}

/// Returns whether the request was executed, from an outcome that must be a failure.
#[track_caller]
pub(crate) fn expect_failure(outcome: Outcome) -> Executed {
    match outcome {
        Outcome::Failed(failed) => failed.executed,
        other => panic!("expected a failure, got {other:?}"),
    }
}

/// Returns the input of a payment.
pub(crate) fn payment() -> Value {
    json!({"case": "4711", "cents": 2500})
}
