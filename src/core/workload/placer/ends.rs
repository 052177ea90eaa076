//! Ends of runs, and what follows for their tasks, steps and jobs.

use super::Placer;
use super::book::Place;
use super::book::TaskKey;
use super::fleet::Phase;
use super::fleet::Run;
use super::fleet::VmKey;
use crate::core::model::Now;
use crate::core::workload::cx::Cx;
use crate::core::workload::cx::millis;
use crate::core::workload::decision::Decision;
use crate::core::workload::effect::JobState;
use crate::core::workload::task::End;
use crate::core::workload::task::EndedTask;

/// Failures of different jobs in a row after which a VM is passed over for a time.
const FAILURE_STREAK: u32 = 3;

/// Time for which a VM that fails what it starts is passed over.
const FAILURE_PAUSE: Now = Now::from_secs(4);

impl Placer {
    /// Takes the ends that VMs have listed.
    pub(super) fn take_ends(&mut self, cx: &mut Cx) {
        for (vm, ended) in std::mem::take(&mut self.pending_ends) {
            if let Some(vm) = self.fleet.vms.get_mut(&vm) {
                vm.seen_end = vm.seen_end.max(ended.number);
            }
            self.ended(cx, vm, &ended);
        }
        self.want_round(cx.now);
    }

    fn ended(&mut self, cx: &mut Cx, vm: VmKey, ended: &EndedTask) {
        let Some(task) = self.book.find(&ended.task) else {
            return;
        };
        let run = self
            .fleet
            .vms
            .get(&vm)
            .and_then(|vm| vm.runs.get(&task))
            .filter(|run| run.number == ended.run)
            .copied();
        let current = run.is_some();
        if let Some(run) = run {
            self.release_run(vm, task);
            self.note_duration(cx, vm, task, &run, ended.end);
        }
        self.keep_history(task, ended);
        match ended.end {
            End::Done => self.task_done(cx, vm, task),
            End::Failed => self.task_failed(cx, vm, task, ended.run),
            End::Stopped | End::Lapsed | End::Broken | End::Alone => {}
        }
        if current {
            self.book.requeue(task, cx.now);
        }
        self.log_end(cx, vm, task, ended);
    }

    /// Keeps the time that a run took, if it tells how fast its VM is.
    fn note_duration(&mut self, cx: &Cx, vm: VmKey, task: TaskKey, run: &Run, end: End) {
        let resumed = self
            .book
            .task(task)
            .is_some_and(|task| !task.checkpoint.is_empty());
        // A run that an earlier placer started began at an unknown time.
        let seen = matches!(run.phase, Phase::Running { since } if since > run.sent);
        if end != End::Done || resumed || !seen {
            return;
        }
        if let Some(step) = self.book.step_mut(task.step) {
            let took = cx.now.saturating_sub(run.sent);
            step.done_runs.push((vm, took));
        }
    }

    fn keep_history(&mut self, task: TaskKey, ended: &EndedTask) {
        self.book.mark(task.step.job);
        if let Some(state) = self.book.task_mut(task) {
            state.run = state.run.max(ended.run);
            if !ended.checkpoint.is_empty() {
                state.checkpoint.clone_from(&ended.checkpoint);
            }
        }
    }

    /// A task is done; for a gang, one end stands for all.
    fn task_done(&mut self, cx: &mut Cx, vm: VmKey, task: TaskKey) {
        if let Some(vm) = self.fleet.vms.get_mut(&vm) {
            vm.failures = 0;
        }
        let Some(job) = self.book.jobs.get(&task.step.job) else {
            return;
        };
        let spec = job.spec(task.step.step);
        if spec.traits.lasting {
            return;
        }
        let gang = spec.traits.gang;
        let Some(step) = self.book.step_mut(task.step) else {
            return;
        };
        let count = u32::try_from(step.tasks.len()).unwrap_or(u32::MAX);
        let mut surplus = Vec::new();
        let done = if gang {
            0..count
        } else {
            task.index..task.index + 1
        };
        for index in done {
            let state = &mut step.tasks[index as usize];
            match state.place {
                Place::Done => continue,
                Place::Waiting => step.waiting -= 1,
                Place::On(vm) if !gang => surplus.push((vm, TaskKey { index, ..task })),
                Place::On(_) => {}
            }
            state.place = Place::Done;
            step.done += 1;
        }
        if step.is_done() {
            self.step_done(cx, task);
        }
        // An earlier run was done after all: the later one is not needed.
        for (vm, task) in surplus {
            self.order_stop(cx, vm, task, "its task is done");
        }
    }

    fn step_done(&mut self, cx: &mut Cx, task: TaskKey) {
        self.learn_speeds(task.step);
        let Some(job) = self.book.jobs.get_mut(&task.step.job) else {
            return;
        };
        job.ready_steps(task.step.occurrence, cx.now);
        if job.fold() && job.is_open() {
            self.finish_job(cx, task.step.job, JobState::Completed, "");
        }
    }

    fn task_failed(&mut self, cx: &mut Cx, vm: VmKey, task: TaskKey, run: u64) {
        self.vm_failed(cx, vm, task);
        let Some(job) = self.book.jobs.get(&task.step.job) else {
            return;
        };
        let traits = job.spec(task.step.step).traits;
        let most = job.queue.max_attempts.max(1) as usize;
        let counted = if traits.gang {
            TaskKey { index: 0, ..task }
        } else {
            task
        };
        let Some(state) = self.book.task_mut(counted) else {
            return;
        };
        if state.failed.contains(&run) {
            return;
        }
        state.failed.push(run);
        let failed = !traits.lasting && state.failed.len() >= most && state.place != Place::Done;
        let open = self
            .book
            .jobs
            .get(&task.step.job)
            .is_some_and(super::book::Job::is_open);
        if failed && open {
            self.finish_job(
                cx,
                task.step.job,
                JobState::Failed,
                "a task failed too often",
            );
        }
    }

    /// Passes over a VM on which different jobs fail in a row.
    fn vm_failed(&mut self, cx: &Cx, vm: VmKey, task: TaskKey) {
        let Some(vm) = self.fleet.vms.get_mut(&vm) else {
            return;
        };
        if vm.failed_job == Some(task.step.job) {
            return;
        }
        vm.failed_job = Some(task.step.job);
        vm.failures += 1;
        if vm.failures >= FAILURE_STREAK {
            vm.avoid_until = cx.now + FAILURE_PAUSE;
        }
    }

    /// A job has reached its last state; what still runs of it is stopped.
    pub(super) fn finish_job(&mut self, cx: &mut Cx, key: u32, state: JobState, reason: &str) {
        let Some(job) = self.book.jobs.get_mut(&key) else {
            return;
        };
        job.state = state;
        job.ended_at = Some(cx.now);
        cx.log(Decision::JobState {
            id: job.id.clone(),
            state,
            reason: reason.into(),
            took_ms: millis(cx.unix_time.saturating_sub(job.at)),
            objective_ms: millis(job.objective()),
        });
        self.book.mark(key);
        self.book.close(key);
        if state != JobState::Completed {
            self.stop_job(cx, key);
        }
    }

    /// A run is over: its room is free, and the task waits unless it is done.
    pub(super) fn free(&mut self, cx: &Cx, vm: VmKey, task: TaskKey) {
        self.release_run(vm, task);
        self.book.requeue(task, cx.now);
        self.want_round(cx.now);
    }

    fn release_run(&mut self, vm: VmKey, task: TaskKey) {
        let run = self.fleet.vms.get_mut(&vm).and_then(|vm| vm.take(task));
        let job = self.book.jobs.get(&task.step.job);
        if let (Some(run), Some(job)) = (run, job) {
            self.usage.sub(job.team.as_ref(), &run.demand);
        }
    }

    fn log_end(&mut self, cx: &mut Cx, vm: VmKey, task: TaskKey, ended: &EndedTask) {
        let vm = self.fleet.vms.get(&vm).map(|vm| vm.id.clone());
        cx.log(Decision::Ended {
            id: ended.task.job.clone(),
            task: ended.task.to_string().into(),
            run: ended.run,
            vm: vm.unwrap_or_default(),
            end: ended.end,
            failures: self.book.task(task).map_or(0, |task| task.failed.len()),
        });
    }
}
