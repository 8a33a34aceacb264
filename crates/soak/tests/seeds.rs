//! A short run of the soak, and every seed that ever failed, with its cause.

use std::time::Duration;

use soak::Options;

const LENGTH: Duration = Duration::from_secs(6);

async fn check(seed: u64) {
    let options = Options {
        program: soak::program().expect("the node program"),
        dir: std::env::temp_dir().join(format!(
            "catkinvane-soak-test-{}-{seed}",
            std::process::id()
        )),
        nodes: 3,
        length: LENGTH,
    };
    let outcome = soak::run(&options, seed).await.expect("a run");
    assert!(
        outcome.violations.is_empty(),
        "{:?}\n{:#?}",
        outcome.violations,
        outcome.faults
    );
    assert!(outcome.whole * 2 > outcome.asked, "{outcome:?}");
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
}
