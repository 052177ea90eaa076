//! Tasks on simulated VMs: their speed, their ends, and the policy's actions on them.

use std::time::Duration;

use ragwortstall::core::model::ActionKind;
use ragwortstall::core::model::EndedTask;
use ragwortstall::core::model::TaskAction;
use ragwortstall::core::model::TaskOutcome;
use ragwortstall::core::model::TaskState;

use super::OUTCOMES;
use super::Sim;
use super::SimEvent;
use super::SimTask;

/// Time that a task takes to write a checkpoint.
const CHECKPOINT_TIME: Duration = Duration::from_millis(1_500);

/// Time after which a task fails that fails everywhere or started on a faulty VM.
const TIME_TO_FAILURE: Duration = Duration::from_secs(2);

impl Sim<'_> {
    /// Adds a task to a VM; `fails` makes it fail after [`TIME_TO_FAILURE`].
    pub(super) fn add_task(&mut self, vm: usize, task: SimTask, fails: bool) {
        assert!(self.vms[vm].up, "a start on a VM that is down");
        let serial = task.serial;
        self.vms[vm].tasks.push(task);
        if fails {
            self.schedule_end(vm, serial, TIME_TO_FAILURE, TaskOutcome::Failed);
        }
        self.update_speed(vm);
        self.schedule_completion(vm, serial);
    }

    /// Returns the run time that a task still needs at full speed.
    pub(super) fn remaining_time(&self, vm: usize, task: &SimTask) -> Duration {
        let ran = self.now.saturating_sub(task.remaining_as_of);
        let remaining = task.remaining.unwrap_or_default();
        remaining.saturating_sub(ran.mul_f64(self.vms[vm].speed))
    }

    /// Schedules the completion of a task at the VM's present speed. An event that was scheduled at
    /// a higher speed is ignored when it is due.
    fn schedule_completion(&mut self, vm: usize, serial: u64) {
        let speed = self.vms[vm].speed;
        let now = self.now;
        let mut tasks = self.vms[vm].tasks.iter_mut();
        let task = tasks.find(|task| task.serial == serial);
        if let Some(task) = task
            && let Some(remaining) = task.remaining
        {
            let after = remaining.div_f64(speed);
            task.ends_at = now + after;
            self.schedule_end(vm, serial, after, TaskOutcome::Done);
        }
    }

    /// Recomputes the speed of a VM's tasks: if they need more processor time than it has, all slow
    /// down in proportion.
    pub(super) fn update_speed(&mut self, vm: usize) {
        let sim_vm = &mut self.vms[vm];
        let used: u32 = sim_vm.tasks.iter().map(|task| task.used.cpu_milli).sum();
        let capacity = sim_vm.spec.capacity.cpu_milli;
        let speed = (f64::from(capacity) / f64::from(used.max(1))).min(1.0);
        let before = std::mem::replace(&mut sim_vm.speed, speed);
        if speed.total_cmp(&before).is_eq() {
            return;
        }
        for task in &mut sim_vm.tasks {
            let ran = self
                .now
                .saturating_sub(task.remaining_as_of)
                .mul_f64(before);
            task.remaining_as_of = self.now;
            task.remaining = task
                .remaining
                .map(|remaining| remaining.saturating_sub(ran));
        }
        let serials: Vec<u64> = sim_vm.tasks.iter().map(|task| task.serial).collect();
        for serial in serials {
            self.schedule_completion(vm, serial);
        }
    }

    /// If the tasks use more memory than the VM has, kills the one that exceeds its declared size
    /// most.
    pub(super) fn kill_on_memory_exhaustion(&mut self, vm: usize) {
        let sim_vm = &self.vms[vm];
        let used: u32 = sim_vm.tasks.iter().map(|task| task.used.mem_mib).sum();
        if used <= sim_vm.spec.capacity.mem_mib {
            return;
        }
        let excess =
            |task: &&SimTask| i64::from(task.used.mem_mib) - i64::from(task.start.size.mem_mib);
        let worst = sim_vm.tasks.iter().max_by_key(excess);
        if let Some(serial) = worst.map(|task| task.serial) {
            self.schedule_end(vm, serial, Duration::ZERO, TaskOutcome::Failed);
        }
    }

    fn schedule_end(&mut self, vm: usize, serial: u64, after: Duration, outcome: TaskOutcome) {
        let outcome = OUTCOMES.iter().position(|known| *known == outcome);
        let outcome = u8::try_from(outcome.unwrap_or(0)).unwrap_or(0);
        let end = SimEvent::TaskEnd {
            vm,
            serial,
            outcome,
        };
        self.schedule(self.now + after, end);
    }

    /// Ends a task, unless it ended before or the VM has slowed down since the event was scheduled.
    /// Returns whether it ended.
    pub(super) fn end_task(&mut self, vm: usize, serial: u64, outcome: TaskOutcome) -> bool {
        let tasks = &mut self.vms[vm].tasks;
        let Some(at) = tasks.iter().position(|task| task.serial == serial) else {
            return false;
        };
        if outcome == TaskOutcome::Done && self.now < tasks[at].ends_at {
            return false;
        }
        let task = tasks.swap_remove(at);
        let remaining = self.remaining_time(vm, &task);
        self.record_outcome(&task, remaining, outcome);
        self.update_speed(vm);
        let end = EndedTask {
            task: task.start.task.clone(),
            team: task.start.team.clone(),
            outcome,
        };
        let (now, id) = (self.now, self.vms[vm].spec.id.clone());
        self.call_policy(|policy| policy.record_task_end(now, &id, &end));
        true
    }

    fn record_outcome(&mut self, task: &SimTask, remaining: Duration, outcome: TaskOutcome) {
        let index = task.start.task.index;
        let is_active = self.jobs[&task.start.task.job].is_active;
        let job = self
            .jobs
            .get_mut(&task.start.task.job)
            .expect("it was submitted");
        match outcome {
            TaskOutcome::Done => {
                job.done += 1;
                self.measures
                    .record_completion(job.profile.kind, task, self.now);
                return;
            }
            TaskOutcome::Failed => self.measures.record_fault(task, self.now),
            TaskOutcome::Stopped if is_active => self.measures.record_preemption(task, self.now),
            TaskOutcome::Stopped => {}
            TaskOutcome::Checkpointed => {
                job.remaining
                    .insert(index, remaining + Duration::from_millis(1));
                self.measures.record_checkpoint(task, CHECKPOINT_TIME);
            }
        }
        self.requeue(&task.start);
    }

    /// Applies an action of the policy to a task, if it still runs.
    pub(super) fn apply_action(&mut self, vm: &str, action: &TaskAction) {
        let vm = self.vm_indexes[vm];
        let tasks = &mut self.vms[vm].tasks;
        let Some(task) = tasks.iter_mut().find(|task| task.start.task == action.task) else {
            return;
        };
        let serial = task.serial;
        match action.kind {
            ActionKind::Stop => self.schedule_end(vm, serial, Duration::ZERO, TaskOutcome::Stopped),
            ActionKind::Checkpoint => {
                task.state = TaskState::Checkpointing;
                self.schedule_end(vm, serial, CHECKPOINT_TIME, TaskOutcome::Checkpointed);
            }
            ActionKind::Throttle => {
                task.state = TaskState::Throttled;
                task.used.cpu_milli = task.used.cpu_milli.min(task.start.size.cpu_milli);
            }
        }
    }
}
