//! Merging of rows: the result does not depend on the order of arrival, and versions never go back.

use mirror::Mirror;
use mirror::Row;
use mirror::Table;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::proptest;

fn row(key: &str, version: u64, value: Option<&str>) -> Row {
    Row {
        table: Table::Operators,
        key: key.to_owned(),
        version,
        value: value.map(|it| it.as_bytes().to_vec()),
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
    mirror.merge(vec![row("config", 5, Some("new"))]);
    let changed_rows = mirror.merge(vec![row("config", 4, Some("old"))]);
    assert!(changed_rows.is_empty());
    assert_eq!(content(&mirror), [row("config", 5, Some("new"))]);
}

#[test]
fn a_full_read_deletes_rows_that_it_lacks() {
    let mut mirror = Mirror::default();
    mirror.merge(vec![
        row("evacuate/z", 3, Some("")),
        row("config", 4, Some("c")),
    ]);
    let changed_rows =
        mirror.apply_snapshot(Table::Operators, vec![row("config", 4, Some("c"))], 9);
    assert_eq!(changed_rows, [row("evacuate/z", 9, None)]);
}

#[test]
fn a_full_read_keeps_newer_rows() {
    let mut mirror = Mirror::default();
    mirror.merge(vec![row("evacuate/z", 12, Some(""))]);
    let changed_rows = mirror.apply_snapshot(Table::Operators, Vec::new(), 9);
    assert!(changed_rows.is_empty());
}

#[test]
fn a_table_without_history_has_no_complete_version() {
    let mut mirror = Mirror::default();
    mirror.apply_snapshot(Table::Operators, vec![row("config", 4, Some("c"))], 9);
    assert_eq!(mirror.complete_version(Table::Operators), Some(9));
    mirror.reset_sync(Table::Operators);
    assert_eq!(mirror.complete_version(Table::Operators), None);
}

#[test]
fn rows_from_other_instances_advance_the_complete_version() {
    let mut mirror = Mirror::default();
    mirror.apply_snapshot(Table::Operators, Vec::new(), 9);
    mirror.merge(vec![row("config", 12, Some("c"))]);
    assert_eq!(mirror.complete_version(Table::Operators), Some(12));
}

#[test]
fn rows_since_returns_only_newer_rows_of_each_table() {
    let mut mirror = Mirror::default();
    mirror.merge(vec![row("a", 1, Some("")), row("b", 2, Some(""))]);
    let other = Row {
        table: Table::Upstreams,
        ..row("u", 1, Some(""))
    };
    mirror.merge(vec![other.clone()]);
    let rows = mirror.rows_since(&[(Table::Operators, 1), (Table::Upstreams, 0)]);
    assert_eq!(rows, [other, row("b", 2, Some(""))]);
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
                mirror.merge(vec![row(&key.to_string(), *version, value)]);
            }
            content(&mirror)
        };
        assert_eq!(build(&a), build(&b));
    }
}
