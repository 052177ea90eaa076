//! Context in which the components of the reducer handle an event: time, options, configuration
//! and the effects.

use std::rc::Rc;
use std::time::Duration;

use super::catalog::Catalog;
use super::decision::Decision;
use super::effect::Effect;
use super::effect::Effects;
use super::effect::Reply;
use super::effect::Request;
use super::evacuation::Evacuation;
use super::event::CommitPurpose;
use super::event::ReadPurpose;
use super::options::Options;
use super::policy::evacuation::ORDER_MARGIN;
use super::table::Range;
use super::table::Transaction;
use crate::core::model::Now;
use crate::core::model::Ticket;

/// Context of an event.
pub(super) struct Cx<'a> {
    /// Monotonic time.
    pub now: Now,
    /// Wall time since the Unix epoch.
    pub unix_time: Duration,
    /// Options of the reducer.
    pub options: &'a Options,
    /// Configuration in force.
    pub catalog: Option<&'a Rc<Catalog>>,
    /// Evacuated zones.
    pub evacuation: &'a Evacuation,
    /// Time of the last answer of the table to a daemon's watch; `None` before the first.
    pub table_answered_at: Option<Now>,
    /// Delay before a retry that is suggested to callers who cannot be served now.
    pub retry_after: Duration,
    /// Effects so far.
    pub effects: &'a mut Effects,
}

impl Cx<'_> {
    /// Sends a request.
    pub fn send(&mut self, req: Request) {
        self.effects.push(Effect::Send(req));
    }

    /// Runs a transaction, with the timeout from the options.
    pub fn commit(&mut self, purpose: CommitPurpose, txn: Transaction) {
        let timeout = self.options.table.commit_timeout;
        self.send(Request::Commit {
            purpose,
            txn,
            timeout,
        });
    }

    /// Reads a range.
    pub fn read(&mut self, purpose: ReadPurpose, range: Range) {
        self.send(Request::Read { purpose, range });
    }

    /// Returns the time since the last answer of the table, in milliseconds; `None` before the first.
    pub fn table_age_ms(&self) -> Option<u64> {
        let answered_at = self.table_answered_at?;
        Some(millis(self.now.saturating_sub(answered_at)))
    }

    /// Returns whether the view of the evacuation requests is too old for starts anywhere.
    pub fn is_evacuation_view_stale(&self) -> bool {
        self.start_window()
            .is_some_and(|window| window < self.options.vms.order_timeout)
    }

    /// Returns the time for which a start may still take effect, as a zone may have been evacuated
    /// since the view of the requests was read; `None` for any time.
    pub fn start_window(&self) -> Option<Duration> {
        let bound = self.options.placer.evacuation_bound?;
        let age = self.evacuation.age(self.now).unwrap_or(bound);
        Some(bound.saturating_sub(ORDER_MARGIN + age))
    }

    /// Returns the reply to a caller who cannot be served now and whose call has no effect.
    pub fn unavailable(&self) -> Reply {
        Reply::Unavailable(self.retry_after)
    }

    /// Replies to a caller.
    pub fn reply(&mut self, ticket: Ticket, reply: Reply) {
        self.effects.push(Effect::Reply(ticket, reply));
    }

    /// Writes a decision to the log.
    pub fn log(&mut self, decision: Decision) {
        self.effects.push(Effect::Log(decision));
    }
}

/// Returns the earlier of two wake-up times, where `None` stands for no wake-up.
pub(super) fn earliest(a: Option<Now>, b: Option<Now>) -> Option<Now> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

/// Returns a duration in whole milliseconds, for the log and for VMs.
pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
