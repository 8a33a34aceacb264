//! The view that is built from rows of any content: a row that cannot be decoded costs only itself.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use base::id;
use mirror::Batch;
use mirror::Effect;
use mirror::Era;
use mirror::Mirror;
use mirror::Row;
use mirror::Table;
use mirror::Update;
use mirror::succession::Origin;
use node::view_tracker::Change;
use node::view_tracker::ViewTracker;
use platform::rows;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prelude::prop_oneof;
use proptest::proptest;
use tokio::time::Instant;

/// Longest line of the log that a row may cause, in characters.
const LOGGED_CHARS_MAX: usize = 400;
/// Time by which the clock must still be able to advance.
const CLOCK_MARGIN: Duration = Duration::from_secs(365 * 24 * 3_600);

/// Value of a row.
#[derive(Clone, Debug)]
enum Value {
    Valid(u32),
    Odd(Vec<u8>),
    Deleted,
}

fn numbers() -> impl Strategy<Value = String> {
    let listed = [
        "0",
        "-1",
        "1e18",
        "1e22",
        "1e300",
        "1e999",
        "-1e300",
        "4294967295",
        "4294967296",
        "18446744073709551615",
        "18446744073709551616",
        "null",
        "true",
        "[]",
        "{}",
        "\"x\"",
    ];
    prop_oneof![
        prop::sample::select(listed.to_vec()).prop_map(str::to_owned),
        any::<f64>().prop_map(|it| it.to_string()),
        any::<u64>().prop_map(|it| it.to_string()),
        (1_usize..100_000).prop_map(|depth| "[".repeat(depth) + &"]".repeat(depth)),
    ]
}

fn odd_values() -> impl Strategy<Value = Vec<u8>> {
    let valid = registration(4).len();
    prop_oneof![
        prop::collection::vec(any::<u8>(), 0..64),
        (0..valid - 1).prop_map(|length| registration(4)[..length].to_vec()),
        (1_usize..100_000).prop_map(|length| vec![b'{'; length]),
        prop::sample::select(vec![
            "address",
            "slots",
            "phase",
            "born",
            "service",
            "zone",
            "version",
            "cold_left_ms",
            "call_seq",
        ])
        .prop_map(|it| {
            let text = String::from_utf8_lossy(&registration(4)).into_owned();
            text.replace(it, "other").into_bytes()
        })
        .prop_filter("a start time is optional", |it| {
            rows::decode_upstream("u", 1, it).is_err()
        }),
        (1_usize..100_000).prop_map(|length| {
            let text = String::from_utf8_lossy(&registration(4)).into_owned();
            text.replace("ready", &"p".repeat(length)).into_bytes()
        }),
    ]
}

fn registration(slots: u32) -> Vec<u8> {
    let text = format!(
        "{{\"service\":\"s\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\",\"slots\":{slots},\
         \"phase\":\"ready\",\"born\":1,\"version\":\"v1\",\"cold_left_ms\":0,\
         \"call_seq\":1}}"
    );
    text.into_bytes()
}

fn configuration(version: u64, number: &str) -> Vec<u8> {
    let text = format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r\",\"host\":\"h\",\"prefix\":\"/\",\
         \"type\":\"stream\",\"timeout_ms\":{number},\"goal_ms\":{number},\"service\":\"s\",\
         \"stages\":[{{\"service\":\"s\",\"after\":[0,1],\"length\":{number}}}]}}],\"services\":\
         [{{\"name\":\"s\",\"cold_per_s\":{number},\"segments\":{{\"slots\":1,\"batch\":8,\
         \"call_ms\":{number},\"item_ms\":{number},\"headroom_mb\":{number},\
         \"handle_s\":{number}}}}}]}}"
    );
    text.into_bytes()
}

fn values() -> impl Strategy<Value = Value> {
    prop_oneof![
        2 => (1_u32..100).prop_map(Value::Valid),
        3 => odd_values().prop_map(Value::Odd),
        1 => proptest::strategy::Just(Value::Deleted),
    ]
}

fn config() -> proptest::test_runner::Config {
    proptest::test_runner::Config {
        rng_seed: proptest::test_runner::RngSeed::Fixed(34),
        cases: 256,
        max_shrink_iters: 200,
        failure_persistence: None,
        ..proptest::test_runner::Config::default()
    }
}

/// Rows as they are read, and what the view must hold after them.
#[derive(Default)]
struct Model {
    mirror: Mirror,
    tracker: ViewTracker,
    version: u64,
    slots: BTreeMap<id::Upstream, u32>,
    unreadable: BTreeSet<String>,
}

impl Model {
    /// Reads a row, twice as from two sources.
    fn read(&mut self, key: &str, value: Option<Vec<u8>>, now: Instant) -> Vec<Change> {
        self.version += 1;
        let row = Row {
            table: Table::Upstreams,
            key: key.to_owned(),
            version: self.version,
            value,
        };
        let table = Table::Upstreams;
        let era = Era::default();
        let batch = Batch {
            era,
            rows: vec![row.clone()],
            version: self.version,
        };
        let update = Update {
            table,
            era,
            version: self.version,
            is_full: false,
            rows: vec![row],
        };
        let mut changes = Vec::new();
        for effect in [
            self.mirror.apply_changes(table, batch),
            self.mirror.merge(update),
        ] {
            let Effect::Merged(changed_rows) = effect else {
                panic!("{effect:?}");
            };
            changes.extend(self.tracker.apply(&changed_rows, Origin::default(), now));
        }
        changes
    }

    fn check(&mut self, key: usize, value: Value, now: Instant) {
        let name = format!("u{key}");
        let upstream: id::Upstream = name.parse().expect("a name");
        let (bytes, is_odd) = match value {
            Value::Valid(slots) => {
                self.slots.insert(upstream, slots);
                (Some(registration(slots)), false)
            }
            Value::Odd(bytes) => {
                self.slots.remove(&upstream);
                (Some(bytes), true)
            }
            Value::Deleted => {
                self.slots.remove(&upstream);
                (None, false)
            }
        };
        let changes = self.read(&name, bytes, now);
        let reasons = changes.iter().filter_map(|it| match it {
            Change::Unreadable(reason) => Some(reason),
            _ => None,
        });
        let reasons: Vec<&String> = reasons.collect();
        let is_new = match is_odd {
            true => self.unreadable.insert(name),
            false => {
                self.unreadable.remove(&name);
                false
            }
        };
        assert_eq!(reasons.len(), usize::from(is_new), "{reasons:?}");
        assert!(
            reasons
                .iter()
                .all(|it| it.chars().count() <= LOGGED_CHARS_MAX)
        );
        let view = self.tracker.view();
        let slots = view.upstreams.iter().map(|it| (it.0.clone(), it.1.slots));
        assert_eq!(slots.collect::<BTreeMap<_, _>>(), self.slots);
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against rows that undo others, that stay after they were replaced, and that are logged
    /// on each read or at full length.
    #[test]
    fn an_odd_registration_costs_only_itself(
        values in prop::collection::vec((0_usize..4, values()), 1..40),
    ) {
        let now = Instant::now();
        let mut model = Model::default();
        model.tracker.set_age(Some(Duration::ZERO), now);
        for (key, value) in values {
            model.check(key, value, now);
        }
    }

    /// Guards against numbers that overflow a time when they are used, and against an odd
    /// configuration that undoes the last good one.
    #[test]
    fn an_odd_configuration_is_bounded_or_ignored(number in numbers(), length in 0_usize..600) {
        let now = Instant::now();
        let mut tracker = ViewTracker::default();
        let mut read = |version: u64, value: Vec<u8>| {
            let (table, key) = (Table::Operators, "config".to_owned());
            let row = Row { table, key, version, value: Some(value) };
            tracker.apply(&[row], Origin::default(), now);
            tracker.view().catalog.clone()
        };
        let first = read(1, configuration(1, "100"));
        let value = configuration(2, &number);
        let cut = value[..length.min(value.len() - 1)].to_vec();
        assert_eq!(read(2, cut).map(|it| it.version), first.map(|it| it.version));
        let catalog = read(3, value).expect("a configuration");
        let route = catalog.route("h", "/1").expect("a route");
        let limits = catalog.services.values().filter_map(|it| it.batch_limits);
        let times = limits.flat_map(|it| {
            [it.call_overhead, it.result_ttl, it.piece_time.saturating_mul(it.batch_max as u32)]
        });
        for time in times.chain([route.timeout, route.goal]) {
            assert!(time < CLOCK_MARGIN, "{time:?}");
        }
        assert!(route.steps.iter().all(|it| it.after.is_empty()));
        let last = read(4, configuration(9, "100"));
        assert_eq!(last.map(|it| it.version), Some(9));
    }

    /// Guards against decoders that panic.
    #[test]
    fn any_value_is_decoded_or_refused(value in odd_values(), number in numbers()) {
        let incarnation: id::Incarnation = "i@1".parse().expect("an incarnation");
        let loss = format!(
            "{{\"depth\":{number},\"evidence\":\"unreachable\",\"is_batched\":false}}"
        );
        let member = format!(
            "{{\"zone\":\"z\",\"address\":\"127.0.0.1:1\",\"cpu_share\":{number},\
             \"incarnation\":1}}"
        );
        let instance: id::Instance = "n".parse().expect("a name");
        for bytes in [value, loss.into_bytes(), member.into_bytes()] {
            let _ = rows::decode_loss(id::Fingerprint(1), incarnation.clone(), &bytes);
            let _ = rows::decode_upstream("u", 1, &bytes);
            let _ = rows::decode_config(&bytes);
            let _ = rows::decode_member(instance.clone(), &bytes);
        }
    }
}
