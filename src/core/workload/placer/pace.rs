//! Slows tasks that fill down before they harm the tasks that serve beside them.
//!
//! Pattern: fillers on a VM raise the tail latency of serving tasks there, by amounts that change
//! within seconds. Their speed follows the worst tail on their VM: fast down, slow up.

use std::time::Duration;

use super::Lost;
use super::Placer;
use super::book::TaskKey;
use super::fleet::Phase;
use super::fleet::Run;
use super::fleet::VmKey;
use crate::core::model::Now;
use crate::core::workload::cx::Cx;
use crate::core::workload::decision::Decision;
use crate::core::workload::effect::Request;
use crate::core::workload::event::OrderError;
use crate::core::workload::event::OrderId;

/// Speed of a task that is not slowed down, in percent.
pub(super) const FULL: u32 = 100;

/// Part of the target from which on fillers are slowed down, in percent.
const HIGH: u64 = 85;

/// Part of the target below which fillers may go faster, in percent.
const LOW: u64 = 65;

/// Step by which fillers go faster, in percent.
const STEP_UP: u32 = 20;

/// Time between two steps down, as a tail shows them only after some time.
const DOWN_EVERY: Duration = Duration::from_millis(400);

/// Time between two steps up.
const UP_EVERY: Duration = Duration::from_millis(1_500);

impl Placer {
    /// Sets the speed of the fillers on a VM by the tails of the tasks that serve there.
    pub(super) fn pace_fillers(&mut self, cx: &mut Cx, key: VmKey) {
        let Some(vm) = self.fleet.vms.get(&key) else {
            return;
        };
        if vm.filler_milli == 0 {
            return;
        }
        let worst = self.worst_tail(cx.now, key);
        let Some(vm) = self.fleet.vms.get_mut(&key) else {
            return;
        };
        let since = cx.now.saturating_sub(vm.paced_at);
        let percent = match worst.map(|(tail, target)| tail * 100 / target.max(1)) {
            Some(part) if part >= 100 && since >= DOWN_EVERY => 0,
            Some(part) if part >= HIGH && since >= DOWN_EVERY => vm.filler_percent / 2,
            Some(part) if part >= LOW => vm.filler_percent,
            _ if since >= UP_EVERY => (vm.filler_percent + STEP_UP).min(FULL),
            _ => vm.filler_percent,
        };
        if percent != vm.filler_percent {
            vm.filler_percent = percent;
            vm.paced_at = cx.now;
        }
        self.send_pace(cx, key, worst);
    }

    /// Takes the answer to a change of speed.
    pub(super) fn paced(
        &mut self,
        cx: &mut Cx,
        order: &OrderId,
        result: &Result<u64, OrderError>,
    ) -> Lost {
        if let Err(OrderError::Fenced) = result {
            return Some(format!("fenced by VM {}", order.vm).into());
        }
        let task = self.book.find(&order.task)?;
        let (_, vm) = self.fleet.by_id(&order.vm)?;
        let run = vm
            .runs
            .get_mut(&task)
            .filter(|run| run.number == order.run)?;
        if result.is_ok() {
            run.percent = run.ordered_percent.take().unwrap_or(run.percent);
        } else {
            run.ordered_percent = None;
            run.pace_retry_at = cx.now + cx.options.vms.retry_delay;
        }
        None
    }

    /// The tail of the serving task that is nearest to its target, with that target.
    fn worst_tail(&self, now: Now, key: VmKey) -> Option<(u64, u64)> {
        let vm = self.fleet.vms.get(&key)?;
        let serving = vm
            .runs
            .iter()
            .filter(|(_, run)| run.serves && is_running(run, now));
        let tails = serving.filter_map(|(task, run)| {
            let job = self.book.jobs.get(&task.step.job)?;
            Some((run.figure, job.spec(task.step.step).target_ms))
        });
        tails.max_by_key(|&(tail, target)| tail * 100 / target.max(1))
    }

    /// Orders the VM's speed for the fillers that have another.
    fn send_pace(&mut self, cx: &mut Cx, key: VmKey, worst: Option<(u64, u64)>) {
        let Some(vm) = self.fleet.vms.get_mut(&key) else {
            return;
        };
        let percent = vm.filler_percent;
        let other = |run: &Run| {
            let fills = run.room.cpu_milli == 0 && run.demand.cpu_milli > 0;
            let asked = run.ordered_percent.unwrap_or(run.percent);
            fills && asked != percent && cx.now >= run.pace_retry_at && is_running(run, cx.now)
        };
        let tasks = vm.runs.iter().filter(|(_, run)| other(run));
        let mut tasks: Vec<TaskKey> = tasks.map(|(&task, _)| task).collect();
        tasks.sort_unstable();
        for task in tasks {
            let (Some(name), Some(run)) = (self.book.name(task), vm.runs.get_mut(&task)) else {
                continue;
            };
            run.ordered_percent = Some(percent);
            let (tail_ms, target_ms) = worst.unwrap_or_default();
            cx.log(Decision::Paced {
                id: name.job.clone(),
                task: name.to_string().into(),
                vm: vm.id.clone(),
                percent,
                tail_ms,
                target_ms,
            });
            let number = run.number;
            let order = vm.order(name, number, cx.now);
            cx.send(Request::Pace {
                order,
                address: vm.address.clone(),
                epoch: self.owner.epoch,
                percent,
                timeout: cx.options.vms.order_timeout,
            });
        }
    }
}

fn is_running(run: &Run, now: Now) -> bool {
    matches!(run.phase, Phase::Running { since } if now >= since)
}
