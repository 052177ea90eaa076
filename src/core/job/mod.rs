//! Durable jobs, one table row `job/{id}` each.
//!
//! A job is accepted once its row is committed, is owned by one zone, and its progress is written
//! in group commits.

mod index_set;
mod outcome;
mod progress;
mod row;
mod submit;
mod view;

use std::collections::BTreeSet;
use std::time::Duration;

use rustc_hash::FxHashMap;

use self::progress::Progress;
use self::row::JobRow;
use self::submit::SubmissionOutcome;
use self::submit::Submissions;
use self::view::View;
use crate::core::effect::Answer;
use crate::core::effect::Effect;
use crate::core::effect::Effects;
use crate::core::effect::Reason;
use crate::core::event::TxnOutcome;
use crate::core::model::EndedTask;
use crate::core::model::JOB_TOKEN_BASE;
use crate::core::model::JobId;
use crate::core::model::JobSpec;
use crate::core::model::Now;
use crate::core::model::Row;
use crate::core::model::TaskIndex;
use crate::core::model::TaskRef;
use crate::core::model::TeamId;
use crate::core::model::Ticket;
use crate::core::model::Token;
use crate::core::model::Txn;
use crate::core::model::VmId;
use crate::core::model::Write;
use crate::core::model::ZoneId;
use crate::core::sched::QueuedJob;

pub use self::index_set::TaskIndexSet;
pub use self::row::JobState;

/// Result of parsing a row.
pub type Result<T, E = Box<str>> = std::result::Result<T, E>;

/// Prefix of the identifiers of jobs that the placer creates from service records.
pub const SERVICE_PREFIX: &str = "svc-";

/// Time between scans for rows whose retention period has passed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(60);

/// Maximum number of withdrawn rows that the view remembers.
const MAX_WITHDRAWN_ROWS: usize = 10_000;

/// A change that the placer of the owning zone has to act on.
#[derive(Clone, Debug, PartialEq)]
pub enum JobChange {
    /// The zone now owns a job with tasks to run.
    Queued(QueuedJob),
    /// A job ended, was cancelled or was withdrawn, so none of its tasks should run.
    Ended(JobId),
    /// Ended tasks are recorded in the table, so the VM may drop its reports of them.
    Recorded {
        /// VM that reported the tasks.
        vm: VmId,
        /// Recorded tasks.
        tasks: Vec<TaskRef>,
    },
}

/// This daemon's view of all jobs, with its uncommitted changes.
#[derive(Clone, Debug)]
pub struct Jobs {
    zone: ZoneId,
    /// Wall time, since the Unix epoch, at which the reducer's clock read zero.
    clock_origin: Duration,
    view: View,
    submissions: Submissions,
    progress: Progress,
    /// Tasks that are running or have been sent to a VM, by job.
    running: FxHashMap<JobId, BTreeSet<TaskIndex>>,
    /// Rows committed by this daemon and not yet forwarded to the placers of their zones.
    committed_rows: Vec<(ZoneId, Row)>,
    /// When the last complete read of the table was sent.
    table_read_at: Option<Now>,
    next_expiry_at: Now,
    last_token: Token,
}

impl Jobs {
    /// Returns a view without jobs.
    ///
    /// `clock_origin` is the wall time, since the Unix epoch, at which the clock read zero.
    #[must_use]
    pub fn new(zone: ZoneId, clock_origin: Duration) -> Self {
        Self {
            zone,
            clock_origin,
            view: View::default(),
            submissions: Submissions::default(),
            progress: Progress::default(),
            running: FxHashMap::default(),
            committed_rows: Vec::new(),
            table_read_at: None,
            next_expiry_at: Now::ZERO,
            last_token: JOB_TOKEN_BASE,
        }
    }

    /// Writes the row of a job owned by `zone`. The caller is answered once the result is known, or
    /// with an unknown result after a time-out.
    pub fn submit(
        &mut self,
        now: Now,
        ticket: Ticket,
        spec: JobSpec,
        zone: ZoneId,
        fx: &mut Effects,
    ) {
        if spec.id.starts_with(SERVICE_PREFIX) {
            return reject(ticket, Reason::Invalid, fx);
        }
        if let Some(job) = self.view.get(&spec.id) {
            return submit::answer_known(ticket, &spec, &job.row, fx);
        }
        let row = JobRow::new(spec, zone, self.clock_origin + now);
        let token = self.next_token();
        self.submissions.begin(now, ticket, token, row, fx);
    }

    /// Requests the cancellation of a job. The caller is answered when the job has ended or the
    /// request has timed out, or at once if the job is unknown.
    pub fn cancel(&mut self, now: Now, ticket: Ticket, job: &str, fx: &mut Effects) {
        if self.view.get(job).is_none() {
            fx.push(Effect::Answer {
                ticket,
                answer: Answer::NotFound,
            });
            return;
        }
        self.progress.cancel(now, ticket, job);
    }

    /// Answers the caller with the status of a job.
    pub fn status(&self, _now: Now, ticket: Ticket, job: &str, fx: &mut Effects) {
        let answer = self.status_answer(job).unwrap_or(Answer::NotFound);
        fx.push(Effect::Answer { ticket, answer });
    }

    /// Returns whether the view contains a job of this identifier.
    #[must_use]
    pub fn contains(&self, job: &str) -> bool {
        self.view.get(job).is_some()
    }

    /// Returns the team of a job, `None` if the view does not contain the job.
    #[must_use]
    pub fn team_of(&self, job: &str) -> Option<TeamId> {
        self.view.get(job).map(|job| job.row.spec.team.clone())
    }

    /// Applies rows of the space `job/`, ignoring any that is not newer than the view's.
    pub fn apply(&mut self, now: Now, rows: &[Row]) -> Vec<JobChange> {
        let mut changes = Vec::new();
        for row in rows {
            if let Some(job) = self.view.apply(row) {
                self.collect_changes(now, &job, &mut changes);
            }
        }
        changes
    }

    /// Records that every change committed before `sent` has been applied.
    pub fn record_table_read(&mut self, sent: Now) {
        self.table_read_at = self.table_read_at.max(Some(sent));
    }

    /// Returns all unfinished jobs that the zone owns, for a new placer.
    #[must_use]
    pub fn owned_jobs(&self, now: Now) -> Vec<QueuedJob> {
        self.view
            .iter()
            .filter(|(_, job)| job.row.zone == self.zone)
            .filter_map(|(id, _)| self.queued_job(now, id))
            .collect()
    }

    /// Returns a job with its pending tasks, `None` if it has none or is unknown.
    #[must_use]
    pub fn queued_job(&self, now: Now, id: &str) -> Option<QueuedJob> {
        let job = self.view.get(id)?;
        let row = self.progress.with_pending(id, &job.row);
        let pending = row.pending();
        (!pending.is_empty()).then(|| QueuedJob {
            age: (self.clock_origin + now).saturating_sub(row.submitted),
            spec: row.spec,
            pending,
        })
    }

    /// Records that a task was sent to a VM, or that a VM reported it as running.
    pub fn record_start(&mut self, _now: Now, task: &TaskRef) {
        let running = self.running.entry(task.job.clone()).or_default();
        running.insert(task.index);
    }

    /// Removes a running task whose start is known not to have taken effect.
    pub fn revert_start(&mut self, task: &TaskRef) {
        if let Some(running) = self.running.get_mut(&task.job) {
            running.remove(&task.index);
        }
    }

    /// Drops all running tasks, and all uncommitted changes except cancellations, when this daemon
    /// leaves the role of placer.
    pub fn clear_running(&mut self) {
        self.running.clear();
        self.progress.retain_cancellations();
    }

    /// Queues the end of a task for the next group commit. Returns `false` if it is already queued
    /// or needs no recording.
    pub fn record_task_end(&mut self, now: Now, vm: &str, end: &EndedTask) -> bool {
        if !self.needs_recording(end) {
            return false;
        }
        let is_new = self.progress.record_task_end(now, vm, end);
        if is_new {
            self.revert_start(&end.task);
        }
        is_new
    }

    /// Returns whether the end of a task still has to be recorded in a row. Until then its VM must
    /// keep reporting it.
    #[must_use]
    pub fn needs_recording(&self, end: &EndedTask) -> bool {
        let job = &end.task.job;
        if job.starts_with(SERVICE_PREFIX) {
            return false;
        }
        match self.view.get(job) {
            Some(job) => !job.row.has_recorded(end),
            None => !self.view.is_withdrawn(job),
        }
    }

    /// Returns whether a job has ended or was withdrawn, so that none of its tasks should run.
    #[must_use]
    pub fn is_ended(&self, job: &str) -> bool {
        match self.view.get(job) {
            Some(job) => job.row.state != JobState::Active,
            None => self.view.is_withdrawn(job),
        }
    }

    /// Queues the failure of a job that the scheduler has given up.
    pub fn fail(&mut self, now: Now, job: &str, reason: Reason) {
        if self.view.get(job).is_some() {
            self.progress.fail(now, job, reason);
        }
    }

    /// Resolves submissions whose answer was lost, sends the group commit if one is due, and
    /// answers cancellations that have finished or timed out.
    pub fn tick(&mut self, now: Now, fx: &mut Effects) -> Vec<JobChange> {
        let mut last_token = self.last_token;
        self.submissions.tick(now, &mut last_token, fx);
        let wall = self.clock_origin + now;
        if let Some(writes) = self.progress.next_writes(now, wall, &self.view) {
            last_token += 1;
            self.progress.set_in_flight(last_token);
            let txn = Txn { writes };
            fx.push(Effect::Commit {
                token: last_token,
                txn,
            });
        }
        self.last_token = last_token;
        self.answer_cancellations(now, fx);
        self.remove_orphaned_ends()
    }

    /// Marks the zone's rows whose retention period has passed, to be withdrawn by the next group
    /// commits.
    pub fn expire(&mut self, now: Now) {
        if now >= self.next_expiry_at {
            self.next_expiry_at = now + EXPIRY_INTERVAL;
            self.progress
                .expire(self.clock_origin + now, &self.zone, &self.view);
            self.view.prune_withdrawn(MAX_WITHDRAWN_ROWS);
        }
    }

    /// Handles the outcome of a transaction; returns `None` if the transaction belongs to no job.
    pub fn handle_txn_outcome(
        &mut self,
        now: Now,
        token: Token,
        outcome: &TxnOutcome,
        fx: &mut Effects,
    ) -> Option<Vec<JobChange>> {
        if self.progress.handle_txn_outcome(now, token, outcome) {
            let changes = self.apply_txn_rows(now, outcome);
            self.record_ended_jobs(outcome, fx);
            self.answer_cancellations(now, fx);
            return Some(changes);
        }
        let mut last_token = self.last_token;
        let result =
            self.submissions
                .handle_txn_outcome(now, token, outcome, &mut last_token, fx)?;
        self.last_token = last_token;
        let changes = self.apply_txn_rows(now, outcome);
        if let (SubmissionOutcome::Accepted(zone), TxnOutcome::Committed(rows)) = (result, outcome)
        {
            for row in rows {
                self.record_accepted(&zone, row, fx);
            }
        }
        Some(changes)
    }

    /// Removes and returns the rows of submissions committed by this daemon since the last call,
    /// with the zones that own the jobs.
    pub fn take_committed_rows(&mut self) -> Vec<(ZoneId, Row)> {
        std::mem::take(&mut self.committed_rows)
    }

    /// Returns the number of callers that wait for a submission or cancellation.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.submissions.len() + self.progress.cancellations()
    }

    /// Returns the zone of this daemon.
    #[must_use]
    pub fn zone(&self) -> &str {
        &self.zone
    }

    fn next_token(&mut self) -> Token {
        self.last_token += 1;
        self.last_token
    }
}

fn reject(ticket: Ticket, reason: Reason, fx: &mut Effects) {
    let answer = Answer::NotRun {
        reason,
        retry_after: None,
    };
    fx.push(Effect::Answer { ticket, answer });
}

/// Returns the write of a job's row on condition that its version is `expect`; `None` if the row
/// cannot be serialized.
fn write(row: &JobRow, expect: u64) -> Option<Write> {
    let value = Some(row.to_json()?);
    let key = row::key(&row.spec.id);
    Some(Write { key, expect, value })
}
