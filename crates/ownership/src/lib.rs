//! Assignment of upstreams to owners, as a pure function of members and configuration.
//!
//! Rendezvous hashing reassigns only the upstreams of a member that joins or leaves. Members in the
//! upstream's own availability zone take precedence; members in a drained zone own nothing. There
//! is no leader election: the members' views may differ for a while, and self-fencing in
//! `membership` bounds the time in which two members act as owner.

mod shortlist;

use std::cmp::Ordering;
use std::collections::BTreeSet;

use base::hash;
use base::id;
use config::model;
use wire::member;

pub use shortlist::Shortlist;

/// The owner of `upstream`, or `None` if no member is eligible.
///
/// Members of incarnation 0 are not eligible: the platform lists them, but they have not been heard
/// from.
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
            let weight = hash::hash_strs([upstream.name.as_str(), it.instance.as_str()]);
            (it.zone == upstream.zone, weight)
        })
}

/// Members ordered by weighted rendezvous hashing, the owner of `key` first. A member's probability
/// of being first is proportional to its share of a CPU core.
#[must_use]
pub fn preference_order<'a>(
    key: &str,
    members: impl IntoIterator<Item = &'a catalog::Member>,
) -> Vec<&'a catalog::Member> {
    let mut scored: Vec<(f64, &catalog::Member)> =
        members.into_iter().map(|it| (score(key, it), it)).collect();
    scored.sort_by(|a, b| compare(*a, *b));
    scored.into_iter().map(|it| it.1).collect()
}

/// [`preference_order`] with the members of larger CPU quotas first, by powers of two.
///
/// A weight alone does not keep heavy work off small members: where these are the many, one of them is
/// first most of the time.
#[must_use]
pub fn capable_order<'a>(
    key: &str,
    members: impl IntoIterator<Item = &'a catalog::Member>,
) -> Vec<&'a catalog::Member> {
    let mut order = preference_order(key, members);
    order.sort_by_key(|it| std::cmp::Reverse(size_class(it)));
    order
}

/// Power of two that is nearest to the member's share of a CPU core.
fn size_class(member: &catalog::Member) -> i32 {
    member.cpu_share.max(f64::MIN_POSITIVE).log2().round() as i32
}

/// Order of two members with their scores: the higher score first.
fn compare(a: (f64, &catalog::Member), b: (f64, &catalog::Member)) -> Ordering {
    let by_score = b.0.total_cmp(&a.0);
    by_score.then_with(|| a.1.instance.cmp(&b.1.instance))
}

/// Score in weighted rendezvous hashing: the logarithm of a uniform hash, divided by the weight.
fn score(key: &str, member: &catalog::Member) -> f64 {
    let hash = hash::hash_strs([key, member.instance.as_str()]);
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    uniform.ln() / member.cpu_share.max(f64::MIN_POSITIVE)
}
