//! Failure attribution: distinguishes VMs on which everything fails from jobs that fail everywhere.
//!
//! Failures are counted by distinct jobs for a VM, and by distinct VMs for a job. Once one side is
//! found faulty, its failures no longer count against the other. A quarantine is lifted when the
//! jobs that led to it are found faulty. A failed task whose memory usage exceeded its size counts
//! against neither, since it is restarted with the observed size.

use std::time::Duration;

use super::Decision;
use super::Scheduler;
use super::queue::Failure;
use super::slab::SlabIndex;
use super::task::PlacedTask;
use crate::core::effect::Reason;
use crate::core::model::Now;
use crate::core::model::TaskOutcome;

/// Number of distinct jobs that fail on a VM, without a success in between, before the VM is
/// quarantined.
const QUARANTINE_FAILED_JOBS: usize = 3;

/// At most one in this many of the zone's VMs may be in quarantine; one VM always may.
const VMS_PER_QUARANTINE: usize = 10;

/// Number of distinct VMs on which a task fails before its job is failed. VMs on which other jobs
/// fail too do not count. As long as no task of the job has succeeded, the failures of all its
/// tasks count together.
const MAX_FAILED_VMS: usize = 3;

/// Number of failures of one task, on any VMs, before its job is failed.
const MAX_TASK_FAILURES: usize = 6;

/// Number of successive runs of a task that are lost with their VMs after less than [`PROVEN_TIME`]
/// before its job is failed: the task may be the cause. A VM may also be lost by itself or be cut off.
const MAX_EARLY_LOSSES: u32 = 6;

/// Time after which a run is not the cause of the loss of its VM.
const PROVEN_TIME: Duration = Duration::from_secs(600);

/// Number of latest failures kept for each job.
const MAX_FAILURES_KEPT: usize = 32;

/// Length of a VM's first quarantine. It doubles with each further one until a task succeeds.
const INITIAL_QUARANTINE: Duration = Duration::from_secs(60);

/// Maximum number of doublings of the quarantine.
const MAX_QUARANTINE_DOUBLINGS: u32 = 6;

/// Delay before a job starts tasks again after its first failure. It doubles with each further one.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Maximum number of doublings of the retry delay.
const MAX_RETRY_DOUBLINGS: u32 = 6;

impl Scheduler {
    /// Records the outcome of a task for its job and VM; returns false if the job was failed.
    pub(super) fn record_outcome(
        &mut self,
        now: Now,
        placed: &PlacedTask,
        outcome: TaskOutcome,
    ) -> bool {
        if !self.jobs[placed.job].is_active() {
            return true;
        }
        match outcome {
            TaskOutcome::Done => self.record_success(placed),
            TaskOutcome::Failed if placed.exceeded_memory() => {}
            TaskOutcome::Failed => return self.record_failure(now, placed),
            TaskOutcome::Stopped | TaskOutcome::Checkpointed => {}
        }
        true
    }

    /// Ends the quarantines that have expired.
    pub(super) fn end_quarantines(&mut self, now: Now) {
        while let Some(&(until, vm)) = self.quarantines.first() {
            if until > now {
                return;
            }
            self.quarantines.pop_first();
            if self.vms.try_get(vm).is_some() {
                self.vms.update(vm, |vm| vm.quarantine = None);
            }
        }
    }

    /// Counts a success of the job, and clears the failures and quarantines counted for the VM.
    fn record_success(&mut self, placed: &PlacedTask) {
        let entry = &mut self.jobs[placed.job];
        entry.done += 1;
        entry.early_losses.remove(&placed.index);
        self.vms.update_unindexed(placed.vm, |vm| {
            vm.failed_jobs.clear();
            vm.quarantine_count = 0;
        });
    }

    /// Records that a task is lost with its VM. Delays the job's next start if it was lost before,
    /// and fails the job if that happens too often.
    pub(super) fn record_loss(&mut self, now: Now, index: SlabIndex) {
        let placed = &self.tasks[index];
        let (job, task) = (placed.job, placed.index);
        let is_early = now < placed.started + PROVEN_TIME;
        let entry = &mut self.jobs[job];
        if !entry.is_active() || placed.is_duplicate() {
            return;
        }
        if !is_early {
            entry.early_losses.remove(&task);
            return;
        }
        let losses = entry.early_losses.entry(task).or_default();
        *losses += 1;
        let losses = *losses;
        if losses >= MAX_EARLY_LOSSES {
            self.fail_job(job, Reason::FailsEverywhere);
        } else if losses > 1 {
            let doublings = (losses - 2).min(MAX_RETRY_DOUBLINGS);
            let delay = INITIAL_RETRY_DELAY * 2_u32.pow(doublings);
            entry.not_before = entry.not_before.max(now + delay);
        }
    }

    /// Records a failure, delays the job's next start, and fails the job or quarantines the VM if
    /// it is found faulty; returns false if the job was failed.
    fn record_failure(&mut self, now: Now, placed: &PlacedTask) -> bool {
        let (job, vm) = (placed.job, placed.vm);
        let entry = &mut self.jobs[job];
        let serial = entry.serial;
        if entry.failures.len() == MAX_FAILURES_KEPT {
            entry.failures.remove(0);
        }
        entry.failures.push(Failure {
            index: placed.index,
            vm,
        });
        entry.failure_count += 1;
        let doublings = (entry.failure_count - 1).min(MAX_RETRY_DOUBLINGS);
        entry.not_before = now + INITIAL_RETRY_DELAY * 2_u32.pow(doublings);
        if self.is_job_faulty(job, placed.index) {
            self.fail_job(job, Reason::FailsEverywhere);
            return false;
        }
        if self.vms.get(vm).quarantine.is_some() {
            return true;
        }
        if !self.failed_on_healthy_vm(job, vm) {
            self.vms.update_unindexed(vm, |vm| {
                if !vm.failed_jobs.contains(&serial) {
                    vm.failed_jobs.push(serial);
                }
            });
        }
        let failed = self.vms.get(vm).failed_jobs.len();
        if failed >= QUARANTINE_FAILED_JOBS && self.may_quarantine() {
            self.quarantine(now, vm);
        }
        true
    }

    /// Returns whether a job failed on [`MAX_FAILED_VMS`] VMs on which no other job fails, or one
    /// of its tasks failed [`MAX_TASK_FAILURES`] times.
    fn is_job_faulty(&self, job: SlabIndex, index: u32) -> bool {
        let entry = &self.jobs[job];
        let counts = |failure: &&Failure| entry.done == 0 || failure.index == index;
        let mut vms: Vec<SlabIndex> = entry
            .failures
            .iter()
            .filter(counts)
            .map(|failure| failure.vm)
            .filter(|&vm| !self.is_vm_suspect(vm, job))
            .collect();
        let of_task = entry
            .failures
            .iter()
            .filter(|failure| failure.index == index);
        if of_task.count() >= MAX_TASK_FAILURES {
            return true;
        }
        vms.sort_unstable();
        vms.dedup();
        vms.len() >= MAX_FAILED_VMS
    }

    /// Returns whether a VM was quarantined, or other jobs failed on it, since a task last
    /// succeeded there.
    fn is_vm_suspect(&self, vm: SlabIndex, job: SlabIndex) -> bool {
        let serial = self.jobs[job].serial;
        let vm = self.vms.try_get(vm);
        vm.is_some_and(|vm| {
            vm.quarantine_count > 0 || vm.failed_jobs.iter().any(|&other| other != serial)
        })
    }

    /// Returns whether a job without any success has also failed on another VM that is not suspect.
    /// Its failures then do not count against the VM.
    fn failed_on_healthy_vm(&self, job: SlabIndex, vm: SlabIndex) -> bool {
        let entry = &self.jobs[job];
        let other = |failure: &Failure| failure.vm != vm && !self.is_vm_suspect(failure.vm, job);
        entry.done == 0 && entry.failures.iter().any(other)
    }

    /// Fails a job permanently, and clears its failures from the records of VMs.
    pub(super) fn fail_job(&mut self, job: SlabIndex, reason: Reason) {
        let id = self.jobs[job].spec.id.clone();
        let serial = self.jobs[job].serial;
        let failures = std::mem::take(&mut self.jobs[job].failures);
        for failure in failures {
            self.remove_failed_job(failure.vm, serial);
        }
        self.exempt_decisions
            .push(Decision::Fail { job: id, reason });
        self.withdraw_job(job);
    }

    /// Removes a faulty job from a VM's record, and ends the VM's quarantine if too few other jobs
    /// led to it.
    fn remove_failed_job(&mut self, vm: SlabIndex, serial: u64) {
        if self.vms.try_get(vm).is_none() {
            return;
        }
        self.vms.update(vm, |vm| {
            vm.failed_jobs.retain(|&failed| failed != serial);
            vm.quarantine_jobs.retain(|&failed| failed != serial);
            if vm.quarantine.is_some() && vm.quarantine_jobs.len() < QUARANTINE_FAILED_JOBS {
                vm.quarantine = None;
                vm.quarantine_count = vm.quarantine_count.saturating_sub(1);
            }
        });
        if self.vms.get(vm).quarantine.is_none() {
            self.quarantines
                .retain(|&(_, quarantined)| quarantined != vm);
        }
    }

    /// Returns whether another VM may be quarantined.
    fn may_quarantine(&self) -> bool {
        let limit = (self.vms.len() / VMS_PER_QUARANTINE).max(1);
        self.quarantines.len() < limit
    }

    fn quarantine(&mut self, now: Now, vm: SlabIndex) {
        let entry = self.vms.get(vm);
        let length =
            INITIAL_QUARANTINE * 2_u32.pow(entry.quarantine_count.min(MAX_QUARANTINE_DOUBLINGS));
        let until = now + length;
        let id = entry.id.clone();
        self.vms.update(vm, |vm| {
            vm.quarantine = Some(until);
            vm.quarantine_count += 1;
            vm.quarantine_jobs = std::mem::take(&mut vm.failed_jobs);
        });
        self.quarantines.insert((until, vm));
        self.exempt_decisions
            .push(Decision::Quarantine { vm: id, until });
    }
}
