//! Steps of a request, as a gateway asks their owner to run them.

use std::time::Duration;

use base::id;
use serde::Deserialize;
use serde::Serialize;
use stages::Handle;
use stages::Shard;
use stages::Step;

/// Asks for the results of a request's steps. Times are counted from the sending of the message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Prepare {
    /// Shard whose upstreams run them.
    pub shard: Shard,
    /// Id of the request.
    pub request: String,
    /// Identifies what the request asks for, over all its attempts.
    pub fingerprint: id::Fingerprint,
    /// Input of steps that read no results.
    pub key: String,
    /// Zone in which the results are wanted.
    pub zone: Option<id::Zone>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Time until the response is of less use.
    pub aim: Duration,
    /// Time until the client gives up.
    pub deadline: Duration,
    /// Expected time from the last step to the response.
    pub tail: Duration,
    /// Steps; each comes after those that it reads.
    pub steps: Vec<Step>,
    /// Engines that the request may go to.
    pub engines: Engines,
}

/// Engines that a request may go to, the best first; some of each zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engines {
    /// Whether the first keeps so much of the prompt that the zone of the results does not matter.
    pub has_home: bool,
    /// Engines and their zones.
    pub choices: Vec<(id::Upstream, id::Zone)>,
    /// Usual time from the send of such a request to its first event.
    pub usual: Duration,
}

impl Engines {
    /// The engines of a shard to choose from, for results in `zone`.
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

/// What the owner of the steps answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Progress {
    /// The steps are queued; the time in which the queue ahead of them drains.
    Accepted(Duration),
    /// All results exist.
    Prepared {
        /// The results that the request itself reads.
        handles: Vec<Handle>,
        /// Zone of the largest ones.
        zone: Option<id::Zone>,
        /// Engine that the request should go to.
        engine: Option<id::Upstream>,
    },
    /// The steps cannot end in time; the queue has drained after this time.
    TooLate(Duration),
    /// No upstream of a service can be used.
    NoUpstream,
    /// Pieces failed too often.
    Failed,
}
