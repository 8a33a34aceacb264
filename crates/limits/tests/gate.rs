//! Admission to one upstream.

use std::time::Duration;

use config::model::Priority;
use limits::AdmissionController;
use limits::FinishedCall;
use limits::LoadReport;
use limits::Outcome;
use limits::QueuePolicy;
use limits::Refusal;
use limits::Settings;
use limits::Ticket;
use limits::Warmth;
use proptest::prelude::prop;
use proptest::proptest;
use tokio::time::Instant;

const SETTINGS: Settings = Settings {
    cold_limit: 2,
    ceiling: 16,
    warm_window: Duration::from_secs(1),
    typical: Duration::from_millis(100),
};

fn ticket(id: u64, workspace: &str, deadline: Instant) -> Ticket {
    Ticket {
        id,
        workspace: workspace.parse().expect("a name"),
        weight: 1,
        priority: Priority::Interactive,
        deadline,
        is_suspect: false,
    }
}

fn finish(outcome: Outcome) -> FinishedCall {
    FinishedCall {
        outcome,
        latency: Duration::from_millis(100),
        elapsed: Duration::from_millis(100),
    }
}

fn gate(now: Instant) -> AdmissionController {
    AdmissionController::new(SETTINGS, QueuePolicy::default(), now)
}

/// Runs `count` good calls one after the other and returns the time when they end.
fn warm(gate: &mut AdmissionController, count: u64, mut now: Instant) -> Instant {
    for id in 0..count {
        let deadline = now + Duration::from_secs(10);
        gate.enqueue(ticket(id, "w", deadline), now).expect("room");
        gate.admit(now).expect("room");
        now += Duration::from_millis(100);
        gate.finish(false, finish(Outcome::Good), now);
    }
    now
}

macro_rules! cases {
    ($(fn $name:ident($gate:ident, $now:ident) $body:block)*) => {
        $(
            #[test]
            fn $name() {
                #[allow(unused_mut, clippy::allow_attributes)]
                let mut $now = Instant::now();
                let mut $gate = gate($now);
                $body
            }
        )*
    };
}

cases! {
    fn a_cold_upstream_gets_its_cold_limit(gate, now) {
        let deadline = now + Duration::from_secs(10);
        for id in 0..5 {
            gate.enqueue(ticket(id, "w", deadline), now).expect("room in the queue");
        }
        assert!(gate.admit(now).is_some());
        assert!(gate.admit(now).is_some());
        assert_eq!(gate.admit(now), None);
    }

    fn the_limit_grows_with_work_and_time(gate, now) {
        // Eight answers would be enough work; the window of one second ends with the tenth.
        now = warm(&mut gate, 9, now);
        assert_eq!(gate.limiter.limit(), 2);
        now = warm(&mut gate, 1, now);
        assert_eq!(gate.limiter.limit(), 4);
        warm(&mut gate, 200, now);
        assert_eq!(gate.limiter.warmth(), Warmth::Warm);
        assert_eq!(gate.limiter.limit(), 16);
    }

    fn an_overload_returns_it_to_cold_and_pauses(gate, now) {
        now = warm(&mut gate, 300, now);
        let deadline = now + Duration::from_secs(10);
        gate.enqueue(ticket(1000, "w", deadline), now).expect("room");
        gate.admit(now).expect("room");
        gate.finish(false, finish(Outcome::Overloaded), now);
        assert_eq!(gate.limiter.warmth(), Warmth::Cold);
        assert!(!gate.limiter.has_capacity(now));
        assert!(gate.limiter.has_capacity(now + Duration::from_millis(300)));
    }

    fn a_restart_in_a_report_returns_it_to_cold(gate, now) {
        now = warm(&mut gate, 300, now);
        for epoch in [1, 2] {
            gate.limiter.apply_load_report(LoadReport { in_flight: 0, epoch, measured_at: now }, now);
        }
        assert_eq!(gate.limiter.warmth(), Warmth::Cold);
    }

    fn an_unknown_owners_calls_keep_their_room(gate, now) {
        gate.limiter.assume_inherited(16, Duration::from_secs(7), now);
        let deadline = now + Duration::from_secs(20);
        let refused = gate.enqueue(ticket(1, "w", deadline), now);
        assert_eq!(refused, Err(Refusal::TakingOver));
        now += Duration::from_secs(7);
        gate.enqueue(ticket(2, "w", deadline), now).expect("they have ended");
        assert!(gate.admit(now).is_some());
    }

    fn only_a_report_taken_since_frees_inherited_room(gate, now) {
        gate.limiter.assume_inherited(16, Duration::from_secs(7), now);
        gate.limiter.apply_load_report(LoadReport { in_flight: 0, epoch: 1, measured_at: now }, now);
        assert!(!gate.limiter.has_capacity(now));
        let later = now + Duration::from_secs(1);
        gate.limiter.apply_load_report(LoadReport { in_flight: 1, epoch: 1, measured_at: later }, later);
        assert_eq!(gate.limiter.inherited(later), 1);
    }

    fn only_the_last_owners_word_replaces_the_assumption(gate, now) {
        let from = "entry-1".parse().expect("a name");
        gate.limiter.assume_inherited(16, Duration::from_secs(7), now);
        assert!(!gate.limiter.record_inherited(from, 0, false));
        assert_eq!(gate.limiter.inherited(now), 16);
        let last = "entry-2".parse().expect("a name");
        assert!(gate.limiter.record_inherited(last, 1, true));
        assert_eq!(gate.limiter.inherited(now), 1);
    }

    fn what_cannot_meet_its_deadline_is_refused_at_once(gate, now) {
        let soon = now + Duration::from_millis(50);
        assert_eq!(gate.enqueue(ticket(1, "w", soon), now), Err(Refusal::DeadlineTooShort));
    }

    fn a_flooding_workspace_does_not_starve_another(gate, now) {
        let deadline = now + Duration::from_secs(60);
        for id in 0..100 {
            gate.enqueue(ticket(id, "flood", deadline), now).expect("room");
        }
        gate.enqueue(ticket(1000, "small", deadline), now).expect("room");
        let mut served = Vec::new();
        for _ in 0..4 {
            served.extend(gate.admit(now).map(|it| it.id));
            gate.finish(false, finish(Outcome::Cancelled), now);
        }
        assert!(served.contains(&1000), "{served:?}");
    }

    fn batch_waits_for_interactive(gate, now) {
        let deadline = now + Duration::from_secs(60);
        let batch = Ticket { priority: Priority::Batch, ..ticket(1, "w", now + Duration::from_secs(1)) };
        gate.enqueue(batch, now).expect("room");
        gate.enqueue(ticket(2, "w", deadline), now).expect("room");
        assert_eq!(gate.admit(now).map(|it| it.id), Some(2));
    }

    fn two_suspects_never_share_an_upstream(gate, now) {
        let deadline = now + Duration::from_secs(60);
        for id in [1, 2] {
            let suspect = Ticket { is_suspect: true, ..ticket(id, "w", deadline) };
            gate.enqueue(suspect, now).expect("room");
        }
        assert!(gate.admit(now).is_some());
        assert_eq!(gate.admit(now), None);
        gate.finish(true, finish(Outcome::Good), now);
        assert!(gate.admit(now).is_some());
    }
}

proptest! {
    #[test]
    fn no_sequence_exceeds_the_limit(steps in prop::collection::vec((0..4u8, 1..500u64), 1..200)) {
        let mut now = Instant::now();
        let mut gate = gate(now);
        let mut in_flight = 0u32;
        for (id, (kind, millis)) in steps.into_iter().enumerate() {
            now += Duration::from_millis(millis);
            let deadline = now + Duration::from_secs(5);
            let _ = gate.enqueue(ticket(id as u64, "w", deadline), now);
            while gate.admit(now).is_some() {
                in_flight += 1;
                assert!(in_flight <= gate.limiter.limit());
            }
            if in_flight > 0 && kind > 0 {
                let outcome = [Outcome::Good, Outcome::Failed, Outcome::Overloaded][kind as usize - 1];
                gate.finish(false, finish(outcome), now);
                in_flight -= 1;
            }
            assert_eq!(gate.limiter.in_flight(), in_flight);
        }
    }
}
