//! Which value is the newest after the store came back from an older copy.

use std::collections::BTreeMap;

use mirror::Era;
use mirror::succession::Candidate;
use mirror::succession::Reason;
use mirror::succession::Revision;
use mirror::succession::Succession;
use mirror::succession::Verdict;
use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop_oneof;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;

/// A value under `number` in the row `version` of an era. Its digest is that of its content.
fn candidate(era: u64, version: u64, number: u64, digest: u64) -> Candidate {
    Candidate {
        revision: Some(Revision {
            era: Era(era),
            version,
        }),
        number,
        digest,
    }
}

/// A replica that has seen configurations 7 and 9 in the first era, as versions 10 and 42.
fn after_two() -> Succession {
    let mut succession = Succession::default();
    assert_eq!(succession.judge(candidate(1, 10, 7, 70), 0), Verdict::Use);
    assert_eq!(succession.judge(candidate(1, 42, 9, 90), 0), Verdict::Use);
    succession
}

/// Names a case: a row that [`after_two`] gets in the second era, after a first read at version 23,
/// and what becomes of it.
macro_rules! verdicts {
    ($($(#[$doc:meta])* $name:ident: ($version:literal, $number:literal, $digest:literal) => $verdict:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let row = candidate(2, $version, $number, $digest);
            assert_eq!(after_two().judge(row, 23), $verdict);
        }
    )*};
}

verdicts! {
    /// Guards against a copy that undoes what was newer.
    a_value_of_the_copy_is_not_used: (10, 7, 70) => Verdict::Ignore(Reason::Superseded);
    a_lost_value_that_is_written_again_stays_in_force: (24, 9, 90) => Verdict::Unchanged;
    an_older_value_that_is_written_again_is_not_used: (24, 7, 70) => Verdict::Ignore(Reason::Superseded);
    a_greater_number_is_used: (24, 10, 100) => Verdict::Use;
    /// Guards against a lost number that is given out again and never used.
    a_lost_number_with_another_value_is_used: (24, 9, 91) => Verdict::Use;
    /// Guards against a lower number that undoes a newer value while lost ones are written again.
    a_lower_number_is_held: (24, 8, 80) => Verdict::Hold;
    /// Guards against a value that counts as one of the copy, as it was there at the first read.
    a_lower_number_that_was_there_at_the_first_read_is_held: (23, 8, 80) => Verdict::Hold;
    a_lower_number_from_before_the_first_row_seen_is_not_used: (9, 8, 80) => Verdict::Ignore(Reason::PerhapsSuperseded);
}

/// Guards against an order by the lost number once the store has sent a lower one.
#[test]
fn within_an_era_the_greater_number_is_used() {
    let mut succession = after_two();
    let held = candidate(2, 24, 8, 80);
    assert_eq!(succession.judge(held, 23), Verdict::Hold);
    succession.confirm(held);
    assert_eq!(succession.judge(candidate(2, 30, 9, 91), 23), Verdict::Use);
    let superseded = Verdict::Ignore(Reason::Superseded);
    assert_eq!(succession.judge(candidate(2, 31, 8, 81), 23), superseded);
}

/// Guards against rows of a replica that knows no eras, which the store may have lost.
#[test]
fn a_value_of_unknown_era_needs_a_greater_number() {
    let unknown = |number, digest| Candidate {
        revision: None,
        number,
        digest,
    };
    let mut succession = after_two();
    let ignored = Verdict::Ignore(Reason::UnknownEra);
    assert_eq!(succession.judge(unknown(9, 91), 0), ignored);
    assert_eq!(succession.judge(unknown(10, 100), 0), Verdict::Use);
    let held = succession.judge(candidate(2, 24, 8, 80), 23);
    assert_eq!(held, Verdict::Hold);
}

/// Guards against a new value that counts as a lost one, since a replica that knows no eras sent it
/// first.
#[test]
fn a_value_of_unknown_era_is_not_remembered() {
    let mut succession = after_two();
    let unknown = Candidate {
        revision: None,
        ..candidate(2, 24, 8, 80)
    };
    let ignored = Verdict::Ignore(Reason::UnknownEra);
    assert_eq!(succession.judge(unknown, 0), ignored);
    let held = succession.judge(candidate(2, 24, 8, 80), 23);
    assert_eq!(held, Verdict::Hold);
}

/// What happens to the row or to the replica.
#[derive(Clone, Debug)]
enum Event {
    /// The operator writes a new value, with a number this much higher than the store's.
    Write(u64),
    /// The store is copied.
    Copy,
    /// The store comes back from the copy; the operator writes the lost values again, or goes on
    /// from the copy.
    Return { is_rewritten: bool, step: u64 },
    /// The replica starts anew.
    Restart,
}

fn events() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (1_u64..4).prop_map(Event::Write),
        1 => proptest::strategy::Just(Event::Copy),
        2 => (any::<bool>(), 1_u64..4)
            .prop_map(|(is_rewritten, step)| Event::Return { is_rewritten, step }),
        1 => proptest::strategy::Just(Event::Restart),
    ]
}

/// The row in the store, the operator that writes it, and a replica that sees each write.
#[derive(Default)]
struct World {
    era: u64,
    version: u64,
    /// Values of the era and before, oldest first. The order of their digests is that in which the
    /// operator wrote them first.
    values: Vec<Candidate>,
    copy: (u64, Vec<Candidate>),
    digests: u64,
    era_start: u64,
    replica: Succession,
    held: Option<Candidate>,
}

impl World {
    fn write(&mut self, number: u64, digest: u64) {
        self.version += 1;
        let row = candidate(self.era, self.version, number, digest);
        self.values.push(row);
        self.send(row);
    }

    fn write_next(&mut self, step: u64) {
        let number = self.values.last().map_or(0, |it| it.number) + step;
        self.digests += 1;
        self.write(number, self.digests);
    }

    fn send(&mut self, row: Candidate) {
        let verdict = self.replica.judge(row, self.era_start);
        self.held = (verdict == Verdict::Hold).then_some(row);
    }

    fn send_copied(&mut self) {
        let Some(row) = self.values.last().copied() else {
            return;
        };
        let version = row.revision.map_or(0, |it| it.version);
        self.send(candidate(self.era, version, row.number, row.digest));
    }

    fn come_back(&mut self, is_rewritten: bool, step: u64) {
        let (version, values) = self.copy.clone();
        let lost = self.values.split_off(values.len());
        self.values = values;
        (self.era, self.version, self.era_start) = (self.era + 1, version, version);
        self.send_copied();
        match is_rewritten {
            true => lost.iter().for_each(|it| self.write(it.number, it.digest)),
            false => self.write_next(step),
        }
        // What is lost at the next return must be part of the same history.
        self.copy = (self.version, self.values.clone());
    }

    fn play(&mut self, event: Event) {
        match event {
            Event::Write(step) => self.write_next(step),
            Event::Copy => self.copy = (self.version, self.values.clone()),
            Event::Return { is_rewritten, step } => self.come_back(is_rewritten, step),
            Event::Restart => {
                self.replica = Succession::default();
                self.era_start = 0;
                self.send_copied();
            }
        }
    }

    fn settle(&mut self) {
        if let Some(held) = self.held.take() {
            self.replica.confirm(held);
        }
    }
}

proptest! {
    /// Guards against a value that never comes into force, and against one that is undone by an older
    /// one, over returns of the store and restarts of the replica.
    #[test]
    fn the_last_value_that_the_operator_wrote_comes_into_force(
        events in vec(events(), 1..60),
    ) {
        let mut world = World::default();
        let mut digests: BTreeMap<u64, u64> = BTreeMap::new();
        let mut lifetime = 0;
        for event in events {
            lifetime += u64::from(matches!(event, Event::Restart));
            world.play(event);
            world.settle();
            let in_force = world.replica.current().map(|it| it.digest);
            prop_assert_eq!(in_force, world.values.last().map(|it| it.digest));
            let newest = digests.entry(lifetime).or_default();
            prop_assert!(in_force.unwrap_or_default() >= *newest);
            *newest = in_force.unwrap_or_default();
        }
    }
}
