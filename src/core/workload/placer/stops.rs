//! Stops of runs. A run that is being stopped takes its room until its end is listed, and no list
//! of its VM holds it meanwhile. The table therefore names the VMs that have such runs before a
//! stop is sent, so that the next placer does not use their room too early.

use super::Lost;
use super::Placer;
use super::book::JobKey;
use super::book::TaskKey;
use super::fleet::Phase;
use super::fleet::Run;
use super::fleet::Vm;
use super::fleet::VmKey;
use crate::core::model::Now;
use crate::core::workload::cx::Cx;
use crate::core::workload::decision::Decision;
use crate::core::workload::effect::JobState;
use crate::core::workload::effect::Request;
use crate::core::workload::event::OrderError;
use crate::core::workload::event::OrderId;
use crate::core::workload::rows::StopsRow;
use crate::core::workload::task::RunNumber;
use crate::core::workload::task::RunningTask;
use crate::core::workload::task::TaskName;

/// Whether the table names a VM among those with runs that are being stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopNotice {
    /// It does not, or not for sure.
    No,
    /// It is to.
    Wanted,
    /// It does.
    Written,
}

/// A run that a VM lists and that is not to be there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Stray {
    task: TaskName,
    run: RunNumber,
    reason: &'static str,
}

impl Placer {
    /// Orders the stop of a run, or repeats it. The order is sent once the table names the VM.
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
        if vm.stop_notice != StopNotice::Written {
            run.phase = Phase::StopWanted(reason);
            vm.stop_notice = StopNotice::Wanted;
            self.progress.want_stops();
            return;
        }
        run.phase = Phase::Stopping {
            acked: None,
            retry_at: cx.now + cx.options.vms.order_timeout,
        };
        let number = run.number;
        let order = vm.order(name, number, cx.now);
        let address = vm.address.clone();
        self.send_stop(cx, order, address, reason);
    }

    /// Stops a run that is not to be where a VM lists it. Its room counts as taken until the VM can
    /// have listed its runs anew.
    pub(super) fn stop_stray(
        &mut self,
        cx: &mut Cx,
        vm_key: VmKey,
        row: &RunningTask,
        reason: &'static str,
    ) {
        let options = &cx.options.vms;
        let listing = self.hold_wait(cx) + options.hold_margin;
        let Some(vm) = self.fleet.vms.get_mut(&vm_key) else {
            return;
        };
        vm.unclear_until = cx.now + listing + options.stop_timeout;
        let stray = Stray {
            task: row.task.clone(),
            run: row.run,
            reason,
        };
        if vm.stop_notice == StopNotice::Written {
            return self.order_stray_stop(cx, vm_key, stray);
        }
        if !vm.strays.contains(&stray) {
            vm.strays.push(stray);
        }
        vm.stop_notice = StopNotice::Wanted;
        self.progress.want_stops();
    }

    fn order_stray_stop(&mut self, cx: &mut Cx, vm_key: VmKey, stray: Stray) {
        let Some(vm) = self.fleet.vms.get(&vm_key) else {
            return;
        };
        let order = vm.order(stray.task, stray.run, cx.now);
        let address = vm.address.clone();
        self.send_stop(cx, order, address, stray.reason);
    }

    /// The VMs to be named in the table, if it names others.
    pub(super) fn stops_row(&self, now: Now) -> Option<(Vec<VmKey>, StopsRow)> {
        let named = self.fleet.vms.iter().filter(|(_, vm)| vm.may_stop(now));
        let keys: Vec<VmKey> = named.map(|(&key, _)| key).collect();
        if self.progress.stops() == Some(&keys) {
            return None;
        }
        let vms = keys.iter().filter_map(|key| self.fleet.vms.get(key));
        let vms = vms.map(|vm| vm.id.clone()).collect();
        Some((keys, StopsRow { vms }))
    }

    /// The table is about to name other VMs: those left out of `named`, which is
    /// sorted, count as not named from now on.
    pub(super) fn leave_out(&mut self, named: &[VmKey]) {
        for (key, vm) in &mut self.fleet.vms {
            if named.binary_search(key).is_err() {
                vm.stop_notice = StopNotice::No;
            }
        }
    }

    /// The table names these VMs: the stops that waited for that are sent.
    pub(super) fn stops_written(&mut self, cx: &mut Cx, named: &[VmKey]) {
        for &key in named {
            let Some(vm) = self.fleet.vms.get_mut(&key) else {
                continue;
            };
            vm.stop_notice = StopNotice::Written;
            let strays = std::mem::take(&mut vm.strays);
            let wanted = vm.runs.iter().filter_map(|(&task, run)| match run.phase {
                Phase::StopWanted(reason) => Some((task, reason)),
                _ => None,
            });
            let mut wanted: Vec<(TaskKey, &'static str)> = wanted.collect();
            wanted.sort_unstable();
            for (task, reason) in wanted {
                self.order_stop(cx, key, task, reason);
            }
            for stray in strays {
                self.order_stray_stop(cx, key, stray);
            }
        }
    }

    /// Takes the VMs that an earlier placer may have been stopping runs on.
    pub(super) fn load_stops(&mut self, row: &StopsRow) {
        for vm in self.fleet.vms.values_mut() {
            vm.inherits_stops = row.vms.contains(&vm.id);
        }
    }

    /// Takes the answer to a stop.
    pub(super) fn stopped(
        &mut self,
        cx: &mut Cx,
        order: &OrderId,
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

    fn send_stop(&self, cx: &mut Cx, order: OrderId, address: Box<str>, reason: &'static str) {
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
    /// Whether a run may be being stopped there, or is to be.
    fn may_stop(&self, now: Now) -> bool {
        let stopping = |run: &Run| {
            let phase = run.phase;
            matches!(phase, Phase::StopWanted(_) | Phase::Stopping { .. })
        };
        let unlisted = self.inherits_stops || now < self.unclear_until;
        unlisted || !self.strays.is_empty() || self.runs.values().any(stopping)
    }
}
