//! The platform's store: rows, transactions and feeds, as `PROTOCOL.md` tells them.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Request;
use crate::json::Json;
use crate::json::base64;
use crate::json::quote;

/// Most rows of a response.
const ROWS_MAX: usize = 500;

/// Table, part and key.
type Place = (String, String, String);

#[derive(Default)]
struct State {
    /// Values in base64, `None` once deleted, with the version of the last change.
    rows: BTreeMap<Place, (u64, Option<String>)>,
    version: u64,
}

impl State {
    fn write(&mut self, changes: Vec<(Place, Option<String>)>) -> u64 {
        self.version += 1;
        for (place, value) in changes {
            self.rows.insert(place, (self.version, value));
        }
        self.version
    }

    fn current(&self, place: &Place) -> Option<(u64, &str)> {
        let (version, value) = self.rows.get(place)?;
        Some((*version, value.as_deref()?))
    }
}

/// An address of a store at which it may turn callers away.
#[derive(Default)]
pub struct Gate {
    is_closed: AtomicBool,
}

impl Gate {
    fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Relaxed)
    }
}

/// A running store.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started_at: Instant,
}

impl Store {
    /// A store that listens nowhere.
    pub fn new() -> Arc<Store> {
        Arc::new(Store {
            state: Mutex::default(),
            changed: Condvar::new(),
            started_at: Instant::now(),
        })
    }

    /// Serves the store on `address`.
    pub fn listen(self: &Arc<Store>, address: SocketAddr) -> std::io::Result<Arc<Gate>> {
        let listener = TcpListener::bind(address)?;
        let gate = Arc::new(Gate::default());
        let (store, served) = (self.clone(), gate.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, gate) = (store.clone(), served.clone());
                std::thread::spawn(move || store.serve(stream, &gate));
            }
        });
        Ok(gate)
    }

    /// Turns the callers at a gate away with 503, those that wait as well, or serves them again.
    pub fn set_closed(&self, gate: &Gate, is_closed: bool) {
        gate.is_closed.store(is_closed, Ordering::Relaxed);
        drop(self.lock());
        self.changed.notify_all();
    }

    /// Writes a row of the unnamed part; this is the acknowledgement.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let value = base64(value.as_bytes());
        self.change(table, key, Some(value));
    }

    /// Removes a row of the unnamed part.
    pub fn remove(&self, table: &str, key: &str) {
        self.change(table, key, None);
    }

    fn change(&self, table: &str, key: &str, value: Option<String>) {
        let place = (table.to_owned(), String::new(), key.to_owned());
        self.lock().write(vec![(place, value)]);
        self.changed.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, mut stream: TcpStream, gate: &Gate) {
        // Without it, answers are merely later.
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = http::read_request(&mut stream, &mut buffer) {
            let (status, body) = match request.path() {
                _ if gate.is_closed() => (503, String::from("{}")),
                "/api/rows-tx" => self.transact(&request),
                "/api/rows-get" => self.get(&request),
                "/api/rows-feed" => self.feed(&request, gate),
                "/api/rows-parts" => (200, self.parts(&request)),
                _ => (404, String::from("{}")),
            };
            let headers = [("Content-Type", "application/json")];
            let response = http::response(status, &headers, body.as_bytes());
            if stream.write_all(&response).is_err() {
                return;
            }
        }
    }

    fn now_ms(&self) -> u128 {
        self.started_at.elapsed().as_millis()
    }

    fn transact(&self, request: &Request) -> (u16, String) {
        let body = String::from_utf8_lossy(&request.body);
        let Some(call) = Json::parse(&body) else {
            return (400, String::from("{}"));
        };
        let place = |it: &Json| {
            (
                it.text("table").to_owned(),
                it.text("part").to_owned(),
                it.text("key").to_owned(),
            )
        };
        let puts = call.list("puts").iter();
        let puts = puts.map(|it| (place(it), Some(it.text("value").to_owned())));
        let removes = call.list("remove").iter().map(|it| (place(it), None));
        let changes: Vec<(Place, Option<String>)> = puts.chain(removes).collect();
        let is_reserved = |it: &Place| it.0 == "op" || it.0 == "servers";
        if changes.iter().any(|it| is_reserved(&it.0)) {
            return (403, String::from("{}"));
        }
        let mut state = self.lock();
        let expected = call.list("expected");
        let holds = |it: &Json| {
            let version = state.current(&place(it)).map_or(0, |it| it.0);
            version == it.number("schema_ver").unwrap_or(0.0) as u64
        };
        if !expected.iter().all(holds) {
            let rows = expected.iter().map(place);
            let rows = rows.filter_map(|it| Some(row_text(&it, state.rows.get(&it)?)));
            let rows: Vec<String> = rows.collect();
            let (rows, version) = (rows.join(","), state.version);
            let now = self.now_ms();
            let body = format!("{{\"rows\":[{rows}],\"schema_ver\":{version},\"now_ms\":{now}}}");
            return (412, body);
        }
        let version = state.write(changes);
        drop(state);
        self.changed.notify_all();
        let now = self.now_ms();
        (
            200,
            format!("{{\"schema_ver\":{version},\"now_ms\":{now}}}"),
        )
    }

    fn get(&self, request: &Request) -> (u16, String) {
        let (table, part) = (request.parameter("table"), request.parameter("part"));
        let (from, to) = (request.parameter("from"), request.parameter("to"));
        let limit: usize = request.parameter("limit").parse().unwrap_or(ROWS_MAX);
        let limit = limit.min(ROWS_MAX);
        let state = self.lock();
        let rows = state.rows.iter().filter(|(place, row)| {
            let is_in_range = place.2 >= from && (to.is_empty() || place.2 < to);
            place.0 == table && place.1 == part && is_in_range && row.1.is_some()
        });
        let rows: Vec<String> = rows.map(|(place, row)| row_text(place, row)).collect();
        let has_more = rows.len() > limit;
        let shown = rows[..rows.len().min(limit)].join(",");
        let (version, now) = (state.version, self.now_ms());
        let body = format!(
            "{{\"rows\":[{shown}],\"has_more\":{has_more},\"schema_ver\":{version},\"now_ms\":{now}}}"
        );
        (200, body)
    }

    fn feed(&self, request: &Request, gate: &Gate) -> (u16, String) {
        let table = request.parameter("table");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait: u64 = request.parameter("wait_ms").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.lock();
        loop {
            if gate.is_closed() {
                return (503, String::from("{}"));
            }
            let rows = state.rows.iter();
            let rows = rows.filter(|(place, row)| place.0 == table && row.0 > after);
            let mut rows: Vec<_> = rows.collect();
            rows.sort_by_key(|it| it.1.0);
            let left = deadline.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let rows: Vec<String> = rows.iter().map(|it| row_text(it.0, it.1)).collect();
                let (rows, version) = (rows.join(","), state.version);
                let now = self.now_ms();
                let body =
                    format!("{{\"rows\":[{rows}],\"schema_ver\":{version},\"now_ms\":{now}}}");
                return (200, body);
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn parts(&self, request: &Request) -> String {
        let (table, after) = (request.parameter("table"), request.parameter("after"));
        let state = self.lock();
        let places = state
            .rows
            .iter()
            .filter(|it| it.1.1.is_some())
            .map(|it| it.0);
        let mut parts: Vec<String> = places
            .filter(|it| it.0 == table && it.1 > after)
            .map(|it| quote(&it.1))
            .collect();
        parts.dedup();
        let (parts, version) = (parts.join(","), state.version);
        let now = self.now_ms();
        format!(
            "{{\"parts\":[{parts}],\"has_more\":false,\"schema_ver\":{version},\"now_ms\":{now}}}"
        )
    }
}

fn row_text(place: &Place, row: &(u64, Option<String>)) -> String {
    let (table, part, key) = (quote(&place.0), quote(&place.1), quote(&place.2));
    let version = row.0;
    let rest = match &row.1 {
        Some(value) => format!("\"value\":{}", quote(value)),
        None => String::from("\"deleted\":true"),
    };
    format!("{{\"table\":{table},\"part\":{part},\"key\":{key},\"schema_ver\":{version},{rest}}}")
}
