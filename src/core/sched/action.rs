//! Actions on placed tasks: sent when due, resent while without effect, and escalated from
//! checkpoint to stop.

use std::time::Duration;

use super::Decision;
use super::Scheduler;
use super::decide::Round;
use super::slab::SlabIndex;
use crate::core::model::ActionKind;
use crate::core::model::Now;
use crate::core::model::TaskAction;

/// Time that a task has to save its state before it is stopped, if it is preempted for a job that
/// is neither urgent nor a service.
const LONG_CHECKPOINT_TIMEOUT: Duration = Duration::from_secs(20);

/// Time that a task has to save its state before it is stopped in all other cases, such as urgent
/// jobs, overcommitted VMs and exceeded ceilings.
const SHORT_CHECKPOINT_TIMEOUT: Duration = Duration::from_millis(2_200);

/// Time after which a stop or throttle without effect is sent again.
const RESEND_INTERVAL: Duration = Duration::from_secs(10);

impl Scheduler {
    /// Requests an action of a task, unless the same or a more severe one was requested before.
    pub(super) fn request_action(&mut self, task: SlabIndex, kind: ActionKind) {
        let placed = self.tasks.get_mut(task);
        if placed
            .action
            .is_some_and(|action| severity(action) >= severity(kind))
        {
            return;
        }
        if placed.action.is_some() {
            self.pending_actions.remove(&(placed.action_due, task));
        }
        placed.action = Some(kind);
        placed.action_due = Now::ZERO;
        self.pending_actions.insert((Now::ZERO, task));
    }

    /// Sends the actions that are due, and leaves `spare` decisions of the round's limit.
    pub(super) fn send_due_actions(&mut self, spare: usize, round: &mut Round) {
        while round.budget() > spare {
            let Some(&(due, task)) = self.pending_actions.first() else {
                return;
            };
            if due > round.now {
                return;
            }
            self.pending_actions.pop_first();
            self.send_action(task, due, round);
        }
    }

    /// Sends a task's action. A checkpoint that was sent before and has timed out becomes a stop.
    fn send_action(&mut self, task: SlabIndex, due: Now, round: &mut Round) {
        let placed = self.tasks.get_mut(task);
        let Some(requested) = placed.action else {
            return;
        };
        let timed_out = due > Now::ZERO;
        let kind = match requested {
            ActionKind::Checkpoint if timed_out => ActionKind::Stop,
            kind => kind,
        };
        let timeout = match kind {
            ActionKind::Checkpoint if placed.long_checkpoint => LONG_CHECKPOINT_TIMEOUT,
            ActionKind::Checkpoint => SHORT_CHECKPOINT_TIMEOUT,
            ActionKind::Stop | ActionKind::Throttle => RESEND_INTERVAL,
        };
        placed.action = Some(kind);
        placed.action_due = round.now + timeout;
        self.pending_actions.insert((placed.action_due, task));
        let placed = &self.tasks[task];
        let action = TaskAction {
            task: self.task_ref(placed),
            kind,
        };
        let vm = self.vms.get(placed.vm).id.clone();
        round.decisions.push(Decision::Act { vm, action });
    }
}

fn severity(kind: ActionKind) -> u8 {
    match kind {
        ActionKind::Throttle => 0,
        ActionKind::Checkpoint => 1,
        ActionKind::Stop => 2,
    }
}
