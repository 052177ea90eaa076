//! Starts of runs, and adoption of runs that an earlier placer started.

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
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::Release;
use crate::core::workload::placer::RoleLoss;
use crate::core::workload::placer::orders::queue::QueuedOrder;
use crate::core::workload::placer::rounds::dispatch::PlannedStart;
use crate::core::workload::placer::state::fleet::VmKey;
use crate::core::workload::placer::state::job_registry::Placement;
use crate::core::workload::placer::state::job_registry::TaskKey;
use crate::core::workload::placer::state::run::Delivery;
use crate::core::workload::placer::state::run::HostLifetime;
use crate::core::workload::placer::state::run::Phase;
use crate::core::workload::placer::state::run::Run;
use crate::core::workload::placer::state::waits::started_work;
use crate::core::workload::policy::crashes::Caution;
use crate::core::workload::task::RunNumber;
use crate::core::workload::task::RunningTask;

/// Time for which a VM gets no tasks after it refused or failed to answer a start or a check.
pub(super) const REFUSAL_PAUSE: Now = Now::from_millis(700);

impl Placer {
    /// Returns the number for the next run of a task, above all numbers that earlier placers may
    /// have used.
    pub(in crate::core::workload::placer) fn next_run_number(&self, task: TaskKey) -> RunNumber {
        let floor = self
            .registry
            .jobs
            .get(&task.step.job)
            .map_or(0, |job| job.run_floor);
        let last = self.registry.task(task).map_or(0, |task| task.run);
        last.max(floor) + 1
    }

    /// Assigns a task to a VM and sends its start, for a task under which a VM may have crashed once the
    /// VM has answered a check. Does nothing if no task may start there at present.
    pub(in crate::core::workload::placer) fn start_task(
        &mut self,
        cx: &mut Cx,
        task: TaskKey,
        start: PlannedStart,
        run: RunNumber,
    ) {
        let vm_key = start.vm;
        let (Some(job), Some(vm)) = (
            self.registry.jobs.get(&task.step.job),
            self.fleet.vms.get_mut(&vm_key),
        ) else {
            return;
        };
        if !vm.accepts_starts(cx) {
            return;
        }
        let mut new_run = Run::new(run, job.spec(task.step.step), start.caution, cx.now);
        let (delivery, order) = if start.caution == Caution::None {
            let order = QueuedOrder::Start(task, run, Delivery::Unchecked);
            (Delivery::Queued, order)
        } else {
            (Delivery::AwaitsCheck, QueuedOrder::Check(task, run))
        };
        new_run.delivery = delivery;
        let team = job.team.clone();
        let Some(step) = self.registry.step_mut(task.step) else {
            return;
        };
        let state = &mut step.tasks[task.index as usize];
        state.placement = Placement::Assigned(vm_key);
        state.run = run;
        step.waiting -= 1;
        vm.add_run(task, new_run);
        self.usage.add(team.as_ref(), &new_run.demand);
        self.queue_order(cx, vm_key, order);
    }

    /// Returns why no start may be sent to a VM at present, if so.
    pub(in crate::core::workload::placer) fn start_obstacle(
        &self,
        cx: &Cx,
        vm_key: VmKey,
    ) -> Option<&'static str> {
        let vm = self.fleet.vms.get(&vm_key);
        if self.release != Release::NotRequested {
            Some("the role is being released")
        } else if !self.has_authority(cx) {
            Some("another placer may have taken over")
        } else if !vm.is_some_and(|vm| vm.accepts_starts(cx)) {
            Some("the VM accepts no starts")
        } else {
            None
        }
    }

    /// Sends the start of a run whose turn has come, or withdraws it. Returns whether it was sent.
    pub(in crate::core::workload::placer) fn send_start(
        &mut self,
        cx: &mut Cx,
        vm_key: VmKey,
        task: TaskKey,
        run: RunNumber,
        delivery: Delivery,
    ) -> bool {
        let vm = self.fleet.vms.get(&vm_key);
        let queued = vm.and_then(|vm| vm.runs.get(&task));
        let is_wanted = |queued: &Run| queued.number == run && queued.delivery == Delivery::Queued;
        if !queued.is_some_and(is_wanted) {
            return false;
        }
        let obstacle = self.start_obstacle(cx, vm_key);
        let obstacle = obstacle.or_else(|| self.lacks_ticket(cx, vm_key, task));
        if let Some(reason) = obstacle {
            self.withdraw_start(cx, vm_key, task, reason);
            return false;
        }
        self.send_wanted_start(cx, vm_key, task, delivery);
        true
    }

    /// Returns a reason if the VM is likely to reject the start of a task, as its ticket has expired since
    /// the start was planned. The members of a gang are sent all the same: some may have started.
    pub(super) fn lacks_ticket(
        &self,
        cx: &Cx,
        vm_key: VmKey,
        task: TaskKey,
    ) -> Option<&'static str> {
        let job = self.registry.jobs.get(&task.step.job)?;
        let step = self.registry.step(task.step)?;
        let may_lack = job.queue.advice.is_some() && !job.has_gang(task.step.step);
        let lacks = may_lack && step.advice.ticket(vm_key, cx.now).is_none();
        lacks.then_some("the ticket has expired")
    }

    /// Releases a run whose start was not sent, and with it the other members of a gang whose starts
    /// were not sent either.
    pub(in crate::core::workload::placer) fn withdraw_start(
        &mut self,
        cx: &mut Cx,
        vm_key: VmKey,
        task: TaskKey,
        reason: &str,
    ) {
        let vm = self.fleet.vms.get(&vm_key);
        let run = vm.and_then(|vm| Some((vm.id.clone(), vm.runs.get(&task)?.number)));
        if let (Some((vm, run)), Some(name)) = (run, self.registry.task_name(task)) {
            cx.log(Decision::NotStarted {
                task: name.to_string().into(),
                id: name.job,
                run,
                vm,
                reason: format!("withdrawn: {reason}").into(),
            });
        }
        self.release_and_requeue(cx, vm_key, task);
        self.release_unsent_runs(cx, task, reason);
    }

    fn send_wanted_start(&mut self, cx: &mut Cx, vm_key: VmKey, task: TaskKey, delivery: Delivery) {
        let Some(start) = self.start_order(cx, vm_key, task) else {
            return;
        };
        let (Some(job), Some(vm), Some(state)) = (
            self.registry.jobs.get(&task.step.job),
            self.fleet.vms.get_mut(&vm_key),
            self.registry.task(task),
        ) else {
            return;
        };
        let free = vm.free();
        let Some(run) = vm.runs.get_mut(&task) else {
            return;
        };
        run.delivery = delivery;
        let free_cpu_milli = free.plus(&run.reservation).cpu_milli;
        if start.ticket.is_some() {
            self.advice_use.queue(&job.queue.name).ticketed_starts += 1;
        }
        if let Some((pair, core_millis)) = started_work(job, task.step.step) {
            self.waits.record_start(cx.now, pair, core_millis);
        }
        let order = start.order.clone();
        cx.send(Request::Start(Box::new(start)));
        cx.log(Decision::Placed {
            task: order.task.to_string().into(),
            id: order.task.job,
            run: order.run,
            vm: order.vm,
            epoch: self.owner.epoch,
            free_cpu_milli,
            waited_ms: millis(cx.now.saturating_sub(state.waiting_since)),
            crashes: state.crashed.len(),
        });
        self.record_start_time(task, cx.now);
    }

    fn record_start_time(&mut self, task: TaskKey, at: Now) {
        if let Some(state) = self.registry.task_mut(task) {
            state.last_start_at = at;
        }
    }

    /// Returns the order to start a run, and records that it is sent now; `None` if the clock of the VM
    /// is not known.
    pub(super) fn start_order(
        &mut self,
        cx: &Cx,
        vm_key: VmKey,
        task: TaskKey,
    ) -> Option<StartOrder> {
        let name = self.registry.task_name(task)?;
        let job = self.registry.jobs.get(&task.step.job)?;
        let step = self.registry.step(task.step)?;
        let vm = self.fleet.vms.get_mut(&vm_key)?;
        // The VM rejects an order that arrives after its deadline, also if this process was paused
        // before it sent the order.
        let lease = cx.options.vms.lease;
        let lease = cx.start_window().map_or(lease, |window| window.min(lease));
        let deadline_ms = vm.lease_deadline_ms(cx.now, lease)?;
        let run = vm.runs.get_mut(&task)?;
        run.sent_at = cx.now;
        let run = run.number;
        vm.record_deadline(cx.now, deadline_ms);
        vm.unanswered_since.get_or_insert(cx.now);
        let ticket = step.advice.last_ticket(vm_key);
        let checkpoint = &step.tasks[task.index as usize].checkpoint;
        Some(StartOrder {
            order: vm.order_for(name, run, cx.now),
            address: vm.address.clone(),
            epoch: self.owner.epoch,
            payload: job.payload.clone(),
            deadline_ms,
            checkpoint: checkpoint.clone(),
            ticket: ticket.map(|ticket| ticket.text.clone()),
            timeout: cx.options.vms.order_timeout,
        })
    }

    /// Handles the answer to a start.
    pub(in crate::core::workload::placer) fn handle_start_answer(
        &mut self,
        cx: &mut Cx,
        order: &OrderId,
        result: Result<u64, StartError>,
    ) -> RoleLoss {
        let (vm_key, vm) = self.fleet.by_id(&order.vm)?;
        if is_answer(&result) {
            vm.unanswered_since = None;
        }
        let task = self.registry.find_task(&order.task)?;
        let err = match result {
            Ok(clock_ms) => {
                self.confirm_start(cx, vm_key, task, order, clock_ms);
                return None;
            }
            Err(err) => err,
        };
        let vm = self.fleet.vms.get_mut(&vm_key)?;
        let run = vm
            .runs
            .get_mut(&task)
            .filter(|run| run.number == order.run)?;
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
            StartError::Order(OrderError::Broken(_)) if run.may_be_resent() => {
                run.phase = Phase::Unconfirmed;
                let resend = QueuedOrder::Resend(task, order.run);
                self.queue_order(cx, vm_key, resend);
                return None;
            }
            StartError::Order(OrderError::NoAnswer(_) | OrderError::Broken(_)) => {
                vm.leave_unconfirmed(cx, task);
                return None;
            }
            // The VM may have received the start when it was sent before.
            _ if run.resends > 0 => {
                vm.leave_unconfirmed(cx, task);
                return None;
            }
            StartError::NoRoom
            | StartError::Order(
                OrderError::Refused(_) | OrderError::NotSent(_) | OrderError::WrongLifetime,
            ) => {
                vm.avoid_until = cx.now + REFUSAL_PAUSE;
            }
            StartError::BadTicket => {
                if let Some(step) = self.registry.step_mut(task.step) {
                    step.advice.expire(vm_key);
                }
            }
            StartError::Late => vm.avoid_until = cx.now + cx.options.vms.renewal_gap,
            StartError::OldRun => {}
        }
        self.record_start_time(task, Now::ZERO);
        self.release_and_requeue(cx, vm_key, task);
        None
    }

    /// Records that a VM has confirmed a run, in the lifetime whose clock shows `clock_ms`.
    fn confirm_start(
        &mut self,
        cx: &mut Cx,
        vm_key: VmKey,
        task: TaskKey,
        order: &OrderId,
        clock_ms: u64,
    ) {
        let Some(vm) = self.fleet.vms.get_mut(&vm_key) else {
            return;
        };
        let is_current = vm.is_current_lifetime(order.sent, clock_ms, cx.now);
        let run = vm.runs.get_mut(&task);
        let Some(run) = run.filter(|run| run.number == order.run) else {
            return;
        };
        if run.host == HostLifetime::Unconfirmed {
            run.host = if is_current {
                HostLifetime::Current
            } else {
                HostLifetime::Ambiguous { since: cx.now }
            };
        }
        if run.phase == Phase::Starting {
            run.phase = Phase::Running { since: cx.now };
            self.record_start(cx, task);
        }
    }

    /// Records that a task has started, which moves a queued job to the running state.
    pub(in crate::core::workload::placer) fn record_start(&mut self, cx: &mut Cx, task: TaskKey) {
        let Some(job) = self.registry.jobs.get_mut(&task.step.job) else {
            return;
        };
        if job.state == JobState::Queued && job.is_active() {
            job.state = JobState::Running;
            cx.log(Decision::JobState {
                id: job.id.clone(),
                state: JobState::Running,
                reason: "".into(),
                took_ms: millis(cx.unix_time.saturating_sub(job.accepted_at)),
                objective_ms: millis(job.objective()),
            });
            self.registry.mark_dirty(task.step.job);
        }
    }

    /// Adopts a run that an earlier placer started.
    pub(in crate::core::workload::placer) fn adopt_run(
        &mut self,
        cx: &mut Cx,
        vm_key: VmKey,
        task: TaskKey,
        row: &RunningTask,
    ) {
        let Some(job) = self.registry.jobs.get(&task.step.job) else {
            return;
        };
        let caution = self.caution(cx.now, task).min(Caution::Apart);
        let mut run = Run::new(row.run, job.spec(task.step.step), caution, cx.now);
        let (id, team) = (job.id.clone(), job.team.clone());
        let Some(vm) = self.fleet.vms.get_mut(&vm_key) else {
            return;
        };
        run.phase = Phase::Running { since: cx.now };
        run.host = HostLifetime::Current;
        run.measurement = row.measurement;
        vm.add_run(task, run);
        cx.log(Decision::RunAdopted {
            id,
            task: row.task.to_string().into(),
            run: row.run,
            vm: vm.id.clone(),
        });
        self.usage.add(team.as_ref(), &run.demand);
        if let Some(step) = self.registry.step_mut(task.step) {
            step.waiting -= 1;
            let state = &mut step.tasks[task.index as usize];
            state.placement = Placement::Assigned(vm_key);
            state.run = state.run.max(row.run);
            if !row.checkpoint.is_empty() {
                state.checkpoint.clone_from(&row.checkpoint);
            }
        }
        self.record_start(cx, task);
    }
}

/// Returns whether the VM itself has answered a start, if only to refuse it.
fn is_answer(result: &Result<u64, StartError>) -> bool {
    !matches!(
        result,
        Err(StartError::Order(
            OrderError::NoAnswer(_) | OrderError::Broken(_) | OrderError::NotSent(_)
        ))
    )
}
