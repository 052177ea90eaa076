//! What is known of the progress of the runs on each VM.

use std::time::Duration;

use crate::core::model::Now;

/// Interval of checks for stalled VMs.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Delay of a check from which on reports may have waited unread, so that runs seem older than they
/// are.
const MAX_CHECK_DELAY: Duration = Duration::from_secs(1);

/// Time beyond the next overdue time of a run after which a VM answers a renewal.
const REPORT_MARGIN: Duration = Duration::from_millis(20);

/// Schedule of the checks for stalled VMs.
#[derive(Debug)]
pub(in crate::core::workload::placer) struct StallChecks {
    next_at: Now,
    /// Reports to renewals that were sent before this time are no evidence.
    evidence_since: Now,
}

/// Progress of the runs on a VM.
#[derive(Debug, Default)]
pub(in crate::core::workload::placer) struct StallState {
    /// When a run last completed or failed.
    pub last_end_at: Option<Now>,
    /// When the renewal was sent that the VM answered last.
    pub reported_to: Now,
    /// When the VM last answered after it had been silent. Its runs may have paused before.
    pub contact_since: Now,
    /// Since when the VM is suspect; `None` if it is not.
    pub suspect_since: Option<Now>,
    /// Time before which no further run can be overdue.
    pub next_look_at: Now,
    /// When a run that is not overdue yet becomes overdue, as of the last look.
    pub next_overdue_at: Option<Now>,
}

impl StallChecks {
    pub fn new(now: Now) -> Self {
        Self {
            next_at: now + CHECK_INTERVAL,
            evidence_since: now,
        }
    }

    /// Returns whether a check is due, and schedules the next one if so.
    pub fn begin(&mut self, now: Now) -> bool {
        if now < self.next_at {
            return false;
        }
        if now > self.next_at + MAX_CHECK_DELAY {
            self.evidence_since = now;
        }
        self.next_at = now + CHECK_INTERVAL;
        true
    }

    /// Returns the time of the next check.
    pub fn next_at(&self) -> Now {
        self.next_at
    }

    /// Returns whether the last report of a VM is evidence.
    pub fn is_evidence(&self, vm: &StallState) -> bool {
        vm.reported_to >= self.evidence_since
    }
}

impl StallState {
    /// Returns the time for which the VM may delay its answer to a renewal. A run is overdue only by
    /// a report, so the VM must not delay it beyond the time at which a run becomes overdue.
    pub fn limit_wait(&mut self, now: Now, wait: Duration) -> Duration {
        match self.next_overdue_at.take() {
            Some(at) => wait.min(at.saturating_sub(now) + REPORT_MARGIN),
            None => wait,
        }
    }
}
