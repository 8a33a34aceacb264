//! Sequences of sends at one instance, each with its prompt parts.

use std::time::Duration;

use base::id;
use catalog::View;
use forwarding::poison::Quarantine;
use forwarding::poison::Registry;
use forwarding::poison::Subject;
use tokio::time::Instant;

/// Hash of a part that a letter stands for.
fn part(letter: char) -> id::Fingerprint {
    id::Fingerprint(letter as u64)
}

fn parts(letters: &str) -> Vec<id::Fingerprint> {
    letters.chars().map(part).collect()
}

/// One instance and its sends that have not ended.
struct Instance {
    quarantine: Quarantine,
    now: Instant,
    sends: u64,
    open: Vec<(u64, id::Incarnation)>,
}

impl Instance {
    fn send(&mut self, letters: &str, upstream: &str) {
        self.sends += 1;
        let (letters, number) = letters.split_once('#').unwrap_or((letters, ""));
        let number = number.parse().unwrap_or(1_000 + self.sends);
        let subject = Subject {
            fingerprint: id::Fingerprint(number),
            parts: &parts(letters),
        };
        let incarnation: id::Incarnation = format!("{upstream}@1").parse().expect("a name");
        let quarantine = &mut self.quarantine;
        quarantine.track_send(self.sends, subject, incarnation.clone(), self.now);
        self.open.push((self.sends, incarnation));
    }

    fn crash(&mut self, upstream: &str) {
        let incarnation: id::Incarnation = format!("{upstream}@1").parse().expect("a name");
        for (send, _) in self.open.extract_if(.., |it| it.1 == incarnation) {
            self.quarantine.record_loss(send, self.now);
        }
        self.quarantine.mark_unreachable(&incarnation, self.now);
    }

    /// Removes what has expired.
    fn settle(&mut self) {
        let registry = Registry {
            view: &View::default(),
            watched_since: None,
            max_expiry_delay: Duration::from_secs(5),
        };
        self.quarantine.reconcile(&registry, self.now);
    }

    /// Applies events, one word each: `PARTS>UPSTREAM` sends a request, `PARTS#NUMBER>UPSTREAM` one
    /// that may have been sent before, `!UPSTREAM` crashes an upstream,
    /// `PARTS=` is a sound run, `+MS` advances the clock.
    fn apply(&mut self, events: &str) {
        for event in events.split_whitespace() {
            self.now += Duration::from_millis(1);
            if let Some(upstream) = event.strip_prefix('!') {
                self.crash(upstream);
            } else if let Some(millis) = event.strip_prefix('+') {
                self.now += Duration::from_millis(millis.parse().expect("milliseconds"));
                self.settle();
            } else if let Some(letters) = event.strip_suffix('=') {
                self.send(letters, "sound");
                let (send, _) = self.open.pop().expect("the send");
                self.quarantine.record_sound_run(send, self.now);
                self.quarantine.record_answer(send);
            } else {
                let (letters, upstream) = event.split_once('>').expect("parts and an upstream");
                self.send(letters, upstream);
            }
        }
    }
}

/// Checks whether a request with the parts `asked` is refused after `events`.
fn check(events: &str, asked: &str, is_refused: bool) {
    let mut instance = Instance {
        quarantine: Quarantine::default(),
        now: Instant::now(),
        sends: 0,
        open: Vec::new(),
    };
    instance.apply(events);
    let summary = instance
        .quarantine
        .assess_parts(&parts(asked), instance.now);
    assert_eq!(summary.is_refused, is_refused, "{events}: {summary:?}");
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $events:literal, $asked:literal => $is_refused:literal;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                check($events, $asked, $is_refused);
            }
        )*
    };
}

cases! {
    /// Guards against crashes that do not add up because the requests differ.
    three_crashes_refuse_a_part: "sd>a !a sd>b !b sd>c !c s=", "sd" => true;
    two_crashes_refuse_none: "sd>a !a sd>b !b s=", "sd" => false;
    a_request_without_a_prompt_is_not_refused: "sd>a !a sd>b !b sd>c !c s=", "" => false;
    /// Guards against blaming a part of the whole route before any instance had a sound run.
    a_request_that_lacks_a_common_part_is_sent: "sd>a !a sd>b !b sd>c !c", "s" => false;
    five_crashes_refuse_without_any_sound_run:
        "sd>a !a sd>b !b sd>c !c sd>e !e sd>f !f", "sd" => true;
    five_crashes_do_not_refuse_the_common_part:
        "sd>a !a sd>b !b sd>c !c sd>e !e sd>f !f", "s" => false;
    a_sound_run_leaves_the_other_part: "sd>a !a sd>b !b sd>c !c s=", "s" => false;
    a_sound_run_clears_its_parts: "sd>a !a sd>b !b sd>c !c sd=", "sd" => false;
    /// Guards against blaming parts of requests that were lost beside the cause.
    neighbors_are_not_blamed: "sd>a sx>a !a sd>b sy>b !b sd>c sz>c !c s=", "sx" => false;
    neighbors_of_some_crashes_are_not_blamed:
        "sd>a sx>a !a sd>b sx>b !b sd>c sx>c !c s= sd>e !e", "sx" => false;
    parts_that_always_came_together_are_tried_alone:
        "sd>a sx>a !a sd>b sx>b !b sd>c sx>c !c s=", "sx" => false;
    a_trial_that_crashes_refuses: "sd>a sx>a !a sd>b sx>b !b sd>c sx>c !c s= sd>e !e", "sd" => true;
    /// Guards against letting requests through because their part was never lost without the parts
    /// of the requests beside them.
    a_rare_part_is_blamed_before_common_ones:
        "sd>a sx>a sx>a !a sd>b sx>b sx>b !b sd>c sx>c sx>c !c s=", "sd" => true;
    parts_more_common_than_the_cause_are_not_blamed:
        "sd>a sx>a sx>a !a sd>b sx>b sx>b !b sd>c sx>c sx>c !c s=", "sx" => false;
    /// Guards against blaming a part of the whole route for unrelated crashes and those that a
    /// rarer part caused, before any instance had a sound run.
    unrelated_crashes_do_not_blame_a_common_part:
        "s>e s>f !e !f sd>a !a sd>b !b sd>c !c", "s" => false;
    unrelated_crashes_do_not_hide_the_cause: "s>e s>f !e !f sd>a !a sd>b !b sd>c !c s=", "sd" => true;
    /// Guards against blaming what many requests share when many upstreams fail at once.
    simultaneous_crashes_refuse_none: "sx>a sx>b sx>c sx>e !a !b !c !e s=", "sx" => false;
    simultaneous_crashes_and_a_later_one_refuse: "sx>a sx>b sx>c !a !b !c s= sx>e !e s=", "sx" => true;
    /// Guards against refusing a part that was sound lately after two failures of many upstreams.
    a_part_that_was_sound_lately_needs_a_longer_chain:
        "sx= sx>a sx>b sx>c !a !b !c sx>e !e s=", "sx" => false;
    a_part_that_becomes_deadly_is_refused: "sx= sx>a !a sx>b !b sx>c !c s=", "sx" => true;
    a_first_part_is_refused_after_five_crashes: "s>a !a s>b !b s>c !c s>e !e s>f !f", "s" => true;
    a_first_part_is_not_refused_after_four_crashes: "s>a !a s>b !b s>c !c s>e !e", "s" => false;
    /// Guards against blaming parts for one request that is repeated, and ordinary requests with it.
    a_repeated_request_does_not_blame_its_parts:
        "sd#1>a !a sd#1>b !b sd#1>c !c sd#1>e !e sd#1>f !f s=", "sd" => false;
    /// Guards against discarding the crashes of requests that their clients repeat.
    repeated_requests_blame_their_common_part:
        "sd#1>a !a sd#1>b !b sd#1>c !c sd#2>e !e s=", "sd" => true;
    /// Guards against forgetting a part while its requests still come.
    blame_outlives_the_expiry_of_single_losses:
        "sd>a !a sd>b !b sd>c !c s= +120000", "sd" => true;
    single_losses_expire: "sd>a !a sd>b !b +61000 sd>c !c s=", "sd" => false;
}
