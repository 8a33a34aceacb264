//! Merging of rows: the result does not depend on the order of arrival, and versions never go back.

use mirror::Batch;
use mirror::Effect;
use mirror::Era;
use mirror::Mirror;
use mirror::Position;
use mirror::Replacement;
use mirror::Row;
use mirror::Table;
use mirror::Update;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::proptest;
use strum::IntoEnumIterator;

fn row(key: &str, version: u64, value: Option<&str>) -> Row {
    Row {
        table: Table::Operators,
        key: key.to_owned(),
        version,
        value: value.map(|it| it.as_bytes().to_vec()),
    }
}

fn batch(era: u64, rows: &[Row], version: u64) -> Batch {
    Batch {
        era: Era(era),
        rows: rows.to_vec(),
        version,
    }
}

/// Merges rows of the first era from another replica, table by table; returns those that were new.
fn merge(mirror: &mut Mirror, rows: &[Row]) -> Vec<Row> {
    let mut changed = Vec::new();
    for table in Table::iter() {
        let rows: Vec<Row> = rows
            .iter()
            .filter(|it| it.table == table)
            .cloned()
            .collect();
        let update = Update {
            table,
            era: Era(1),
            version: 0,
            is_full: false,
            rows,
        };
        match mirror.merge(update) {
            Effect::Merged(rows) => changed.extend(rows),
            effect => panic!("{effect:?}"),
        }
    }
    changed
}

/// Merges a full read of the operators' table in the first era; returns the rows that changed.
fn read(mirror: &mut Mirror, rows: &[Row], version: u64) -> Vec<Row> {
    match mirror.apply_snapshot(Table::Operators, batch(1, rows, version)) {
        Effect::Merged(rows) => rows,
        effect => panic!("{effect:?}"),
    }
}

fn content(mirror: &Mirror) -> Vec<Row> {
    let mut rows = mirror.rows_since(&[]);
    rows.sort_by(|a, b| a.key.cmp(&b.key));
    rows
}

#[test]
fn an_older_row_changes_nothing() {
    let mut mirror = Mirror::default();
    merge(&mut mirror, &[row("config", 5, Some("new"))]);
    let changed_rows = merge(&mut mirror, &[row("config", 4, Some("old"))]);
    assert!(changed_rows.is_empty());
    assert_eq!(content(&mirror), [row("config", 5, Some("new"))]);
}

#[test]
fn a_full_read_deletes_rows_that_it_lacks() {
    let mut mirror = Mirror::default();
    merge(
        &mut mirror,
        &[row("evacuate/z", 3, Some("")), row("config", 4, Some("c"))],
    );
    let changed_rows = read(&mut mirror, &[row("config", 4, Some("c"))], 9);
    assert_eq!(changed_rows, [row("evacuate/z", 9, None)]);
}

#[test]
fn a_full_read_keeps_newer_rows() {
    let mut mirror = Mirror::default();
    merge(&mut mirror, &[row("evacuate/z", 12, Some(""))]);
    let changed_rows = read(&mut mirror, &[], 9);
    assert!(changed_rows.is_empty());
}

#[test]
fn a_table_without_history_has_no_complete_version() {
    let mut mirror = Mirror::default();
    read(&mut mirror, &[row("config", 4, Some("c"))], 9);
    assert_eq!(mirror.complete_version(Table::Operators), Some(9));
    mirror.reset_sync(Table::Operators);
    assert_eq!(mirror.complete_version(Table::Operators), None);
}

#[test]
fn rows_from_other_instances_advance_the_complete_version() {
    let mut mirror = Mirror::default();
    read(&mut mirror, &[], 9);
    merge(&mut mirror, &[row("config", 12, Some("c"))]);
    assert_eq!(mirror.complete_version(Table::Operators), Some(12));
}

#[test]
fn rows_since_returns_only_newer_rows_of_each_table() {
    let mut mirror = Mirror::default();
    merge(&mut mirror, &[row("a", 1, Some("")), row("b", 2, Some(""))]);
    let other = Row {
        table: Table::Upstreams,
        ..row("u", 1, Some(""))
    };
    merge(&mut mirror, std::slice::from_ref(&other));
    let rows = mirror.rows_since(&[(Table::Operators, 1), (Table::Upstreams, 0)]);
    assert_eq!(rows, [other, row("b", 2, Some(""))]);
}

/// Guards against the changes between two pages of a table: a row of the second page was newer than
/// one of the first that had changed since, and the feed then began after both.
#[test]
fn rows_above_the_version_of_a_full_read_do_not_advance_the_complete_version() {
    let mut mirror = Mirror::default();
    let rows = [row("a", 3, Some("old")), row("z", 12, Some("new"))];
    read(&mut mirror, &rows, 9);
    assert_eq!(mirror.complete_version(Table::Operators), Some(9));
    let changes = [row("a", 11, Some("new")), row("z", 12, Some("new"))];
    let effect = mirror.apply_changes(Table::Operators, batch(1, &changes, 12));
    assert_eq!(effect, Effect::Merged(changes.to_vec()));
}

#[test]
fn a_later_era_replaces_the_table() {
    let mut mirror = Mirror::default();
    let [gone, lost] = [row("gone", 3, Some("")), row("lost", 30, Some("l"))];
    let same = row("same", 2, Some("s"));
    let config = row("config", 31, Some("9"));
    read(
        &mut mirror,
        &[gone.clone(), lost.clone(), same.clone(), config],
        31,
    );
    let deletion = row("gone", 32, None);
    mirror.apply_changes(Table::Operators, batch(1, &[deletion], 32));
    let feed = mirror.apply_changes(Table::Operators, batch(2, &[], 40));
    assert_eq!(feed, Effect::OtherEra);
    assert_eq!(mirror.complete_version(Table::Operators), None);
    let older = row("config", 5, Some("7"));
    let rows = [gone.clone(), same.clone(), older.clone()];
    let effect = mirror.apply_snapshot(Table::Operators, batch(2, &rows, 6));
    let replacement = Replacement {
        changed: vec![older.clone()],
        lost: vec![lost],
    };
    assert_eq!(effect, Effect::Replaced(replacement));
    assert_eq!(content(&mirror), [older, gone, same]);
    let lost: Vec<(&str, &[u8])> = mirror.lost(Table::Operators).collect();
    assert_eq!(lost, [("lost", &b"l"[..])]);
    let again = row("lost", 7, Some("l"));
    let effect = mirror.apply_changes(Table::Operators, batch(2, std::slice::from_ref(&again), 7));
    assert_eq!(effect, Effect::Merged(vec![again]));
    assert_eq!(mirror.lost(Table::Operators).count(), 0);
}

#[test]
fn rows_of_an_earlier_era_are_ignored() {
    let mut mirror = Mirror::default();
    mirror.apply_snapshot(
        Table::Operators,
        batch(2, &[row("config", 4, Some("c"))], 9),
    );
    let late = batch(1, &[row("config", 40, Some("old"))], 40);
    let effect = mirror.apply_changes(Table::Operators, late.clone());
    assert_eq!(effect, Effect::OtherEra);
    let effect = mirror.apply_snapshot(Table::Operators, late);
    assert_eq!(effect, Effect::OtherEra);
    assert_eq!(mirror.complete_version(Table::Operators), Some(9));
}

/// Guards against a deleted row that is back for good: another instance had sent it before it was
/// deleted, and it arrived after a full read.
#[test]
fn a_row_that_was_deleted_before_the_first_read_stays_so() {
    let mut mirror = Mirror::default();
    read(&mut mirror, &[row("config", 4, Some("c"))], 9);
    let update = Update {
        table: Table::Operators,
        era: Era(1),
        version: 6,
        is_full: true,
        rows: vec![row("config", 4, Some("c")), row("evacuate/z", 6, Some(""))],
    };
    assert_eq!(mirror.merge(update), Effect::Merged(Vec::new()));
}

/// Guards against an equal version and value of another era that is taken for an unchanged table.
#[test]
fn a_version_that_was_given_out_again_is_compared_by_value() {
    let mut mirror = Mirror::default();
    read(&mut mirror, &[row("config", 4, Some("lost"))], 4);
    let config = row("config", 4, Some("new"));
    let effect =
        mirror.apply_snapshot(Table::Operators, batch(2, std::slice::from_ref(&config), 4));
    let replacement = Replacement {
        changed: vec![config],
        lost: Vec::new(),
    };
    assert_eq!(effect, Effect::Replaced(replacement));
}

/// Guards against rows of unknown era that win over the store's.
#[test]
fn a_full_read_replaces_unverified_rows() {
    let mut mirror = Mirror::default();
    read(&mut mirror, &[row("config", 4, Some("c"))], 9);
    let unverified = [
        row("config", 40, Some("old")),
        row("evacuate/z", 41, Some("")),
    ];
    assert_eq!(mirror.merge_unverified(unverified.to_vec()), unverified);
    assert!(mirror.updates_since(&[]).is_empty(), "passed on");
    assert_eq!(mirror.complete_version(Table::Operators), None);
    let changed = read(&mut mirror, &[row("config", 10, Some("d"))], 10);
    let deletion = row("evacuate/z", 10, None);
    assert_eq!(changed, [row("config", 10, Some("d")), deletion]);
    assert_eq!(content(&mirror), [row("config", 10, Some("d"))]);
    assert_eq!(mirror.lost(Table::Operators).count(), 0);
    assert!(!mirror.is_unverified(Table::Operators));
}

/// Guards against rows of unknown era that hide those of a replica that knows the era: their versions
/// may be higher than any that it holds.
#[test]
fn an_update_replaces_unverified_rows() {
    let mut source = Mirror::default();
    read(&mut source, &[row("config", 10, Some("d"))], 10);
    let mut mirror = Mirror::default();
    read(&mut mirror, &[row("config", 4, Some("c"))], 9);
    mirror.merge_unverified(vec![row("config", 40, Some("old"))]);
    assert!(mirror.newest_versions().contains(&(Table::Operators, 40)));
    for update in source.updates_since(&mirror.positions()) {
        mirror.merge(update);
    }
    assert_eq!(content(&mirror), [row("config", 10, Some("d"))]);
    assert!(!mirror.is_unverified(Table::Operators));
}

#[test]
fn updates_since_are_full_for_another_era_only() {
    let mut mirror = Mirror::default();
    let rows = [row("a", 1, Some("")), row("b", 2, Some(""))];
    mirror.apply_snapshot(Table::Operators, batch(2, &rows, 5));
    let position = |era, version| Position {
        table: Table::Operators,
        era: Era(era),
        version,
    };
    let updates = |position| {
        let updates = mirror.updates_since(&[position]).into_iter();
        updates
            .map(|it| (it.is_full, it.version, it.rows.len()))
            .collect::<Vec<_>>()
    };
    assert_eq!(updates(position(1, 40)), [(true, 5, 2)]);
    assert_eq!(updates(position(2, 1)), [(false, 2, 1)]);
    assert_eq!(updates(position(2, 2)), []);
    assert_eq!(updates(position(3, 0)), []);
}

proptest! {
    #![proptest_config(proptest::test_runner::Config {
        rng_seed: proptest::test_runner::RngSeed::Fixed(8),
        ..proptest::test_runner::Config::default()
    })]

    #[test]
    fn merging_is_independent_of_order(
        rows in proptest::collection::vec((0..4_u8, 1..50_u64), 0..20)
            .prop_flat_map(|rows| (Just(rows.clone()), Just(rows).prop_shuffle()))
    ) {
        let (a, b) = rows;
        // A version belongs to one transaction, so it determines the value.
        let build = |rows: &[(u8, u64)]| {
            let mut mirror = Mirror::default();
            for (key, version) in rows {
                let value = format!("{key}-{version}");
                let value = (version % 5 != 0).then_some(value.as_str());
                merge(&mut mirror, &[row(&key.to_string(), *version, value)]);
            }
            content(&mirror)
        };
        assert_eq!(build(&a), build(&b));
    }
}
