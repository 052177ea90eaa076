//! What VMs say: what they run, what ended, and that they are gone.

use super::Decision;
use super::Scheduler;
use super::VmSpec;
use super::table::Ix;
use super::task::Origin;
use super::task::Placed;
use crate::core::model::ActionKind;
use crate::core::model::EndedTask;
use crate::core::model::Now;
use crate::core::model::RunningTask;
use crate::core::model::TaskOutcome;
use crate::core::model::TaskRef;

/// Reports of a VM without a task that it listed before, until the task counts as gone.
const REPORTS_UNTIL_GONE: u32 = 2;

impl Scheduler {
    pub(super) fn gain(&mut self, now: Now, spec: VmSpec, running: &[RunningTask]) {
        let vm = self.vms.gain(spec);
        self.take_report(now, vm, running);
    }

    pub(super) fn take_report(&mut self, now: Now, vm: Ix, running: &[RunningTask]) {
        let report = self.vms.count_report(vm);
        for task in running {
            let ix = self.find_or_adopt(now, vm, task);
            let placed = self.tasks.get_mut(ix);
            placed.listed = Some(report);
            let job = placed.job;
            self.take_state(ix, task.state);
            self.observe(ix, task.used);
            self.learn_usage(job, &task.used);
        }
        let gone: Vec<Ix> = self
            .vms
            .get(vm)
            .tasks
            .iter()
            .copied()
            .filter(|&ix| is_gone(&self.tasks[ix], report))
            .collect();
        for ix in gone {
            self.lose(ix);
        }
        self.watch_vm(vm);
    }

    pub(super) fn take_end(&mut self, now: Now, vm: Ix, end: &EndedTask) {
        let Some(job) = self.jobs.find(&end.task.job) else {
            return;
        };
        let Some(ix) = self.find_on(vm, job, &end.task) else {
            self.drop_finished(job, end);
            return;
        };
        let Some(placed) = self.detach(ix) else {
            return;
        };
        self.learn_end(now, &placed, end.outcome);
        let goes_on = self.judge(now, &placed, end.outcome);
        if goes_on && self.runs_again(job, end.outcome) {
            self.wait_again(&placed);
        } else if goes_on {
            self.forget_if_idle(job);
        }
    }

    /// A task has stopped without its VM telling how.
    pub(super) fn lose(&mut self, ix: Ix) {
        let Some(placed) = self.detach(ix) else {
            return;
        };
        let job = &self.jobs[placed.job];
        if job.is_wanted()
            && !placed.is_stray()
            && !self.runs_again(placed.job, TaskOutcome::Failed)
        {
            let end = EndedTask {
                task: self.task_ref(&placed),
                team: job.spec.team.clone(),
                outcome: TaskOutcome::Failed,
            };
            let vm = self.vms.get(placed.vm).id.clone();
            self.given_up.push(Decision::Lost { vm, end });
            self.forget_if_idle(placed.job);
            return;
        }
        self.wait_again(&placed);
    }

    pub(super) fn undo_start(&mut self, vm: Ix, task: &TaskRef) {
        let found = self
            .jobs
            .find(&task.job)
            .and_then(|job| self.find_on(vm, job, task));
        if let Some(placed) = found.and_then(|ix| self.detach(ix)) {
            self.wait_again(&placed);
        }
    }

    fn runs_again(&self, job: Ix, outcome: TaskOutcome) -> bool {
        let job = &self.jobs[job];
        match outcome {
            TaskOutcome::Done => job.is_service(),
            TaskOutcome::Failed | TaskOutcome::Stopped | TaskOutcome::Checkpointed => {
                job.spec.restartable || job.is_service()
            }
        }
    }

    /// A task that ended before its job was offered does not wait.
    fn drop_finished(&mut self, job: Ix, end: &EndedTask) {
        if self.runs_again(job, end.outcome) || self.tasks.find(job, end.task.index).is_some() {
            return;
        }
        let waits = |index| {
            self.jobs[job]
                .pending
                .iter()
                .position(|task| task.index == index)
        };
        if let Some(position) = waits(end.task.index) {
            self.dequeue(job, position);
            self.forget_if_idle(job);
        }
    }

    fn find_on(&self, vm: Ix, job: Ix, task: &TaskRef) -> Option<Ix> {
        let matches = |ix: &Ix| {
            let placed = &self.tasks[*ix];
            placed.vm == vm && placed.index == task.index && placed.attempt == task.attempt
        };
        if let Some(ix) = self.tasks.find(job, task.index)
            && matches(&ix)
        {
            return Some(ix);
        }
        let on_vm = &self.vms.get(vm).tasks;
        on_vm
            .iter()
            .copied()
            .find(|ix| self.tasks[*ix].is_stray() && self.tasks[*ix].job == job && matches(ix))
    }

    fn find_or_adopt(&mut self, now: Now, vm: Ix, running: &RunningTask) -> Ix {
        let known = self.jobs.find(&running.task.job);
        let found = known.and_then(|job| self.find_on(vm, job, &running.task));
        found.unwrap_or_else(|| {
            let job = self.job_of(now, running);
            self.adopt(now, vm, job, running)
        })
    }

    /// Takes over a task that another scheduler started.
    fn adopt(&mut self, now: Now, vm: Ix, job: Ix, running: &RunningTask) -> Ix {
        let team = self.team(&running.team);
        let task = (running.task.index, running.task.attempt);
        let mut placed = Placed::new(job, team, vm, task, super::intake::counted(running.size));
        placed.started = now;
        let stray = self.tasks.find(job, task.0).is_some();
        placed.origin = if stray {
            Origin::Stray
        } else {
            Origin::Adopted
        };
        let ix = self.attach(placed);
        let entry = &mut self.jobs[job];
        entry.next_attempt = entry.next_attempt.max(task.1 + 1);
        let waits = entry
            .pending
            .iter()
            .position(|waiting| waiting.index == task.0);
        if stray {
            self.order(ix, ActionKind::Stop);
        } else if let Some(position) = waits {
            self.dequeue(job, position);
        }
        ix
    }
}

fn is_gone(placed: &Placed, report: u32) -> bool {
    placed
        .listed
        .is_some_and(|listed| report.wrapping_sub(listed) >= REPORTS_UNTIL_GONE)
}
