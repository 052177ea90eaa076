//! Completion and failure of runs, with the consequences for their tasks, steps, jobs and VMs.

use std::time::Duration;

use crate::core::workload::cx::Cx;
use crate::core::workload::cx::millis;
use crate::core::workload::decision::Decision;
use crate::core::workload::effect::JobState;
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::state::fleet::VmKey;
use crate::core::workload::placer::state::job_registry::Job;
use crate::core::workload::placer::state::job_registry::JobKey;
use crate::core::workload::placer::state::job_registry::Placement;
use crate::core::workload::placer::state::job_registry::Task;
use crate::core::workload::placer::state::job_registry::TaskKey;
use crate::core::workload::placer::state::run::Phase;
use crate::core::workload::placer::state::run::Run;
use crate::core::workload::task::EndedTask;
use crate::core::workload::task::RunOutcome;

/// Consecutive failures of different jobs after which a VM gets no new work for [`FAILURE_PAUSE`].
const FAILURE_STREAK_LIMIT: u32 = 3;

/// Time for which a VM gets no new work after [`FAILURE_STREAK_LIMIT`] failures.
const FAILURE_PAUSE: Duration = Duration::from_secs(4);

impl Placer {
    /// Processes the ended runs that VMs have reported.
    pub(in crate::core::workload::placer) fn process_ended_tasks(&mut self, cx: &mut Cx) {
        for (vm_key, ended) in std::mem::take(&mut self.pending_ended_tasks) {
            if self.is_unknown_yet(cx.now, &ended.task) {
                let vm = self.fleet.vms.get(&vm_key);
                let started_ms = vm.map_or(0, |vm| vm.started_ms);
                self.missing.keep_end(vm_key, started_ms, ended);
            } else {
                self.process_ended_task(cx, vm_key, &ended);
            }
        }
        self.schedule_round(cx.now);
    }

    fn process_ended_task(&mut self, cx: &mut Cx, vm_key: VmKey, ended: &EndedTask) {
        self.record_end(cx, vm_key, ended.outcome);
        let Some(task) = self.registry.find_task(&ended.task) else {
            return self.release_surplus_run(vm_key, ended);
        };
        let run = self
            .fleet
            .vms
            .get(&vm_key)
            .and_then(|vm| vm.runs.get(&task))
            .filter(|run| run.number == ended.run)
            .copied();
        let is_current = run.is_some();
        if let Some(run) = run {
            self.release_run(vm_key, task);
            self.record_duration(cx, vm_key, task, &run, ended.outcome);
        }
        self.record_history(task, ended);
        self.disprove_crash(task, ended.run);
        match ended.outcome {
            RunOutcome::Done => self.complete_task(cx, vm_key, task),
            RunOutcome::Failed => self.record_task_failure(cx, vm_key, task, ended.run),
            RunOutcome::Stopped
            | RunOutcome::LeaseExpired
            | RunOutcome::GangMemberEnded
            | RunOutcome::GangTimedOut => {}
        }
        if is_current {
            self.registry.requeue(task, cx.now);
        }
        self.log_end(cx, vm_key, task, ended);
    }

    /// Frees the resources of a run whose task was done before it ended, with the whole occurrence.
    fn release_surplus_run(&mut self, vm_key: VmKey, ended: &EndedTask) {
        let Some(task) = self.registry.task_key(&ended.task) else {
            return;
        };
        let vm = self.fleet.vms.get(&vm_key);
        let run = vm.and_then(|vm| vm.runs.get(&task));
        if run.is_some_and(|run| run.number == ended.run) {
            self.release_run(vm_key, task);
        }
    }

    /// Records the duration of a run for the speed estimate of its VM and the run times of its queue.
    ///
    /// Only runs that this placer started and that completed without a checkpoint count.
    fn record_duration(
        &mut self,
        cx: &Cx,
        vm_key: VmKey,
        task: TaskKey,
        run: &Run,
        end: RunOutcome,
    ) {
        let resumed = self
            .registry
            .task(task)
            .is_some_and(|task| !task.checkpoint.is_empty());
        // The start time of a run that an earlier placer started is unknown.
        let start_observed = matches!(run.phase, Phase::Running { .. }) && !run.is_adopted();
        if end != RunOutcome::Done || resumed || !start_observed {
            return;
        }
        let took = cx.now.saturating_sub(run.sent_at);
        if let Some(step) = self.registry.step_mut(task.step) {
            step.done_runs.push((vm_key, took));
        }
        if let Some(job) = self.registry.jobs.get(&task.step.job)
            && job.is_active()
            && job.spec(task.step.step).has_expected_run_time()
        {
            let declared = Duration::from_millis(job.spec(task.step.step).estimate_ms);
            self.estimates.record(&job.queue.name, declared, took);
            self.estimates_writer.mark_changed();
        }
    }

    fn record_history(&mut self, task: TaskKey, ended: &EndedTask) {
        self.registry.mark_dirty(task.step.job);
        if let Some(state) = self.registry.task_mut(task) {
            state.run = state.run.max(ended.run);
            if !ended.checkpoint.is_empty() {
                state.checkpoint.clone_from(&ended.checkpoint);
            }
        }
    }

    /// Marks a task as done, or all tasks of its gang, and completes the step if it was the last.
    ///
    /// Tasks that run until their job is cancelled are never done.
    fn complete_task(&mut self, cx: &mut Cx, vm_key: VmKey, task: TaskKey) {
        if let Some(vm) = self.fleet.vms.get_mut(&vm_key) {
            vm.failure_streak = 0;
        }
        let Some(job) = self.registry.jobs.get(&task.step.job) else {
            return;
        };
        let spec = job.spec(task.step.step);
        if spec.traits.long_running {
            return;
        }
        let gang = spec.traits.gang;
        let Some(step) = self.registry.step_mut(task.step) else {
            return;
        };
        let count = u32::try_from(step.tasks.len()).unwrap_or(u32::MAX);
        let mut surplus = Vec::new();
        let completed = if gang {
            0..count
        } else {
            task.index..task.index + 1
        };
        for index in completed {
            let state = &mut step.tasks[index as usize];
            match state.placement {
                Placement::Done => continue,
                Placement::Waiting => step.waiting -= 1,
                Placement::Assigned(vm_key) => {
                    let task = TaskKey { index, ..task };
                    let vm = self.fleet.vms.get(&vm_key);
                    let run = vm.and_then(|vm| vm.runs.get(&task));
                    // The started members of a gang end together by themselves.
                    if !gang || run.is_some_and(|run| !run.is_sent()) {
                        surplus.push((vm_key, task));
                    }
                }
            }
            state.placement = Placement::Done;
            step.done += 1;
        }
        if step.is_done() {
            self.complete_step(cx, task);
        }
        // An earlier run of the task has completed, so the later one is not needed.
        for (vm_key, task) in surplus {
            self.order_stop(cx, vm_key, task, "its task is done");
        }
    }

    fn complete_step(&mut self, cx: &mut Cx, task: TaskKey) {
        self.update_slowness(task.step);
        let Some(job) = self.registry.jobs.get_mut(&task.step.job) else {
            return;
        };
        job.mark_ready_steps(task.step.occurrence, cx.now);
        if job.remove_done_occurrences() && job.is_active() {
            self.finish_job(cx, task.step.job, JobState::Completed, "");
        }
    }

    /// Records a failed run and fails the job once the task has used up its attempts.
    fn record_task_failure(&mut self, cx: &mut Cx, vm_key: VmKey, task: TaskKey, run: u64) {
        self.record_vm_failure(cx, vm_key, task);
        let Some(job) = self.registry.jobs.get(&task.step.job) else {
            return;
        };
        let traits = job.spec(task.step.step).traits;
        // Such a task starts again however often it fails.
        if traits.long_running {
            return;
        }
        let max_attempts = job.queue.max_attempts.max(1) as usize;
        let has_terms = job.has_terms;
        // The failures of a gang are counted on its first task.
        let counting_task = if traits.gang {
            TaskKey { index: 0, ..task }
        } else {
            task
        };
        let Some(state) = self.registry.task_mut(counting_task) else {
            return;
        };
        if state.failed.contains(&run) {
            return;
        }
        state.failed.push(run);
        let job_failed =
            has_terms && state.failed.len() >= max_attempts && state.placement != Placement::Done;
        let active = self
            .registry
            .jobs
            .get(&task.step.job)
            .is_some_and(Job::is_active);
        if job_failed && active {
            self.finish_job(
                cx,
                task.step.job,
                JobState::Failed,
                "a task failed too often",
            );
        }
    }

    /// Fails a job if a task has used up its attempts, once the terms of its queue are known.
    pub(in crate::core::workload::placer) fn fail_if_attempts_are_used_up(
        &mut self,
        cx: &mut Cx,
        key: JobKey,
    ) {
        let Some(job) = self.registry.jobs.get(&key).filter(|job| job.is_active()) else {
            return;
        };
        let max_attempts = job.queue.max_attempts.max(1) as usize;
        let is_used_up =
            |task: &Task| task.failed.len() >= max_attempts && task.placement != Placement::Done;
        let mut steps = job.occurrences.values().flatten();
        if steps.any(|step| step.tasks.iter().any(is_used_up)) {
            self.finish_job(cx, key, JobState::Failed, "a task failed too often");
        }
    }

    /// Counts a failure against a VM unless the last failure there was of the same job.
    fn record_vm_failure(&mut self, cx: &Cx, vm_key: VmKey, task: TaskKey) {
        let Some(vm) = self.fleet.vms.get_mut(&vm_key) else {
            return;
        };
        if vm.last_failed_job == Some(task.step.job) {
            return;
        }
        vm.last_failed_job = Some(task.step.job);
        vm.failure_streak += 1;
        if vm.failure_streak >= FAILURE_STREAK_LIMIT {
            vm.avoid_until = cx.now + FAILURE_PAUSE;
        }
    }

    /// Moves a job to a terminal state. Unless it completed, stops its remaining runs.
    pub(in crate::core::workload::placer) fn finish_job(
        &mut self,
        cx: &mut Cx,
        key: JobKey,
        state: JobState,
        reason: &str,
    ) {
        let Some(job) = self.registry.jobs.get_mut(&key) else {
            return;
        };
        job.state = state;
        job.ended_at = Some(cx.now);
        cx.log(Decision::JobState {
            id: job.id.clone(),
            state,
            reason: reason.into(),
            took_ms: millis(cx.unix_time.saturating_sub(job.accepted_at)),
            objective_ms: millis(job.objective()),
        });
        self.registry.mark_dirty(key);
        self.registry.mark_ended(key);
        if state != JobState::Completed {
            self.stop_job(cx, key);
        }
    }

    /// Frees the resources of a run that is over and requeues its task unless that is done.
    pub(in crate::core::workload::placer) fn release_and_requeue(
        &mut self,
        cx: &Cx,
        vm_key: VmKey,
        task: TaskKey,
    ) {
        self.release_run(vm_key, task);
        self.registry.requeue(task, cx.now);
        self.schedule_round(cx.now);
    }

    fn release_run(&mut self, vm_key: VmKey, task: TaskKey) {
        let run = self
            .fleet
            .vms
            .get_mut(&vm_key)
            .and_then(|vm| vm.remove_run(task));
        let job = self.registry.jobs.get(&task.step.job);
        if let (Some(run), Some(job)) = (run, job) {
            self.usage.subtract(job.team.as_ref(), &run.demand);
        }
    }

    fn log_end(&mut self, cx: &mut Cx, vm_key: VmKey, task: TaskKey, ended: &EndedTask) {
        let vm = self.fleet.vms.get(&vm_key).map(|vm| vm.id.clone());
        cx.log(Decision::Ended {
            id: ended.task.job.clone(),
            task: ended.task.to_string().into(),
            run: ended.run,
            vm: vm.unwrap_or_default(),
            end: ended.outcome,
            failures: self.registry.task(task).map_or(0, |task| task.failed.len()),
        });
    }
}
