//! Checks of VMs before starts.
//!
//! If a VM crashes before it has answered a start, nothing tells whether the task is the cause or the
//! VM was down before the start arrived. A task under which a VM may have crashed is therefore started
//! only once its VM has answered a check: a VM that is down gets no start, and a crash that follows a
//! start counts against the task. The members of a gang are started together, once all their VMs have
//! answered.

use crate::core::workload::cx::Cx;
use crate::core::workload::decision::Decision;
use crate::core::workload::effect::Request;
use crate::core::workload::event::OrderError;
use crate::core::workload::event::OrderId;
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::Release;
use crate::core::workload::placer::RoleLoss;
use crate::core::workload::placer::orders::queue::QueuedOrder;
use crate::core::workload::placer::orders::starts::REFUSAL_PAUSE;
use crate::core::workload::placer::state::fleet::Vm;
use crate::core::workload::placer::state::fleet::VmKey;
use crate::core::workload::placer::state::job_registry::Placement;
use crate::core::workload::placer::state::job_registry::TaskKey;
use crate::core::workload::placer::state::run::Delivery;
use crate::core::workload::placer::state::run::Phase;
use crate::core::workload::placer::state::run::Run;
use crate::core::workload::task::RunNumber;

impl Placer {
    /// Sends the check that goes before the start of a run, or withdraws the start. Returns whether the
    /// check was sent.
    pub(in crate::core::workload::placer) fn send_check(
        &mut self,
        cx: &mut Cx,
        vm_key: VmKey,
        task: TaskKey,
        run: RunNumber,
    ) -> bool {
        let vm = self.fleet.vms.get(&vm_key);
        let queued = vm.and_then(|vm| vm.runs.get(&task));
        let is_wanted = |queued: &Run| queued.number == run && queued.awaits_check();
        if !queued.is_some_and(is_wanted) {
            return false;
        }
        if let Some(reason) = self.start_obstacle(cx, vm_key) {
            self.release_unsent_runs(cx, task, reason);
            return false;
        }
        let name = self.registry.task_name(task);
        let (Some(name), Some(vm)) = (name, self.fleet.vms.get_mut(&vm_key)) else {
            return false;
        };
        vm.unanswered_since.get_or_insert(cx.now);
        cx.send(Request::Check {
            order: vm.order_for(name, run, cx.now),
            address: vm.address.clone(),
            epoch: self.owner.epoch,
            timeout: cx.options.vms.order_timeout,
        });
        true
    }

    /// Handles the answer to a check: sends the start, for a gang once the VMs of all members have
    /// answered. An answer after the timeout tells nothing of the VM at present.
    pub(in crate::core::workload::placer) fn handle_check_answer(
        &mut self,
        cx: &mut Cx,
        order: &OrderId,
        result: Result<u64, OrderError>,
    ) -> RoleLoss {
        let (_, vm) = self.fleet.by_id(&order.vm)?;
        let is_late = cx.now > order.sent + cx.options.vms.order_timeout;
        let failure = match result {
            Err(OrderError::Fenced) => return Some(format!("fenced by VM {}", order.vm).into()),
            Err(err) => Some(format!("{err:?}")),
            Ok(_) if is_late => Some("the answer is late".to_owned()),
            Ok(_) => None,
        };
        if failure.is_none() {
            vm.unanswered_since = None;
        }
        let task = self.registry.find_task(&order.task)?;
        let run = vm.runs.get_mut(&task);
        if let Some(run) = run.filter(|run| run.number == order.run && run.awaits_check()) {
            if let Some(reason) = failure {
                vm.avoid_until = cx.now + REFUSAL_PAUSE;
                self.release_unsent_runs(cx, task, &reason);
                return None;
            }
            run.delivery = Delivery::AwaitsMembers;
        }
        self.send_checked_starts(cx, task);
        None
    }

    /// Sends the start of a run, with those of all other members if it is a gang, unless one of them
    /// still waits for the answer to its check.
    fn send_checked_starts(&mut self, cx: &mut Cx, task: TaskKey) {
        if self.release != Release::NotRequested {
            return;
        }
        let runs = self.unsent_runs_with(task);
        let is_ready = |run: &UnsentRun| run.delivery == Delivery::AwaitsMembers;
        let mut obstacles = runs
            .iter()
            .filter_map(|run| self.start_obstacle(cx, run.vm));
        if let Some(reason) = obstacles.next() {
            self.release_unsent_runs(cx, task, reason);
        } else if self.lacks_members(task) {
            self.release_unsent_runs(cx, task, "a member of the gang was lost");
        } else if runs.iter().all(is_ready) {
            for run in runs {
                self.queue_checked_start(cx, &run);
            }
        }
    }

    fn queue_checked_start(&mut self, cx: &mut Cx, unsent: &UnsentRun) {
        let vm = self.fleet.vms.get_mut(&unsent.vm);
        if let Some(run) = vm.and_then(|vm| vm.runs.get_mut(&unsent.task)) {
            run.delivery = Delivery::Queued;
        }
        let order = QueuedOrder::Start(unsent.task, unsent.number, Delivery::Checked);
        self.queue_order(cx, unsent.vm, order);
    }

    /// Releases the run of a task, with those of all other members if it is a gang, as far as their
    /// starts have not been sent.
    pub(in crate::core::workload::placer) fn release_unsent_runs(
        &mut self,
        cx: &mut Cx,
        task: TaskKey,
        reason: &str,
    ) {
        for run in self.unsent_runs_with(task) {
            let vm = self.fleet.vms.get(&run.vm).map(|vm| vm.id.clone());
            if let (Some(vm), Some(name)) = (vm, self.registry.task_name(run.task)) {
                cx.log(Decision::NotStarted {
                    task: name.to_string().into(),
                    id: name.job,
                    run: run.number,
                    vm,
                    reason: format!("check: {reason}").into(),
                });
            }
            self.release_and_requeue(cx, run.vm, run.task);
        }
    }

    /// Returns whether a task is a member of a gang of which another member waits to be placed.
    pub(super) fn lacks_members(&self, task: TaskKey) -> bool {
        let job = self.registry.jobs.get(&task.step.job);
        let is_gang = job.is_some_and(|job| job.has_gang(task.step.step));
        let step = self.registry.step(task.step);
        is_gang && step.is_some_and(|step| step.waiting > 0)
    }

    /// Returns the run of a task, with those of all other members if it is a gang, as far as their
    /// starts have not been sent. Leaves out the runs that are to be stopped.
    fn unsent_runs_with(&self, task: TaskKey) -> Vec<UnsentRun> {
        let job = self.registry.jobs.get(&task.step.job);
        let is_gang = job.is_some_and(|job| job.has_gang(task.step.step));
        let step = self.registry.step(task.step);
        let tasks = step.map(|step| &*step.tasks).unwrap_or_default();
        let members = (0..).zip(tasks);
        let members = members.filter(|(index, _)| is_gang || *index == task.index);
        let unsent = members.filter_map(|(index, member)| {
            let Placement::Assigned(vm) = member.placement else {
                return None;
            };
            let task = TaskKey { index, ..task };
            let run = self.fleet.vms.get(&vm)?.runs.get(&task)?;
            let is_unsent = !run.is_sent() && run.phase == Phase::Starting;
            is_unsent.then_some(UnsentRun {
                vm,
                task,
                number: run.number,
                delivery: run.delivery,
            })
        });
        unsent.collect()
    }
}

/// A run that is assigned to a VM but whose start has not been sent.
#[derive(Clone, Copy, Debug)]
struct UnsentRun {
    vm: VmKey,
    task: TaskKey,
    number: RunNumber,
    delivery: Delivery,
}

impl Vm {
    /// Returns whether a start may be sent to the VM: its clock is known, it does not drain, its zone
    /// is not evacuated, and the view of the evacuation requests is not too old.
    pub fn accepts_starts(&self, cx: &Cx) -> bool {
        self.clock.is_some()
            && self.row_start_at.is_none()
            && self.draining_since.is_none()
            && !cx.is_evacuation_view_stale()
            && !cx.evacuation.includes(&self.zone)
    }
}

impl Run {
    /// Returns whether the run waits for the answer to its check, or for the check to be sent.
    fn awaits_check(&self) -> bool {
        self.phase == Phase::Starting && self.delivery == Delivery::AwaitsCheck
    }
}
