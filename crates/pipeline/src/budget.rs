//! Retry budgets: retries and hedges are a fraction of successes, so that an outage does not become
//! a storm.

use std::collections::BTreeMap;

use base::id;
use base::rate::TokenBucket;

/// Retries that each success earns.
const RETRIES_PER_SUCCESS: f64 = 0.1;
/// Retries that a service may spend before it has earned any.
const BURST: f64 = 10.0;

/// Budgets by service.
#[derive(Default)]
pub(crate) struct Budgets(BTreeMap<id::Service, TokenBucket>);

impl Budgets {
    /// Earns a fraction of a retry.
    pub(crate) fn earn(&mut self, service: &id::Service) {
        self.bucket(service).add(RETRIES_PER_SUCCESS);
    }

    /// Spends one retry; returns whether there was one.
    pub(crate) fn spend(&mut self, service: &id::Service) -> bool {
        self.bucket(service).try_take()
    }

    fn bucket(&mut self, service: &id::Service) -> &mut TokenBucket {
        self.0
            .entry(service.clone())
            .or_insert_with(|| TokenBucket::new(BURST))
    }
}
