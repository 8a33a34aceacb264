//! Simulation of 1 to 350 replicas of a store that comes back from older copies: once all reach one
//! another, all hold the store's rows.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use base::id;
use mirror::Batch;
use mirror::Effect;
use mirror::Era;
use mirror::Mirror;
use mirror::Row;
use mirror::Table;
use mirror::Update;
use mirror::tree;
use mirror::tree::Role;
use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop_oneof;
use proptest::proptest;

/// Largest deployment that the users plan, in instances.
const MEMBERS_MAX: usize = 350;
const TABLE: Table = Table::Operators;
const KEYS: u8 = 6;
/// Rounds without faults after which all replicas must agree: one for each level of the tree, and
/// one more for a table that has to be read in full.
const ROUNDS_TO_AGREE: usize = 4;

/// What happens in a round.
#[derive(Clone, Debug)]
enum Event {
    /// A row is written, or deleted.
    Write(u8, bool),
    /// The store is copied.
    Copy,
    /// The store comes back from the last copy; its writers write this many of the lost rows again.
    Return(u8),
    /// These instances reach neither the store nor others for a round.
    Cut(u64),
    /// These instances lose all they know.
    Restart(u64),
    /// These responses of the last rounds arrive once more.
    Late(u64),
}

fn events() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..KEYS, any::<bool>()).prop_map(|it| Event::Write(it.0, it.1)),
        1 => proptest::strategy::Just(Event::Copy),
        2 => (0_u8..4).prop_map(Event::Return),
        1 => any::<u64>().prop_map(Event::Cut),
        1 => any::<u64>().prop_map(Event::Restart),
        3 => any::<u64>().prop_map(Event::Late),
    ]
}

#[derive(Clone, Default)]
struct Store {
    rows: BTreeMap<String, (u64, Option<Vec<u8>>)>,
    version: u64,
    era: Era,
    writes: u64,
}

impl Store {
    fn write(&mut self, key: &str, value: Option<Vec<u8>>) {
        self.version += 1;
        self.rows.insert(key.to_owned(), (self.version, value));
    }

    fn rows_after(&self, version: u64, with_deleted: bool) -> Vec<Row> {
        let rows = self.rows.iter();
        let rows = rows.filter(|(_, row)| row.0 > version && (with_deleted || row.1.is_some()));
        let rows = rows.map(|(key, (version, value))| Row {
            table: TABLE,
            key: key.clone(),
            version: *version,
            value: value.clone(),
        });
        rows.collect()
    }

    fn batch(&self, rows: Vec<Row>) -> Batch {
        Batch {
            era: self.era,
            rows,
            version: self.version,
        }
    }

    fn live_rows(&self) -> BTreeMap<String, Vec<u8>> {
        let live = self.rows.iter();
        let live = live.filter_map(|(key, row)| Some((key.clone(), row.1.clone()?)));
        live.collect()
    }
}

/// A response that arrives late.
#[derive(Clone)]
enum Response {
    Feed(Batch),
    Snapshot(Batch),
    Updates(Vec<Update>),
}

struct Simulation {
    store: Store,
    copy: Store,
    order: Vec<id::Instance>,
    mirrors: Vec<Mirror>,
    /// Starts of the process of each instance.
    starts: Vec<u32>,
    /// Responses, with the instance that asked and the start of its process.
    sent: VecDeque<(usize, u32, Response)>,
}

impl Simulation {
    fn new(count: usize) -> Simulation {
        let names = (0..count).map(|it| format!("n{it}").parse().expect("a name"));
        let mut store = Store {
            era: Era(1),
            ..Store::default()
        };
        store.write("0", Some(b"first".to_vec()));
        Simulation {
            copy: store.clone(),
            store,
            order: names.collect(),
            mirrors: vec![Mirror::default(); count],
            starts: vec![0; count],
            sent: VecDeque::new(),
        }
    }

    fn apply(&mut self, event: &Event) -> u64 {
        match event {
            Event::Write(key, is_live) => {
                self.store.writes += 1;
                let value = is_live.then(|| self.store.writes.to_string().into_bytes());
                self.store.write(&key.to_string(), value);
            }
            Event::Copy => self.copy = self.store.clone(),
            Event::Return(rewritten) => {
                let lost = std::mem::replace(&mut self.store, self.copy.clone());
                self.store.era = Era(lost.era.0 + 1);
                self.store.writes = lost.writes;
                let rows = lost.rows.into_iter();
                let rows = rows.filter(|(_, row)| row.0 > self.copy.version);
                let rows: Vec<_> = rows.take((*rewritten).into()).collect();
                for (key, (_, value)) in rows {
                    self.store.write(&key, value);
                }
            }
            Event::Cut(cut) => return *cut,
            Event::Restart(restarted) => {
                for (idx, mirror) in self.mirrors.iter_mut().enumerate() {
                    if is_in(*restarted, idx) {
                        *mirror = Mirror::default();
                        self.starts[idx] += 1;
                    }
                }
            }
            Event::Late(late) => {
                let sent = self.sent.clone().into_iter().enumerate();
                for (_, (idx, start, response)) in sent.filter(|it| is_in(*late, it.0)) {
                    if self.starts[idx] == start {
                        self.receive(idx, response);
                    }
                }
            }
        }
        0
    }

    fn receive(&mut self, idx: usize, response: Response) -> bool {
        let mirror = &mut self.mirrors[idx];
        let era = mirror.era(TABLE);
        let is_used = match response {
            Response::Feed(batch) => mirror.apply_changes(TABLE, batch) != Effect::OtherEra,
            Response::Snapshot(batch) => mirror.apply_snapshot(TABLE, batch) != Effect::OtherEra,
            Response::Updates(updates) => {
                for update in updates {
                    mirror.merge(update);
                }
                true
            }
        };
        assert!(mirror.era(TABLE) >= era, "instance {idx} goes back");
        is_used
    }

    /// All instances that are not cut off ask once: readers the store, others the one above them.
    fn round(&mut self, cut: u64) {
        for idx in 0..self.order.len() {
            if is_in(cut, idx) {
                continue;
            }
            let own = self.order[idx].clone();
            let sources = tree::sources(self.order.clone(), &own);
            let source = sources.iter().find_map(|source| {
                let position = self.order.iter().position(|it| it == source);
                position.filter(|it| !is_in(cut, *it))
            });
            let from_peer = source.map(|source| {
                let positions = self.mirrors[idx].positions();
                Response::Updates(self.mirrors[source].updates_since(&positions))
            });
            let response = match (tree::role(&self.order, &own), from_peer) {
                (Role::Reader, from_peer) => {
                    // Readers ask others too, and may get those responses later.
                    self.record_sent(idx, from_peer);
                    self.ask_store(idx)
                }
                (Role::Relay | Role::Follower, Some(response)) => response,
                (Role::Relay | Role::Follower, None) => continue,
            };
            self.record_sent(idx, Some(response.clone()));
            if !self.receive(idx, response) {
                let response = self.ask_store(idx);
                self.receive(idx, response);
            }
        }
    }

    fn record_sent(&mut self, idx: usize, response: Option<Response>) {
        let sent = response.map(|it| (idx, self.starts[idx], it));
        self.sent.extend(sent);
        if self.sent.len() > 3 * self.order.len() {
            self.sent.pop_front();
        }
    }

    fn ask_store(&self, idx: usize) -> Response {
        let store = &self.store;
        match self.mirrors[idx].complete_version(TABLE) {
            // The store does not have later versions, and says so.
            Some(version) if version <= store.version => {
                Response::Feed(store.batch(store.rows_after(version, true)))
            }
            _ => Response::Snapshot(store.batch(store.rows_after(0, false))),
        }
    }

    fn check(&self) {
        let expected = self.store.live_rows();
        for (idx, mirror) in self.mirrors.iter().enumerate() {
            assert_eq!(mirror.era(TABLE), self.store.era, "instance {idx}");
            let rows = mirror.rows_since(&[]).into_iter();
            let rows = rows.filter_map(|it| Some((it.key, it.value?)));
            assert_eq!(rows.collect::<BTreeMap<_, _>>(), expected, "instance {idx}");
        }
    }
}

/// Whether a set of instances, as bits that repeat, has the one at `idx`.
fn is_in(set: u64, idx: usize) -> bool {
    set >> (idx % 61) & 1 == 1
}

proptest! {
    #![proptest_config(proptest::test_runner::Config {
        rng_seed: proptest::test_runner::RngSeed::Fixed(40),
        cases: 256,
        max_shrink_iters: 500,
        failure_persistence: None,
        ..proptest::test_runner::Config::default()
    })]

    /// Guards against replicas that hold rows of an earlier era, lack those of the present one, or
    /// hold other values under the same versions.
    #[test]
    fn all_replicas_agree_with_the_store_after_returns(
        count in prop_oneof![3 => 1..20_usize, 1 => 20..=MEMBERS_MAX],
        events in vec(events(), 1..40),
    ) {
        let mut simulation = Simulation::new(count);
        for event in &events {
            let cut = simulation.apply(event);
            simulation.round(cut);
        }
        for _ in 0..ROUNDS_TO_AGREE {
            simulation.round(0);
        }
        simulation.check();
    }
}
