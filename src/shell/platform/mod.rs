//! Client of the platform's table and membership list: JSON over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use serde::Deserialize;
use serde::Serialize;

use crate::core::event::Feed;
use crate::core::event::TxnOutcome;
use crate::core::model::Member;
use crate::core::model::Rev;
use crate::core::model::Row;
use crate::core::model::Txn;
use crate::core::record;
use crate::shell::net;
use crate::shell::net::Client;
use crate::shell::net::ClientOptions;

/// Result of a call to the platform.
pub type Result<T, E = net::Error> = std::result::Result<T, E>;

/// Key prefixes of the rows of jobs and of allotments, which are stored under `escrow/`.
const WORK_SPACES: [&str; 2] = ["job/", "escrow/"];

/// Header in which a caller names its availability zone.
pub const ZONE_HEADER: &str = "x-zone";

/// Query for the rows in some spaces that changed after a revision. A space consists of the rows
/// whose keys have the same prefix.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChangesQuery {
    /// Prefixes of the row keys.
    pub spaces: Vec<Box<str>>,
    /// Latest revision that the client has read.
    pub after: Rev,
}

/// Reply with the changed rows and the revision up to which they are complete.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChangesReply {
    /// Changed rows, including withdrawn ones.
    pub rows: Vec<Row>,
    /// Revision of the table.
    pub rev: Rev,
}

/// Rows after a transaction: as written, or as stored if the transaction conflicted.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TxnReply {
    /// One row for each write, in the same order; a row that does not exist has version zero.
    pub rows: Vec<Row>,
}

/// Client of the platform.
pub struct PlatformClient {
    address: SocketAddr,
    timeout: Duration,
    zone: Option<HeaderValue>,
    http: Client,
}

impl PlatformClient {
    /// Returns a client whose calls fail after `timeout`.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            address,
            timeout,
            zone: None,
            http: Client::new(ClientOptions::default()),
        }
    }

    /// Sends the caller's availability zone with each call.
    #[must_use]
    pub fn with_zone(mut self, zone: &str) -> Self {
        self.zone = HeaderValue::from_str(zone).ok();
        self
    }

    /// Reads the rows of a feed that changed after `after`; `None` when there was no valid answer.
    pub async fn poll(&self, feed: Feed, after: Rev) -> Option<ChangesReply> {
        let spaces: &[&str] = match feed {
            Feed::Records => &record::SPACES,
            Feed::Work => &WORK_SPACES,
        };
        let spaces = spaces.iter().map(|space| Box::from(*space)).collect();
        let query = ChangesQuery { spaces, after };
        let (status, body) = self.call(Method::POST, "/v1/changes", &query).await.ok()?;
        if status != StatusCode::OK {
            return None;
        }
        serde_json::from_slice(&body).ok()
    }

    /// Reads the membership list; `None` when there was no valid answer.
    pub async fn members(&self) -> Option<Vec<Member>> {
        let (status, body) = self.call(Method::GET, "/v1/members", &()).await.ok()?;
        if status != StatusCode::OK {
            return None;
        }
        serde_json::from_slice(&body).ok()
    }

    /// Commits a transaction. The outcome is unknown if the platform may have received it but gave
    /// no valid answer.
    pub async fn commit(&self, txn: &Txn) -> TxnOutcome {
        let reply = match self.call(Method::POST, "/v1/txn", txn).await {
            Ok(reply) => reply,
            Err(err) if err.may_have_been_received() => return TxnOutcome::Unknown,
            Err(_) => return TxnOutcome::NotSent,
        };
        match reply {
            (StatusCode::OK, body) => {
                parse_rows(&body).map_or(TxnOutcome::Unknown, TxnOutcome::Committed)
            }
            (StatusCode::CONFLICT, body) => {
                parse_rows(&body).map_or(TxnOutcome::Unknown, TxnOutcome::Conflict)
            }
            (StatusCode::SERVICE_UNAVAILABLE, _) => TxnOutcome::NotSent,
            _ => TxnOutcome::Unknown,
        }
    }

    async fn call<T: Serialize>(
        &self,
        method: Method,
        path: &str,
        value: &T,
    ) -> Result<(StatusCode, Bytes)> {
        let body = serde_json::to_vec(value).unwrap_or_default();
        let mut req = json_request(self.address, method, path, body);
        if let Some(zone) = &self.zone {
            req.headers_mut().insert(ZONE_HEADER, zone.clone());
        }
        let res = self.http.send(self.address, req, self.timeout).await?;
        Ok((res.status(), res.into_body()))
    }
}

fn parse_rows(body: &[u8]) -> Option<Vec<Row>> {
    serde_json::from_slice::<TxnReply>(body)
        .ok()
        .map(|reply| reply.rows)
}

/// Returns a request with a JSON body and the `Host` header that HTTP/1.1 requires.
pub(crate) fn json_request(
    addr: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(Bytes::from(body)));
    *req.method_mut() = method;
    *req.uri_mut() = path.parse().unwrap_or_default();
    let headers = req.headers_mut();
    headers.insert(
        http::header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    if let Ok(host) = HeaderValue::from_str(&addr.to_string()) {
        headers.insert(http::header::HOST, host);
    }
    req
}
