//! Roll-outs that operators order during a run, and the check that a bad version is never complete.

use std::time::Duration;

use platform_standin::site::Site;
use platform_standin::upstream;
use rand::Rng;
use rand::rngs::SmallRng;
use serde_json::Value;
use serde_json::json;

use crate::check::Violation;
use crate::fault::Fault;
use crate::fault::ScheduledFault;

/// Service whose traffic is moved, and the version that it is moved to.
const SERVICE: &str = "ledger";
const VERSION: &str = "v2";
/// Key of the rows of the order and of its status.
const KEY: &str = "rollout/ledger";
/// Time in which the traffic is to be moved.
const OVER: Duration = Duration::from_secs(4);
/// Upstreams of the version, as many as there are of the one before.
const UPSTREAMS: usize = 2;
/// Time of an answer.
const SERVICE_TIME: Duration = Duration::from_millis(5);
/// Settings of nodes whose operators order roll-outs.
const BOUNDS: &str = "contracts: [rollout]\nbounds:\n  exposure_share: 0.1\n  exposure_extra: 50\n";

/// Settings of a node, with the contract and its bounds.
pub(crate) fn extend_settings(text: &str) -> String {
    text.replace("bounds:\n", BOUNDS)
}

/// Draws an order in half of the runs, for a good version or a bad one.
pub(crate) fn generate(rng: &mut SmallRng, load_duration: Duration) -> Option<ScheduledFault> {
    let at = load_duration.mul_f64(rng.random_range(0.05..0.5));
    let is_bad = rng.random_bool(0.5);
    rng.random_bool(0.5).then_some(ScheduledFault {
        at,
        duration: Duration::ZERO,
        fault: Fault::OrderRollout { is_bad },
    })
}

/// Orders the roll-out and starts the upstreams of its version. Those of a bad one answer nothing but
/// failures.
pub(crate) async fn order(site: &mut Site, is_bad: bool) -> std::io::Result<()> {
    let order = json!({"service": SERVICE, "to": VERSION, "over_s": OVER.as_secs_f64()});
    site.store.put("op", KEY, order.to_string().as_bytes());
    for _ in 0..UPSTREAMS {
        let idx = site.add_version(SERVICE, 0, SERVICE_TIME, VERSION).await?;
        if is_bad {
            site.upstreams[idx]
                .0
                .set_fault(upstream::Fault::Error, None);
        }
    }
    Ok(())
}

/// Checks the status at the end of a run in which a roll-out to a bad version was ordered.
pub(crate) fn check(site: &Site) -> Option<Violation> {
    let status = site.store.row("status", KEY)?;
    let status: Value = serde_json::from_slice(&status).ok()?;
    (status["phase"] == "complete").then_some(Violation::BadVersionComplete)
}
