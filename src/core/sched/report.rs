//! Reports of VMs: running tasks, task ends and lost tasks.

use super::Decision;
use super::Scheduler;
use super::VmSpec;
use super::slab::SlabIndex;
use super::task::Origin;
use super::task::PlacedTask;
use crate::core::model::ActionKind;
use crate::core::model::EndedTask;
use crate::core::model::Now;
use crate::core::model::RunningTask;
use crate::core::model::TaskOutcome;
use crate::core::model::TaskRef;

/// Number of consecutive reports of a VM without a task that was listed before, after which the
/// task counts as lost.
const REPORTS_UNTIL_LOST: u32 = 2;

impl Scheduler {
    pub(super) fn upsert_vm(&mut self, now: Now, spec: VmSpec, running: &[RunningTask]) {
        let vm = self.vms.upsert(spec);
        self.apply_report(now, vm, running);
    }

    /// Applies a VM's report: adopts unknown tasks, updates known ones, and handles those that have
    /// been missing for [`REPORTS_UNTIL_LOST`] reports.
    pub(super) fn apply_report(&mut self, now: Now, vm: SlabIndex, running: &[RunningTask]) {
        let report = self.vms.count_report(vm);
        for task in running {
            let index = self.find_or_adopt(now, vm, task);
            let placed = self.tasks.get_mut(index);
            placed.last_report = Some(report);
            let job = placed.job;
            self.record_state(index, task.state);
            self.update_charge(index, task.used);
            self.learn_from_usage(job, &task.used);
        }
        let missing: Vec<SlabIndex> = self
            .vms
            .get(vm)
            .tasks
            .iter()
            .copied()
            .filter(|&index| is_missing(&self.tasks[index], report))
            .collect();
        for index in missing {
            self.handle_lost_task(index);
        }
        self.refresh_overcommitted(vm);
    }

    /// Applies the end of a task: updates the estimate and the failure records, and queues the task
    /// again if it is to be restarted.
    pub(super) fn apply_task_end(&mut self, now: Now, vm: SlabIndex, end: &EndedTask) {
        let Some(job) = self.jobs.find(&end.task.job) else {
            return;
        };
        let Some(index) = self.find_on_vm(vm, job, &end.task) else {
            self.dequeue_finished(job, end);
            return;
        };
        let Some(placed) = self.remove_placed(index) else {
            return;
        };
        self.learn_from_end(now, &placed, end.outcome);
        let continues = self.record_outcome(now, &placed, end.outcome);
        if continues && self.should_restart(job, end.outcome) {
            self.requeue(&placed);
        } else if continues {
            self.remove_if_idle(job);
        }
    }

    /// Handles a task that has stopped without a reported end: queues it again, or records it as
    /// lost if it may not be restarted.
    pub(super) fn handle_lost_task(&mut self, index: SlabIndex) {
        let Some(placed) = self.remove_placed(index) else {
            return;
        };
        let job = &self.jobs[placed.job];
        if job.is_active()
            && !placed.is_duplicate()
            && !self.should_restart(placed.job, TaskOutcome::Failed)
        {
            let end = EndedTask {
                task: self.task_ref(&placed),
                team: job.spec.team.clone(),
                outcome: TaskOutcome::Failed,
            };
            let vm = self.vms.get(placed.vm).id.clone();
            self.exempt_decisions.push(Decision::Lost { vm, end });
            self.remove_if_idle(placed.job);
            return;
        }
        self.requeue(&placed);
    }

    /// Removes a placed task that never started, and queues it again.
    pub(super) fn undo_start(&mut self, vm: SlabIndex, task: &TaskRef) {
        let found = self
            .jobs
            .find(&task.job)
            .and_then(|job| self.find_on_vm(vm, job, task));
        if let Some(placed) = found.and_then(|index| self.remove_placed(index)) {
            self.requeue(&placed);
        }
    }

    /// Whether a task of a job is restarted after an outcome: always for services, and for other
    /// jobs only if they are restartable and the task did not succeed.
    fn should_restart(&self, job: SlabIndex, outcome: TaskOutcome) -> bool {
        let job = &self.jobs[job];
        match outcome {
            TaskOutcome::Done => job.is_service(),
            TaskOutcome::Failed | TaskOutcome::Stopped | TaskOutcome::Checkpointed => {
                job.spec.restartable || job.is_service()
            }
        }
    }

    /// Removes a pending task that had ended before its job was submitted, unless it is to be
    /// restarted.
    fn dequeue_finished(&mut self, job: SlabIndex, end: &EndedTask) {
        if self.should_restart(job, end.outcome) || self.tasks.find(job, end.task.index).is_some() {
            return;
        }
        let mut pending = self.jobs[job].pending.iter();
        if let Some(position) = pending.position(|task| task.index == end.task.index) {
            self.dequeue(job, position);
            self.remove_if_idle(job);
        }
    }

    /// Index of a placed task, valid or duplicate, on a VM.
    fn find_on_vm(&self, vm: SlabIndex, job: SlabIndex, task: &TaskRef) -> Option<SlabIndex> {
        let matches = |index: &SlabIndex| {
            let placed = &self.tasks[*index];
            placed.vm == vm && placed.index == task.index && placed.attempt == task.attempt
        };
        if let Some(index) = self.tasks.find(job, task.index)
            && matches(&index)
        {
            return Some(index);
        }
        let on_vm = &self.vms.get(vm).tasks;
        on_vm.iter().copied().find(|index| {
            self.tasks[*index].is_duplicate() && self.tasks[*index].job == job && matches(index)
        })
    }

    /// Index of a reported task, which is adopted if it is unknown.
    fn find_or_adopt(&mut self, now: Now, vm: SlabIndex, running: &RunningTask) -> SlabIndex {
        let known = self.jobs.find(&running.task.job);
        let found = known.and_then(|job| self.find_on_vm(vm, job, &running.task));
        found.unwrap_or_else(|| {
            let job = self.job_of_running(now, running);
            self.adopt(now, vm, job, running)
        })
    }

    /// Adds a task that this scheduler did not start. It replaces the pending task, unless another
    /// instance is valid; then the reported one is a duplicate and is stopped.
    fn adopt(
        &mut self,
        now: Now,
        vm: SlabIndex,
        job: SlabIndex,
        running: &RunningTask,
    ) -> SlabIndex {
        let team = self.find_or_insert_team(&running.team);
        let task = (running.task.index, running.task.attempt);
        let mut placed = PlacedTask::new(
            job,
            team,
            vm,
            task,
            super::submit::with_task_count(running.size),
        );
        placed.started = now;
        let duplicate = self.tasks.find(job, task.0).is_some();
        placed.origin = if duplicate {
            Origin::Duplicate
        } else {
            Origin::Adopted
        };
        let index = self.add_placed(placed);
        let entry = &mut self.jobs[job];
        entry.next_attempt = entry.next_attempt.max(task.1 + 1);
        let pending = entry
            .pending
            .iter()
            .position(|pending| pending.index == task.0);
        if duplicate {
            self.request_action(index, ActionKind::Stop);
        } else if let Some(position) = pending {
            self.dequeue(job, position);
        }
        index
    }
}

fn is_missing(placed: &PlacedTask, report: u32) -> bool {
    placed
        .last_report
        .is_some_and(|last_report| report.wrapping_sub(last_report) >= REPORTS_UNTIL_LOST)
}
