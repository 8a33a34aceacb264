//! Repeats of requests that upstreams reject, against the users' bound on repeated arrivals.

use platform_standin::upstream::Fault;

use crate::fixture::Fixture;

/// Number of requests, all within one window of the retry budget.
const REQUESTS: u64 = 80;
/// The users' bound on repeats as a ratio of the requests, from the settings of the site.
const REPEATS_RATIO: f64 = 0.2;
/// The users' bound on repeats in addition to the ratio, from the settings of the site.
const REPEATS_EXTRA: f64 = 50.0;

async fn check(path: &str, fault: Fault) {
    let fixture = Fixture::start(1).await;
    fixture.set_fault("ledger", fault, None);
    for idx in 0..REQUESTS {
        let id = format!("r{idx}");
        let response = fixture.send(&format!("{path}{idx}"), &id, &[]).await;
        assert_eq!(response.status, 503, "{}", response.head);
    }
    let upstreams = fixture.site.upstreams.iter();
    let upstreams = upstreams.filter(|it| it.1 == "ledger");
    let arrivals: u64 = upstreams.map(|it| it.0.arrivals()).sum();
    let repeats = arrivals.saturating_sub(REQUESTS);
    let repeats_max = REQUESTS as f64 * REPEATS_RATIO + REPEATS_EXTRA;
    assert!(
        repeats as f64 <= repeats_max,
        "{repeats} repeated arrivals, {repeats_max} allowed"
    );
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $path:literal, $fault:ident;)*) => {
        $(
            $(#[$doc])*
            #[tokio::test]
            async fn $name() {
                check($path, Fault::$fault).await;
            }
        )*
    };
}

cases! {
    /// Guards against sending on without a budget after upstreams were full.
    rejected_reads_keep_the_retry_budget: "GET /read/", Full;
    /// Guards against sending on without a budget after another upstream had the address.
    misdirected_reads_keep_the_retry_budget: "GET /read/", Misdirected;
    rejected_payments_keep_the_retry_budget: "POST /post/", Full;
    misdirected_payments_keep_the_retry_budget: "POST /post/", Misdirected;
}
