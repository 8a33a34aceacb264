//! Messages between a gateway and the owner of the step services.

use std::time::Duration;

use base::id;
use base::time::Bounded;
use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;
use stages::Handle;
use stages::Shard;
use stages::Step;

/// Request to run the steps of a client request. Durations count from the send of this message.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Prepare {
    /// Shard whose upstreams run the steps.
    pub shard: Shard,
    /// Request id.
    pub request: String,
    /// Identifies the request's content; equal for all its attempts.
    pub fingerprint: id::Fingerprint,
    /// Input of the steps that read no results.
    pub key: String,
    /// Preferred zone of the final results.
    pub zone: Option<id::Zone>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Time after which the response loses value.
    #[serde_as(as = "Bounded")]
    pub aim: Duration,
    /// Time after which the client gives up.
    #[serde_as(as = "Bounded")]
    pub deadline: Duration,
    /// Expected time from the end of the last step to the response.
    #[serde_as(as = "Bounded")]
    pub tail: Duration,
    /// Steps in topological order: each one follows those whose results it reads.
    pub steps: Vec<Step>,
    /// Model engines that may run the request after its steps.
    pub engines: Engines,
}

/// What the owner schedules a request and places it at an engine by.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Terms {
    /// Workspace of the client; `None` if the deployment has none.
    pub workspace: Option<id::Workspace>,
    /// Length of the prompt in tokens; 0 if the client does not state it.
    pub prompt_tokens: u64,
    /// Most tokens that the engine generates; 0 if the client does not state it.
    pub output_tokens_max: u64,
}

/// [`Prepare`] with its [`Terms`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Schedule {
    /// The request.
    pub prepare: Prepare,
    /// Its terms.
    pub terms: Terms,
}

/// Model engines that may run a request, a few of each zone, ordered by preference.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engines {
    /// Whether the prompt has a long prefix that the first engine probably keeps, so that the zone
    /// of the results does not restrict the choice.
    pub has_home: bool,
    /// Engines with their zones.
    pub choices: Vec<(id::Upstream, id::Zone)>,
    /// Typical time from sending such a request to its first event.
    #[serde_as(as = "Bounded")]
    pub usual: Duration,
}

impl Engines {
    /// Engines of `shard` that may run the request: those in the `zone` of the results if there are
    /// any and no cached prefix matters more, otherwise all of them.
    #[must_use]
    pub fn candidates_in(&self, shard: &Shard, zone: Option<&id::Zone>) -> Vec<id::Upstream> {
        let own: Vec<&(id::Upstream, id::Zone)> = self
            .choices
            .iter()
            .filter(|it| shard.contains(&it.1))
            .collect();
        let is_near = |it: &&&(id::Upstream, id::Zone)| Some(&it.1) == zone;
        let near = own.iter().filter(is_near).count();
        let is_wanted = |it: &&&(id::Upstream, id::Zone)| self.has_home || near == 0 || is_near(it);
        let wanted = own.iter().filter(is_wanted).map(|it| it.0.clone());
        wanted.collect()
    }
}

/// Reply of the owner that runs the steps. All but `Accepted` are the last one.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Progress {
    /// The steps are queued; holds the time until the queue ahead of them has drained.
    Accepted(#[serde_as(as = "Bounded")] Duration),
    /// All steps are done.
    Prepared {
        /// Results of the steps that no other step reads.
        handles: Vec<Handle>,
        /// Zone of the upstream that keeps the largest result.
        zone: Option<id::Zone>,
        /// Engine that the owner chose for the request.
        engine: Option<id::Upstream>,
    },
    /// The steps cannot end before the deadline; holds the time until the queue has drained.
    TooLate(#[serde_as(as = "Bounded")] Duration),
    /// A step service has no usable upstream.
    NoUpstream,
    /// Too many pieces failed, or the request was aborted.
    Failed,
    /// The owner doesn't keep up and has not looked at the steps; holds the time after which it may be
    /// asked again. Only to peers of [`crate::Protocol::V3`].
    Busy(#[serde_as(as = "Bounded")] Duration),
}
