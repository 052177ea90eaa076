//! Starts and stops of runs, and their answers.

use super::Lost;
use super::Placer;
use super::book::JobKey;
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
use crate::core::workload::event::OrderFor;
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
        let order = OrderFor {
            vm: vm.id.clone(),
            task: name.clone(),
            run,
            sent: cx.now,
        };
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
        cx.ask(Request::Start(Box::new(start)));
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
        order: &OrderFor,
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
                took_ms: millis(cx.unix.saturating_sub(job.at)),
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

    /// Orders the stop of a run, or repeats it.
    pub(super) fn order_stop(
        &mut self,
        cx: &mut Cx,
        vm_key: VmKey,
        task: TaskKey,
        reason: &'static str,
    ) {
        let Some(name) = self.book.name(task) else {
            return;
        };
        let Some(vm) = self.fleet.vms.get_mut(&vm_key) else {
            return;
        };
        let Some(run) = vm.runs.get_mut(&task) else {
            return;
        };
        if let Phase::Stopping { acked, retry_at } = run.phase
            && (acked.is_some() || cx.now < retry_at)
        {
            return;
        }
        run.phase = Phase::Stopping {
            acked: None,
            retry_at: cx.now + cx.options.vms.order_timeout,
        };
        let order = OrderFor {
            vm: vm.id.clone(),
            task: name.clone(),
            run: run.number,
            sent: cx.now,
        };
        cx.log(Decision::StopOrdered {
            task: name.to_string().into(),
            id: name.job,
            run: run.number,
            vm: vm.id.clone(),
            reason,
        });
        let address = vm.address.clone();
        self.send_stop(cx, order, address);
    }

    /// Stops a run that is not to be where a VM lists it.
    pub(super) fn stop_stray(
        &mut self,
        cx: &mut Cx,
        vm_key: VmKey,
        row: &RunningTask,
        reason: &'static str,
    ) {
        let Some(vm) = self.fleet.vms.get_mut(&vm_key) else {
            return;
        };
        vm.unclear_until = cx.now + cx.options.vms.order_timeout + cx.options.vms.stop_timeout;
        let order = OrderFor {
            vm: vm.id.clone(),
            task: row.task.clone(),
            run: row.run,
            sent: cx.now,
        };
        cx.log(Decision::StopOrdered {
            id: row.task.job.clone(),
            task: row.task.to_string().into(),
            run: row.run,
            vm: vm.id.clone(),
            reason,
        });
        let address = vm.address.clone();
        self.send_stop(cx, order, address);
    }

    /// Takes the answer to a stop.
    pub(super) fn stopped(
        &mut self,
        cx: &mut Cx,
        order: &OrderFor,
        result: &Result<u64, OrderError>,
    ) -> Lost {
        if let Err(OrderError::Fenced) = result {
            return Some(format!("fenced by VM {}", order.vm).into());
        }
        let (_, vm) = self.fleet.by_id(&order.vm)?;
        vm.hold.next_at = vm.hold.next_at.min(cx.now + cx.options.vms.hold_gap);
        let key = self.fleet.key(&order.vm)?;
        let task = self.book.find(&order.task)?;
        let vm = self.fleet.vms.get_mut(&key)?;
        let run = vm
            .runs
            .get_mut(&task)
            .filter(|run| run.number == order.run)?;
        if let Phase::Stopping { .. } = run.phase {
            run.phase = Phase::Stopping {
                acked: result.is_ok().then_some(cx.now),
                retry_at: cx.now + cx.options.vms.retry_delay,
            };
        }
        None
    }

    /// Repeats the stops that got no answer.
    pub(super) fn repeat_stops(&mut self, cx: &mut Cx) {
        for key in self.fleet.keys() {
            let Some(vm) = self.fleet.vms.get(&key) else {
                continue;
            };
            let due = |run: &Run| matches!(run.phase, Phase::Stopping { acked: None, retry_at } if cx.now >= retry_at);
            let due = vm.runs.iter().filter(|(_, run)| due(run));
            let mut tasks: Vec<TaskKey> = due.map(|(&task, _)| task).collect();
            tasks.sort_unstable();
            for task in tasks {
                self.order_stop(cx, key, task, "the last stop got no answer");
            }
        }
    }

    /// Cancels a job: nothing of it starts any more, and what runs is stopped.
    pub(super) fn cancel(&mut self, cx: &mut Cx, key: JobKey) {
        let Some(job) = self.book.jobs.get_mut(&key) else {
            return;
        };
        if job.cancelled || job.ended_at.is_some() {
            return;
        }
        job.cancelled = true;
        self.finish_job(cx, key, JobState::Cancelled, "its submitter asked");
    }

    /// Stops all runs of a job.
    pub(super) fn stop_job(&mut self, cx: &mut Cx, job: JobKey) {
        for key in self.fleet.keys() {
            let Some(vm) = self.fleet.vms.get(&key) else {
                continue;
            };
            let runs = vm.runs.keys().filter(|task| task.step.job == job);
            let mut tasks: Vec<TaskKey> = runs.copied().collect();
            tasks.sort_unstable();
            for task in tasks {
                self.order_stop(cx, key, task, "its job has ended");
            }
        }
    }

    /// Moves work off a VM that is leaving, where that saves it.
    pub(super) fn evacuate(&mut self, cx: &mut Cx, key: VmKey) {
        let Some(vm) = self.fleet.vms.get(&key) else {
            return;
        };
        let saves = |task: &&TaskKey| {
            let job = self.book.jobs.get(&task.step.job);
            job.is_some_and(|job| {
                let spec = job.spec(task.step.step);
                let traits = spec.traits;
                (traits.lasting && spec.may_miss.is_none())
                    || (traits.checkpointing && !traits.gang)
            })
        };
        let mut tasks: Vec<TaskKey> = vm.runs.keys().filter(saves).copied().collect();
        tasks.sort_unstable();
        for task in tasks {
            self.order_stop(cx, key, task, "its VM is leaving");
        }
    }

    fn send_stop(&self, cx: &mut Cx, order: OrderFor, address: Box<str>) {
        let epoch = self.owner.epoch;
        let timeout = cx.options.vms.order_timeout;
        cx.ask(Request::Stop {
            order,
            address,
            epoch,
            timeout,
        });
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
