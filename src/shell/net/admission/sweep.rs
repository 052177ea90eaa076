//! Regular checks of the time limits of connections, and reports of those that were closed.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use metrics::gauge;

use super::Admission;
use super::CloseReason;
use super::Conn;
use super::Listener;
use super::Signal;
use super::Tick;
use crate::core::model::RequestLimits;

/// Interval between sweeps.
const INTERVAL: Duration = Duration::from_secs(1);

/// Factor by which clients may exceed a time limit before their connection is closed. It allows for what
/// the network adds.
const TIMEOUT_FACTOR: u32 = 2;

/// Connections of one listener that were closed since the last report.
#[derive(Clone, Debug)]
pub struct ClosedConnections {
    /// Name of the listener.
    pub listener: &'static str,
    /// Number of connections by reason.
    pub by_reason: BTreeMap<&'static str, u64>,
    /// Connections that are open.
    pub open: usize,
    /// Bytes held beyond what counts with each connection.
    pub held_bytes: usize,
}

/// Checks the connections of `admissions` at regular intervals, and passes those that were closed to
/// `report`.
pub fn spawn_sweeps(admissions: Vec<Rc<Admission>>, report: impl Fn(ClosedConnections) + 'static) {
    compio::runtime::spawn(async move {
        loop {
            compio::time::sleep(INTERVAL).await;
            for admission in &admissions {
                admission.sweep();
                if let Some(closed) = admission.take_closed() {
                    report(closed);
                }
            }
        }
    })
    .detach();
}

impl Admission {
    /// Closes connections that exceed a time limit, and retires those whose limit on heads is lower than the
    /// one in force.
    fn sweep(&self) {
        let now = self.now.get().wrapping_add(1);
        self.now.set(now);
        let limits = self.limits();
        let conns: Vec<Rc<Conn>> = self.conns.borrow().values().cloned().collect();
        for conn in &conns {
            if let Some(reason) = self.overdue(conn, &limits, now) {
                self.close(conn, reason);
            } else if conn.max_head_bytes < limits.head_bytes {
                conn.send_signal(Signal::Retire);
            }
        }
        self.report_gauges();
    }

    fn overdue(&self, conn: &Conn, limits: &RequestLimits, now: Tick) -> Option<CloseReason> {
        // Other daemons keep connections open without traffic.
        if self.listener == Listener::Peers || !conn.may_be_closed() {
            return None;
        }
        let head_since = conn.head_since.get();
        if head_since.is_some_and(|since| exceeds(now, since, limits.head_timeout)) {
            return Some(CloseReason::HeadTimeout);
        }
        let is_idle = exceeds(now, conn.progress_at.get(), limits.idle_timeout);
        is_idle.then_some(CloseReason::IdleTimeout)
    }

    fn report_gauges(&self) {
        let listener = self.listener.name();
        let open = u32::try_from(self.conns.borrow().len()).unwrap_or(u32::MAX);
        gauge!("ragwortstall_connections_open", "listener" => listener).set(open);
        let held = u32::try_from(self.held.get()).unwrap_or(u32::MAX);
        gauge!("ragwortstall_connections_held_bytes", "listener" => listener).set(held);
    }

    fn take_closed(&self) -> Option<ClosedConnections> {
        let closed = self.closed.take();
        if closed.is_empty() {
            return None;
        }
        let by_reason = closed.into_iter();
        Some(ClosedConnections {
            listener: self.listener.name(),
            by_reason: by_reason.map(|(reason, n)| (reason.name(), n)).collect(),
            open: self.conns.borrow().len(),
            held_bytes: self.held.get(),
        })
    }
}

/// Returns whether more time has passed than `limit` allows, rounded up to whole sweeps.
fn exceeds(now: Tick, since: Tick, limit: Duration) -> bool {
    let passed = INTERVAL * now.wrapping_sub(since);
    passed > limit.saturating_mul(TIMEOUT_FACTOR) + INTERVAL
}
