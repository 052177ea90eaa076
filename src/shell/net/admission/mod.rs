//! Admission of connections: for each listener one bound on its open connections, and one on all that is
//! held for their requests and answers.
//!
//! When a bound is reached, the connection is closed that has gone longest without completing a request.
//! Clients inside the limits complete theirs soon, so that those that stop short of an end make room. A
//! request that was received whole is answered before its connection can be closed.

mod bounds;
mod conn;
mod exchange;
mod sweep;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use metrics::counter;

use super::Error;
use super::Result;
use crate::core::model::RequestLimits;

pub use bounds::Bounds;
pub use bounds::Listener;
pub use bounds::MachineLimits;
use conn::Conn;
use conn::Rank;
pub(super) use conn::Signal;
pub(super) use exchange::Answering;
pub(super) use exchange::Exchange;
pub(super) use exchange::Held;
pub(super) use exchange::Working;
pub use sweep::ClosedConnections;
pub use sweep::spawn_sweeps;

/// Time in sweeps, which run at [`sweep::INTERVAL`].
pub(super) type Tick = u32;

/// Bytes by which a head may exceed its limit, for the empty lines before it and for bytes that clients do
/// not count.
const HEAD_SLACK_BYTES: usize = 1 << 10;

/// Bytes that may be read beyond a head before its size is checked.
const READ_AHEAD_BYTES: usize = 32 << 10;

/// Requests of closed connections with which further connections are accepted.
const MAX_ORPHANS: u32 = 16;

/// Reason for closing a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CloseReason {
    /// The listener has as many connections as it may have.
    Connections,
    /// The listener holds as many bytes as it may hold.
    Memory,
    /// More bytes than a head may have were received without one.
    HeadSize,
    /// A head was not complete in time.
    HeadTimeout,
    /// Nothing was received or sent for too long.
    IdleTimeout,
}

/// Open connections of one listener.
pub struct Admission {
    listener: Listener,
    bounds: Bounds,
    /// Returns the limits in force.
    limits: Box<dyn Fn() -> RequestLimits>,
    /// Connections in the order in which they are closed.
    conns: RefCell<BTreeMap<Rank, Rc<Conn>>>,
    /// Those that hold more than what is included with each.
    holders: RefCell<BTreeSet<Rank>>,
    /// Bytes held beyond what is included with each connection.
    held: Cell<usize>,
    /// Requests of closed connections whose memory has not been released yet.
    orphans: Cell<u32>,
    last_rank: Cell<Rank>,
    now: Cell<Tick>,
    /// Connections closed since the last report.
    closed: RefCell<BTreeMap<CloseReason, u64>>,
}

/// An admitted connection, which counts until it is dropped.
pub(super) struct Admitted(Handle);

/// Reference to an admitted connection.
#[derive(Clone)]
pub(super) struct Handle {
    admission: Rc<Admission>,
    conn: Rc<Conn>,
}

impl CloseReason {
    fn name(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Memory => "memory",
            Self::HeadSize => "head_size",
            Self::HeadTimeout => "head_timeout",
            Self::IdleTimeout => "idle_timeout",
        }
    }
}

impl Admission {
    /// Returns the admission of a listener. `limits` returns the limits of requests that are in force.
    pub fn new(
        listener: Listener,
        bounds: Bounds,
        limits: impl Fn() -> RequestLimits + 'static,
    ) -> Rc<Self> {
        Rc::new(Self {
            listener,
            bounds,
            limits: Box::new(limits),
            conns: RefCell::default(),
            holders: RefCell::default(),
            held: Cell::new(0),
            orphans: Cell::new(0),
            last_rank: Cell::new(0),
            now: Cell::new(0),
            closed: RefCell::default(),
        })
    }

    /// Returns the limits of requests that are in force.
    pub(super) fn limits(&self) -> RequestLimits {
        (self.limits)()
    }

    /// Admits a connection, for which another one is closed if there are too many. Returns `None` if none of
    /// them may be closed.
    pub(super) fn admit(self: &Rc<Self>) -> Option<Admitted> {
        if self.conns.borrow().len() >= self.bounds.connections {
            let oldest = self.oldest_to_close();
            let Some(oldest) = oldest else {
                self.count_closed(CloseReason::Connections);
                return None;
            };
            self.close(&oldest, CloseReason::Connections);
        }
        let max_head_bytes = self.limits().head_bytes + HEAD_SLACK_BYTES;
        let conn = Rc::new(Conn::new(self.next_rank(), max_head_bytes, self.now.get()));
        let rank = conn.rank.get();
        self.conns.borrow_mut().insert(rank, Rc::clone(&conn));
        let admission = Rc::clone(self);
        Some(Admitted(Handle { admission, conn }))
    }

    /// Returns whether the memory of closed connections should be released before another one is accepted.
    pub(super) fn has_many_orphans(&self) -> bool {
        self.orphans.get() > MAX_ORPHANS
    }

    fn next_rank(&self) -> Rank {
        let rank = self.last_rank.get() + 1;
        self.last_rank.set(rank);
        rank
    }

    fn oldest_to_close(&self) -> Option<Rc<Conn>> {
        let conns = self.conns.borrow();
        conns.values().find(|conn| conn.may_be_closed()).cloned()
    }

    fn oldest_holder_to_close(&self) -> Option<Rc<Conn>> {
        let conns = self.conns.borrow();
        let holders = self.holders.borrow();
        let mut holders = holders.iter().filter_map(|rank| conns.get(rank));
        holders.find(|conn| conn.may_be_closed()).cloned()
    }

    /// Ranks a connection above all others.
    fn promote(&self, conn: &Rc<Conn>) {
        let rank = self.next_rank();
        let former = conn.rank.replace(rank);
        let mut conns = self.conns.borrow_mut();
        conns.remove(&former);
        conns.insert(rank, Rc::clone(conn));
        let mut holders = self.holders.borrow_mut();
        if holders.remove(&former) {
            holders.insert(rank);
        }
    }

    /// Counts bytes that are held for a connection. If there are too many, closes others or this one; fails
    /// if this one is closed.
    fn hold(&self, conn: &Conn, bytes: usize) -> Result<()> {
        self.set_held(conn, conn.held.get() + bytes);
        while self.held.get() > self.bounds.held_bytes && !conn.is_closed.get() {
            match self.oldest_holder_to_close() {
                Some(oldest) => self.close(&oldest, CloseReason::Memory),
                None => self.close(conn, CloseReason::Memory),
            }
        }
        if conn.is_closed.get() {
            return Err(Error::Closed);
        }
        Ok(())
    }

    /// Counts bytes of an answer that are held for a connection. If there are too many, closes others.
    fn hold_answer(&self, conn: &Conn, bytes: usize) {
        self.set_held(conn, conn.held.get() + bytes);
        while self.held.get() > self.bounds.held_bytes {
            let oldest = self.oldest_holder_to_close();
            let Some(oldest) = oldest.filter(|oldest| oldest.rank != conn.rank) else {
                return;
            };
            self.close(&oldest, CloseReason::Memory);
        }
    }

    fn release(&self, conn: &Conn, bytes: usize) {
        self.set_held(conn, conn.held.get().saturating_sub(bytes));
    }

    fn set_held(&self, conn: &Conn, bytes: usize) {
        let before = conn.counted();
        conn.held.set(bytes);
        if conn.is_closed.get() {
            return;
        }
        let after = conn.counted();
        self.held.set(self.held.get() - before + after);
        let mut holders = self.holders.borrow_mut();
        if after > 0 {
            holders.insert(conn.rank.get());
        } else {
            holders.remove(&conn.rank.get());
        }
    }

    fn close(&self, conn: &Conn, reason: CloseReason) {
        self.count_closed(reason);
        self.remove(conn);
        conn.send_signal(Signal::Close);
    }

    fn remove(&self, conn: &Conn) {
        if conn.is_closed.replace(true) {
            return;
        }
        let rank = conn.rank.get();
        self.conns.borrow_mut().remove(&rank);
        self.holders.borrow_mut().remove(&rank);
        self.held.set(self.held.get() - conn.counted());
        self.orphans.set(self.orphans.get() + conn.requests.get());
    }

    fn count_closed(&self, reason: CloseReason) {
        counter!(
            "ragwortstall_connections_closed_total",
            "listener" => self.listener.name(),
            "reason" => reason.name(),
        )
        .increment(1);
        *self.closed.borrow_mut().entry(reason).or_default() += 1;
    }
}

impl Admitted {
    /// Returns a reference to the connection.
    pub fn handle(&self) -> Handle {
        self.0.clone()
    }

    /// Returns the maximum size of a head on the connection, in bytes.
    pub fn max_head_bytes(&self) -> usize {
        self.0.conn.max_head_bytes
    }

    /// Waits for a signal to the connection's task.
    pub fn poll_signal(&self, cx: &mut Context<'_>) -> Poll<Signal> {
        self.0.conn.poll_signal(cx)
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.0.admission.remove(&self.0.conn);
    }
}

impl Handle {
    /// Counts bytes that were received. Without a request they belong to the head of the next one.
    pub fn add_received(&self, bytes: usize) -> Result<()> {
        let Self { admission, conn } = self;
        conn.progress_at.set(admission.now.get());
        if conn.requests.get() > 0 || admission.listener == Listener::Peers {
            return Ok(());
        }
        if conn.head_since.get().is_none() {
            conn.head_since.set(Some(admission.now.get()));
        }
        let head_bytes = conn.head_bytes.get() + bytes;
        conn.head_bytes.set(head_bytes);
        if head_bytes > conn.max_head_bytes + READ_AHEAD_BYTES {
            admission.close(conn, CloseReason::HeadSize);
            return Err(Error::Closed);
        }
        admission.hold(conn, bytes)
    }

    /// Returns whether a request has begun and is not yet answered.
    pub fn has_request(&self) -> bool {
        self.conn.requests.get() > 0
    }

    /// Counts that bytes were sent.
    pub fn add_sent(&self) {
        self.conn.progress_at.set(self.admission.now.get());
    }
}
