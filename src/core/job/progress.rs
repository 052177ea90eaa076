//! Job changes that are not yet in the table: ended tasks, failed jobs, cancellations and expiry.
//!
//! They are written in one transaction about once a second. Whether a change took effect is
//! determined from the row itself, so a transaction whose answer was lost needs no resolution.

use std::collections::BTreeMap;
use std::time::Duration;

use super::row;
use super::row::JobRow;
use super::row::JobState;
use super::view::Job;
use super::view::View;
use super::write;
use crate::core::effect::Reason;
use crate::core::event::TxnOutcome;
use crate::core::model::EndedTask;
use crate::core::model::JobId;
use crate::core::model::Now;
use crate::core::model::TaskRef;
use crate::core::model::Ticket;
use crate::core::model::Token;
use crate::core::model::VmId;
use crate::core::model::Write;

/// Time between group commits.
const COMMIT_INTERVAL: Duration = Duration::from_secs(1);

/// Delay before a group commit is retried after a version conflict.
const CONFLICT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of rows in one transaction.
const MAX_ROWS_PER_COMMIT: usize = 128;

/// Time after which a cancellation that has not taken effect is answered with an unknown result.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// Time for which the row of an ended job is kept. Until then a submission with the same identifier
/// is a repeat of that job.
const RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// Uncommitted changes of one job.
#[derive(Clone, Debug, Default)]
struct PendingChanges {
    /// When the first of `ends` was reported.
    first_reported_at: Now,
    /// Ended tasks, with the VMs that reported them.
    ends: Vec<(VmId, EndedTask)>,
    failed: Option<Reason>,
    /// Cancellations, with the times of their requests.
    cancels: Vec<(Ticket, Now)>,
    /// Whether the row's retention period has passed.
    expired: bool,
}

/// Uncommitted changes of all jobs, and the group commit that is in flight.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress {
    jobs: BTreeMap<JobId, PendingChanges>,
    in_flight: Option<Token>,
    next_commit_at: Now,
}

impl Progress {
    /// Queues the end of a task and returns whether it was not queued yet.
    pub fn record_task_end(&mut self, now: Now, vm: &str, end: &EndedTask) -> bool {
        let pending = self.jobs.entry(end.task.job.clone()).or_default();
        if pending.ends.is_empty() {
            pending.first_reported_at = now;
        }
        let known = pending.ends.iter().any(|(_, old)| old.task == end.task);
        if !known {
            pending.ends.push((vm.into(), end.clone()));
        }
        !known
    }

    /// Queues the failure of a job that the scheduler has given up.
    pub fn fail(&mut self, _now: Now, job: &str, reason: Reason) {
        self.jobs.entry(job.into()).or_default().failed = Some(reason);
    }

    /// Queues the cancellation of a job and makes the next group commit due at once.
    pub fn cancel(&mut self, now: Now, ticket: Ticket, job: &str) {
        let pending = self.jobs.entry(job.into()).or_default();
        pending.cancels.push((ticket, now));
        self.next_commit_at = now;
    }

    /// Returns the number of cancellations whose callers have not been answered.
    pub fn cancellations(&self) -> usize {
        self.jobs
            .values()
            .map(|pending| pending.cancels.len())
            .sum()
    }

    /// Drops all changes but cancellations: another placer receives the VMs' reports and decides on
    /// failures and expiry.
    pub fn retain_cancellations(&mut self) {
        for pending in self.jobs.values_mut() {
            pending.ends.clear();
            pending.failed = None;
            pending.expired = false;
        }
        self.jobs.retain(|_, pending| !pending.is_empty());
    }

    /// Returns a copy of the row with the pending changes applied.
    pub fn with_pending(&self, job: &str, row: &JobRow) -> JobRow {
        let mut row = row.clone();
        let Some(pending) = self.jobs.get(job) else {
            return row;
        };
        for (_, end) in &pending.ends {
            row.record_end(end);
        }
        if row.state == JobState::Active && !pending.cancels.is_empty() {
            row.state = JobState::Cancelled;
            row.reason = Some(Reason::Cancelled);
        }
        if row.state == JobState::Active && pending.failed.is_some() {
            row.state = JobState::Failed;
            row.reason = pending.failed;
        }
        row
    }

    /// Marks the rows of `zone` whose retention period has passed; `wall` is the wall time since
    /// the Unix epoch.
    pub fn expire(&mut self, wall: Duration, zone: &str, view: &View) {
        let is_expired = |job: &Job| {
            job.row
                .ended
                .is_some_and(|ended| wall.saturating_sub(ended) >= RETENTION)
        };
        for (id, _) in view
            .iter()
            .filter(|(_, job)| *job.row.zone == *zone && is_expired(job))
        {
            self.jobs.entry(id.clone()).or_default().expired = true;
        }
    }

    /// Removes and returns the ended tasks of jobs without a row. A missing row is conclusive only
    /// if the table was read, at `table_read_at`, after the first of the ends was reported.
    pub fn take_orphaned_ends(&mut self, table_read_at: Now, view: &View) -> Vec<(VmId, TaskRef)> {
        let mut orphans = Vec::new();
        for (id, pending) in &mut self.jobs {
            if view.get(id).is_none() && pending.first_reported_at < table_read_at {
                let ends = pending.ends.drain(..);
                orphans.extend(ends.map(|(vm, end)| (vm, end.task)));
            }
        }
        self.jobs.retain(|_, pending| !pending.is_empty());
        orphans
    }

    /// Returns the writes of the next group commit if one is due; `wall` is the wall time since the
    /// Unix epoch.
    pub fn next_writes(&mut self, now: Now, wall: Duration, view: &View) -> Option<Vec<Write>> {
        if self.in_flight.is_some() || now < self.next_commit_at {
            return None;
        }
        let writes: Vec<Write> = self
            .jobs
            .iter()
            .filter_map(|(id, pending)| self.write(id, pending, wall, view.get(id)?))
            .take(MAX_ROWS_PER_COMMIT)
            .collect();
        if writes.is_empty() {
            return None;
        }
        self.next_commit_at = now + COMMIT_INTERVAL;
        Some(writes)
    }

    /// Returns the write that commits a job's changes; `None` if they leave the row unchanged.
    fn write(
        &self,
        id: &JobId,
        pending: &PendingChanges,
        wall: Duration,
        job: &Job,
    ) -> Option<Write> {
        if pending.expired {
            return Some(Write {
                key: row::key(id),
                expect: job.version,
                value: None,
            });
        }
        let mut row = self.with_pending(id, &job.row);
        if row.state != JobState::Active {
            row.ended = row.ended.or(Some(wall));
        }
        (row != job.row).then(|| write(&row, job.version))?
    }

    /// Records the token of the group commit that was sent.
    pub fn set_in_flight(&mut self, token: Token) {
        self.in_flight = Some(token);
    }

    /// Handles the outcome of a transaction and returns whether it was the group commit.
    pub fn handle_txn_outcome(&mut self, now: Now, token: Token, outcome: &TxnOutcome) -> bool {
        if self.in_flight != Some(token) {
            return false;
        }
        self.in_flight = None;
        if matches!(outcome, TxnOutcome::Conflict(_)) {
            self.next_commit_at = now + CONFLICT_RETRY_INTERVAL;
        }
        true
    }

    /// Removes and returns the ended tasks that a job's row now reflects, by the VM that reported
    /// them.
    pub fn take_recorded(&mut self, job: &JobId, view: &View) -> Vec<(VmId, Vec<TaskRef>)> {
        let Some(pending) = self.jobs.get_mut(job) else {
            return Vec::new();
        };
        let row = view.get(job).map(|job| &job.row);
        let mut recorded: BTreeMap<VmId, Vec<TaskRef>> = BTreeMap::new();
        pending.ends.retain(|(vm, end)| {
            let is_recorded = row.is_none_or(|row| row.has_recorded(end));
            if is_recorded {
                let tasks = recorded.entry(vm.clone()).or_default();
                tasks.push(end.task.clone());
            }
            !is_recorded
        });
        if row.is_none_or(|row| row.state != JobState::Active) {
            pending.failed = None;
        }
        pending.expired &= row.is_some();
        if pending.is_empty() {
            self.jobs.remove(job);
        }
        recorded.into_iter().collect()
    }

    /// Removes and returns the cancellations that have finished or timed out; the flag is `true`
    /// for those that timed out.
    pub fn take_finished_cancellations(
        &mut self,
        now: Now,
        view: &View,
    ) -> Vec<(Ticket, JobId, bool)> {
        let mut finished = Vec::new();
        for (id, pending) in &mut self.jobs {
            let ended = view
                .get(id)
                .is_none_or(|job| job.row.state != JobState::Active);
            pending.cancels.retain(|(ticket, started_at)| {
                let timed_out = now.saturating_sub(*started_at) >= ANSWER_TIMEOUT;
                if ended || timed_out {
                    finished.push((*ticket, id.clone(), !ended));
                }
                !ended && !timed_out
            });
        }
        self.jobs.retain(|_, pending| !pending.is_empty());
        finished
    }
}

impl PendingChanges {
    fn is_empty(&self) -> bool {
        self.ends.is_empty() && self.failed.is_none() && self.cancels.is_empty() && !self.expired
    }
}
