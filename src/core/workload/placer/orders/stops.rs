//! Stops of runs.
//!
//! A run that is being stopped uses its resources until its VM reports the end. Meanwhile the VM
//! lists it neither as running nor as ended, so a new placer could not see it and would assign its
//! resources to other tasks. The placer therefore stores the VMs with such runs in the stops row of
//! the table before it sends a stop.

use crate::core::model::Now;
use crate::core::workload::cx::Cx;
use crate::core::workload::decision::Decision;
use crate::core::workload::effect::JobState;
use crate::core::workload::effect::Request;
use crate::core::workload::event::OrderError;
use crate::core::workload::event::OrderId;
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::RoleLoss;
use crate::core::workload::placer::orders::queue::QueuedOrder;
use crate::core::workload::placer::state::fleet::Vm;
use crate::core::workload::placer::state::fleet::VmKey;
use crate::core::workload::placer::state::job_registry::JobKey;
use crate::core::workload::placer::state::job_registry::TaskKey;
use crate::core::workload::placer::state::run::Phase;
use crate::core::workload::placer::state::run::Run;
use crate::core::workload::rows::StopsRow;
use crate::core::workload::rows::encode_within;
use crate::core::workload::task::RunNumber;
use crate::core::workload::task::RunningTask;
use crate::core::workload::task::TaskName;

/// Whether the stops row names a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::core::workload::placer) enum StopRecord {
    /// Not named, or unknown.
    Absent,
    /// The next write will name it.
    Pending,
    /// The stored row names it.
    Written,
}

/// A run that a VM reports but that is not assigned to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::core::workload::placer) struct UnexpectedRun {
    task: TaskName,
    run: RunNumber,
    reason: &'static str,
}

impl Placer {
    /// Stops a run, or repeats the stop if that is due. The order is sent once the stops row names
    /// the VM. A run whose start was not sent is released at once.
    pub(in crate::core::workload::placer) fn order_stop(
        &mut self,
        cx: &mut Cx,
        vm_key: VmKey,
        task: TaskKey,
        reason: &'static str,
    ) {
        let Some(vm) = self.fleet.vms.get_mut(&vm_key) else {
            return;
        };
        let Some(run) = vm.runs.get_mut(&task) else {
            return;
        };
        if !run.is_sent() {
            return self.withdraw_start(cx, vm_key, task, reason);
        }
        if let Phase::Stopping { acked_at, retry_at } = run.phase
            && (acked_at.is_some() || cx.now < retry_at)
        {
            return;
        }
        if vm.stop_record != StopRecord::Written {
            run.phase = Phase::StopPending(reason);
            vm.stop_record = StopRecord::Pending;
            self.progress.request_stops_write();
            return;
        }
        // Not repeated before it is sent.
        run.phase = Phase::Stopping {
            acked_at: None,
            retry_at: Now::MAX,
        };
        let order = QueuedOrder::Stop(task, run.number, reason);
        self.queue_order(cx, vm_key, order);
    }

    /// Stops a run that is not assigned to the VM that reports it.
    ///
    /// No tasks are placed on the VM for the longest time that the stop and one more renewal can
    /// take, as the run uses resources of the VM that the placer does not count.
    pub(in crate::core::workload::placer) fn stop_unexpected(
        &mut self,
        cx: &mut Cx,
        vm_key: VmKey,
        row: &RunningTask,
        reason: &'static str,
    ) {
        let options = &cx.options.vms;
        let report_time = self.renewal_wait(cx) + options.renewal_margin;
        let Some(vm) = self.fleet.vms.get_mut(&vm_key) else {
            return;
        };
        vm.capacity_uncertain_until = cx.now + report_time + options.stop_timeout;
        let unexpected = UnexpectedRun {
            task: row.task.clone(),
            run: row.run,
            reason,
        };
        if vm.stop_record == StopRecord::Written {
            return self.queue_order(cx, vm_key, QueuedOrder::StopUnexpected(unexpected));
        }
        if !vm.unexpected_runs.contains(&unexpected) {
            vm.unexpected_runs.push(unexpected);
        }
        vm.stop_record = StopRecord::Pending;
        self.progress.request_stops_write();
    }

    /// Sends the stop of a run that is not assigned to the VM. Returns whether it was sent.
    pub(in crate::core::workload::placer) fn send_unexpected_stop(
        &mut self,
        cx: &mut Cx,
        vm_key: VmKey,
        unexpected: UnexpectedRun,
    ) -> bool {
        let Some(vm) = self.fleet.vms.get(&vm_key) else {
            return false;
        };
        let order = vm.order_for(unexpected.task, unexpected.run, cx.now);
        self.send_stop_order(cx, order, vm.address.clone(), unexpected.reason);
        true
    }

    /// Sends the stop of a run, unless the run has ended. Returns whether it was sent.
    pub(in crate::core::workload::placer) fn send_stop(
        &mut self,
        cx: &mut Cx,
        vm_key: VmKey,
        task: TaskKey,
        number: RunNumber,
        reason: &'static str,
    ) -> bool {
        let name = self.registry.task_name(task);
        let (Some(name), Some(vm)) = (name, self.fleet.vms.get_mut(&vm_key)) else {
            return false;
        };
        let run = vm.runs.get_mut(&task);
        let Some(run) = run.filter(|run| run.number == number) else {
            return false;
        };
        run.phase = Phase::Stopping {
            acked_at: None,
            retry_at: cx.now + cx.options.vms.order_timeout,
        };
        let order = vm.order_for(name, number, cx.now);
        let address = vm.address.clone();
        self.send_stop_order(cx, order, address, reason);
        true
    }

    /// Returns the value of the stops row to write, with the keys of its VMs; `None` if the stored row
    /// is up to date.
    pub(in crate::core::workload::placer) fn stops_row(
        &self,
        cx: &Cx,
    ) -> Option<(Vec<VmKey>, Vec<u8>)> {
        let named = self
            .fleet
            .vms
            .iter()
            .filter(|(_, vm)| vm.may_have_stopping_runs(cx.now));
        let keys: Vec<VmKey> = named.map(|(&key, _)| key).collect();
        if self.progress.stopping_vms() == Some(&keys) {
            return None;
        }
        let vms = keys.iter().filter_map(|key| self.fleet.vms.get(key));
        let mut row = StopsRow {
            vms: vms.map(|vm| vm.id.clone()).collect(),
            has_more: false,
        };
        let max_bytes = cx.options.table.max_value_bytes;
        let value = encode_within(&mut row, keys.len(), max_bytes, |row, len| {
            row.vms.truncate(len);
            row.has_more = true;
        });
        Some((keys, value))
    }

    /// Marks the VMs that the next stops row does not name, before that row is written. `named` has
    /// the keys of the VMs that it does name, in ascending order.
    pub(in crate::core::workload::placer) fn clear_stop_records(&mut self, named: &[VmKey]) {
        for (key, vm) in &mut self.fleet.vms {
            if named.binary_search(key).is_err() {
                vm.stop_record = StopRecord::Absent;
            }
        }
    }

    /// Handles a completed write of the stops row: sends the stops that waited for it.
    pub(in crate::core::workload::placer) fn handle_stops_written(
        &mut self,
        cx: &mut Cx,
        named: &[VmKey],
    ) {
        for &key in named {
            let Some(vm) = self.fleet.vms.get_mut(&key) else {
                continue;
            };
            vm.stop_record = StopRecord::Written;
            let unexpected_runs = std::mem::take(&mut vm.unexpected_runs);
            let pending = vm.runs.iter().filter_map(|(&task, run)| match run.phase {
                Phase::StopPending(reason) => Some((task, reason)),
                _ => None,
            });
            let mut pending: Vec<(TaskKey, &'static str)> = pending.collect();
            pending.sort_unstable();
            for (task, reason) in pending {
                self.order_stop(cx, key, task, reason);
            }
            for unexpected in unexpected_runs {
                self.queue_order(cx, key, QueuedOrder::StopUnexpected(unexpected));
            }
        }
    }

    /// Loads the VMs on which an earlier placer may have been stopping runs.
    pub(in crate::core::workload::placer) fn load_stops_row(&mut self, row: &StopsRow) {
        for vm in self.fleet.vms.values_mut() {
            vm.inherits_stops = row.has_more || row.vms.contains(&vm.id);
        }
    }

    /// Handles the answer to a stop.
    pub(in crate::core::workload::placer) fn handle_stop_answer(
        &mut self,
        cx: &mut Cx,
        order: &OrderId,
        result: &Result<u64, OrderError>,
    ) -> RoleLoss {
        if let Err(OrderError::Fenced) = result {
            return Some(format!("fenced by VM {}", order.vm).into());
        }
        let key = self.fleet.key(&order.vm)?;
        let gap = cx.options.vms.renewal_gap;
        self.fleet.hasten_renewal(key, cx.now + gap);
        let task = self.registry.task_key(&order.task)?;
        let vm = self.fleet.vms.get_mut(&key)?;
        // A former lifetime of the VM may have answered an order that was sent before this one was known.
        let is_acked = result.is_ok() && order.sent >= vm.lifetime_since;
        let run = vm
            .runs
            .get_mut(&task)
            .filter(|run| run.number == order.run)?;
        if let Phase::Stopping { .. } = run.phase {
            run.phase = Phase::Stopping {
                acked_at: is_acked.then_some(cx.now),
                retry_at: cx.now + cx.options.vms.retry_delay,
            };
        }
        None
    }

    /// Repeats the stops that were not acknowledged in time.
    pub(in crate::core::workload::placer) fn retry_stops(&mut self, cx: &mut Cx) {
        let is_due = |run: &Run| {
            matches!(
                run.phase,
                Phase::Stopping { acked_at: None, retry_at } if cx.now >= retry_at
            )
        };
        let runs = self.fleet.vms.iter();
        let runs = runs.flat_map(|(&key, vm)| vm.runs.iter().map(move |run| (key, run)));
        let due = runs.filter(|(_, (_, run))| is_due(run));
        let mut due: Vec<(VmKey, TaskKey)> = due.map(|(key, (&task, _))| (key, task)).collect();
        due.sort_unstable();
        for (key, task) in due {
            self.order_stop(cx, key, task, "previous stop request was not answered");
        }
    }

    /// Cancels a job: starts none of its tasks any more and stops its runs.
    pub(in crate::core::workload::placer) fn cancel_job(&mut self, cx: &mut Cx, key: JobKey) {
        let Some(job) = self.registry.jobs.get_mut(&key) else {
            return;
        };
        if job.cancelled || job.ended_at.is_some() {
            return;
        }
        job.cancelled = true;
        self.finish_job(cx, key, JobState::Cancelled, "requested by the submitter");
    }

    /// Stops all runs of a job.
    pub(in crate::core::workload::placer) fn stop_job(&mut self, cx: &mut Cx, job: JobKey) {
        for key in self.fleet.keys() {
            let Some(vm) = self.fleet.vms.get(&key) else {
                continue;
            };
            let runs = vm.runs.keys().filter(|task| task.step.job == job);
            let mut tasks: Vec<TaskKey> = runs.copied().collect();
            tasks.sort_unstable();
            for task in tasks {
                self.order_stop(cx, key, task, "job has ended");
            }
        }
    }

    /// Stops the runs on a draining VM that are worth restarting elsewhere before the VM leaves:
    /// those of tasks with checkpoints, except gangs, and of tasks that run until cancelled, unless
    /// they have an unavailability budget.
    pub(in crate::core::workload::placer) fn evacuate_vm(&mut self, cx: &mut Cx, key: VmKey) {
        let Some(vm) = self.fleet.vms.get(&key) else {
            return;
        };
        let is_movable = |task: &&TaskKey| {
            let job = self.registry.jobs.get(&task.step.job);
            job.is_some_and(|job| {
                let spec = job.spec(task.step.step);
                let traits = spec.traits;
                (traits.long_running && spec.max_unavailable.is_none())
                    || (traits.checkpointing && !traits.gang)
            })
        };
        let mut tasks: Vec<TaskKey> = vm.runs.keys().filter(is_movable).copied().collect();
        tasks.sort_unstable();
        for task in tasks {
            self.order_stop(cx, key, task, "VM is draining");
        }
    }

    fn send_stop_order(
        &self,
        cx: &mut Cx,
        order: OrderId,
        address: Box<str>,
        reason: &'static str,
    ) {
        cx.log(Decision::StopOrdered {
            id: order.task.job.clone(),
            task: order.task.to_string().into(),
            run: order.run,
            vm: order.vm.clone(),
            reason,
        });
        let epoch = self.owner.epoch;
        let timeout = cx.options.vms.order_timeout;
        cx.send(Request::Stop {
            order,
            address,
            epoch,
            timeout,
        });
    }
}

impl Vm {
    /// Returns whether the VM has or may have runs that are being stopped or are to be stopped.
    fn may_have_stopping_runs(&self, now: Now) -> bool {
        let may_be_unreported = self.inherits_stops || now < self.capacity_uncertain_until;
        may_be_unreported
            || !self.unexpected_runs.is_empty()
            || self.runs.values().any(Run::is_stopping)
    }
}
