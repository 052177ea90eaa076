//! Durable jobs: accepted once they are in the table, owned by one zone, progress group-committed.
//!
//! Row `job/{id}`.

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
use self::submit::Ended;
use self::submit::Submissions;
use self::view::View;
use crate::core::effect::Answer;
use crate::core::effect::Effect;
use crate::core::effect::Effects;
use crate::core::effect::Reason;
use crate::core::event::TxnEnd;
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

/// Result of reading a row.
pub type Result<T, E = Box<str>> = std::result::Result<T, E>;

/// Start of the names of the jobs that the placer makes from service records.
pub const SERVICE_PREFIX: &str = "svc-";

/// Time between looks for rows that have been kept for long enough.
const EXPIRE_EVERY: Duration = Duration::from_secs(60);

/// Withdrawn rows that the view remembers.
const WITHDRAWN_KEPT: usize = 10_000;

/// What changed for the placer of the owning zone.
#[derive(Clone, Debug, PartialEq)]
pub enum JobChange {
    /// The zone owns a job with tasks to run.
    Queued(QueuedJob),
    /// A job of the zone was cancelled.
    Cancelled(JobId),
    /// Ends of tasks are in the table; the VMs may forget them.
    Recorded {
        /// VM that reported them.
        vm: VmId,
        /// Which tasks.
        tasks: Vec<TaskRef>,
    },
}

/// Jobs as this daemon knows them.
#[derive(Clone, Debug)]
pub struct Jobs {
    zone: ZoneId,
    /// Wall time at which the reducer's clock read zero.
    origin: Duration,
    view: View,
    submissions: Submissions,
    progress: Progress,
    /// Tasks that run or were sent to a VM, by job.
    running: FxHashMap<JobId, BTreeSet<TaskIndex>>,
    /// Rows committed here that another daemon's placer should hear of.
    news: Vec<(ZoneId, Row)>,
    /// Clock reading before the last complete read of the table.
    read: Option<Now>,
    next_expiry: Now,
    tokens: Token,
}

impl Jobs {
    /// Returns a view without jobs; `origin` is the wall time at which the clock read zero.
    #[must_use]
    pub fn new(zone: ZoneId, origin: Duration) -> Self {
        Self {
            zone,
            origin,
            view: View::default(),
            submissions: Submissions::default(),
            progress: Progress::default(),
            running: FxHashMap::default(),
            news: Vec::new(),
            read: None,
            next_expiry: Now::ZERO,
            tokens: JOB_TOKEN_BASE,
        }
    }

    /// Accepts a job for `zone`: writes its row, and answers the caller once that is certain.
    pub fn submit(
        &mut self,
        now: Now,
        ticket: Ticket,
        spec: JobSpec,
        zone: ZoneId,
        fx: &mut Effects,
    ) {
        if spec.id.starts_with(SERVICE_PREFIX) {
            return refuse(ticket, Reason::Invalid, fx);
        }
        if let Some(job) = self.view.get(&spec.id) {
            return submit::answer_known(ticket, &spec, &job.row, fx);
        }
        let row = JobRow::new(spec, zone, self.origin + now);
        let token = self.next_token();
        self.submissions.begin(now, ticket, token, row, fx);
    }

    /// Cancels a job and answers the caller.
    pub fn cancel(&mut self, now: Now, ticket: Ticket, job: &str, fx: &mut Effects) {
        if self.view.get(job).is_none() {
            fx.push(Effect::Answer {
                ticket,
                answer: Answer::Missing,
            });
            return;
        }
        self.progress.cancel(now, ticket, job);
    }

    /// Answers the caller with what is known of a job.
    pub fn status(&self, _now: Now, ticket: Ticket, job: &str, fx: &mut Effects) {
        let answer = self.describe(job).unwrap_or(Answer::Missing);
        fx.push(Effect::Answer { ticket, answer });
    }

    /// Whether a job of this identifier is known here.
    #[must_use]
    pub fn contains(&self, job: &str) -> bool {
        self.view.get(job).is_some()
    }

    /// Team of a job, if the job is known here.
    #[must_use]
    pub fn team_of(&self, job: &str) -> Option<TeamId> {
        self.view.get(job).map(|job| job.row.spec.team.clone())
    }

    /// Takes rows of the space `job/`; a row that is not newer is ignored.
    pub fn apply(&mut self, now: Now, rows: &[Row]) -> Vec<JobChange> {
        let mut changes = Vec::new();
        for row in rows {
            if let Some(job) = self.view.apply(row) {
                self.changed(now, &job, &mut changes);
            }
        }
        changes
    }

    /// Every change committed before `sent` has been applied.
    pub fn record_table_read(&mut self, sent: Now) {
        self.read = self.read.max(Some(sent));
    }

    /// All unfinished jobs that the zone owns, for a new placer.
    #[must_use]
    pub fn owned_jobs(&self, now: Now) -> Vec<QueuedJob> {
        self.view
            .iter()
            .filter(|(_, job)| job.row.zone == self.zone)
            .filter_map(|(id, _)| self.queued_job(now, id))
            .collect()
    }

    /// One unfinished job that the zone owns, as it is now.
    #[must_use]
    pub fn queued_job(&self, now: Now, id: &str) -> Option<QueuedJob> {
        let job = self.view.get(id)?;
        let row = self.progress.expected(id, &job.row);
        let pending = row.pending();
        (!pending.is_empty()).then(|| QueuedJob {
            age: (self.origin + now).saturating_sub(row.submitted),
            spec: row.spec,
            pending,
        })
    }

    /// A task was sent to a VM, or a VM reported that it runs.
    pub fn record_start(&mut self, _now: Now, task: &TaskRef) {
        let running = self.running.entry(task.job.clone()).or_default();
        running.insert(task.index);
    }

    /// A start was proved not to have taken effect.
    pub fn revert_start(&mut self, task: &TaskRef) {
        if let Some(running) = self.running.get_mut(&task.job) {
            running.remove(&task.index);
        }
    }

    /// Another daemon became placer: what runs is no longer known here.
    pub fn clear_running(&mut self) {
        self.running.clear();
        self.progress.forget();
    }

    /// A task ended; it is recorded with the next group commit. Returns whether it is news.
    pub fn record_task_end(&mut self, now: Now, vm: &str, end: &EndedTask) -> bool {
        if !self.needs_recording(end) {
            return false;
        }
        let news = self.progress.record_task_end(now, vm, end);
        if news {
            self.revert_start(&end.task);
        }
        news
    }

    /// Whether the end of a task still has to be recorded in a row, so that its VM must keep it.
    #[must_use]
    pub fn needs_recording(&self, end: &EndedTask) -> bool {
        let job = &end.task.job;
        if job.starts_with(SERVICE_PREFIX) {
            return false;
        }
        match self.view.get(job) {
            Some(job) => !job.row.holds(end),
            None => !self.view.is_withdrawn(job),
        }
    }

    /// Whether nothing of a job should run any more.
    #[must_use]
    pub fn is_ended(&self, job: &str) -> bool {
        match self.view.get(job) {
            Some(job) => job.row.state != JobState::Active,
            None => self.view.is_withdrawn(job),
        }
    }

    /// The scheduler gave a job up.
    pub fn fail(&mut self, now: Now, job: &str, reason: Reason) {
        if self.view.get(job).is_some() {
            self.progress.fail(now, job, reason);
        }
    }

    /// Sends the group commit when one is due.
    pub fn tick(&mut self, now: Now, fx: &mut Effects) -> Vec<JobChange> {
        let mut tokens = self.tokens;
        self.submissions.tick(now, &mut tokens, fx);
        let wall = self.origin + now;
        if let Some(writes) = self.progress.due(now, wall, &self.view) {
            tokens += 1;
            self.progress.sent(tokens);
            let txn = Txn { writes };
            fx.push(Effect::Commit { token: tokens, txn });
        }
        self.tokens = tokens;
        self.settle(now, fx);
        self.forget_orphans()
    }

    /// Withdraws the zone's rows that have been kept for long enough, with the next group commits.
    pub fn expire(&mut self, now: Now) {
        if now >= self.next_expiry {
            self.next_expiry = now + EXPIRE_EVERY;
            self.progress
                .expire(self.origin + now, &self.zone, &self.view);
            self.view.forget_withdrawn(WITHDRAWN_KEPT);
        }
    }

    /// A transaction of the jobs' ended; `None` when it was not theirs.
    pub fn handle_txn_end(
        &mut self,
        now: Now,
        token: Token,
        end: &TxnEnd,
        fx: &mut Effects,
    ) -> Option<Vec<JobChange>> {
        if self.progress.handle_txn_end(now, token, end) {
            let changes = self.take_rows(now, end);
            self.note_ended(end, fx);
            self.settle(now, fx);
            return Some(changes);
        }
        let mut tokens = self.tokens;
        let ended = self
            .submissions
            .handle_txn_end(now, token, end, &mut tokens, fx)?;
        self.tokens = tokens;
        let changes = self.take_rows(now, end);
        if let (Ended::Accepted(zone), TxnEnd::Committed(rows)) = (ended, end) {
            for row in rows {
                self.accepted(&zone, row, fx);
            }
        }
        Some(changes)
    }

    /// Rows committed here since the last call, with the zones that own the jobs.
    pub fn take_committed_rows(&mut self) -> Vec<(ZoneId, Row)> {
        std::mem::take(&mut self.news)
    }

    /// Callers that wait for the end of a submission or cancellation.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.submissions.len() + self.progress.cancellations()
    }

    /// Zone of this daemon.
    #[must_use]
    pub fn zone(&self) -> &str {
        &self.zone
    }

    fn next_token(&mut self) -> Token {
        self.tokens += 1;
        self.tokens
    }
}

fn refuse(ticket: Ticket, reason: Reason, fx: &mut Effects) {
    let answer = Answer::NotRun {
        reason,
        retry_after: None,
    };
    fx.push(Effect::Answer { ticket, answer });
}

fn write(row: &JobRow, expect: u64) -> Option<Write> {
    let value = Some(row.text()?);
    let key = row::key(&row.spec.id);
    Some(Write { key, expect, value })
}
