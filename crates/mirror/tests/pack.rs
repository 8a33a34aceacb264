//! Large rows on their way between replicas.

use mirror::Batch;
use mirror::Effect;
use mirror::Era;
use mirror::Mirror;
use mirror::Row;
use mirror::Table;
use mirror::pack::Error;
use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

const KEY: &str = "config";
/// The link of an instance, in bytes per second.
const LINK_RATE: usize = 10_000_000 / 8;
/// Most instances that ask one reader or relay.
const FOLLOWERS: usize = 32;

/// A configuration like those of the platform, with `routes` routes and names of the seed.
fn configuration(version: u64, routes: usize, seed: u64) -> Vec<u8> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut name = |length: usize| -> String {
        let letters = (0..length).map(|_| char::from(rng.random_range(b'a'..=b'z')));
        letters.collect()
    };
    let routes: Vec<String> = (0..routes)
        .map(|_| {
            format!(
                "{{\"name\":\"r-{}\",\"host\":\"{}.example\",\"prefix\":\"/{}/{}/\",\
                \"type\":\"idempotent\",\"timeout_ms\":800,\"goal_ms\":150,\"priority\":2,\
                \"service\":\"huvo11a\",\"attempts\":2,\"public\":false,\"sticky\":false}}",
                name(7),
                name(5),
                name(7),
                name(4)
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}]}}",
        routes.join(",")
    )
    .into_bytes()
}

fn write(mirror: &mut Mirror, version: u64, value: &[u8]) {
    let row = Row {
        table: Table::Operators,
        key: KEY.to_owned(),
        version,
        value: Some(value.to_vec()),
    };
    let batch = Batch {
        era: Era::default(),
        rows: vec![row],
        version,
    };
    mirror.apply_changes(Table::Operators, batch);
}

/// Brings a replica up to date from another one; returns the bytes of the packed rows.
fn follow(source: &mut Mirror, replica: &mut Mirror) -> Result<usize, Error> {
    let positions = replica.positions();
    let held = replica.held();
    let mut updates = source.updates_since(&positions);
    assert_eq!(source.has_updates_since(&positions), !updates.is_empty());
    let (packed, errors) = source.pack(&mut updates, &positions, &held);
    assert_eq!(errors, []);
    let bytes = packed.iter().map(|it| it.bytes.len()).sum();
    replica.unpack(&mut updates, packed)?;
    for update in updates {
        assert_ne!(replica.merge(update), Effect::OtherEra);
    }
    assert!(!source.has_updates_since(&replica.positions()));
    Ok(bytes)
}

/// Guards against a large configuration that takes the link of a reader or relay longer than the bound
/// leaves, for all of its followers together.
#[test]
fn a_large_configuration_fits_the_links() {
    let (mut source, mut replica) = (Mirror::default(), Mirror::default());
    write(&mut source, 1, &configuration(1, 1_400, 1));
    let whole = follow(&mut source, &mut replica).expect("rows");
    let value = configuration(2, 1_401, 1);
    write(&mut source, 2, &value);
    let change = follow(&mut source, &mut replica).expect("rows");
    println!(
        "{} bytes: {whole} whole, {change} for a change",
        value.len()
    );
    assert_eq!(replica.value(Table::Operators, KEY), Some(value.as_slice()));
    assert!(whole * FOLLOWERS <= LINK_RATE, "{whole} bytes");
    assert!(change * FOLLOWERS <= LINK_RATE / 10, "{change} bytes");
}

/// A replica that comes from another era may hold another value under the same version.
#[test]
fn values_of_another_era_are_no_base() {
    let (mut source, mut replica) = (Mirror::default(), Mirror::default());
    write(&mut source, 1, &configuration(1, 20, 1));
    write(&mut replica, 1, &configuration(1, 20, 2));
    let value = configuration(2, 20, 1);
    for version in 1..=2 {
        let row = Row {
            table: Table::Operators,
            key: KEY.to_owned(),
            version,
            value: Some(value.clone()),
        };
        let batch = Batch {
            era: Era(1),
            rows: vec![row],
            version,
        };
        source.apply_snapshot(Table::Operators, batch);
    }
    follow(&mut source, &mut replica).expect("rows");
    assert_eq!(replica.value(Table::Operators, KEY), Some(value.as_slice()));
}

/// Guards against former values that are kept for good of rows that are gone, as those of upstreams.
#[test]
fn former_values_of_a_row_that_is_gone_are_forgotten() {
    let mut source = Mirror::default();
    let mut replica = Mirror::default();
    write(&mut source, 1, &configuration(1, 20, 1));
    follow(&mut source, &mut replica).expect("rows");
    write(&mut source, 2, &configuration(2, 20, 1));
    let deletion = Row {
        table: Table::Operators,
        key: KEY.to_owned(),
        version: 3,
        value: None,
    };
    let batch = Batch {
        era: Era::default(),
        rows: vec![deletion],
        version: 3,
    };
    source.apply_changes(Table::Operators, batch);
    write(&mut source, 4, &configuration(4, 20, 1));
    let positions = replica.positions();
    let mut updates = source.updates_since(&positions);
    let (packed, _) = source.pack(&mut updates, &positions, &replica.held());
    let bases: Vec<Option<u64>> = packed.iter().map(|it| it.base).collect();
    assert_eq!(bases, [None]);
}

/// The base of an answer may have gone from the requester meanwhile; it is left unchanged then.
#[test]
fn a_row_without_its_base_is_refused() {
    let (mut source, mut replica) = (Mirror::default(), Mirror::default());
    write(&mut source, 1, &configuration(1, 20, 1));
    follow(&mut source, &mut replica).expect("rows");
    let positions = replica.positions();
    write(&mut source, 2, &configuration(2, 20, 1));
    let mut updates = source.updates_since(&positions);
    let (packed, _) = source.pack(&mut updates, &positions, &replica.held());
    let refused = Mirror::default().unpack(&mut updates, packed.clone());
    assert_eq!(refused, Err(Error::NoBase(1)));
    let refused = replica.unpack(&mut [], packed);
    assert_eq!(refused, Err(Error::NoUpdate(Table::Operators)));
}

proptest! {
    /// Replicas that follow now and then, from one that changes all the time, hold what it holds.
    #[test]
    fn replicas_that_skip_versions_hold_the_newest(
        sizes in prop::collection::vec(0..60_usize, 1..40),
        follows in prop::collection::vec(0..4_usize, 40),
    ) {
        let mut source = Mirror::default();
        let mut replicas = vec![Mirror::default(); 3];
        for (idx, size) in sizes.iter().enumerate() {
            let version = idx as u64 + 1;
            let value = configuration(version, *size, *size as u64);
            write(&mut source, version, &value);
            if let Some(replica) = replicas.get_mut(follows[idx]) {
                follow(&mut source, replica).expect("rows");
                prop_assert_eq!(replica.value(Table::Operators, KEY), Some(value.as_slice()));
            }
        }
    }
}
