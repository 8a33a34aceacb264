//! The platform's metadata store: rows in tables with one counter of versions, transactions, reads
//! and feeds.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Handler;
use crate::http::Request;
use crate::json;
use crate::json::Json;

/// Time that an answer takes, as in the users' deployments.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone, Debug)]
struct Row {
    /// In base64; `None` once deleted.
    value: Option<String>,
    version: u64,
}

/// The rows at one moment.
#[derive(Clone, Debug, Default)]
pub struct Copy {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
}

#[derive(Debug)]
struct State {
    data: Copy,
    /// Value of `Store-Era`.
    era: u64,
    is_away: bool,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    calls: AtomicU64,
}

impl Store {
    pub fn new() -> Store {
        Store {
            state: Mutex::new(State {
                data: Copy::default(),
                era: 1,
                is_away: false,
            }),
            changed: Condvar::new(),
            calls: AtomicU64::new(0),
        }
    }

    /// Number of calls that were answered.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Writes a row; returns its version, or `None` while the store is away.
    pub fn put(&self, table: &str, key: &str, value: &str) -> Option<u64> {
        self.write(table, key, Some(json::base64(value.as_bytes())))
    }

    /// Deletes a row; returns the version of that, or `None` while the store is away.
    pub fn delete(&self, table: &str, key: &str) -> Option<u64> {
        self.write(table, key, None)
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) -> Option<u64> {
        let mut state = self.lock();
        if state.is_away {
            return None;
        }
        state.data.version += 1;
        let version = state.data.version;
        let row_key = (table.to_owned(), key.to_owned());
        state.data.rows.insert(row_key, Row { value, version });
        drop(state);
        self.changed.notify_all();
        Some(version)
    }

    /// A copy of all rows.
    pub fn copy(&self) -> Copy {
        self.lock().data.clone()
    }

    /// Makes the store unavailable: it refuses each call with 503, and has done nothing.
    pub fn go_away(&self) {
        self.lock().is_away = true;
        self.changed.notify_all();
    }

    /// Ends that, with the rows of `copy` if there is one. The era then rises by one.
    pub fn come_back(&self, copy: Option<Copy>) {
        let mut state = self.lock();
        state.is_away = false;
        if let Some(copy) = copy {
            state.data = copy;
            state.era += 1;
        }
        drop(state);
        self.changed.notify_all();
    }

    pub fn version(&self) -> u64 {
        self.lock().data.version
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|err| err.into_inner())
    }

    fn respond(&self, request: &Request) -> (u16, String) {
        if self.lock().is_away {
            return (503, String::new());
        }
        match request.path.as_str() {
            "/api/rows-tx" => self.transact(&request.body),
            "/api/rows-get" => self.get(request),
            "/api/rows-feed" => self.feed(request),
            _ => (404, String::new()),
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(call) = Json::parse(&String::from_utf8_lossy(body)) else {
            return (400, String::new());
        };
        let row_key = |it: &Json| {
            (
                it.get("table").text().to_owned(),
                it.get("key").text().to_owned(),
            )
        };
        let writes = call.get("puts").list().iter();
        let mut writes = writes.chain(call.get("remove").list());
        if writes.any(|it| ["op", "servers"].contains(&it.get("table").text())) {
            return (403, String::new());
        }
        let mut state = self.lock();
        let holds = |it: &Json| {
            let row = state.data.rows.get(&row_key(it));
            let row = row.filter(|it| it.value.is_some());
            row.map_or(0, |it| it.version) == it.get("schema_ver").number()
        };
        if !call.get("expected").list().iter().all(holds) {
            let rows = call.get("expected").list().iter().map(row_key);
            let rows = rows.filter_map(|it| state.data.rows.get(&it).map(|row| encode(&it, row)));
            let rows: Vec<String> = rows.collect();
            return (412, format!("{{\"rows\":[{}]}}", rows.join(",")));
        }
        state.data.version += 1;
        let version = state.data.version;
        for row in call.get("puts").list() {
            let value = Some(row.get("value").text().to_owned());
            state.data.rows.insert(row_key(row), Row { value, version });
        }
        for row in call.get("remove").list() {
            let value = None;
            state.data.rows.insert(row_key(row), Row { value, version });
        }
        drop(state);
        self.changed.notify_all();
        (200, format!("{{\"schema_ver\":{version},\"now_ms\":0}}"))
    }

    fn get(&self, request: &Request) -> (u16, String) {
        let state = self.lock();
        let (from, to) = (request.parameter("from"), request.parameter("to"));
        let limit = request.parameter("limit").parse().unwrap_or(500).min(500);
        let rows = state.data.rows.iter().filter(|(row_key, row)| {
            row_key.0 == request.parameter("table")
                && request.parameter("part").is_empty()
                && row_key.1.as_str() >= from
                && (to.is_empty() || row_key.1.as_str() < to)
                && row.value.is_some()
        });
        let rows: Vec<String> = rows.map(|it| encode(it.0, it.1)).collect();
        let has_more = rows.len() > limit;
        let rows = rows[..rows.len().min(limit)].join(",");
        let version = state.data.version;
        let body = format!(
            "{{\"rows\":[{rows}],\"has_more\":{has_more},\"schema_ver\":{version},\"now_ms\":0}}"
        );
        (200, body)
    }

    fn feed(&self, request: &Request) -> (u16, String) {
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait: u64 = request.parameter("wait_ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.lock();
        loop {
            if state.is_away {
                return (503, String::new());
            }
            // A version that the store doesn't have, as it came back from an older copy.
            if after > state.data.version {
                return (410, String::new());
            }
            let rows = state.data.rows.iter();
            let rows =
                rows.filter(|it| it.0.0 == request.parameter("table") && it.1.version > after);
            let mut rows: Vec<_> = rows.collect();
            rows.sort_by_key(|it| it.1.version);
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let rows: Vec<String> = rows.iter().map(|it| encode(it.0, it.1)).collect();
                let (rows, version) = (rows.join(","), state.data.version);
                let body = format!("{{\"rows\":[{rows}],\"schema_ver\":{version},\"now_ms\":0}}");
                return (200, body);
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(|err| err.into_inner()).0;
        }
    }
}

impl Handler for Store {
    fn handle(&self, request: &Request, stream: &mut TcpStream) -> bool {
        std::thread::sleep(ANSWER_TIME);
        let (status, body) = self.respond(request);
        self.calls.fetch_add(1, Ordering::Relaxed);
        let era = self.lock().era.to_string();
        let headers = [("Content-Type", "application/json"), ("Store-Era", &era)];
        let answer = http::answer(status, &headers, body.as_bytes());
        stream.write_all(&answer).is_ok()
    }
}

fn encode((table, key): &(String, String), row: &Row) -> String {
    let value = row.value.as_deref().map_or("null".to_owned(), json::quote);
    format!(
        "{{\"table\":{},\"part\":\"\",\"key\":{},\"value\":{value},\"schema_ver\":{},\
         \"deleted\":{}}}",
        json::quote(table),
        json::quote(key),
        row.version,
        row.value.is_none()
    )
}
