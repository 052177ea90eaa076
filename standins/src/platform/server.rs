//! HTTP interface of the platform stand-in, with fault injection.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use compio::net::TcpListener;
use compio::time::sleep;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use ragwortstall::core::model::Member;
use ragwortstall::core::model::Txn;
use ragwortstall::shell::net;
use ragwortstall::shell::platform::ChangesQuery;
use ragwortstall::shell::platform::ChangesReply;
use ragwortstall::shell::platform::TxnReply;
use ragwortstall::shell::platform::ZONE_HEADER;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::Members;
use super::Outcome;
use super::Table;
use crate::admission;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Time for which a call from a cut zone, or one whose answer is lost, stays unanswered.
const LOST_ANSWER_DELAY: Duration = Duration::from_secs(60);

/// Injected faults.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Every call is answered with status 503 and has no effect.
    pub down: bool,
    /// Delay before each call is executed, in milliseconds.
    pub slow_ms: u64,
    /// Transactions take effect, but the caller receives no answer.
    pub lose_answers: bool,
    /// Age of the membership list, in milliseconds.
    pub member_lag_ms: u64,
    /// Zones whose calls have no effect and receive no answer.
    pub cut_zones: BTreeSet<Box<str>>,
}

/// State of the platform stand-in.
#[derive(Debug)]
pub struct Platform {
    started_at: Instant,
    table: Table,
    members: Members,
    objects: BTreeMap<Box<str>, Bytes>,
    faults: Faults,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            started_at: Instant::now(),
            table: Table::default(),
            members: Members::default(),
            objects: BTreeMap::new(),
            faults: Faults::default(),
        }
    }
}

impl Platform {
    /// Adds a member that the list contains from the start.
    pub fn add_member(&mut self, member: Member) {
        self.members.put(Duration::ZERO, member);
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn set_faults(&mut self, faults: Faults) {
        self.members
            .set_lag(Duration::from_millis(faults.member_lag_ms));
        self.faults = faults;
    }
}

type Shared = Rc<RefCell<Platform>>;

type Reply = Response<Full<Bytes>>;

/// Serves the platform until the process ends.
pub async fn serve(listener: TcpListener, platform: Platform) {
    let shared = Rc::new(RefCell::new(platform));
    let handler = Rc::new(move |req| handle(Rc::clone(&shared), req));
    let (_stop_tx, stop_rx) = net::stop_channel();
    net::serve_http1(listener, admission(), handler, stop_rx).await;
}

async fn handle(platform: Shared, req: Request<net::RequestBody>) -> Reply {
    let (head, body) = req.into_parts();
    let Ok(body) = body.collect_up_to(MAX_BODY_BYTES).await else {
        return status(StatusCode::PAYLOAD_TOO_LARGE);
    };
    let path = head.uri.path();
    if path == "/fault" {
        return set_faults(&platform, &head.method, &body);
    }
    let faults = platform.borrow().faults.clone();
    if faults.down {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    sleep(Duration::from_millis(faults.slow_ms)).await;
    let zone = head.headers.get(ZONE_HEADER);
    let zone = zone.and_then(|zone| zone.to_str().ok()).unwrap_or_default();
    if platform.borrow().faults.cut_zones.contains(zone) {
        sleep(LOST_ANSWER_DELAY).await;
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let reply = route(&platform, &head.method, path, body);
    if path == "/v1/txn" && platform.borrow().faults.lose_answers {
        sleep(LOST_ANSWER_DELAY).await;
    }
    reply
}

fn set_faults(platform: &Shared, method: &Method, body: &[u8]) -> Reply {
    if *method == Method::PUT {
        let Some(faults) = parse(body) else {
            return status(StatusCode::BAD_REQUEST);
        };
        platform.borrow_mut().set_faults(faults);
    }
    net::json(StatusCode::OK, &platform.borrow().faults)
}

fn route(platform: &Shared, method: &Method, path: &str, body: Bytes) -> Reply {
    let mut platform = platform.borrow_mut();
    let parts: Vec<&str> = path.trim_start_matches('/').splitn(3, '/').collect();
    match (method.as_str(), parts.as_slice()) {
        ("POST", ["v1", "changes"]) => read_changes(&platform, &body),
        ("POST", ["v1", "txn"]) => commit_txn(&mut platform, &body),
        ("GET", ["v1", "members"]) => list_members(&mut platform),
        ("PUT", ["v1", "members", id]) => put_member(&mut platform, id, &body),
        ("DELETE", ["v1", "members", id]) => remove_member(&mut platform, id),
        ("GET", ["v1", "object", name]) => get_object(&platform, name),
        ("PUT", ["v1", "object", name]) => put_object(&mut platform, name, body),
        _ => status(StatusCode::NOT_FOUND),
    }
}

fn read_changes(platform: &Platform, body: &[u8]) -> Reply {
    let Some(query) = parse::<ChangesQuery>(body) else {
        return status(StatusCode::BAD_REQUEST);
    };
    let rows = platform.table.changes(&query.spaces, query.after);
    let rev = platform.table.rev();
    net::json(StatusCode::OK, &ChangesReply { rows, rev })
}

fn commit_txn(platform: &mut Platform, body: &[u8]) -> Reply {
    let Some(txn) = parse::<Txn>(body) else {
        return status(StatusCode::BAD_REQUEST);
    };
    match platform.table.commit(&txn) {
        Outcome::Committed(rows) => net::json(StatusCode::OK, &TxnReply { rows }),
        Outcome::Conflict(rows) => net::json(StatusCode::CONFLICT, &TxnReply { rows }),
    }
}

fn list_members(platform: &mut Platform) -> Reply {
    let now = platform.now();
    net::json(StatusCode::OK, &platform.members.list(now))
}

fn put_member(platform: &mut Platform, id: &str, body: &[u8]) -> Reply {
    match parse::<Member>(body) {
        Some(member) if *member.id == *id => {
            let now = platform.now();
            platform.members.put(now, member);
            status(StatusCode::OK)
        }
        _ => status(StatusCode::BAD_REQUEST),
    }
}

fn remove_member(platform: &mut Platform, id: &str) -> Reply {
    let now = platform.now();
    platform.members.remove(now, id);
    status(StatusCode::OK)
}

fn get_object(platform: &Platform, name: &str) -> Reply {
    match platform.objects.get(name) {
        Some(object) => net::text(StatusCode::OK, object.clone()),
        None => status(StatusCode::NOT_FOUND),
    }
}

fn put_object(platform: &mut Platform, name: &str, body: Bytes) -> Reply {
    platform.objects.insert(name.into(), body);
    status(StatusCode::OK)
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}

fn status(code: StatusCode) -> Reply {
    net::text(code, code.canonical_reason().unwrap_or_default())
}
