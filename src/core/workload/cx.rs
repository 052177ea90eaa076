//! What every part of the reducer may look at while it handles an event, and where it leaves its
//! effects.

use std::rc::Rc;
use std::time::Duration;

use super::catalog::Catalog;
use super::decision::Decision;
use super::effect::Effect;
use super::effect::Effects;
use super::effect::Reply;
use super::effect::Request;
use super::event::CommitFor;
use super::event::ReadFor;
use super::options::Options;
use super::table::Range;
use super::table::Transaction;
use crate::core::model::Now;
use crate::core::model::Ticket;

/// Context of one event.
pub(super) struct Cx<'a> {
    /// Monotonic time.
    pub now: Now,
    /// Wall time since the Unix epoch.
    pub unix: Duration,
    /// Settings.
    pub options: &'a Options,
    /// Configuration in force.
    pub catalog: Option<&'a Rc<Catalog>>,
    /// Effects so far.
    pub out: &'a mut Effects,
}

impl Cx<'_> {
    /// Asks an outside system.
    pub fn ask(&mut self, req: Request) {
        self.out.push(Effect::Ask(req));
    }

    /// Runs a transaction.
    pub fn commit(&mut self, purpose: CommitFor, txn: Transaction) {
        let timeout = self.options.table.commit_timeout;
        self.ask(Request::Commit {
            purpose,
            txn,
            timeout,
        });
    }

    /// Reads a range.
    pub fn read(&mut self, purpose: ReadFor, range: Range) {
        self.ask(Request::Read { purpose, range });
    }

    /// Answers a caller.
    pub fn reply(&mut self, ticket: Ticket, reply: Reply) {
        self.out.push(Effect::Reply(ticket, reply));
    }

    /// Writes to the log.
    pub fn log(&mut self, decision: Decision) {
        self.out.push(Effect::Log(decision));
    }
}

/// The earlier of two times at which the reducer wants to be woken.
pub(super) fn sooner(a: Option<Now>, b: Option<Now>) -> Option<Now> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

/// A time in whole milliseconds, for the log and for VMs.
pub(super) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
