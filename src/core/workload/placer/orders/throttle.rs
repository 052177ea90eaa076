//! Throttling of fillers, to protect the latency of other tasks on the same VM.
//!
//! Fillers raise the tail latency of tasks with a latency target on their VM, by amounts that
//! change within seconds. Their speed limit follows the worst tail latency on the VM: it falls fast
//! and rises slowly.

use std::time::Duration;

use crate::core::model::Now;
use crate::core::workload::cx::Cx;
use crate::core::workload::decision::Decision;
use crate::core::workload::effect::Request;
use crate::core::workload::event::OrderError;
use crate::core::workload::event::OrderId;
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::RoleLoss;
use crate::core::workload::placer::orders::queue::QueuedOrder;
use crate::core::workload::placer::state::fleet::VmKey;
use crate::core::workload::placer::state::job_registry::TaskKey;
use crate::core::workload::placer::state::run::Phase;
use crate::core::workload::placer::state::run::Run;
use crate::core::workload::task::RunNumber;

/// Speed of a task that is not throttled, in percent.
pub(in crate::core::workload::placer) const FULL_SPEED_PERCENT: u32 = 100;

/// Tail latency at which the speed limit of fillers is halved, in percent of the target. At 100 the
/// limit drops to zero.
const THROTTLE_PERCENT: u64 = 85;

/// Tail latency below which the speed limit of fillers is raised, in percent of the target.
const RECOVER_PERCENT: u64 = 65;

/// Step by which the speed limit is raised, in percent.
const SPEED_STEP_PERCENT: u32 = 20;

/// Least time between two reductions, as their effect on the tail latency shows with a delay.
const THROTTLE_INTERVAL: Duration = Duration::from_millis(400);

/// Least time between the last change of the speed limit and a raise.
const RECOVER_INTERVAL: Duration = Duration::from_millis(1_500);

impl Placer {
    /// Adjusts the speed limit of the fillers on a VM to the tail latencies of its tasks with a
    /// latency target.
    pub(in crate::core::workload::placer) fn throttle_fillers(&mut self, cx: &mut Cx, key: VmKey) {
        let Some(vm) = self.fleet.vms.get(&key) else {
            return;
        };
        if vm.filler_cpu_milli == 0 {
            return;
        }
        let worst = self.worst_tail(cx.now, key);
        let Some(vm) = self.fleet.vms.get_mut(&key) else {
            return;
        };
        let since = cx.now.saturating_sub(vm.speed_changed_at);
        let percent = match worst.map(|(tail, target)| tail * 100 / target.max(1)) {
            Some(ratio) if ratio >= 100 && since >= THROTTLE_INTERVAL => 0,
            Some(ratio) if ratio >= THROTTLE_PERCENT && since >= THROTTLE_INTERVAL => {
                vm.filler_speed_percent / 2
            }
            Some(ratio) if ratio >= RECOVER_PERCENT => vm.filler_speed_percent,
            _ if since >= RECOVER_INTERVAL => {
                (vm.filler_speed_percent + SPEED_STEP_PERCENT).min(FULL_SPEED_PERCENT)
            }
            _ => vm.filler_speed_percent,
        };
        if percent != vm.filler_speed_percent {
            vm.filler_speed_percent = percent;
            vm.speed_changed_at = cx.now;
        }
        self.send_filler_speed(cx, key, worst);
    }

    /// Handles the answer to a change of the speed limit.
    pub(in crate::core::workload::placer) fn handle_speed_answer(
        &mut self,
        cx: &mut Cx,
        order: &OrderId,
        result: &Result<u64, OrderError>,
    ) -> RoleLoss {
        if let Err(OrderError::Fenced) = result {
            return Some(format!("fenced by VM {}", order.vm).into());
        }
        let task = self.registry.find_task(&order.task)?;
        let (_, vm) = self.fleet.by_id(&order.vm)?;
        let is_current = order.sent >= vm.lifetime_since;
        let run = vm
            .runs
            .get_mut(&task)
            .filter(|run| run.number == order.run)?;
        if result.is_ok() && is_current {
            run.speed_percent = run
                .requested_speed_percent
                .take()
                .unwrap_or(run.speed_percent);
        } else {
            run.requested_speed_percent = None;
            run.speed_retry_at = cx.now + cx.options.vms.retry_delay;
        }
        None
    }

    /// Returns the tail latency and the target, in milliseconds, of the task with the highest ratio
    /// of the two.
    fn worst_tail(&self, now: Now, key: VmKey) -> Option<(u64, u64)> {
        let vm = self.fleet.vms.get(&key)?;
        let with_target = vm
            .runs
            .iter()
            .filter(|(_, run)| run.has_target && is_running(run, now));
        let tails = with_target.filter_map(|(task, run)| {
            let job = self.registry.jobs.get(&task.step.job)?;
            Some((run.measurement, job.spec(task.step.step).target_ms))
        });
        tails.max_by_key(|&(tail, target)| tail * 100 / target.max(1))
    }

    /// Sends the VM's filler speed limit to the fillers that have a different one.
    fn send_filler_speed(&mut self, cx: &mut Cx, key: VmKey, worst: Option<(u64, u64)>) {
        let Some(vm) = self.fleet.vms.get_mut(&key) else {
            return;
        };
        let percent = vm.filler_speed_percent;
        let needs_change = |run: &Run| {
            let is_filler = run.reservation.cpu_milli == 0 && run.demand.cpu_milli > 0;
            let requested = run.requested_speed_percent.unwrap_or(run.speed_percent);
            is_filler
                && requested != percent
                && cx.now >= run.speed_retry_at
                && is_running(run, cx.now)
        };
        let tasks = vm.runs.iter().filter(|(_, run)| needs_change(run));
        let mut tasks: Vec<TaskKey> = tasks.map(|(&task, _)| task).collect();
        tasks.sort_unstable();
        let mut orders = Vec::with_capacity(tasks.len());
        for task in tasks {
            let (Some(name), Some(run)) = (self.registry.task_name(task), vm.runs.get_mut(&task))
            else {
                continue;
            };
            run.requested_speed_percent = Some(percent);
            let (tail_ms, target_ms) = worst.unwrap_or_default();
            cx.log(Decision::SpeedChangeOrdered {
                id: name.job.clone(),
                task: name.to_string().into(),
                vm: vm.id.clone(),
                percent,
                tail_ms,
                target_ms,
            });
            orders.push(QueuedOrder::Speed(task, run.number));
        }
        for order in orders {
            self.queue_order(cx, key, order);
        }
    }

    /// Sends the speed limit that is requested last for a run, unless the run has ended. Returns
    /// whether it was sent.
    pub(in crate::core::workload::placer) fn send_speed(
        &mut self,
        cx: &mut Cx,
        vm_key: VmKey,
        task: TaskKey,
        number: RunNumber,
    ) -> bool {
        let name = self.registry.task_name(task);
        let (Some(name), Some(vm)) = (name, self.fleet.vms.get(&vm_key)) else {
            return false;
        };
        let run = vm.runs.get(&task).filter(|run| run.number == number);
        let Some(percent) = run.and_then(|run| run.requested_speed_percent) else {
            return false;
        };
        cx.send(Request::SetSpeed {
            order: vm.order_for(name, number, cx.now),
            address: vm.address.clone(),
            epoch: self.owner.epoch,
            percent,
            timeout: cx.options.vms.order_timeout,
        });
        true
    }
}

fn is_running(run: &Run, now: Now) -> bool {
    matches!(run.phase, Phase::Running { since } if now >= since)
}
