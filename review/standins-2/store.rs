//! Stand-in for the platform's store: rows in tables, transactions, and a feed of changes.
//! Answers are linearizable; nothing that was acknowledged is lost.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Answer;
use crate::http::Request;
use crate::json::Json;
use crate::json::map;
use crate::json::num;
use crate::json::text;

/// Largest number of entries in a transaction.
const MAX_ENTRIES: usize = 100;

/// Largest number of rows in an answer to a read.
const MAX_ROWS: usize = 500;

/// Time that a transaction takes (`txMs` of the settings).
const TX_TIME: Duration = Duration::from_millis(8);

/// Time that an answer takes; the store is slow by a factor of this.
const ANSWER_TIME: Duration = Duration::from_millis(4);

type Id = (String, String, String);

#[derive(Clone)]
struct Row {
    /// Base64; `None` once the row was removed.
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<Id, Row>,
    /// Rows by table and version of the last change.
    changes: BTreeMap<(String, u64, Id), ()>,
    version: u64,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    start: Instant,
    pub addr: SocketAddr,
    /// Factor by which answers are slow.
    pub slow: AtomicU64,
}

impl Store {
    pub fn start(ip: &str) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            start: Instant::now(),
            addr: listener.local_addr()?,
            slow: AtomicU64::new(1),
        });
        let served = Arc::clone(&store);
        http::serve(listener, move |req| served.handle(&req));
        Ok(store)
    }

    /// Writes a row of the operator or of a minion.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let id = (table.to_string(), String::new(), key.to_string());
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        state.set(id, Some(base64(value.as_bytes())));
        self.changed.notify_all();
    }

    /// Returns the value of a row as text, if it exists.
    pub fn value(&self, table: &str, part: &str, key: &str) -> Option<String> {
        let id = (table.to_string(), part.to_string(), key.to_string());
        let state = self.state.lock().unwrap();
        let value = state.rows.get(&id)?.value.as_ref()?;
        String::from_utf8(unbase64(value)).ok()
    }

    fn handle(&self, req: &Request) -> Answer {
        std::thread::sleep(ANSWER_TIME * self.slow.load(Ordering::Relaxed) as u32);
        match (&*req.method, &*req.path) {
            ("POST", "/-/rows-tx") => Some(self.transact(&req.body)),
            ("GET", "/-/rows-get") => Some((200, self.read(req))),
            ("GET", "/-/rows-parts") => Some((200, self.parts(req))),
            ("GET", "/-/rows-feed") => Some((200, self.feed(req))),
            _ => Some((404, "{}".into())),
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(txn) = Json::parse(body) else {
            return (400, "{}".into());
        };
        let lists = ["expectedRev", "setKeys", "remove"].map(|name| txn.get(name).list());
        let entries = || lists.iter().flat_map(|list| list.iter());
        let parts: BTreeSet<&str> = entries().map(|row| row.get("part").text()).collect();
        if entries().count() > MAX_ENTRIES || parts.len() > 1 || body.len() > 1 << 20 {
            return (400, "{}".into());
        }
        let written = lists[1].iter().chain(lists[2]);
        if written
            .clone()
            .any(|row| matches!(row.get("table").text(), "op" | "servers"))
        {
            return (403, "{}".into());
        }
        std::thread::sleep(TX_TIME);
        let mut state = self.state.lock().unwrap();
        let holds = |row: &Json| {
            let current = state.rows.get(&id(row)).filter(|row| row.value.is_some());
            current.map_or(0, |row| row.version) == row.get("schemaVersion").int().unwrap_or(0)
        };
        if !lists[0].iter().all(holds) {
            let current = lists[0].iter().filter_map(|row| {
                let id = id(row);
                state.rows.get(&id).map(|row| row_json(&id, row))
            });
            let current = Json::List(current.collect());
            return (412, self.body(&state, [("rows", current)]));
        }
        state.version += 1;
        for row in lists[1] {
            state.set(id(row), Some(row.get("value").text().to_string()));
        }
        for row in lists[2] {
            state.set(id(row), None);
        }
        self.changed.notify_all();
        (200, self.body(&state, []))
    }

    fn read(&self, req: &Request) -> String {
        let state = self.state.lock().unwrap();
        let (table, part) = (
            req.param("table").to_string(),
            req.param("part").to_string(),
        );
        let (from, to) = (req.param("from"), req.param("to"));
        let limit = req.param("limit").parse().unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let first = (table.clone(), part.clone(), from.to_string());
        let rows = state.rows.range(first..);
        let rows = rows.take_while(|((t, p, k), _)| {
            *t == table && *p == part && (to.is_empty() || k.as_str() < to)
        });
        let mut rows = rows.filter(|(_, row)| row.value.is_some());
        let page: Vec<Json> = rows
            .by_ref()
            .take(limit)
            .map(|(id, row)| row_json(id, row))
            .collect();
        let more = rows.next().is_some();
        self.body(
            &state,
            [("rows", Json::List(page)), ("hasMore", Json::Bool(more))],
        )
    }

    fn parts(&self, req: &Request) -> String {
        let state = self.state.lock().unwrap();
        let table = req.param("table");
        let rows = state
            .rows
            .iter()
            .filter(|((t, _, _), row)| t == table && row.value.is_some());
        let parts: BTreeSet<&String> = rows.map(|((_, part, _), _)| part).collect();
        let after = req.param("after");
        let mut parts = parts
            .into_iter()
            .filter(|part| after.is_empty() || part.as_str() > after);
        let page = parts.by_ref().take(1_000).map(text).collect();
        let more = parts.next().is_some();
        self.body(
            &state,
            [("parts", Json::List(page)), ("hasMore", Json::Bool(more))],
        )
    }

    fn feed(&self, req: &Request) -> String {
        let after: u64 = req.param("after").parse().unwrap_or(0);
        let wait: u64 = req.param("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let table = req.param("table").to_string();
        let mut state = self.state.lock().unwrap();
        loop {
            let least = (String::new(), String::new(), String::new());
            let first = (table.clone(), after + 1, least);
            let changed = state
                .changes
                .range(first..)
                .take_while(|((t, _, _), ())| *t == table);
            let rows: Vec<Json> = changed
                .map(|((_, _, id), ())| row_json(id, &state.rows[id]))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return self.body(&state, [("rows", Json::List(rows))]);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn body<const N: usize>(&self, state: &State, fields: [(&str, Json); N]) -> String {
        let mut fields: Vec<(String, Json)> = fields
            .into_iter()
            .map(|(k, v)| (k.to_string(), v))
            .collect();
        fields.push(("schemaVersion".into(), num(state.version)));
        fields.push(("nowMs".into(), num(self.start.elapsed().as_millis() as u64)));
        Json::Map(fields).to_string()
    }
}

impl State {
    fn set(&mut self, id: Id, value: Option<String>) {
        if value.is_none() && !self.rows.contains_key(&id) {
            return;
        }
        let version = self.version;
        if let Some(old) = self.rows.insert(id.clone(), Row { value, version }) {
            self.changes
                .remove(&(id.0.clone(), old.version, id.clone()));
        }
        self.changes.insert((id.0.clone(), version, id), ());
    }
}

fn id(row: &Json) -> Id {
    let field = |name| row.get(name).text().to_string();
    (field("table"), field("part"), field("key"))
}

fn row_json(id: &Id, row: &Row) -> Json {
    let mut json = vec![
        ("table".to_string(), text(&id.0)),
        ("part".to_string(), text(&id.1)),
        ("key".to_string(), text(&id.2)),
        ("schemaVersion".to_string(), num(row.version)),
    ];
    match &row.value {
        Some(value) => json.push(("value".into(), text(value))),
        None => json.push(("deleted".into(), Json::Bool(true))),
    }
    Json::Map(json)
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let bits = (0..3).fold(0, |bits, i| {
            bits << 8 | u32::from(*chunk.get(i).unwrap_or(&0))
        });
        for i in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * i) & 63) as usize] as char;
            out.push(if i <= chunk.len() { digit } else { '=' });
        }
    }
    out
}

fn unbase64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut bits, mut count) = (0u32, 0);
    for byte in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|&d| d == byte) else {
            break;
        };
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count) as u8);
        }
    }
    out
}

/// Returns the JSON object of an entry of a minion.
#[allow(clippy::too_many_arguments)]
pub fn server_entry(
    service: &str,
    address: SocketAddr,
    zone: &str,
    state: &str,
    cpu: u64,
    mem: u64,
    rack: &str,
    machine: &str,
    born: u64,
    clock: u64,
    sequence: u64,
) -> Json {
    map([
        ("service", text(service)),
        ("address", text(address.to_string())),
        ("zone", text(zone)),
        ("version", text("v1")),
        ("slots", num(8)),
        ("state", text(state)),
        ("coldRemainingMs", num(0)),
        (
            "capacity",
            map([("cpu", num(cpu)), ("memMb", num(mem)), ("gpu", num(0))]),
        ),
        ("labels", Json::List(vec![text("a"), text(rack)])),
        ("machine", text(machine)),
        ("born", num(born)),
        ("clockMs", num(clock)),
        ("sequence", num(sequence)),
    ])
}
