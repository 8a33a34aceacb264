//! Requests that crash upstreams, and frequent ones that only look so.

use std::sync::Arc;
use std::time::Duration;

use base::id;
use catalog::Phase;
use catalog::Upstream;
use catalog::View;
use forwarding::poison::Evidence;
use forwarding::poison::Loss;
use forwarding::poison::ObsoleteRows;
use forwarding::poison::Quarantine;
use forwarding::poison::Registry;
use forwarding::poison::Source;
use tokio::time::Instant;

const POISON: id::Fingerprint = id::Fingerprint(1);
const OTHER: id::Fingerprint = id::Fingerprint(2);
const LAPSE: Duration = Duration::from_millis(5_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// `NAME`, or `NAME@START` for another start than the first.
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
    // An upstream that has nothing to do with the request: a view without any is not known yet.
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
            version: 1,
        };
        view.upstreams
            .insert(incarnation.upstream, Arc::new(upstream));
    }
    view
}

/// One instance, and the registrations that it knows.
struct Instance {
    quarantine: Quarantine,
    registered: String,
    followed_since: Option<Instant>,
    now: Instant,
    sends: u64,
}

impl Instance {
    fn new(registered: &str) -> Instance {
        let now = Instant::now();
        Instance {
            quarantine: Quarantine::default(),
            registered: registered.to_owned(),
            followed_since: Some(now),
            now,
            sends: 0,
        }
    }

    fn begin(&mut self, fingerprint: id::Fingerprint, upstream: &str) -> u64 {
        self.sends += 1;
        self.quarantine
            .track_send(self.sends, fingerprint, incarnation(upstream), self.now);
        self.sends
    }

    fn settle(&mut self) {
        let view = view(&self.registered);
        let registry = Registry {
            view: &view,
            watched_since: self.followed_since,
            max_expiry_delay: LAPSE,
        };
        self.quarantine.reconcile(&registry, self.now);
    }

    /// What happens to a request, a word each: a name loses that upstream, `!NAME` finds it
    /// unreachable, `-NAME` and `=NAME` end and begin its registration, `ok` is an answer, `+MS`
    /// passes time, `away` and `back` are the store's, `refuse?` is a
    /// request that must be refused.
    fn play(&mut self, events: &str) {
        for event in events.split_whitespace() {
            match event.split_at(1) {
                ("+", millis) => self.now += ms(millis.parse().expect("milliseconds")),
                ("!", name) => self
                    .quarantine
                    .mark_unreachable(&incarnation(name), self.now),
                ("-", name) => {
                    let left = self.registered.split_whitespace().filter(|it| *it != name);
                    self.registered = left.collect::<Vec<_>>().join(" ");
                    self.settle();
                }
                ("=", name) => {
                    self.registered.push(' ');
                    self.registered.push_str(name);
                    self.settle();
                }
                _ => self.play_word(event),
            }
        }
    }

    fn play_word(&mut self, event: &str) {
        match event {
            "ok" => {
                self.quarantine.record_success(POISON, self.now, self.now);
            }
            "refuse?" => assert!(self.is_refused()),
            "away" => self.followed_since = None,
            "back" => self.followed_since = Some(self.now),
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

/// Checks whether the request is refused while the upstreams in `registered` are still there.
fn check(events: &str, registered: &str, is_refused: bool) {
    let mut instance = Instance::new(registered);
    instance.play(events);
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
    an_upstream_that_lives_on_only_lost_an_answer: "a b c", "b" => false;
    a_fourth_upstream_makes_up_for_it: "a b c d", "b" => true;
    an_answer_clears_it: "a b c ok", "" => false;
    an_answered_request_is_no_suspect: "ok a b c", "" => false;
    an_old_answer_does_not_count: "ok +61000 a b c", "" => true;
    losses_are_forgotten: "a b c +61000", "" => false;
    /// Guards against crashes that count as one because the upstream has its name again.
    starts_of_one_name_are_different_upstreams: "a@1 a@2 a@3", "a@4" => true;
    /// Guards against a crash that counts for nothing once the upstream has its name again.
    an_upstream_that_returned_was_lost: "a -a =a@2 b -b =b@2 c -c =c@2", "a b c" => true;
    /// Guards against a wait for registrations that end seconds after the crash.
    unreachable_upstreams_count_at_once: "a !a b !b c !c", "a b c" => true;
    /// Guards against a refusal that outlasts the evidence.
    upstreams_that_stay_registered_lived: "a !a b !b c !c +5100", "a b c" => false;
    /// Guards against a decision by registrations that nobody follows.
    registrations_tell_nothing_while_the_store_is_away: "away a !a b !b c !c +9000", "a b c" => true;
    /// Guards against a decision by registrations that had no time to end since the store's return.
    registrations_may_end_after_the_stores_return:
        "away a !a b !b c !c +9000 back +4000", "a b c" => true;
    /// Guards against losses that count when the upstream leaves long after.
    an_upstream_that_leaves_later_was_not_lost: "a b c +5100 =d -a -b -c", "a b c" => false;
    /// Guards against crashes that never count because the request was once answered.
    crashes_one_after_the_other_refuse_an_answered_request: "ok a -a b -b c -c", "a b c" => true;
    /// Guards against the refusal of a frequent request after a crash of many upstreams at once.
    crashes_at_once_refuse_no_answered_request: "ok a b c d -a -b -c -d", "a b c d" => false;
    /// Guards against a refused request that is sent again each minute.
    a_refused_request_is_remembered_for_longer: "a b c -a -b -c +59000 refuse? +61000", "a b c" => true;
}

/// Guards against crashes without a trace: a send on its way when the registration ends is a loss.
#[test]
fn sends_on_their_way_are_lost_with_their_upstream() {
    let mut instance = Instance::new("a b c");
    for name in ["a", "b", "c"] {
        instance.begin(POISON, name);
    }
    assert!(!instance.is_refused());
    instance.play("-a -b -c");
    assert!(instance.is_refused());
}

/// Guards against the refusal of a request whose upstreams left in order and still failed it.
#[test]
fn an_upstream_that_answers_later_was_not_lost() {
    let mut instance = Instance::new("a b c");
    let sends = ["a", "b", "c"].map(|it| instance.begin(POISON, it));
    instance.play("-a -b -c");
    for send in sends {
        instance.quarantine.record_answer(send);
    }
    assert!(!instance.is_refused());
}

/// Guards against crashes that are forgotten when a later send does not reach the upstream.
#[test]
fn a_send_that_never_left_proves_nothing() {
    let mut instance = Instance::new("a b c");
    instance.play("a !a b !b c !c");
    let send = instance.begin(POISON, "a");
    instance.quarantine.cancel_send(send);
    assert!(instance.is_refused());
}

/// Guards against the refusal of a request whose upstream left in order and still answers it.
#[test]
fn an_answer_outweighs_an_ended_registration() {
    let mut instance = Instance::new("a b c");
    let sends = ["a", "b", "c"].map(|it| instance.begin(POISON, it));
    instance.play("-a -b -c ok");
    for send in sends {
        instance.quarantine.record_answer(send);
    }
    assert!(!instance.is_refused());
}

#[test]
fn losses_reach_instances_that_were_told_by_others() {
    let mut first = Instance::new("");
    first.play("a b c -a +500");
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
    first.play("a b c ok");
    let mut second = Instance::new("");
    second.play("a b c");
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

/// Guards against a refusal for one loss, after others of which an answer is heard later
/// (schedule of seed 17979629021315125326: refused for the rest of the run).
#[test]
fn a_loss_after_cleared_ones_is_the_first() {
    let mut instance = Instance::new("a b c");
    instance.play("ok +10 a -a b -b +10");
    let answered = instance.now;
    instance.play("+10");
    let send = instance.begin(POISON, "c");
    let now = instance.now;
    assert!(instance.quarantine.merge_success(POISON, answered, now));
    instance.quarantine.record_loss(send, now);
    instance.play("-c");
    assert!(!instance.is_refused());
}

/// Guards against an acquittal of crashes that came after the answer.
#[test]
fn an_answer_clears_no_later_losses() {
    let mut instance = Instance::new("a b c");
    let answered = instance.now;
    instance.play("+100 a -a b -b c -c");
    let (fingerprint, now) = (POISON, instance.now);
    assert!(
        !instance
            .quarantine
            .record_success(fingerprint, answered, now)
    );
    assert_eq!(instance.quarantine.assess(POISON, now).confirmed, 3);
}

#[test]
fn answers_of_requests_that_nobody_suspects_are_no_news() {
    let mut instance = Instance::new("");
    instance.play("ok");
    assert!(
        instance
            .quarantine
            .recently_cleared(instance.now)
            .is_empty()
    );
}

/// Guards against news of a poison request that give way to those of ordinary crashes.
#[test]
fn the_most_suspected_requests_are_told_first() {
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
    let told = recent.iter().filter(|it| it.fingerprint == poison);
    assert_eq!(told.count(), 3);
}

/// Guards against losses that no instance knows after a restart of all.
#[test]
fn losses_of_a_suspect_are_kept_in_the_store_until_it_is_cleared() {
    let mut instance = Instance::new("a b c");
    instance.play("a");
    assert_eq!(instance.quarantine.unsaved_losses(instance.now), []);
    instance.play("-a");
    assert_eq!(instance.quarantine.unsaved_losses(instance.now).len(), 1);
    instance.play("b -b");
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
    restarted.play("c -c");
    assert!(restarted.is_refused());
    restarted.play("ok");
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

/// Guards against a flood of suspects that pushes out the one that matters.
#[test]
fn a_suspect_with_crashes_outlasts_a_burst_of_others() {
    let mut instance = Instance::new("a b c");
    instance.play("a -a b -b c -c");
    for other in 10..6_000 {
        let loss = Loss {
            fingerprint: id::Fingerprint(other),
            incarnation: incarnation("d"),
            depth: 1,
            evidence: Evidence::Unanswered,
            is_batched: false,
            age: Duration::ZERO,
        };
        instance
            .quarantine
            .merge_loss(&loss, Source::Peer, instance.now + ms(1));
    }
    assert!(instance.is_refused());
}

/// Plays calls with a piece of the request, each lost after 50 ms; `names` are sent `gap` apart,
/// and found unreachable at once.
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

/// Guards against a row for each of many requests whenever a call of steps is lost.
#[test]
fn a_lost_call_is_kept_once_its_request_has_lost_another() {
    let mut instance = Instance::new("a b c");
    for (name, unsaved) in [("a", 0), ("b", 2)] {
        let (incarnation, now) = (incarnation(name), instance.now);
        let quarantine = &mut instance.quarantine;
        quarantine.record_call_loss(POISON, incarnation.clone(), now, now);
        quarantine.mark_unreachable(&incarnation, now);
        assert_eq!(quarantine.unsaved_losses(now).len(), unsaved);
    }
}

/// Guards against crashes in calls of steps that count for nothing.
#[test]
fn calls_lost_one_after_the_other_refuse_the_request() {
    assert!(after_calls(["a", "b", "c"], ms(100)).is_refused());
}

/// Guards against the refusal of a request whose pieces were in calls that a mass crash ended.
#[test]
fn calls_lost_at_once_refuse_nothing() {
    assert!(!after_calls(["a", "b", "c"], ms(10)).is_refused());
}
