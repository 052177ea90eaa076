//! Queues of the orders to the VMs. Few orders to a VM are in flight at a time; the others wait.
//!
//! An order is decided on when it is queued and made when its turn comes. One that has been overtaken
//! meanwhile is not sent: the start of a run that is no longer wanted, or that its VM no longer
//! accepts, and the stop of a run that has ended. A start gets its deadline when it is sent, on the
//! clock that the VM is known to have then.

use std::collections::VecDeque;

use crate::core::workload::cx::Cx;
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::orders::stops::UnexpectedRun;
use crate::core::workload::placer::state::fleet::VmKey;
use crate::core::workload::placer::state::job_registry::TaskKey;
use crate::core::workload::placer::state::run::Delivery;
use crate::core::workload::task::RunNumber;

/// Order that waits for its turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::core::workload::placer) enum QueuedOrder {
    /// Check of the VM before the start of a run.
    Check(TaskKey, RunNumber),
    /// Start of a run, with what is known of its delivery once it is sent.
    Start(TaskKey, RunNumber, Delivery),
    /// Start of a run that is sent again, as its connection broke.
    Resend(TaskKey, RunNumber),
    /// Stop of a run, with the reason.
    Stop(TaskKey, RunNumber, &'static str),
    /// Stop of a run that is not assigned to the VM.
    StopUnexpected(UnexpectedRun),
    /// Change of a run's speed limit to the one that is requested last.
    Speed(TaskKey, RunNumber),
}

/// Orders to a VM.
#[derive(Debug, Default)]
pub(in crate::core::workload::placer) struct OrderQueue {
    /// Number of orders that were sent and not answered.
    in_flight: usize,
    /// Stops and speed limits, which go before checks and starts.
    urgent: VecDeque<QueuedOrder>,
    /// Checks and starts, also those that are sent again.
    starts: VecDeque<QueuedOrder>,
}

impl OrderQueue {
    /// Adds an order.
    fn push(&mut self, order: QueuedOrder) {
        match order {
            QueuedOrder::Speed(..) if self.urgent.contains(&order) => {}
            QueuedOrder::Stop(..) | QueuedOrder::StopUnexpected(_) | QueuedOrder::Speed(..) => {
                self.urgent.push_back(order);
            }
            // The VM has just shown that it is alive, or may have the run already.
            QueuedOrder::Start(_, _, Delivery::Checked) | QueuedOrder::Resend(..) => {
                self.starts.push_front(order);
            }
            QueuedOrder::Check(..) | QueuedOrder::Start(..) => self.starts.push_back(order),
        }
    }

    /// Removes and returns the next order if fewer than `limit` are in flight.
    fn next(&mut self, limit: usize) -> Option<QueuedOrder> {
        if self.in_flight >= limit {
            return None;
        }
        self.urgent.pop_front().or_else(|| self.starts.pop_front())
    }

    /// Records that an order in flight is answered or has timed out.
    pub fn end_order(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Drops the orders about runs of a lifetime that has ended. Those to start a run stay.
    pub fn begin_lifetime(&mut self) {
        self.urgent.clear();
    }
}

impl Placer {
    /// Queues an order to a VM, and sends it if its turn has come.
    pub(in crate::core::workload::placer) fn queue_order(
        &mut self,
        cx: &mut Cx,
        vm_key: VmKey,
        order: QueuedOrder,
    ) {
        if let Some(vm) = self.fleet.vms.get_mut(&vm_key) {
            vm.orders.push(order);
        }
        self.send_orders(cx, vm_key);
    }

    /// Sends the orders to a VM whose turn has come.
    pub(in crate::core::workload::placer) fn send_orders(&mut self, cx: &mut Cx, vm_key: VmKey) {
        let limit = cx.options.vms.max_orders;
        while let Some(vm) = self.fleet.vms.get_mut(&vm_key)
            && let Some(order) = vm.orders.next(limit)
        {
            let is_sent = self.send_order(cx, vm_key, order);
            if let Some(vm) = self.fleet.vms.get_mut(&vm_key) {
                vm.orders.in_flight += usize::from(is_sent);
            }
        }
    }

    /// Sends an order unless it has been overtaken. Returns whether it was sent.
    fn send_order(&mut self, cx: &mut Cx, vm_key: VmKey, order: QueuedOrder) -> bool {
        match order {
            QueuedOrder::Check(task, run) => self.send_check(cx, vm_key, task, run),
            QueuedOrder::Start(task, run, delivery) => {
                self.send_start(cx, vm_key, task, run, delivery)
            }
            QueuedOrder::Resend(task, run) => self.send_again(cx, vm_key, task, run),
            QueuedOrder::Stop(task, run, reason) => self.send_stop(cx, vm_key, task, run, reason),
            QueuedOrder::StopUnexpected(run) => self.send_unexpected_stop(cx, vm_key, run),
            QueuedOrder::Speed(task, run) => self.send_speed(cx, vm_key, task, run),
        }
    }
}
