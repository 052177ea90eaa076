//! Stand-in for the platform's metadata store: rows in tables, transactions and the feed of changes.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Answer;
use crate::http::Request;
use crate::json;
use crate::json::Json;
use crate::json::num;
use crate::json::object;

/// Longest value of a row, in bytes, as in the settings of the small deployments.
pub const ROW_BYTES: usize = 65_536;
/// Most entries of a transaction.
const MAX_ENTRIES: usize = 100;
/// Largest transaction, in bytes.
const MAX_CALL_BYTES: usize = 1_000_000;
/// Most rows of an answer to a read.
const MAX_ROWS: usize = 500;
/// Largest total of the values in an answer to a read, in bytes of base64.
const MAX_READ_BYTES: usize = 1_000_000;
/// Time that a transaction takes.
const TX_TIME: Duration = Duration::from_millis(8);
/// Time that any other call takes.
const READ_TIME: Duration = Duration::from_millis(4);

/// Table, part and key of a row.
pub type RowId = (String, String, String);

/// Decision on a transaction: answer it as usual, or perform it after a delay and never answer.
pub enum Fate {
    Usual,
    LateAndLost(Duration),
}

/// Chooses the fate of a transaction by the rows that it writes.
pub type Chooser = Box<dyn Fn(&[RowId]) -> Fate + Send>;

#[derive(Default)]
struct State {
    /// Value in base64 and version of each row.
    rows: BTreeMap<RowId, (String, u64)>,
    /// Version and row of each change, in order.
    changes: Vec<(u64, RowId)>,
    version: u64,
    chooser: Option<Chooser>,
    /// Transactions that were refused because a row was too large, with its id and size.
    too_large: Vec<(RowId, usize)>,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
    started_at: Instant,
}

impl Store {
    pub fn new() -> Self {
        Self {
            state: Arc::default(),
            changed: Arc::default(),
            started_at: Instant::now(),
        }
    }

    /// Serves the system's calls on a listener.
    pub fn serve(&self, listener: TcpListener) {
        let store = self.clone();
        http::serve(listener, move |req| store.handle(&req));
    }

    /// Sets how the fate of a transaction is chosen.
    pub fn choose(&self, chooser: Chooser) {
        self.state.lock().unwrap().chooser = Some(chooser);
    }

    /// Writes a row as the operator or a minion.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        let id = (table.to_string(), String::new(), key.to_string());
        let version = state.next_version();
        state.set(version, id, Some(json::encode_base64(value.as_bytes())));
        self.changed.notify_all();
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.state.lock().unwrap();
        let id = (table.to_string(), String::new(), key.to_string());
        if state.rows.contains_key(&id) {
            let version = state.next_version();
            state.set(version, id, None);
            self.changed.notify_all();
        }
    }

    /// Returns the refused transactions with a row that was too large.
    pub fn too_large(&self) -> Vec<(RowId, usize)> {
        self.state.lock().unwrap().too_large.clone()
    }

    fn handle(&self, req: &Request) -> Answer {
        match (&*req.method, &*req.path) {
            ("POST", "/-/rows-tx") => self.transact(&req.body),
            ("GET", "/-/rows-get") => {
                thread::sleep(READ_TIME);
                self.read(req)
            }
            ("GET", "/-/rows-parts") => {
                thread::sleep(READ_TIME);
                self.parts(req)
            }
            ("GET", "/-/rows-feed") => self.feed(req),
            _ => Answer::Reply(404, "{}".into()),
        }
    }

    fn transact(&self, body: &[u8]) -> Answer {
        let Some(txn) = Json::parse(body) else {
            return bad("not JSON");
        };
        let rows = |name: &str| -> Vec<RowId> { txn.list(name).iter().map(row_id).collect() };
        let (expect, put, remove) = (rows("expectedRev"), rows("setKeys"), rows("remove"));
        let all: Vec<&RowId> = expect.iter().chain(&put).chain(&remove).collect();
        if all.len() > MAX_ENTRIES || body.len() > MAX_CALL_BYTES {
            return bad("the transaction is too large");
        }
        if all.iter().any(|row| row.1 != all[0].1) {
            return bad("the entries have several parts");
        }
        if put.iter().chain(&remove).any(|row| row.0 == "op" || row.0 == "servers") {
            return Answer::Reply(403, "{}".into());
        }
        for (row, entry) in put.iter().zip(txn.list("setKeys")) {
            let size = json::decode_base64(entry.text("value")).map_or(0, |value| value.len());
            if size > ROW_BYTES {
                self.state.lock().unwrap().too_large.push((row.clone(), size));
                return bad("a value is longer than rowBytes");
            }
        }
        let fate = {
            let state = self.state.lock().unwrap();
            state.chooser.as_ref().map_or(Fate::Usual, |choose| choose(&put))
        };
        match fate {
            Fate::Usual => {
                thread::sleep(TX_TIME);
                self.perform(&txn)
            }
            Fate::LateAndLost(delay) => {
                let (store, txn) = (self.clone(), txn.clone());
                thread::spawn(move || {
                    thread::sleep(delay);
                    store.perform(&txn);
                });
                Answer::Silent
            }
        }
    }

    fn perform(&self, txn: &Json) -> Answer {
        let mut state = self.state.lock().unwrap();
        let expect = txn.list("expectedRev");
        let current = |entry: &Json| state.rows.get(&row_id(entry)).map_or(0, |row| row.1);
        let is_met = |entry: &Json| entry.number("schemaVersion").unwrap_or(0) == current(entry);
        if !expect.iter().all(is_met) {
            let rows = expect.iter().map(|entry| state.row_json(&row_id(entry))).collect();
            return Answer::Reply(412, self.answer(&state, vec![("rows", Json::List(rows))]));
        }
        let version = state.next_version();
        for entry in txn.list("setKeys") {
            state.set(version, row_id(entry), Some(entry.text("value").to_string()));
        }
        for entry in txn.list("remove") {
            state.set(version, row_id(entry), None);
        }
        self.changed.notify_all();
        Answer::Reply(200, self.answer(&state, vec![]))
    }

    fn read(&self, req: &Request) -> Answer {
        let state = self.state.lock().unwrap();
        let (table, part) = (req.parameter("table"), req.parameter("part"));
        let (from, to) = (req.parameter("from"), req.parameter("to"));
        let limit = req.parameter("limit").parse().unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let start = (table.to_string(), part.to_string(), from.to_string());
        let mut rows = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        for (id, (value, _)) in state.rows.range(start..) {
            if id.0 != table || id.1 != part || !to.is_empty() && &*id.2 >= to {
                break;
            }
            if rows.len() >= limit || bytes + value.len() > MAX_READ_BYTES && !rows.is_empty() {
                has_more = true;
                break;
            }
            bytes += value.len();
            rows.push(state.row_json(id));
        }
        let fields = vec![("rows", Json::List(rows)), ("hasMore", Json::Bool(has_more))];
        Answer::Reply(200, self.answer(&state, fields))
    }

    fn parts(&self, req: &Request) -> Answer {
        let state = self.state.lock().unwrap();
        let (table, after) = (req.parameter("table"), req.parameter("after"));
        let ids = state.rows.keys().filter(|id| id.0 == table && &*id.1 > after);
        let mut parts: Vec<&str> = ids.map(|id| &*id.1).collect();
        if after.is_empty() && state.rows.keys().any(|id| id.0 == table && id.1.is_empty()) {
            parts.insert(0, "");
        }
        parts.dedup();
        let parts = parts.into_iter().take(1_000).map(json::text).collect();
        Answer::Reply(200, self.answer(&state, vec![("parts", Json::List(parts))]))
    }

    fn feed(&self, req: &Request) -> Answer {
        let table = req.parameter("table");
        let after: u64 = req.parameter("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(req.parameter("waitMs").parse().unwrap_or(0));
        let deadline = Instant::now() + wait.min(Duration::from_secs(30));
        thread::sleep(READ_TIME);
        let mut state = self.state.lock().unwrap();
        loop {
            let first = state.changes.partition_point(|(version, _)| *version <= after);
            let mut ids: Vec<&(u64, RowId)> = Vec::new();
            for change in &state.changes[first..] {
                let is_latest = state.latest(&change.1) == change.0;
                if change.1.0 == table && is_latest {
                    ids.push(change);
                }
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if !ids.is_empty() || left.is_zero() {
                let rows = ids.iter().map(|(version, id)| match state.rows.contains_key(id) {
                    true => state.row_json(id),
                    false => object(vec![
                        ("table", json::text(&id.0)),
                        ("part", json::text(&id.1)),
                        ("key", json::text(&id.2)),
                        ("schemaVersion", num(*version)),
                        ("deleted", Json::Bool(true)),
                    ]),
                });
                let rows = rows.collect();
                return Answer::Reply(200, self.answer(&state, vec![("rows", Json::List(rows))]));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn answer(&self, state: &State, mut fields: Vec<(&str, Json)>) -> String {
        fields.push(("schemaVersion", num(state.version)));
        fields.push(("nowMs", num(self.started_at.elapsed().as_millis() as u64)));
        object(fields).to_string()
    }
}

impl State {
    fn next_version(&mut self) -> u64 {
        self.version += 1;
        self.version
    }

    fn set(&mut self, version: u64, id: RowId, value: Option<String>) {
        match value {
            Some(value) => {
                self.rows.insert(id.clone(), (value, version));
            }
            None => {
                self.rows.remove(&id);
            }
        }
        self.changes.push((version, id));
    }

    /// Returns the version of the last change of a row.
    fn latest(&self, id: &RowId) -> u64 {
        match self.rows.get(id) {
            Some((_, version)) => *version,
            None => self.changes.iter().rev().find(|(_, other)| other == id).map_or(0, |(version, _)| *version),
        }
    }

    fn row_json(&self, id: &RowId) -> Json {
        let mut fields = vec![
            ("table", json::text(&id.0)),
            ("part", json::text(&id.1)),
            ("key", json::text(&id.2)),
        ];
        match self.rows.get(id) {
            Some((value, version)) => {
                fields.push(("value", json::text(value)));
                fields.push(("schemaVersion", num(*version)));
            }
            None => fields.push(("schemaVersion", num(0))),
        }
        object(fields)
    }
}

fn row_id(entry: &Json) -> RowId {
    let field = |name: &str| entry.text(name).to_string();
    (field("table"), field("part"), field("key"))
}

fn bad(reason: &str) -> Answer {
    Answer::Reply(400, object(vec![("error", json::text(reason))]).to_string())
}
