//! A short run of the soak for fixed seeds. A seed that fails is added here, named after its cause.

use std::time::Duration;

use soak::Options;

const LOAD_DURATION: Duration = Duration::from_secs(6);

async fn check(seed: u64) {
    let options = Options {
        program: soak::node_program().expect("the node executable is built"),
        dir: std::env::temp_dir().join(format!(
            "catkinvane-soak-test-{}-{seed}",
            std::process::id()
        )),
        node_count: 3,
        load_duration: LOAD_DURATION,
    };
    let outcome = soak::run(&options, seed).await.expect("the soak runs");
    assert!(
        outcome.violations.is_empty(),
        "{:?}\n{:#?}",
        outcome.violations,
        outcome.faults
    );
    assert!(outcome.succeeded * 2 > outcome.requests, "{outcome:?}");
}

macro_rules! seeds {
    ($($name:ident: $seed:expr;)*) => {
        $(
            #[tokio::test]
            async fn $name() {
                check($seed).await;
            }
        )*
    };
}

seeds! {
    store_busy_and_cut_with_a_freeze: 1;
    kill_and_stop_while_the_store_is_silent: 2;
    a_plain_upstream_that_never_ends_its_body: 547;
    an_engine_that_answers_a_resumed_stream_twice: 555;
}
