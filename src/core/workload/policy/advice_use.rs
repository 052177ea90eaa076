//! Use of the advice service: how much is asked and approved, and for how long daemons are idle.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use crate::core::model::Now;
use crate::core::workload::catalog::QueueId;

/// Advice queries of a queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct QueueAdvice {
    /// Queries sent.
    pub queries: u64,
    /// VMs that they named.
    pub vms_asked: u64,
    /// Those among them whose earlier tickets had expired.
    pub vms_asked_again: u64,
    /// VMs that were approved.
    pub vms_approved: u64,
    /// Starts that carried a ticket.
    pub ticketed_starts: u64,
    /// Queries that failed.
    pub failures: u64,
}

/// Use of the advice service since the role was granted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdviceUse {
    /// Queries by queue.
    pub queues: BTreeMap<QueueId, QueueAdvice>,
    /// Time between an answer through a daemon and its next query, summed over daemons.
    pub idle: Duration,
}

impl AdviceUse {
    /// Returns the counts of a queue.
    pub fn queue(&mut self, queue: &QueueId) -> &mut QueueAdvice {
        self.queues.entry(queue.clone()).or_default()
    }

    /// Adds the time since a daemon became free, which gets a query now.
    pub fn end_idle(&mut self, since: Now, now: Now) {
        self.idle += now.saturating_sub(since);
    }
}
