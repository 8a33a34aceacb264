//! Refusal of requests that crash upstreams, and of no others: frequent requests also lose
//! upstreams.

use std::sync::Arc;
use std::time::Duration;

use base::id;
use catalog::Phase;
use catalog::Upstream;
use catalog::View;
use forwarding::poison::Evidence;
use forwarding::poison::Loss;
use forwarding::poison::ObsoleteRows;
use forwarding::poison::PartLoss;
use forwarding::poison::Quarantine;
use forwarding::poison::Registry;
use forwarding::poison::Source;
use forwarding::poison::Subject;
use tokio::time::Instant;

const POISON: id::Fingerprint = id::Fingerprint(1);
const OTHER: id::Fingerprint = id::Fingerprint(2);
const EXPIRY_DELAY_MAX: Duration = Duration::from_millis(5_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Parses `NAME` (the first incarnation) or `NAME@START`.
fn incarnation(text: &str) -> id::Incarnation {
    let text = if text.contains('@') {
        text.to_owned()
    } else {
        format!("{text}@1")
    };
    text.parse().expect("a name and a start")
}

fn view(registered: &str) -> View {
    let mut view = View::default();
    // `z` runs no request; it keeps the view from being empty, which counts as not read yet.
    for name in registered.split_whitespace().chain(["z"]) {
        let incarnation = incarnation(name);
        let upstream = Upstream {
            name: incarnation.upstream.clone(),
            service: "ledger".parse().expect("a name"),
            address: "127.0.0.1:1".parse().expect("an address"),
            zone: "a".parse().expect("a name"),
            slots: 1,
            phase: Phase::Ready,
            started_ms: incarnation.started_ms,
            software: "v1".parse().expect("a name"),
            version: 1,
        };
        view.upstreams
            .insert(incarnation.upstream, Arc::new(upstream));
    }
    view
}

/// One instance and the registrations that it has read.
struct Instance {
    quarantine: Quarantine,
    registered: String,
    watched_since: Option<Instant>,
    now: Instant,
    sends: u64,
}

impl Instance {
    fn new(registered: &str) -> Instance {
        let now = Instant::now();
        Instance {
            quarantine: Quarantine::default(),
            registered: registered.to_owned(),
            watched_since: Some(now),
            now,
            sends: 0,
        }
    }

    fn begin(&mut self, fingerprint: id::Fingerprint, upstream: &str) -> u64 {
        self.sends += 1;
        self.quarantine.track_send(
            self.sends,
            Subject {
                fingerprint,
                parts: &[],
            },
            incarnation(upstream),
            self.now,
        );
        self.sends
    }

    fn settle(&mut self) {
        let view = view(&self.registered);
        let registry = Registry {
            view: &view,
            watched_since: self.watched_since,
            max_expiry_delay: EXPIRY_DELAY_MAX,
        };
        self.quarantine.reconcile(&registry, self.now);
    }

    /// Applies events, one word each: `NAME` loses a send to that upstream, `!NAME` finds it
    /// unreachable, `-NAME` ends its registration, `=NAME` registers it, `ok` is a successful
    /// answer, `+MS` advances the clock, `away` and `back` begin and end an outage of the store,
    /// `refuse?` asserts that the request is refused.
    fn apply(&mut self, events: &str) {
        for event in events.split_whitespace() {
            match event.split_at(1) {
                ("+", millis) => self.now += ms(millis.parse().expect("milliseconds")),
                ("!", name) => self
                    .quarantine
                    .mark_unreachable(&incarnation(name), self.now),
                ("-", name) => {
                    let remaining = self.registered.split_whitespace().filter(|it| *it != name);
                    self.registered = remaining.collect::<Vec<_>>().join(" ");
                    self.settle();
                }
                ("=", name) => {
                    self.registered.push(' ');
                    self.registered.push_str(name);
                    self.settle();
                }
                _ => self.apply_word(event),
            }
        }
    }

    fn apply_word(&mut self, event: &str) {
        match event {
            "ok" => {
                self.quarantine.record_success(POISON, self.now, self.now);
            }
            "refuse?" => assert!(self.is_refused()),
            "away" => self.watched_since = None,
            "back" => self.watched_since = Some(self.now),
            name => {
                let send = self.begin(POISON, name);
                self.quarantine.record_loss(send, self.now);
            }
        }
    }

    fn is_refused(&mut self) -> bool {
        self.settle();
        assert!(!self.quarantine.assess(OTHER, self.now).is_refused());
        self.quarantine.assess(POISON, self.now).is_refused()
    }
}

/// Checks whether the request is refused after `events`, with `registered` registered at the start.
fn check(events: &str, registered: &str, is_refused: bool) {
    let mut instance = Instance::new(registered);
    instance.apply(events);
    assert_eq!(instance.is_refused(), is_refused, "{events}");
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $events:literal, $registered:literal => $is_refused:literal;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                check($events, $registered, $is_refused);
            }
        )*
    };
}

cases! {
    three_lost_upstreams_refuse_it: "a b c", "" => true;
    one_upstream_counts_once: "a a b", "" => false;
    an_upstream_that_stays_registered_was_not_lost: "a b c", "b" => false;
    a_fourth_lost_upstream_replaces_an_unconfirmed_loss: "a b c d", "b" => true;
    an_answer_clears_it: "a b c ok", "" => false;
    concurrent_losses_do_not_refuse_an_answered_request: "ok a b c", "" => false;
    an_expired_answer_does_not_count: "ok +61000 a b c", "" => true;
    losses_expire: "a b c +61000", "" => false;
    /// Guards against counting crashes of several incarnations as one because the name is the same.
    incarnations_of_one_name_are_different_upstreams: "a@1 a@2 a@3", "a@4" => true;
    /// Guards against dropping a loss because the upstream registers again under the same name.
    an_upstream_that_returned_was_lost: "a -a =a@2 b -b =b@2 c -c =c@2", "a b c" => true;
    /// Guards against waiting for registrations that end only seconds after the crash.
    losses_of_unreachable_upstreams_are_confirmed_at_once: "a !a b !b c !c", "a b c" => true;
    /// Guards against refusing a request whose upstreams turn out to have survived.
    unreachable_upstreams_that_stay_registered_were_not_lost:
        "a !a b !b c !c +5100", "a b c" => false;
    /// Guards against dropping losses by registrations that are not watched, as the store is down.
    registrations_drop_no_losses_during_a_store_outage:
        "away a !a b !b c !c +9000", "a b c" => true;
    /// Guards against dropping losses by registrations that had no time to expire since the store
    /// is available again.
    registrations_may_end_after_a_store_outage:
        "away a !a b !b c !c +9000 back +4000", "a b c" => true;
    /// Guards against confirming losses because the upstream deregisters long after.
    an_upstream_that_leaves_later_was_not_lost: "a b c +5100 =d -a -b -c", "a b c" => false;
    /// Guards against ignoring sequential crashes because the request was once answered.
    sequential_crashes_refuse_an_answered_request: "ok a -a b -b c -c", "a b c" => true;
    /// Guards against refusing a frequent request after many upstreams crash at once.
    simultaneous_crashes_refuse_no_answered_request: "ok a b c d -a -b -c -d", "a b c d" => false;
    /// Guards against sending a refused request again each minute, when its losses expire.
    a_refused_request_is_retained_for_longer:
        "a b c -a -b -c +59000 refuse? +61000", "a b c" => true;
}

/// Guards against missing a crash: a send in flight when the registration ends is a loss.
#[test]
fn sends_in_flight_are_lost_with_their_upstream() {
    let mut instance = Instance::new("a b c");
    for name in ["a", "b", "c"] {
        instance.begin(POISON, name);
    }
    assert!(!instance.is_refused());
    instance.apply("-a -b -c");
    assert!(instance.is_refused());
}

/// Guards against refusing a request whose upstreams shut down gracefully and answered it with a
/// failure.
#[test]
fn an_upstream_that_answers_later_was_not_lost() {
    let mut instance = Instance::new("a b c");
    let sends = ["a", "b", "c"].map(|it| instance.begin(POISON, it));
    instance.apply("-a -b -c");
    for send in sends {
        instance.quarantine.record_answer(send);
    }
    assert!(!instance.is_refused());
}

/// Guards against dropping losses when a later send does not reach the upstream.
#[test]
fn a_cancelled_send_drops_no_losses() {
    let mut instance = Instance::new("a b c");
    instance.apply("a !a b !b c !c");
    let send = instance.begin(POISON, "a");
    instance.quarantine.cancel_send(send);
    assert!(instance.is_refused());
}

/// Guards against refusing a request whose upstreams shut down gracefully and still answered it.
#[test]
fn an_answer_outweighs_an_ended_registration() {
    let mut instance = Instance::new("a b c");
    let sends = ["a", "b", "c"].map(|it| instance.begin(POISON, it));
    instance.apply("-a -b -c ok");
    for send in sends {
        instance.quarantine.record_answer(send);
    }
    assert!(!instance.is_refused());
}

#[test]
fn gossiped_losses_refuse_the_request_elsewhere() {
    let mut first = Instance::new("");
    first.apply("a b c -a +500");
    let mut second = Quarantine::default();
    for loss in first.quarantine.recent_losses(first.now) {
        second.merge_loss(&loss, Source::Peer, first.now);
    }
    assert!(second.assess(POISON, first.now).is_refused());
    assert!(
        first
            .quarantine
            .recent_losses(first.now + ms(2_000))
            .is_empty()
    );
}

#[test]
fn a_cleared_request_is_cleared_elsewhere() {
    let mut first = Instance::new("");
    first.apply("a b c ok");
    let mut second = Instance::new("");
    second.apply("a b c");
    for (fingerprint, age) in first.quarantine.recently_cleared(first.now) {
        let at = second.now - age;
        second.quarantine.merge_success(fingerprint, at, second.now);
    }
    assert!(!second.is_refused());
    assert!(
        first
            .quarantine
            .recently_cleared(first.now + ms(2_500))
            .is_empty()
    );
}

/// Guards against refusing a request for one loss after cleared ones: the answer that cleared the
/// others became known only after the next send had begun, whose loss kept their depth
/// (schedule of seed 17979629021315125326: refused for the rest of the run).
#[test]
fn a_loss_after_cleared_ones_starts_a_new_chain() {
    let mut instance = Instance::new("a b c");
    instance.apply("ok +10 a -a b -b +10");
    let answered = instance.now;
    instance.apply("+10");
    let send = instance.begin(POISON, "c");
    let now = instance.now;
    assert!(instance.quarantine.merge_success(POISON, answered, now));
    instance.quarantine.record_loss(send, now);
    instance.apply("-c");
    assert!(!instance.is_refused());
}

/// Guards against an answer that clears losses of sends after it.
#[test]
fn an_answer_clears_no_later_losses() {
    let mut instance = Instance::new("a b c");
    let answered = instance.now;
    instance.apply("+100 a -a b -b c -c");
    let (fingerprint, now) = (POISON, instance.now);
    assert!(
        !instance
            .quarantine
            .record_success(fingerprint, answered, now)
    );
    assert_eq!(instance.quarantine.assess(POISON, now).confirmed, 3);
}

#[test]
fn answers_to_unsuspected_requests_are_not_gossiped() {
    let mut instance = Instance::new("");
    instance.apply("ok");
    assert!(
        instance
            .quarantine
            .recently_cleared(instance.now)
            .is_empty()
    );
}

/// Guards against gossip about ordinary crashes that crowds out the losses of a poison request.
#[test]
fn the_most_suspected_requests_are_gossiped_first() {
    let mut instance = Instance::new("");
    for other in 1_000..1_500 {
        let send = instance.begin(id::Fingerprint(other), "a");
        instance.quarantine.record_loss(send, instance.now);
    }
    let poison = id::Fingerprint(u64::MAX);
    for name in ["a", "b", "c"] {
        let send = instance.begin(poison, name);
        instance.quarantine.record_loss(send, instance.now);
    }
    instance.settle();
    let recent = instance.quarantine.recent_losses(instance.now);
    let gossiped = recent.iter().filter(|it| it.fingerprint == poison);
    assert_eq!(gossiped.count(), 3);
}

/// Guards against losing the evidence when all instances restart.
#[test]
fn losses_of_a_suspect_are_kept_in_the_store_until_it_is_cleared() {
    let mut instance = Instance::new("a b c");
    instance.apply("a");
    assert_eq!(instance.quarantine.unsaved_losses(instance.now), []);
    instance.apply("-a");
    assert_eq!(instance.quarantine.unsaved_losses(instance.now).len(), 1);
    instance.apply("b -b");
    let unsaved = instance.quarantine.unsaved_losses(instance.now);
    assert_eq!(unsaved.len(), 2);
    instance.quarantine.mark_saved(&unsaved);
    assert_eq!(instance.quarantine.unsaved_losses(instance.now), []);

    let mut restarted = Instance::new("c");
    for loss in &unsaved {
        restarted
            .quarantine
            .merge_loss(loss, Source::Store, restarted.now);
    }
    restarted.apply("c -c");
    assert!(restarted.is_refused());
    restarted.apply("ok");
    let obsolete = restarted.quarantine.take_obsolete_rows();
    let rows = unsaved.iter();
    let rows = rows.map(|it| (it.fingerprint, it.incarnation.clone()));
    assert_eq!(
        obsolete,
        ObsoleteRows {
            own: rows.collect(),
            others: Vec::new()
        }
    );
}

/// Guards against a flood of suspects that evicts one with confirmed losses.
#[test]
fn a_suspect_with_crashes_outlasts_a_burst_of_others() {
    let mut instance = Instance::new("a b c");
    instance.apply("a -a b -b c -c");
    for other in 10..6_000 {
        let loss = Loss {
            fingerprint: id::Fingerprint(other),
            incarnation: incarnation("d"),
            depth: 1,
            evidence: Evidence::Unanswered,
            is_batched: false,
            parts: Vec::new(),
            age: Duration::ZERO,
        };
        instance
            .quarantine
            .merge_loss(&loss, Source::Peer, instance.now + ms(1));
    }
    assert!(instance.is_refused());
}

/// Sends calls with a piece of the request to `names`, `gap` apart. Each call is lost after 50 ms,
/// and its upstream is found unreachable at once.
fn after_calls(names: [&str; 3], gap: Duration) -> Instance {
    let mut instance = Instance::new("a b c");
    let start = instance.now;
    for (idx, name) in names.into_iter().enumerate() {
        let sent = start + gap * idx as u32;
        instance.now = sent + ms(50);
        let incarnation = incarnation(name);
        let quarantine = &mut instance.quarantine;
        quarantine.record_call_loss(POISON, incarnation.clone(), sent, instance.now);
        quarantine.mark_unreachable(&incarnation, instance.now);
    }
    instance
}

/// Guards against writing a row for each of the many requests in a lost call of steps.
#[test]
fn lost_calls_are_saved_from_the_second_loss_on() {
    let mut instance = Instance::new("a b c");
    for (name, unsaved) in [("a", 0), ("b", 2)] {
        let (incarnation, now) = (incarnation(name), instance.now);
        let quarantine = &mut instance.quarantine;
        quarantine.record_call_loss(POISON, incarnation.clone(), now, now);
        quarantine.mark_unreachable(&incarnation, now);
        assert_eq!(quarantine.unsaved_losses(now).len(), unsaved);
    }
}

/// Guards against ignoring crashes in calls of steps.
#[test]
fn sequential_lost_calls_refuse_the_request() {
    assert!(after_calls(["a", "b", "c"], ms(100)).is_refused());
}

/// Guards against refusing a request whose pieces were in calls that a simultaneous crash ended.
#[test]
fn simultaneous_lost_calls_refuse_nothing() {
    assert!(!after_calls(["a", "b", "c"], ms(10)).is_refused());
}

/// Guards against a counter that overflows after a row of another writer.
#[test]
fn a_loss_of_the_greatest_depth_is_counted_once() {
    let mut instance = Instance::new("");
    let part = id::Fingerprint(7);
    let loss = Loss {
        fingerprint: POISON,
        incarnation: incarnation("a"),
        depth: u32::MAX,
        evidence: Evidence::Unreachable,
        is_batched: false,
        parts: vec![PartLoss {
            part,
            depth: u32::MAX,
        }],
        age: Duration::ZERO,
    };
    let (quarantine, now) = (&mut instance.quarantine, instance.now);
    quarantine.merge_loss(&loss, Source::Store, now);
    let subject = Subject {
        fingerprint: POISON,
        parts: &[part],
    };
    quarantine.track_send(1, subject, incarnation("b"), now);
    quarantine.record_loss(1, now);
    quarantine.record_call_loss(POISON, incarnation("c"), now + ms(1), now + ms(1));
    quarantine.merge_loss(
        &Loss {
            incarnation: incarnation("d"),
            ..loss
        },
        Source::Peer,
        now + ms(2),
    );
    assert!(!quarantine.assess(POISON, now).is_refused());
    assert!(!quarantine.assess_parts(&[part], now).is_refused);
}
