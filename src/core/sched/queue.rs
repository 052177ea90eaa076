//! Jobs and the queues of their pending tasks.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

use super::PendingTask;
use super::Scheduler;
use super::slab::SlabIndex;
use super::task::PlacedTask;
use crate::core::model::ActionKind;
use crate::core::model::JobKind;
use crate::core::model::JobSpec;
use crate::core::model::Now;
use crate::core::model::Resources;
use crate::core::model::TaskIndex;

/// Milliseconds on the reducer's clock; negative for times before the clock's start.
pub type ClockMillis = i64;

/// Life cycle of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// Not submitted to this scheduler, but tasks of it were found running.
    Unsubmitted,
    /// Submitted, and to be run.
    Active,
    /// Cancelled or failed; its remaining tasks are being stopped.
    Withdrawn,
}

/// A failure of a task.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// Position in its job.
    pub index: TaskIndex,
    /// VM on which it failed.
    pub vm: SlabIndex,
}

/// A job that was submitted or of which tasks were found running.
#[derive(Clone, Debug)]
pub struct Job {
    /// Specification; for an unsubmitted job, a placeholder from the report of its first task.
    pub spec: JobSpec,
    /// Team.
    pub team: SlabIndex,
    /// Unique number, which is never reused, unlike the job's index.
    pub serial: u64,
    /// Time of submission.
    pub submitted: ClockMillis,
    /// Rank in its queue, the lowest first.
    pub rank: ClockMillis,
    /// Estimate of its tasks' usage and run time.
    pub estimate: Option<SlabIndex>,
    /// Version of the estimate from which `size` was computed.
    pub estimate_version: u32,
    /// Size with which its next tasks are started.
    pub size: Resources,
    /// Pending tasks.
    pub pending: VecDeque<PendingTask>,
    /// Placed tasks.
    pub placed: Vec<SlabIndex>,
    /// Life-cycle state.
    pub state: JobState,
    /// Number of reservations for its tasks.
    pub open_reservations: usize,
    /// Time before which none of its tasks starts.
    pub not_before: Now,
    /// Time before which no tasks are preempted for it.
    pub preempt_not_before: Now,
    /// For a gang, since when it has been only partly running.
    pub partial_since: Option<Now>,
    /// Latest failures, the oldest first.
    pub failures: Vec<Failure>,
    /// Number of failures.
    pub failure_count: u32,
    /// Number of successive runs of each task that were lost with their VMs after a short time.
    pub early_losses: FxHashMap<TaskIndex, u32>,
    /// Number of tasks that succeeded.
    pub done: u32,
    /// Lowest attempt number that no task of the job has used; services give it to new instances.
    pub next_attempt: u32,
}

impl Job {
    /// Returns whether its tasks are to be run.
    pub fn is_active(&self) -> bool {
        self.state == JobState::Active
    }

    /// Returns whether it is a service or urgent; such jobs go before all others.
    pub fn is_priority(&self) -> bool {
        self.spec.urgent || self.is_service()
    }

    /// Returns the total size of a gang's pending members; zero for other jobs.
    pub fn gang_size(&self) -> Resources {
        match self.spec.kind {
            JobKind::Gang => {
                let count = u32::try_from(self.pending.len()).unwrap_or(u32::MAX);
                self.size.times(count)
            }
            JobKind::Batch | JobKind::Service { .. } => Resources::ZERO,
        }
    }

    /// Returns whether it is a service.
    pub fn is_service(&self) -> bool {
        matches!(self.spec.kind, JobKind::Service { .. })
    }
}

/// Converts a clock reading or duration to milliseconds, saturating.
pub fn millis(now: Now) -> ClockMillis {
    ClockMillis::try_from(now.as_millis()).unwrap_or(ClockMillis::MAX)
}

impl Scheduler {
    /// Appends a pending task to its job, and adds the job to the queues.
    pub(super) fn enqueue(&mut self, job: SlabIndex, task: PendingTask) {
        let entry = &mut self.jobs[job];
        entry.pending.push_back(task);
        self.teams[entry.team].pending.add(&entry.size);
        self.add_to_queues(job);
    }

    /// Removes the pending task at `position`, if there is one, and removes the job from the queues
    /// if it was the last.
    pub(super) fn dequeue(&mut self, job: SlabIndex, position: usize) -> Option<PendingTask> {
        let entry = &mut self.jobs[job];
        let task = entry.pending.remove(position)?;
        self.teams[entry.team].pending.sub(&entry.size);
        if entry.pending.is_empty() {
            self.remove_from_queues(job);
        }
        Some(task)
    }

    /// Drops all pending tasks of a job.
    pub(super) fn clear_pending(&mut self, job: SlabIndex) {
        let entry = &mut self.jobs[job];
        let team = &mut self.teams[entry.team];
        for _ in entry.pending.drain(..) {
            team.pending.sub(&entry.size);
        }
        self.remove_from_queues(job);
    }

    /// Queues a formerly placed task again under a new attempt number. A gang's remaining members
    /// are checkpointed, since all members must start together.
    pub(super) fn requeue(&mut self, placed: &PlacedTask) {
        let job = placed.job;
        if placed.is_duplicate() || !self.jobs[job].is_active() {
            self.remove_if_idle(job);
            return;
        }
        let entry = &self.jobs[job];
        let (index, mut attempt) = (placed.index, placed.attempt + 1);
        if entry.is_service() {
            attempt = entry.next_attempt;
            if index >= entry.spec.count {
                return;
            }
        }
        self.enqueue(job, PendingTask { index, attempt });
        if self.jobs[job].spec.kind == JobKind::Gang {
            self.checkpoint_gang(job);
        }
    }

    /// Removes a job without pending and placed tasks, unless it is an active service.
    pub(super) fn remove_if_idle(&mut self, job: SlabIndex) {
        let entry = &self.jobs[job];
        let is_active_service = entry.is_service() && entry.is_active();
        if is_active_service || !entry.pending.is_empty() || !entry.placed.is_empty() {
            return;
        }
        let name = entry.spec.id.clone();
        if let Some(estimate) = entry.estimate {
            self.estimates[estimate].jobs -= 1;
        }
        self.cancel_reservations(|reserved_for, _| reserved_for == job);
        self.jobs.remove(&name);
    }

    /// Checkpoints the running members of a gang, so that all its members can start together again.
    pub(super) fn checkpoint_gang(&mut self, job: SlabIndex) {
        for task in self.jobs[job].placed.clone() {
            self.request_action(task, ActionKind::Checkpoint);
        }
    }

    fn add_to_queues(&mut self, job: SlabIndex) {
        let entry = &self.jobs[job];
        let key = (entry.rank, job);
        if entry.spec.deadline.is_some() {
            self.deadline_jobs.insert(key);
        }
        if entry.is_priority() {
            self.priority_jobs.insert(key);
        } else {
            self.teams[entry.team].queue.insert(key);
        }
    }

    fn remove_from_queues(&mut self, job: SlabIndex) {
        let entry = &self.jobs[job];
        let key = (entry.rank, job);
        self.teams[entry.team].queue.remove(&key);
        self.priority_jobs.remove(&key);
        self.deadline_jobs.remove(&key);
    }
}
