//! Roll-outs of services with little traffic.

use std::time::Duration;

use rollout::order::Bounds;
use rollout::order::Order;
use rollout::order::Stage;
use rollout::order::State;
use rollout::stage;
use rollout::stage::Situation;

const OVER: Duration = Duration::from_secs(4);

fn order() -> Order {
    Order {
        to: "v2".parse().expect("a name"),
        text: "v2".to_owned(),
        over: OVER,
        version: 1,
    }
}

fn state(stage: Stage) -> State {
    State {
        order: 1,
        to: "v2".parse().expect("a name"),
        stage,
        elapsed: Duration::ZERO,
        barred: Default::default(),
    }
}

/// The stage that follows `stage` when its time is over, with these answers and failures.
fn next(stage: Stage, answered: u64, failures: u64) -> Option<Stage> {
    let (order, state) = (order(), state(stage));
    let situation = Situation {
        bounds: Bounds {
            exposure_share: 0.1,
            exposure_extra: 50.0,
        },
        order: Some(&order),
        state: Some(&state),
        elapsed: OVER * 3 / 4,
        in_stage: OVER / 2,
        desk_age: OVER / 2,
        is_bad: false,
        requests: 15,
        answered,
        failures,
        is_old_idle: false,
        old_slots: 16,
        new_slots: 16,
    };
    stage::next(&situation).map(|it| it.0)
}

macro_rules! quiet {
    ($($(#[$doc:meta])* $name:ident: $stage:expr, $answered:expr, $failures:expr => $next:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                assert_eq!(next($stage, $answered, $failures), $next);
            }
        )*
    };
}

// Guards against a bad version that gets all traffic because hardly a request tried it: in a run of the
// soak one that failed each of three requests was complete.
quiet! {
    no_answer_proves_no_step: Stage::Step(0), 0, 0 => None;
    a_failure_proves_no_step: Stage::Step(0), 1, 1 => None;
    failures_prove_no_step: Stage::Step(2), 5, 4 => None;
    no_answer_seals_nothing: Stage::Whole, 0, 0 => None;
    a_failure_seals_nothing: Stage::Whole, 1, 1 => None;
    a_few_good_answers_prove_a_step: Stage::Step(0), 4, 0 => Some(Stage::Step(1));
    a_few_good_answers_seal: Stage::Whole, 5, 1 => Some(Stage::Sealed);
}
