//! The deployment that the scenarios share, and checks on outcomes.

use std::time::Duration;

use base::Executed;
use pipeline::NotRunReason;
use pipeline::Outcome;
use serde_json::Value;
use serde_json::json;

pub(crate) use fakes::schedule::DEPLOYMENT as TEXT;

/// Defines scenarios: each starts the deployment with two instances in each of three zones.
macro_rules! scenarios {
    ($($(#[$doc:meta])* async fn $name:ident($cluster:ident) $body:block)*) => {
        $(
            $(#[$doc])*
            #[tokio::test(start_paused = true)]
            async fn $name() {
                #[allow(unused_mut, clippy::allow_attributes)]
                let mut $cluster = fakes::Cluster::start(crate::fixture::TEXT, 2, 1).await;
                $body
                assert_eq!(fakes::process::panic_count(), 0, "a task has panicked");
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

/// The result of an outcome that must be a whole answer.
#[track_caller]
pub(crate) fn whole(outcome: Outcome) -> Value {
    match outcome {
        Outcome::Answered(answer) => answer.result,
        other => panic!("expected a whole answer, got {other:?}"),
    }
}

/// The reason of an outcome that must be a refusal.
#[track_caller]
pub(crate) fn not_run(outcome: Outcome) -> NotRunReason {
    match outcome {
        Outcome::NotRun(refusal) => refusal.reason(),
        other => panic!("expected a refusal, got {other:?}"),
    }
}

/// What an outcome that must be a failure says about execution.
#[track_caller]
pub(crate) fn executed(outcome: Outcome) -> Executed {
    match outcome {
        Outcome::Failed(failed) => failed.executed,
        other => panic!("expected a failure, got {other:?}"),
    }
}

/// Input of a payment.
pub(crate) fn payment() -> Value {
    json!({"case": "4711", "cents": 2500})
}
