//! Admission control of one upstream: slow start, back-off, takeover, deadlines and fair shares.

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
    typical_duration: Duration::from_millis(100),
};

fn ticket(id: u64, workspace: &str, deadline: Instant) -> Ticket {
    Ticket {
        id,
        workspace: workspace.parse().expect("a valid name"),
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

fn controller(now: Instant) -> AdmissionController {
    AdmissionController::new(SETTINGS, QueuePolicy::default(), now)
}

/// Runs `count` successful calls one after the other and returns the time at the end.
fn run_calls(controller: &mut AdmissionController, count: u64, mut now: Instant) -> Instant {
    for id in 0..count {
        let deadline = now + Duration::from_secs(10);
        controller
            .enqueue(ticket(id, "w", deadline), now)
            .expect("room");
        controller.admit(now).expect("room");
        now += Duration::from_millis(100);
        controller.finish(false, finish(Outcome::Good), now);
    }
    now
}

macro_rules! cases {
    ($(fn $name:ident($controller:ident, $now:ident) $body:block)*) => {
        $(
            #[test]
            fn $name() {
                #[allow(unused_mut, clippy::allow_attributes)]
                let mut $now = Instant::now();
                let mut $controller = controller($now);
                $body
            }
        )*
    };
}

cases! {
    fn a_cold_upstream_gets_its_cold_limit(controller, now) {
        let deadline = now + Duration::from_secs(10);
        for id in 0..5 {
            controller.enqueue(ticket(id, "w", deadline), now).expect("room in the queue");
        }
        assert!(controller.admit(now).is_some());
        assert!(controller.admit(now).is_some());
        assert_eq!(controller.admit(now), None);
    }

    fn the_limit_grows_with_work_and_time(controller, now) {
        // Eight calls suffice for the limit of two; the window of one second ends with the tenth.
        now = run_calls(&mut controller, 9, now);
        assert_eq!(controller.limiter.limit(), 2);
        now = run_calls(&mut controller, 1, now);
        assert_eq!(controller.limiter.limit(), 4);
        run_calls(&mut controller, 200, now);
        assert_eq!(controller.limiter.warmth(), Warmth::Warm);
        assert_eq!(controller.limiter.limit(), 16);
    }

    fn an_overload_resets_to_cold_and_starts_a_backoff(controller, now) {
        now = run_calls(&mut controller, 300, now);
        let deadline = now + Duration::from_secs(10);
        controller.enqueue(ticket(1000, "w", deadline), now).expect("room");
        controller.admit(now).expect("room");
        controller.finish(false, finish(Outcome::Overloaded), now);
        assert_eq!(controller.limiter.warmth(), Warmth::Cold);
        assert!(!controller.limiter.has_capacity(now));
        assert!(controller.limiter.has_capacity(now + Duration::from_millis(300)));
    }

    fn a_restart_in_a_load_report_resets_to_cold(controller, now) {
        now = run_calls(&mut controller, 300, now);
        for epoch in [1, 2] {
            controller
                .limiter
                .apply_load_report(LoadReport { in_flight: 0, epoch, measured_at: now }, now);
        }
        assert_eq!(controller.limiter.warmth(), Warmth::Cold);
    }

    fn assumed_calls_of_an_unknown_owner_block_admission(controller, now) {
        controller.limiter.assume_inherited(16, Duration::from_secs(7), now);
        let deadline = now + Duration::from_secs(20);
        let refused = controller.enqueue(ticket(1, "w", deadline), now);
        assert_eq!(refused, Err(Refusal::TakingOver));
        now += Duration::from_secs(7);
        controller.enqueue(ticket(2, "w", deadline), now).expect("the inherited calls have ended");
        assert!(controller.admit(now).is_some());
    }

    fn only_a_load_report_after_takeover_lowers_inherited_calls(controller, now) {
        controller.limiter.assume_inherited(16, Duration::from_secs(7), now);
        controller
            .limiter
            .apply_load_report(LoadReport { in_flight: 0, epoch: 1, measured_at: now }, now);
        assert!(!controller.limiter.has_capacity(now));
        let later = now + Duration::from_secs(1);
        controller
            .limiter
            .apply_load_report(LoadReport { in_flight: 1, epoch: 1, measured_at: later }, later);
        assert_eq!(controller.limiter.inherited(later), 1);
    }

    fn only_the_last_owners_report_replaces_the_assumption(controller, now) {
        let from = "entry-1".parse().expect("a valid name");
        controller.limiter.assume_inherited(16, Duration::from_secs(7), now);
        assert!(!controller.limiter.record_inherited(from, 0, false));
        assert_eq!(controller.limiter.inherited(now), 16);
        let last = "entry-2".parse().expect("a valid name");
        assert!(controller.limiter.record_inherited(last, 1, true));
        assert_eq!(controller.limiter.inherited(now), 1);
    }

    fn a_ticket_that_cannot_meet_its_deadline_is_rejected(controller, now) {
        let soon = now + Duration::from_millis(50);
        assert_eq!(controller.enqueue(ticket(1, "w", soon), now), Err(Refusal::DeadlineTooShort));
    }

    fn a_flooding_workspace_does_not_starve_another(controller, now) {
        let deadline = now + Duration::from_secs(60);
        for id in 0..100 {
            controller.enqueue(ticket(id, "flood", deadline), now).expect("room");
        }
        controller.enqueue(ticket(1000, "small", deadline), now).expect("room");
        let mut served = Vec::new();
        for _ in 0..4 {
            served.extend(controller.admit(now).map(|it| it.id));
            controller.finish(false, finish(Outcome::Cancelled), now);
        }
        assert!(served.contains(&1000), "{served:?}");
    }

    fn interactive_tickets_precede_batch(controller, now) {
        let deadline = now + Duration::from_secs(60);
        let batch = Ticket { priority: Priority::Batch, ..ticket(1, "w", now + Duration::from_secs(1)) };
        controller.enqueue(batch, now).expect("room");
        controller.enqueue(ticket(2, "w", deadline), now).expect("room");
        assert_eq!(controller.admit(now).map(|it| it.id), Some(2));
    }

    fn two_suspects_never_share_an_upstream(controller, now) {
        let deadline = now + Duration::from_secs(60);
        for id in [1, 2] {
            let suspect = Ticket { is_suspect: true, ..ticket(id, "w", deadline) };
            controller.enqueue(suspect, now).expect("room");
        }
        assert!(controller.admit(now).is_some());
        assert_eq!(controller.admit(now), None);
        controller.finish(true, finish(Outcome::Good), now);
        assert!(controller.admit(now).is_some());
    }
}

proptest! {
    #[test]
    fn no_sequence_exceeds_the_limit(steps in prop::collection::vec((0..4u8, 1..500u64), 1..200)) {
        let mut now = Instant::now();
        let mut controller = controller(now);
        let mut in_flight = 0u32;
        for (id, (kind, millis)) in steps.into_iter().enumerate() {
            now += Duration::from_millis(millis);
            let deadline = now + Duration::from_secs(5);
            let _ = controller.enqueue(ticket(id as u64, "w", deadline), now);
            while controller.admit(now).is_some() {
                in_flight += 1;
                assert!(in_flight <= controller.limiter.limit());
            }
            if in_flight > 0 && kind > 0 {
                let outcome = [Outcome::Good, Outcome::Failed, Outcome::Overloaded][kind as usize - 1];
                controller.finish(false, finish(outcome), now);
                in_flight -= 1;
            }
            assert_eq!(controller.limiter.in_flight(), in_flight);
        }
    }
}
