//! Overcommitted VMs, whose tasks use more than their capacity. The task with the largest excess
//! over its size is throttled, then checkpointed, then stopped; a shortage of memory, accelerators
//! or task slots, which throttling does not relieve, leads to the checkpoint at once.

use std::cmp::Reverse;
use std::time::Duration;

use super::Scheduler;
use super::decide::Round;
use super::slab::SlabIndex;
use super::task::PlacedTask;
use crate::core::model::ActionKind;
use crate::core::model::Now;
use crate::core::model::Resources;
use crate::core::model::TaskState;

/// Time after which a throttled task is checkpointed if its VM is still overcommitted.
const THROTTLE_TIMEOUT: Duration = Duration::from_secs(10);

impl Scheduler {
    /// Updates whether a VM is in the set of overcommitted VMs.
    pub(super) fn refresh_overcommitted(&mut self, vm: SlabIndex) {
        if self.vms.get(vm).is_overcommitted() {
            self.overcommitted.insert(vm);
        } else {
            self.overcommitted.remove(&vm);
        }
    }

    /// Takes one step against the overcommitment of each overcommitted VM.
    pub(super) fn reduce_overcommit(&mut self, round: &Round) {
        let vms: Vec<SlabIndex> = self
            .overcommitted
            .iter()
            .copied()
            .take(round.budget())
            .collect();
        for vm in vms {
            self.reduce_overcommit_of(round.now, vm);
        }
    }

    /// Throttles or checkpoints one task of a VM, unless its terminating tasks will free enough.
    fn reduce_overcommit_of(&mut self, now: Now, vm: SlabIndex) {
        let entry = self.vms.get(vm);
        let terminating = entry
            .tasks
            .iter()
            .filter(|&&task| self.tasks[task].is_terminating());
        let available = terminating.fold(entry.capacity, |available, &task| {
            available.plus(&self.tasks[task].charged)
        });
        let shortage = entry.charged().minus(&available);
        if shortage == Resources::ZERO {
            return;
        }
        let is_incompressible = shortage.mem_mib > 0 || shortage.accel > 0 || shortage.tasks > 0;
        let tasks = entry.tasks.iter().copied();
        let largest = tasks
            .filter(|&task| !self.tasks[task].is_terminating())
            .max_by_key(|&task| (excess(&self.tasks[task], is_incompressible), Reverse(task)));
        let Some(task) = largest else {
            return;
        };
        let throttled = self.tasks[task].throttled;
        match throttled {
            None if !is_incompressible => {
                self.tasks.get_mut(task).throttled = Some(now);
                self.request_action(task, ActionKind::Throttle);
            }
            Some(since) if !is_incompressible && now.saturating_sub(since) < THROTTLE_TIMEOUT => {}
            _ => self.request_action(task, ActionKind::Checkpoint),
        }
    }

    /// Records a task's reported state, and ends the resending of a throttle that has taken effect.
    pub(super) fn record_state(&mut self, task: SlabIndex, state: TaskState) {
        let placed = self.tasks.get_mut(task);
        placed.state = state;
        let took_effect =
            state == TaskState::Throttled && placed.action == Some(ActionKind::Throttle);
        if took_effect {
            let due = placed.action_due;
            placed.action = None;
            self.pending_actions.remove(&(due, task));
        }
    }
}

/// Returns the excess of a task's usage over its size: memory in MiB if the VM's shortage is
/// incompressible, and otherwise CPU in thousandths of a core.
fn excess(placed: &PlacedTask, is_incompressible: bool) -> u32 {
    let excess = placed.charged.minus(&placed.size);
    if is_incompressible {
        excess.mem_mib
    } else {
        excess.cpu_milli
    }
}
