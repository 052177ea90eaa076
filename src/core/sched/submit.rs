//! Submission and cancellation of jobs, and changes of services.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

use super::PendingTask;
use super::QueuedJob;
use super::Result;
use super::Scheduler;
use super::queue::ClockMillis;
use super::queue::Job;
use super::queue::JobState;
use super::queue::millis;
use super::slab::SlabIndex;
use super::vms::fitting_count;
use crate::core::effect::Reason;
use crate::core::model::ActionKind;
use crate::core::model::JobKind;
use crate::core::model::JobSpec;
use crate::core::model::Now;
use crate::core::model::Resources;
use crate::core::model::RunningTask;

/// A job's rank is raised by its expected run time divided by this number, so that short jobs go
/// first.
const RUN_TIME_DIVISOR: ClockMillis = 4;

/// Run time beyond which a job's rank no longer rises.
const MAX_COUNTED_RUN_TIME_MS: ClockMillis = 40_000;

/// Reduction of the rank of a job whose tasks fill a VM, for each thousandth of the packing weight.
const SIZE_CREDIT_MS: f64 = 10.0;

impl Scheduler {
    pub(super) fn submit_job(&mut self, now: Now, queued: QueuedJob) -> Result<()> {
        let known = self.jobs.find(&queued.spec.id);
        if known.is_some_and(|job| self.jobs[job].state != JobState::Unsubmitted) {
            return Ok(());
        }
        let size = with_task_count(queued.spec.size);
        if !self.can_ever_fit(&queued.spec, &size) {
            return Err(Reason::NeverFits);
        }
        let submitted = millis(now) - millis(queued.age);
        let job = self.activate_job(queued.spec, submitted);
        let rank = self.queue_rank(job);
        self.jobs[job].rank = rank;
        for task in queued.pending {
            if self.tasks.find(job, task.index).is_none() {
                self.enqueue(job, task);
            }
        }
        self.remove_if_idle(job);
        Ok(())
    }

    pub(super) fn update_service(&mut self, now: Now, spec: JobSpec) {
        let stopped = spec.count == 0;
        if let Some(job) = self.jobs.find(&spec.id) {
            self.clear_pending(job);
        }
        let job = self.activate_job(spec, millis(now));
        if stopped {
            self.jobs[job].state = JobState::Withdrawn;
        }
        self.reconcile_instances(job);
        self.remove_if_idle(job);
    }

    /// Inserts a job or replaces its specification, and marks it active. The job must have no
    /// pending tasks, since their size may change.
    fn activate_job(&mut self, spec: JobSpec, submitted: ClockMillis) -> SlabIndex {
        let job = self.find_or_insert_job(&spec, submitted);
        if self.jobs[job].estimate.is_none() {
            let estimate = self.acquire_estimate(&spec.team, &spec.name);
            self.jobs[job].estimate = Some(estimate);
        }
        let entry = &mut self.jobs[job];
        if entry.state == JobState::Unsubmitted {
            entry.submitted = submitted;
            entry.rank = submitted;
        }
        entry.state = JobState::Active;
        entry.size = with_task_count(spec.size);
        entry.estimate_version = 0;
        entry.spec = spec;
        job
    }

    /// Queues missing instances of a service and stops surplus ones. No instance may be pending.
    fn reconcile_instances(&mut self, job: SlabIndex) {
        let count = self.jobs[job].spec.count;
        let surplus: Vec<SlabIndex> = self.jobs[job]
            .placed
            .iter()
            .copied()
            .filter(|&task| self.tasks[task].index >= count)
            .collect();
        for task in surplus {
            self.request_action(task, ActionKind::Stop);
        }
        let attempt = self.jobs[job].next_attempt;
        for index in 0..count {
            if self.tasks.find(job, index).is_none() {
                self.enqueue(job, PendingTask { index, attempt });
            }
        }
    }

    /// Drops a job's pending tasks, stops its placed ones, and marks it as withdrawn.
    pub(super) fn withdraw_job(&mut self, job: SlabIndex) {
        self.clear_pending(job);
        self.jobs[job].state = JobState::Withdrawn;
        for task in self.jobs[job].placed.clone() {
            self.request_action(task, ActionKind::Stop);
        }
        self.remove_if_idle(job);
    }

    /// Returns a job's rank in its team's queue: the time of submission, raised for long tasks by
    /// the weight of waiting, and lowered for large tasks by the weight of packing.
    fn queue_rank(&self, job: SlabIndex) -> ClockMillis {
        let entry = &self.jobs[job];
        let run_time = self.expected_run_time(job).map_or(0, millis);
        let penalty = run_time.min(MAX_COUNTED_RUN_TIME_MS) / RUN_TIME_DIVISOR;
        let weighted_penalty = penalty * ClockMillis::from(self.weights.waiting) / 1_000;
        let shares = self
            .vms
            .shapes()
            .map(|shape| entry.size.dominant_share(shape));
        let largest_share = shares.fold(0.0, f64::max).min(1.0);
        let credit = f64::from(self.weights.packing) * largest_share * SIZE_CREDIT_MS;
        entry.submitted + weighted_penalty - super::deadline::truncated(credit)
    }

    /// Returns the index of a job, which is inserted if it is unknown.
    pub(super) fn find_or_insert_job(
        &mut self,
        spec: &JobSpec,
        submitted: ClockMillis,
    ) -> SlabIndex {
        let team = self.find_or_insert_team(&spec.team);
        self.last_serial += 1;
        self.jobs.find_or_insert(&spec.id, || Job {
            spec: spec.clone(),
            team,
            serial: self.last_serial,
            submitted,
            rank: submitted,
            estimate: None,
            estimate_version: 0,
            open_reservations: 0,
            not_before: Now::ZERO,
            preempt_not_before: Now::ZERO,
            partial_since: None,
            failures: Vec::new(),
            failure_count: 0,
            early_losses: FxHashMap::default(),
            done: 0,
            size: with_task_count(spec.size),
            pending: VecDeque::new(),
            placed: Vec::new(),
            state: JobState::Unsubmitted,
            next_attempt: 0,
        })
    }

    /// Returns the index of the job of a task found running on a VM. An unknown job is inserted
    /// with a placeholder specification from the report, until it is submitted.
    pub(super) fn job_of_running(&mut self, now: Now, running: &RunningTask) -> SlabIndex {
        let spec = JobSpec {
            id: running.task.job.clone(),
            name: "".into(),
            team: running.team.clone(),
            kind: JobKind::Batch,
            count: 0,
            size: running.size,
            run_time: None,
            urgent: false,
            deadline: None,
            restartable: false,
        };
        self.find_or_insert_job(&spec, millis(now))
    }

    /// Returns whether the VMs could hold one task, or all members of a gang, if they were empty.
    /// Any job passes while no VM is known.
    fn can_ever_fit(&self, spec: &JobSpec, size: &Resources) -> bool {
        let needed = match spec.kind {
            JobKind::Gang => spec.count,
            JobKind::Batch | JobKind::Service { .. } => 1,
        };
        let counts = self
            .vms
            .iter()
            .map(|(_, vm)| fitting_count(&vm.capacity, size));
        self.vms.len() == 0 || counts.fold(0, u32::saturating_add) >= needed
    }
}

/// Sets the task count of a size to at least one.
pub(super) fn with_task_count(size: Resources) -> Resources {
    let tasks = size.tasks.max(1);
    Resources { tasks, ..size }
}
