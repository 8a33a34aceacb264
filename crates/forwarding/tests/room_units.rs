//! What a coordinator grants at a fragile upstream, and which upstreams count as fragile.

use std::time::Duration;

use base::id;
use forwarding::quota::Urgency;
use forwarding::quota::belief::Answer;
use forwarding::quota::belief::Beliefs;
use forwarding::quota::belief::Limits;
use forwarding::quota::belief::Registration;
use forwarding::quota::room::Ask;
use forwarding::quota::room::GrantId;
use forwarding::quota::room::Holding;
use forwarding::quota::room::Rooms;
use tokio::time::Instant;

const ALL: Holding = Holding {
    held: 1.0,
    lenders: 8,
};

fn incarnation(text: &str) -> id::Incarnation {
    text.parse().expect("an incarnation")
}

/// A coordinator of one upstream; times are milliseconds.
struct Coordinator {
    rooms: Rooms,
    upstream: id::Incarnation,
    slots: u32,
    start: Instant,
}

impl Coordinator {
    fn new(slots: u32, rejections: &str) -> Coordinator {
        let upstream = incarnation("up@1");
        let mut rooms = Rooms::default();
        rooms.set_limits([(&upstream, rejections.parse().expect("a rate"))]);
        Coordinator {
            rooms,
            upstream,
            slots,
            start: Instant::now(),
        }
    }

    /// Asks every 300 ms until what is granted is known to be borne; returns the grants and the time.
    fn fill(&mut self) -> (Vec<GrantId>, u64) {
        let count = u64::from(self.slots) * 10;
        let grants = (0..count).filter_map(|it| self.ask(it * 300));
        (grants.collect(), count * 300)
    }

    fn ask(&mut self, at: u64) -> Option<GrantId> {
        let ask = Ask {
            upstream: &self.upstream,
            slots: self.slots,
            urgency: Urgency::Priority(0),
        };
        let now = self.start + Duration::from_millis(at);
        self.rooms.decide(ask, ALL, now).ok().flatten()
    }

    fn release(&mut self, grant: GrantId, at: u64) {
        let now = self.start + Duration::from_millis(at);
        self.rooms.release(&self.upstream, grant, now);
    }

    fn reject(&mut self, at: u64) {
        let now = self.start + Duration::from_millis(at);
        self.rooms
            .record_rejection(&self.upstream, self.slots, ALL, now);
    }
}

/// Guards against a queue that is filled without an end: a quarter of the slots may wait.
#[test]
fn a_few_requests_wait_beyond_the_slots() {
    let mut coordinator = Coordinator::new(8, "1");
    let (grants, at) = coordinator.fill();
    assert_eq!(grants.len(), 10);
    assert_eq!(coordinator.ask(at), None);
}

/// Guards against probes that go on after a rejection, of which a second one would be one too many.
#[test]
fn nothing_is_probed_for_a_second_after_a_rejection() {
    let mut coordinator = Coordinator::new(4, "1");
    let (grants, at) = coordinator.fill();
    coordinator.release(grants[0], at);
    let probe = coordinator.ask(at).expect("a probe");
    coordinator.reject(at + 10);
    coordinator.release(probe, at + 10);
    assert_eq!(coordinator.ask(at + 1_010), None);
    assert!(coordinator.ask(at + 1_300).is_some());
}

/// Guards against sending to an upstream whose slots something else takes, as a rejection within them
/// shows.
#[test]
fn a_rejection_within_the_slots_lowers_what_is_granted() {
    let mut coordinator = Coordinator::new(8, "1");
    let (grants, at) = coordinator.fill();
    for grant in &grants[..6] {
        coordinator.release(*grant, at);
    }
    coordinator.ask(at).expect("a free slot");
    coordinator.reject(at + 10);
    assert_eq!(coordinator.ask(at + 1_000), None);
    let more = (0..8).filter_map(|_| coordinator.ask(at + 1_300)).count();
    assert!(more <= 1, "{more} more after the rejection");
}

/// Guards against counting an upstream that has just started as robust while the others of its service
/// are fragile, and against keeping that once its own answers say otherwise.
#[test]
fn an_upstream_that_has_just_started_is_as_fragile_as_the_others() {
    let start = Instant::now();
    let (old, new) = (incarnation("a@1"), incarnation("b@2"));
    let zone: id::Zone = "z".parse().expect("a zone");
    let registered = [&old, &new].map(|it| Registration {
        upstream: it.clone(),
        service: "s".parse().expect("a service"),
        zone: zone.clone(),
    });
    let fragile = Limits {
        requests: None,
        rejections: Some("2".parse().expect("a rate")),
    };
    let answer = |limits, id| Answer {
        limits,
        sent_at: start,
        id,
    };
    let mut beliefs = Beliefs::default();
    beliefs.record_answer(&old, &zone, answer(fragile, 1), start);
    beliefs.assume(&registered);
    assert_eq!(beliefs.limits(&new), fragile);
    assert_eq!(beliefs.fragile_in(&zone).count(), 2);
    beliefs.record_answer(&new, &zone, answer(Limits::default(), 2), start);
    beliefs.assume(&registered);
    assert_eq!(beliefs.limits(&new), Limits::default());
    assert_eq!(beliefs.fragile_in(&zone).count(), 1);
}
