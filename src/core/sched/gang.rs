//! The reservation of resources for one gang, which starts once all of them are free. Until then,
//! tasks that should end in time are backfilled into them.

use std::time::Duration;

use super::Scheduler;
use super::decide::Round;
use super::slab::SlabIndex;
use crate::core::model::ActionKind;
use crate::core::model::JobKind;
use crate::core::model::Now;
use crate::core::model::Resources;

/// Time after which a gang that could not be given a reservation, or lost its reservation because
/// it may not start, is tried again.
const GANG_RETRY_DELAY: Duration = Duration::from_secs(60);

/// Time after which an urgent gang that could not be given a reservation is tried again.
const URGENT_GANG_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Resources on several VMs that are reserved for a gang.
#[derive(Clone, Debug)]
pub struct GangReservation {
    /// Gang.
    pub job: SlabIndex,
    /// Size of each member.
    pub size: Resources,
    /// VMs, with the number of members for each.
    pub placement: Vec<(SlabIndex, u32)>,
    /// When the resources are expected to be free.
    pub ready: Now,
}

impl Scheduler {
    /// Cancels the gang's reservation. Tasks backfilled into it become ordinary tasks.
    pub(super) fn cancel_gang_reservation(&mut self) {
        if let Some(reservation) = self.take_gang_reservation() {
            self.clear_backfill(&reservation);
        }
    }

    /// Releases the gang's reservation and returns it; backfilled tasks stay marked.
    fn take_gang_reservation(&mut self) -> Option<GangReservation> {
        let reservation = self.gang_reservation.take()?;
        for &(vm, members) in &reservation.placement {
            self.vms.release(vm, &reservation.size.times(members));
        }
        Some(reservation)
    }

    fn clear_backfill(&mut self, reservation: &GangReservation) {
        for &(vm, _) in &reservation.placement {
            for &task in &self.vms.get(vm).tasks {
                self.tasks.get_mut(task).is_backfill = false;
            }
        }
    }

    /// Replaces the gang's reservation by a newly planned one. Tasks stay marked as backfilled on
    /// the VMs that are in both.
    fn replan_reservation(&mut self, now: Now, job: SlabIndex) {
        let Some(old) = self.take_gang_reservation() else {
            return;
        };
        self.try_reserve_for_gang(now, job);
        let kept = self
            .gang_reservation
            .as_ref()
            .map_or(&[][..], |reservation| &reservation.placement);
        let kept: Vec<SlabIndex> = kept.iter().map(|&(vm, _)| vm).collect();
        let placement = old
            .placement
            .into_iter()
            .filter(|(vm, _)| !kept.contains(vm));
        self.clear_backfill(&GangReservation {
            placement: placement.collect(),
            ..old
        });
    }

    /// Reserves the VMs on which resources for a gang are expected to be free soonest; for an
    /// urgent gang, VMs on which they can be freed by preemption. Only an urgent gang replaces the
    /// reservation of another gang, and only of one that is not urgent.
    pub(super) fn try_reserve_for_gang(&mut self, now: Now, job: SlabIndex) {
        if self.jobs[job].not_before > now {
            return;
        }
        let urgent = self.jobs[job].is_priority();
        let holder = self
            .gang_reservation
            .as_ref()
            .map(|reservation| reservation.job);
        if holder.is_some_and(|holder| !urgent || self.jobs[holder].is_priority()) {
            return;
        }
        let plan = if urgent {
            self.plan_preemption(job).map(|placement| (now, placement))
        } else {
            self.plan_reservation(now, job)
        };
        let Some((ready, placement)) = plan else {
            let delay = if urgent {
                URGENT_GANG_RETRY_DELAY
            } else {
                GANG_RETRY_DELAY
            };
            self.jobs[job].not_before = now + delay;
            return;
        };
        self.cancel_gang_reservation();
        self.reserve_placement(job, ready, placement);
    }

    /// Reserves a placement for a gang, unless there is a gang reservation already.
    pub(super) fn reserve_placement(
        &mut self,
        job: SlabIndex,
        ready: Now,
        placement: Vec<(SlabIndex, u32)>,
    ) {
        if self.gang_reservation.is_some() {
            return;
        }
        let size = self.jobs[job].size;
        for &(vm, members) in &placement {
            self.vms.reserve(vm, &size.times(members));
        }
        self.gang_reservation = Some(GangReservation {
            job,
            size,
            placement,
            ready,
        });
    }

    /// Starts the gang with the reservation if all reserved resources are free, and preempts tasks
    /// if they are not. Cancels a reservation that no longer fits the gang or its VMs.
    pub(super) fn start_reserved_gang(&mut self, round: &mut Round) {
        let Some(reservation) = self.gang_reservation.clone() else {
            return;
        };
        let pending = self.jobs[reservation.job].pending.len();
        let members: u32 = reservation
            .placement
            .iter()
            .map(|&(_, members)| members)
            .sum();
        let stale =
            self.jobs[reservation.job].size != reservation.size || pending != members as usize;
        let is_unschedulable = |vm: SlabIndex| !self.vms.get(vm).is_schedulable();
        if stale
            || reservation
                .placement
                .iter()
                .any(|&(vm, _)| is_unschedulable(vm))
        {
            self.cancel_gang_reservation();
            return;
        }
        if !self.may_start_gang(reservation.job) {
            self.cancel_gang_reservation();
            self.jobs[reservation.job].not_before = round.now + GANG_RETRY_DELAY;
            return;
        }
        if self.is_reservation_free(&reservation) {
            if round.has_budget_for(pending) {
                self.cancel_gang_reservation();
                self.start_placement(reservation.job, &reservation.placement, round);
            }
            return;
        }
        self.preempt_backfill(&reservation);
        if round.now >= reservation.ready {
            self.preempt_for_gang(round.now, &reservation);
        }
    }

    fn is_reservation_free(&self, reservation: &GangReservation) -> bool {
        reservation.placement.iter().all(|&(vm, members)| {
            let vm = self.vms.get(vm);
            vm.unallocated().holds(&reservation.size.times(members))
        })
    }

    /// Checkpoints the backfilled tasks if the gang could start without them.
    fn preempt_backfill(&mut self, reservation: &GangReservation) {
        let mut backfilled = Vec::new();
        for &(vm, members) in &reservation.placement {
            let need = reservation.size.times(members);
            let vm = self.vms.get(vm);
            let mut free = vm.unallocated();
            for &task in &vm.tasks {
                if !free.holds(&need) && self.tasks[task].is_backfill {
                    free = free.plus(&self.tasks[task].charged);
                    backfilled.push(task);
                }
            }
            if !free.holds(&need) {
                return;
            }
        }
        for task in backfilled {
            self.request_action(task, ActionKind::Checkpoint);
        }
    }

    /// Preempts tasks for a gang whose reservation is overdue, and plans a new reservation where
    /// entitlements do not allow it.
    fn preempt_for_gang(&mut self, now: Now, reservation: &GangReservation) {
        let urgent = self.jobs[reservation.job].is_priority();
        if !urgent && self.share_excess(self.jobs[reservation.job].team) > 0.0 {
            self.replan_reservation(now, reservation.job);
            return;
        }
        for &(vm, members) in &reservation.placement {
            let need = reservation.size.times(members);
            let entry = self.vms.get(vm);
            let terminating = entry
                .tasks
                .iter()
                .filter(|&&task| self.tasks[task].is_terminating());
            let free = terminating.fold(entry.unallocated(), |free, &task| {
                free.plus(&self.tasks[task].charged)
            });
            let Some((_, victims)) = self.victims(vm, &need, &free, reservation.job) else {
                self.replan_reservation(now, reservation.job);
                return;
            };
            self.preempt(&victims, !urgent);
        }
    }

    /// Returns a VM of the reservation on which a job's next task fits and may be backfilled: it
    /// must be a restartable batch task that is expected to end before the gang starts.
    pub(super) fn choose_backfill_vm(&self, now: Now, job: SlabIndex) -> Option<SlabIndex> {
        let reservation = self.gang_reservation.as_ref()?;
        let entry = &self.jobs[job];
        if !entry.spec.restartable || entry.spec.kind != JobKind::Batch {
            return None;
        }
        if now + self.expected_run_time(job)? > reservation.ready {
            return None;
        }
        let mut vms = reservation.placement.iter().map(|&(vm, _)| vm);
        vms.find(|&vm| {
            let vm = self.vms.get(vm);
            vm.is_schedulable() && vm.unallocated().holds(&entry.size)
        })
    }
}
