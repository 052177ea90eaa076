//! The platform's HTTP interface, and the faults that can be set on it.

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
use hyper::body::Incoming;
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

/// Largest request body.
const BODY_LIMIT_BYTES: usize = 64 << 20;

/// How long a call of a cut zone, or one whose answer is lost, is left without an answer.
const SILENCE: Duration = Duration::from_secs(60);

/// Faults in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Fault {
    /// Refuses every call unread.
    pub down: bool,
    /// Delay of each call before it is carried out, in milliseconds.
    pub slow_ms: u64,
    /// Transactions take effect and are not answered.
    pub lose_answers: bool,
    /// Age of the membership list, in milliseconds.
    pub member_lag_ms: u64,
    /// Zones whose calls are neither carried out nor answered.
    pub cut_zones: BTreeSet<Box<str>>,
}

/// State of the stand-in.
#[derive(Debug)]
pub struct Platform {
    started: Instant,
    table: Table,
    members: Members,
    objects: BTreeMap<Box<str>, Bytes>,
    fault: Fault,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            table: Table::default(),
            members: Members::default(),
            objects: BTreeMap::new(),
            fault: Fault::default(),
        }
    }
}

impl Platform {
    /// Adds a member that was there from the start.
    pub fn add_member(&mut self, member: Member) {
        self.members.put(Duration::ZERO, member);
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn set_fault(&mut self, fault: Fault) {
        self.members
            .set_lag(Duration::from_millis(fault.member_lag_ms));
        self.fault = fault;
    }
}

type Shared = Rc<RefCell<Platform>>;

type Reply = Response<Full<Bytes>>;

/// Serves the platform for ever.
pub async fn serve(listener: TcpListener, platform: Platform) {
    let shared = Rc::new(RefCell::new(platform));
    let handler = Rc::new(move |req| handle(Rc::clone(&shared), req));
    let (_stopper, stop) = net::stop_channel();
    net::serve_http1(listener, handler, stop).await;
}

async fn handle(platform: Shared, req: Request<Incoming>) -> Reply {
    let (head, body) = req.into_parts();
    let Ok(body) = net::collect(body, BODY_LIMIT_BYTES).await else {
        return status(StatusCode::PAYLOAD_TOO_LARGE);
    };
    let path = head.uri.path();
    if path == "/fault" {
        return set_fault(&platform, &head.method, &body);
    }
    let fault = platform.borrow().fault.clone();
    if fault.down {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    sleep(Duration::from_millis(fault.slow_ms)).await;
    let zone = head.headers.get(ZONE_HEADER);
    let zone = zone.and_then(|zone| zone.to_str().ok()).unwrap_or_default();
    if platform.borrow().fault.cut_zones.contains(zone) {
        sleep(SILENCE).await;
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let reply = route(&platform, &head.method, path, body);
    if path == "/v1/txn" && platform.borrow().fault.lose_answers {
        sleep(SILENCE).await;
    }
    reply
}

fn set_fault(platform: &Shared, method: &Method, body: &[u8]) -> Reply {
    if *method == Method::PUT {
        let Some(fault) = read(body) else {
            return status(StatusCode::BAD_REQUEST);
        };
        platform.borrow_mut().set_fault(fault);
    }
    net::json(StatusCode::OK, &platform.borrow().fault)
}

fn route(platform: &Shared, method: &Method, path: &str, body: Bytes) -> Reply {
    let mut platform = platform.borrow_mut();
    let parts: Vec<&str> = path.trim_start_matches('/').splitn(3, '/').collect();
    match (method.as_str(), parts.as_slice()) {
        ("POST", ["v1", "changes"]) => changes(&platform, &body),
        ("POST", ["v1", "txn"]) => txn(&mut platform, &body),
        ("GET", ["v1", "members"]) => members(&mut platform),
        ("PUT", ["v1", "members", id]) => put_member(&mut platform, id, &body),
        ("DELETE", ["v1", "members", id]) => remove_member(&mut platform, id),
        ("GET", ["v1", "object", name]) => get_object(&platform, name),
        ("PUT", ["v1", "object", name]) => put_object(&mut platform, name, body),
        _ => status(StatusCode::NOT_FOUND),
    }
}

fn changes(platform: &Platform, body: &[u8]) -> Reply {
    let Some(query) = read::<ChangesQuery>(body) else {
        return status(StatusCode::BAD_REQUEST);
    };
    let rows = platform.table.changes(&query.spaces, query.after);
    let rev = platform.table.rev();
    net::json(StatusCode::OK, &ChangesReply { rows, rev })
}

fn txn(platform: &mut Platform, body: &[u8]) -> Reply {
    let Some(txn) = read::<Txn>(body) else {
        return status(StatusCode::BAD_REQUEST);
    };
    match platform.table.commit(&txn) {
        Outcome::Committed(rows) => net::json(StatusCode::OK, &TxnReply { rows }),
        Outcome::Conflict(rows) => net::json(StatusCode::CONFLICT, &TxnReply { rows }),
    }
}

fn members(platform: &mut Platform) -> Reply {
    let now = platform.now();
    net::json(StatusCode::OK, &platform.members.list(now))
}

fn put_member(platform: &mut Platform, id: &str, body: &[u8]) -> Reply {
    match read::<Member>(body) {
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

fn read<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}

fn status(code: StatusCode) -> Reply {
    net::text(code, code.canonical_reason().unwrap_or_default())
}
