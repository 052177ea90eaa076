//! Starts that are sent again, as the connection broke on which they were sent.
//!
//! A VM may close an idle connection at any time, so that an order may meet a connection that closes. The
//! VM may have received that order all the same, or may still receive it. The order is sent again at
//! once with the same run number, on a connection that has been used since or is new: a VM that has the
//! run confirms it, and one on which the run has ended or was stopped refuses it.

use crate::core::workload::cx::Cx;
use crate::core::workload::decision::Decision;
use crate::core::workload::effect::Request;
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::orders::starts::REFUSAL_PAUSE;
use crate::core::workload::placer::state::fleet::Vm;
use crate::core::workload::placer::state::fleet::VmKey;
use crate::core::workload::placer::state::job_registry::TaskKey;
use crate::core::workload::placer::state::run::Phase;
use crate::core::workload::placer::state::run::Run;
use crate::core::workload::task::RunNumber;

/// Maximum number of times that the start of a run is sent again. The second time is for a connection
/// that another order has just used.
const MAX_RESENDS: u8 = 2;

impl Placer {
    /// Sends the start of a run again, unless it is no longer wanted or may meet a later lifetime of the
    /// VM. Returns whether it was sent. A run whose start is not sent again stays unconfirmed.
    pub(in crate::core::workload::placer) fn send_again(
        &mut self,
        cx: &mut Cx,
        vm_key: VmKey,
        task: TaskKey,
        number: RunNumber,
    ) -> bool {
        if !self.is_resend_wanted(cx, vm_key, task, number) {
            return false;
        }
        let Some(start) = self.start_order(cx, vm_key, task) else {
            return false;
        };
        let vm = self.fleet.vms.get_mut(&vm_key);
        let Some(run) = vm.and_then(|vm| vm.runs.get_mut(&task)) else {
            return false;
        };
        run.phase = Phase::Starting;
        run.resends += 1;
        let order = start.order.clone();
        cx.log(Decision::StartResent {
            task: order.task.to_string().into(),
            id: order.task.job,
            run: order.run,
            vm: order.vm,
            resends: run.resends,
        });
        cx.send(Request::Start(Box::new(start)));
        true
    }

    fn is_resend_wanted(&self, cx: &Cx, vm_key: VmKey, task: TaskKey, number: RunNumber) -> bool {
        let Some(vm) = self.fleet.vms.get(&vm_key) else {
            return false;
        };
        let run = vm.runs.get(&task);
        let is_wanted = run.is_some_and(|run| {
            run.number == number
                && run.phase == Phase::Unconfirmed
                && run.sent_at > vm.lifetime_since
                && cx.now <= run.sent_at + cx.options.vms.order_timeout
        });
        is_wanted
            && self.start_obstacle(cx, vm_key).is_none()
            && self.lacks_ticket(cx, vm_key, task).is_none()
            && !self.lacks_members(task)
    }
}

impl Run {
    /// Returns whether the start, whose connection has broken, may be sent again.
    pub fn may_be_resent(&self) -> bool {
        self.phase == Phase::Starting && self.resends < MAX_RESENDS
    }
}

impl Vm {
    /// Keeps a run whose start may have been received until a report of the VM lists it or does not.
    pub fn leave_unconfirmed(&mut self, cx: &Cx, task: TaskKey) {
        self.avoid_until = cx.now + REFUSAL_PAUSE;
        if let Some(run) = self.runs.get_mut(&task)
            && run.phase == Phase::Starting
        {
            run.phase = Phase::Unconfirmed;
        }
    }
}
