//! Connection pool of one client.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use metrics::counter;
use rustc_hash::FxHashMap;

/// Minimum interval between removals of connections that can no longer be used.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Identifier of a connection, unique within its client. A request that is sent on the connection reaches
/// the same process of the server as all others on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnId(pub u64);

/// An open connection.
pub(super) struct Conn {
    pub id: ConnId,
    /// Sends requests on the connection.
    pub tx: SendRequest<Full<Bytes>>,
    /// Time at which the connection was opened.
    pub opened_at: Instant,
    /// Time at which the last successful exchange ended, or `opened_at` before the first one.
    pub last_used: Instant,
}

/// Idle connections to one server.
#[derive(Default)]
struct Server {
    idle: Vec<Conn>,
    /// Start of the latest exchange that got no response. Connections without a later successful
    /// exchange may no longer be answered.
    suspect_since: Option<Instant>,
}

/// Idle connections, by the address of the server.
pub(super) struct Pool {
    idle_timeout: Duration,
    max_age: Duration,
    servers: FxHashMap<SocketAddr, Server>,
    last_sweep: Instant,
}

impl Conn {
    fn is_usable(&self, now: Instant, idle_timeout: Duration, max_age: Duration) -> bool {
        let young = now.duration_since(self.opened_at) < max_age;
        let recent = now.duration_since(self.last_used) < idle_timeout;
        young && recent && !self.tx.is_closed()
    }
}

impl Pool {
    /// Returns an empty pool.
    pub fn new(idle_timeout: Duration, max_age: Duration) -> Self {
        Self {
            idle_timeout,
            max_age,
            servers: FxHashMap::default(),
            last_sweep: Instant::now(),
        }
    }

    /// Takes the most recently used connection to a server, if one can be reused.
    pub fn take(&mut self, addr: SocketAddr) -> Option<Conn> {
        let now = Instant::now();
        let server = self.servers.get_mut(&addr)?;
        while let Some(conn) = server.idle.pop() {
            let trusted = server
                .suspect_since
                .is_none_or(|since| conn.last_used > since);
            if trusted && conn.is_usable(now, self.idle_timeout, self.max_age) {
                return Some(conn);
            }
            counter!("ragwortstall_connections_dropped_total").increment(1);
        }
        None
    }

    /// Returns a connection to the pool after a successful exchange, if fewer than `max_idle`
    /// connections to the server are idle.
    pub fn put_back(&mut self, addr: SocketAddr, mut conn: Conn, max_idle: usize) {
        conn.last_used = Instant::now();
        let idle = &mut self.servers.entry(addr).or_default().idle;
        if idle.len() < max_idle {
            idle.push(conn);
        }
        self.sweep();
    }

    /// Records that an exchange started at `started` got no response: connections without a later
    /// successful exchange are not reused.
    pub fn mark_suspect(&mut self, addr: SocketAddr, started: Instant) {
        let server = self.servers.entry(addr).or_default();
        server.suspect_since = server.suspect_since.max(Some(started));
    }

    /// Returns the number of idle connections to a server.
    pub fn idle_count(&self, addr: SocketAddr) -> usize {
        self.servers
            .get(&addr)
            .map_or(0, |server| server.idle.len())
    }

    /// Removes the connections that can no longer be used, at most once per [`SWEEP_INTERVAL`].
    fn sweep(&mut self) {
        let now = Instant::now();
        if now.duration_since(self.last_sweep) < SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = now;
        let (idle_timeout, max_age) = (self.idle_timeout, self.max_age);
        self.servers.retain(|_, server| {
            server
                .idle
                .retain(|conn| conn.is_usable(now, idle_timeout, max_age));
            let recent = |since: Instant| now.duration_since(since) < max_age;
            !server.idle.is_empty() || server.suspect_since.is_some_and(recent)
        });
    }
}
