//! Starts of runs and their answers, and runs that an earlier placer started.

use super::Lost;
use super::Placer;
use super::book::Place;
use super::book::TaskKey;
use super::fleet::Phase;
use super::fleet::Run;
use super::fleet::VmKey;
use super::pace::FULL;
use crate::core::model::Now;
use crate::core::workload::cx::Cx;
use crate::core::workload::cx::millis;
use crate::core::workload::decision::Decision;
use crate::core::workload::effect::JobState;
use crate::core::workload::effect::Request;
use crate::core::workload::effect::StartOrder;
use crate::core::workload::event::OrderError;
use crate::core::workload::event::OrderId;
use crate::core::workload::event::StartError;
use crate::core::workload::task::RunNumber;
use crate::core::workload::task::RunningTask;

/// Time for which a VM that refused a start is passed over.
const REFUSAL_PAUSE: Now = Now::from_millis(700);

impl Placer {
    /// Number for the next run of a task.
    pub(super) fn next_run(&self, task: TaskKey) -> RunNumber {
        let floor = self
            .book
            .jobs
            .get(&task.step.job)
            .map_or(0, |job| job.run_floor);
        let last = self.book.task(task).map_or(0, |task| task.run);
        last.max(floor) + 1
    }

    /// Starts a task on a VM.
    pub(super) fn start(&mut self, cx: &mut Cx, task: TaskKey, vm_key: VmKey, run: RunNumber) {
        let Some(name) = self.book.name(task) else {
            return;
        };
        let (Some(job), Some(vm)) = (
            self.book.jobs.get(&task.step.job),
            self.fleet.vms.get_mut(&vm_key),
        ) else {
            return;
        };
        let Some(deadline_ms) = vm.lease_from(cx.now, cx.options.vms.lease) else {
            return;
        };
        let spec = job.spec(task.step.step);
        let (room, demand, serves) = (spec.room(), spec.demand, spec.target_ms > 0);
        let (team, payload) = (job.team.clone(), job.payload.clone());
        let Some(step) = self.book.step_mut(task.step) else {
            return;
        };
        let ticket = step
            .advice
            .ticket(vm_key, cx.now)
            .map(|ticket| ticket.text.clone());
        let state = &mut step.tasks[task.index as usize];
        state.place = Place::On(vm_key);
        state.run = run;
        let checkpoint = state.checkpoint.clone();
        let waited = cx.now.saturating_sub(state.waiting_since);
        step.waiting -= 1;
        vm.lease_end_ms = vm.lease_end_ms.max(deadline_ms);
        let free_cpu_milli = vm.free().cpu_milli;
        vm.insert(task, Run::new(run, room, demand, serves, cx.now));
        self.usage.add(team.as_ref(), &demand);
        let order = vm.order(name.clone(), run, cx.now);
        let start = StartOrder {
            order,
            address: vm.address.clone(),
            epoch: self.owner.epoch,
            payload,
            deadline_ms,
            checkpoint,
            ticket,
            timeout: cx.options.vms.order_timeout,
        };
        let id = vm.id.clone();
        cx.send(Request::Start(Box::new(start)));
        cx.log(Decision::Placed {
            task: name.to_string().into(),
            id: name.job,
            run,
            vm: id,
            epoch: self.owner.epoch,
            free_cpu_milli,
            waited_ms: millis(waited),
        });
    }

    /// Takes the answer to a start.
    pub(super) fn started(
        &mut self,
        cx: &mut Cx,
        order: &OrderId,
        result: Result<u64, StartError>,
    ) -> Lost {
        let (vm_key, _) = self.fleet.by_id(&order.vm)?;
        let task = self.book.find(&order.task)?;
        let vm = self.fleet.vms.get_mut(&vm_key)?;
        let run = vm
            .runs
            .get_mut(&task)
            .filter(|run| run.number == order.run)?;
        let Err(err) = result else {
            if run.phase == Phase::Starting {
                run.phase = Phase::Running { since: cx.now };
                self.mark_started(cx, task);
            }
            return None;
        };
        cx.log(Decision::NotStarted {
            id: order.task.job.clone(),
            task: order.task.to_string().into(),
            run: order.run,
            vm: order.vm.clone(),
            reason: format!("{err:?}").into(),
        });
        match err {
            StartError::Order(OrderError::Fenced) => {
                return Some(format!("fenced by VM {}", order.vm).into());
            }
            StartError::Order(OrderError::NoAnswer(_)) => {
                if run.phase == Phase::Starting {
                    run.phase = Phase::Unconfirmed;
                }
                vm.avoid_until = cx.now + REFUSAL_PAUSE;
                return None;
            }
            StartError::NoRoom
            | StartError::Order(
                OrderError::Refused(_) | OrderError::NotSent(_) | OrderError::WrongLifetime,
            ) => {
                vm.avoid_until = cx.now + REFUSAL_PAUSE;
            }
            StartError::BadTicket => {
                if let Some(step) = self.book.step_mut(task.step) {
                    step.advice.expire(vm_key);
                }
            }
            StartError::Late => vm.avoid_until = cx.now + cx.options.vms.hold_gap,
            StartError::OldRun => {}
        }
        self.free(cx, vm_key, task);
        None
    }

    /// Notes that a task has started.
    pub(super) fn mark_started(&mut self, cx: &mut Cx, task: TaskKey) {
        let Some(job) = self.book.jobs.get_mut(&task.step.job) else {
            return;
        };
        if job.state == JobState::Queued && job.is_open() {
            job.state = JobState::Running;
            cx.log(Decision::JobState {
                id: job.id.clone(),
                state: JobState::Running,
                reason: "".into(),
                took_ms: millis(cx.unix_time.saturating_sub(job.at)),
                objective_ms: millis(job.objective()),
            });
            self.book.mark(task.step.job);
        }
    }

    /// Takes over a run that an earlier placer started.
    pub(super) fn adopt(&mut self, cx: &mut Cx, vm_key: VmKey, task: TaskKey, row: &RunningTask) {
        let Some(job) = self.book.jobs.get(&task.step.job) else {
            return;
        };
        let spec = job.spec(task.step.step);
        let (room, demand, serves) = (spec.room(), spec.demand, spec.target_ms > 0);
        let (id, team) = (job.id.clone(), job.team.clone());
        let Some(vm) = self.fleet.vms.get_mut(&vm_key) else {
            return;
        };
        let mut run = Run::new(row.run, room, demand, serves, cx.now);
        run.phase = Phase::Running { since: cx.now };
        run.figure = row.figure;
        vm.insert(task, run);
        self.usage.add(team.as_ref(), &demand);
        cx.log(Decision::RunAdopted {
            id,
            task: row.task.to_string().into(),
            run: row.run,
            vm: vm.id.clone(),
        });
        if let Some(step) = self.book.step_mut(task.step) {
            step.waiting -= 1;
            let state = &mut step.tasks[task.index as usize];
            state.place = Place::On(vm_key);
            state.run = state.run.max(row.run);
            if !row.checkpoint.is_empty() {
                state.checkpoint.clone_from(&row.checkpoint);
            }
        }
        self.mark_started(cx, task);
    }
}

impl Run {
    fn new(
        number: RunNumber,
        room: crate::core::model::Resources,
        demand: crate::core::model::Resources,
        serves: bool,
        now: Now,
    ) -> Self {
        Self {
            number,
            room,
            demand,
            serves,
            sent: now,
            phase: Phase::Starting,
            percent: FULL,
            ordered_percent: None,
            pace_retry_at: Now::ZERO,
            figure: 0,
        }
    }
}
