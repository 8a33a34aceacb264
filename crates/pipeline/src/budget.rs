//! Retry budgets: retries and hedges are limited to a fraction of the successes, so that an outage
//! does not cause a retry storm.

use std::collections::BTreeMap;

use base::id;
use base::rate::TokenBucket;

/// Retries that each success adds to the budget.
const RETRIES_PER_SUCCESS: f64 = 0.1;
/// Initial and maximum budget of a service.
const RETRY_BURST: f64 = 10.0;

/// Retry budgets by service.
#[derive(Default)]
pub(crate) struct RetryBudgets(BTreeMap<id::Service, TokenBucket>);

impl RetryBudgets {
    /// Adds [`RETRIES_PER_SUCCESS`] to the budget.
    pub(crate) fn deposit(&mut self, service: &id::Service) {
        self.bucket(service).add(RETRIES_PER_SUCCESS);
    }

    /// Takes one retry from the budget; returns whether there was one.
    pub(crate) fn try_withdraw(&mut self, service: &id::Service) -> bool {
        self.bucket(service).try_take()
    }

    fn bucket(&mut self, service: &id::Service) -> &mut TokenBucket {
        self.0
            .entry(service.clone())
            .or_insert_with(|| TokenBucket::new(RETRY_BURST))
    }
}
