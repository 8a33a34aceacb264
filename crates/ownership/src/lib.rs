//! Which member owns which upstream: a pure function of members and configuration.
//!
//! Rendezvous hashing moves only the upstreams of a member that comes or goes. Members in the
//! upstream's own availability zone come first; members in a drained zone own nothing. There is no
//! election: views may differ for a while, and the self-fence in `membership` bounds the harm.

use std::collections::BTreeSet;

use base::hash;
use base::id;
use config::model;
use wire::member;

/// The owner of `upstream`, if any member may own it.
///
/// Members of incarnation zero are only listed by the platform and have not been heard from.
#[must_use]
pub fn owner<'a>(
    upstream: &model::Upstream,
    members: impl IntoIterator<Item = &'a member::Record>,
    drained_zones: &BTreeSet<id::Zone>,
) -> Option<&'a member::Record> {
    members
        .into_iter()
        .filter(|it| it.state == member::State::Alive && it.incarnation > 0)
        .filter(|it| !drained_zones.contains(&it.zone))
        .max_by_key(|it| {
            let weight = hash::of_strs([upstream.name.as_str(), it.instance.as_str()]);
            (it.zone == upstream.zone, weight)
        })
}
