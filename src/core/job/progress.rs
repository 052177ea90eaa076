//! Changes of jobs that are not yet in the table: ends of tasks, jobs given up, cancellations.
//!
//! All of them go into one transaction about once a second. Whether a change took effect is read
//! from the row itself, so that a lost answer needs no settlement of its own.

use std::collections::BTreeMap;
use std::time::Duration;

use super::row;
use super::row::JobRow;
use super::row::JobState;
use super::view::Job;
use super::view::View;
use super::write;
use crate::core::effect::Reason;
use crate::core::event::TxnEnd;
use crate::core::model::EndedTask;
use crate::core::model::JobId;
use crate::core::model::Now;
use crate::core::model::TaskRef;
use crate::core::model::Ticket;
use crate::core::model::Token;
use crate::core::model::VmId;
use crate::core::model::Write;

/// Time between group commits.
const COMMIT_EVERY: Duration = Duration::from_secs(1);

/// Time after which a group commit that met newer rows is tried again.
const RETRY_EVERY: Duration = Duration::from_millis(100);

/// Rows in one transaction at the most.
const ROWS_PER_COMMIT: usize = 128;

/// Time after which a caller is told that the end of its cancellation is not known.
const PATIENCE: Duration = Duration::from_secs(8);

/// Time for which the row of an ended job is kept; the same identifier means the same job until
/// then.
const RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// Changes of one job.
#[derive(Clone, Debug, Default)]
struct Local {
    /// When the first of the ends was heard.
    heard: Now,
    ends: Vec<(VmId, EndedTask)>,
    failed: Option<Reason>,
    cancels: Vec<(Ticket, Now)>,
    /// The row has been kept for long enough.
    expired: bool,
}

/// Changes of all jobs.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress {
    jobs: BTreeMap<JobId, Local>,
    under_way: Option<Token>,
    next_commit: Now,
}

impl Progress {
    /// Takes the end of a task; returns whether it is news.
    pub fn record_task_end(&mut self, now: Now, vm: &str, end: &EndedTask) -> bool {
        let local = self.jobs.entry(end.task.job.clone()).or_default();
        if local.ends.is_empty() {
            local.heard = now;
        }
        let known = local.ends.iter().any(|(_, old)| old.task == end.task);
        if !known {
            local.ends.push((vm.into(), end.clone()));
        }
        !known
    }

    /// The scheduler gave a job up.
    pub fn fail(&mut self, _now: Now, job: &str, reason: Reason) {
        self.jobs.entry(job.into()).or_default().failed = Some(reason);
    }

    /// A caller cancels a job.
    pub fn cancel(&mut self, now: Now, ticket: Ticket, job: &str) {
        let local = self.jobs.entry(job.into()).or_default();
        local.cancels.push((ticket, now));
        self.next_commit = now;
    }

    /// Cancellations whose callers wait.
    pub fn cancellations(&self) -> usize {
        self.jobs.values().map(|local| local.cancels.len()).sum()
    }

    /// Forgets what the VMs will report to another placer.
    pub fn forget(&mut self) {
        for local in self.jobs.values_mut() {
            local.ends.clear();
            local.failed = None;
            local.expired = false;
        }
        self.jobs.retain(|_, local| !local.is_empty());
    }

    /// The row as it should become.
    pub fn expected(&self, job: &str, row: &JobRow) -> JobRow {
        let mut row = row.clone();
        let Some(local) = self.jobs.get(job) else {
            return row;
        };
        for (_, end) in &local.ends {
            row.add(end);
        }
        if row.state == JobState::Active && !local.cancels.is_empty() {
            row.state = JobState::Cancelled;
            row.reason = Some(Reason::Cancelled);
        }
        if row.state == JobState::Active && local.failed.is_some() {
            row.state = JobState::Failed;
            row.reason = local.failed;
        }
        row
    }

    /// Marks the rows of `zone` that have been kept for long enough; `wall` is the wall time.
    pub fn expire(&mut self, wall: Duration, zone: &str, view: &View) {
        let old = |job: &Job| {
            job.row
                .ended
                .is_some_and(|ended| wall.saturating_sub(ended) >= RETENTION)
        };
        for (id, _) in view
            .iter()
            .filter(|(_, job)| *job.row.zone == *zone && old(job))
        {
            self.jobs.entry(id.clone()).or_default().expired = true;
        }
    }

    /// Removes and returns the ends of jobs that no row was found for, though the table was read
    /// after they had been heard.
    pub fn orphans(&mut self, read: Now, view: &View) -> Vec<(VmId, TaskRef)> {
        let mut orphans = Vec::new();
        for (id, local) in &mut self.jobs {
            if view.get(id).is_none() && local.heard < read {
                let ends = local.ends.drain(..);
                orphans.extend(ends.map(|(vm, end)| (vm, end.task)));
            }
        }
        self.jobs.retain(|_, local| !local.is_empty());
        orphans
    }

    /// Returns the writes of the next group commit, if one is due; `wall` is the wall time.
    pub fn due(&mut self, now: Now, wall: Duration, view: &View) -> Option<Vec<Write>> {
        if self.under_way.is_some() || now < self.next_commit {
            return None;
        }
        let writes: Vec<Write> = self
            .jobs
            .iter()
            .filter_map(|(id, local)| self.write(id, local, wall, view.get(id)?))
            .take(ROWS_PER_COMMIT)
            .collect();
        if writes.is_empty() {
            return None;
        }
        self.next_commit = now + COMMIT_EVERY;
        Some(writes)
    }

    fn write(&self, id: &JobId, local: &Local, wall: Duration, job: &Job) -> Option<Write> {
        if local.expired {
            return Some(Write {
                key: row::key(id),
                expect: job.version,
                value: None,
            });
        }
        let mut row = self.expected(id, &job.row);
        if row.state != JobState::Active {
            row.ended = row.ended.or(Some(wall));
        }
        (row != job.row).then(|| write(&row, job.version))?
    }

    /// The writes were sent under a token.
    pub fn sent(&mut self, token: Token) {
        self.under_way = Some(token);
    }

    /// A transaction ended; returns whether it was the group commit.
    pub fn handle_txn_end(&mut self, now: Now, token: Token, end: &TxnEnd) -> bool {
        if self.under_way != Some(token) {
            return false;
        }
        self.under_way = None;
        if matches!(end, TxnEnd::Conflict(_)) {
            self.next_commit = now + RETRY_EVERY;
        }
        true
    }

    /// Removes and returns the ends that a job's row holds now, by the VM that reported them.
    pub fn recorded(&mut self, job: &JobId, view: &View) -> Vec<(VmId, Vec<TaskRef>)> {
        let Some(local) = self.jobs.get_mut(job) else {
            return Vec::new();
        };
        let row = view.get(job).map(|job| &job.row);
        let mut recorded: BTreeMap<VmId, Vec<TaskRef>> = BTreeMap::new();
        local.ends.retain(|(vm, end)| {
            let held = row.is_none_or(|row| row.holds(end));
            if held {
                let tasks = recorded.entry(vm.clone()).or_default();
                tasks.push(end.task.clone());
            }
            !held
        });
        if row.is_none_or(|row| row.state != JobState::Active) {
            local.failed = None;
        }
        local.expired &= row.is_some();
        if local.is_empty() {
            self.jobs.remove(job);
        }
        recorded.into_iter().collect()
    }

    /// Removes and returns the cancellations that ended, or whose callers have waited too long
    /// (`true`).
    pub fn settled(&mut self, now: Now, view: &View) -> Vec<(Ticket, JobId, bool)> {
        let mut settled = Vec::new();
        for (id, local) in &mut self.jobs {
            let ended = view
                .get(id)
                .is_none_or(|job| job.row.state != JobState::Active);
            local.cancels.retain(|(ticket, began)| {
                let late = now.saturating_sub(*began) >= PATIENCE;
                if ended || late {
                    settled.push((*ticket, id.clone(), !ended));
                }
                !ended && !late
            });
        }
        self.jobs.retain(|_, local| !local.is_empty());
        settled
    }
}

impl Local {
    fn is_empty(&self) -> bool {
        self.ends.is_empty() && self.failed.is_none() && self.cancels.is_empty() && !self.expired
    }
}
