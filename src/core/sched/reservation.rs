//! Reservations of resources on a VM for one task, which starts once the preempted tasks have
//! ended.

use std::time::Duration;

use super::Scheduler;
use super::decide::Round;
use super::slab::SlabIndex;
use crate::core::model::Now;
use crate::core::model::Resources;

/// Time after which a reservation expires if the preempted tasks have not ended, so that another VM
/// can be tried.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(30);

/// Resources on a VM that are reserved for one task of a job.
#[derive(Clone, Debug)]
pub struct Reservation {
    /// Job of the task.
    pub job: SlabIndex,
    /// VM.
    pub vm: SlabIndex,
    /// Reserved resources.
    pub amount: Resources,
    /// When the reservation expires.
    pub expires_at: Now,
}

impl Scheduler {
    /// Reserves resources for one task of a job.
    pub(super) fn reserve(&mut self, now: Now, job: SlabIndex, vm: SlabIndex) {
        let amount = self.jobs[job].size;
        self.vms.reserve(vm, &amount);
        self.jobs[job].open_reservations += 1;
        self.reservations.push(Reservation {
            job,
            vm,
            amount,
            expires_at: now + RESERVATION_TIMEOUT,
        });
    }

    /// Starts tasks whose reserved resources are free, and releases reservations that have expired
    /// or are no longer needed.
    pub(super) fn start_reserved(&mut self, round: &mut Round) {
        let mut kept = Vec::new();
        for reservation in std::mem::take(&mut self.reservations) {
            let ready = self
                .vms
                .get(reservation.vm)
                .unallocated()
                .holds(&reservation.amount);
            if ready && !round.has_budget() {
                kept.push(reservation);
                continue;
            }
            let schedulable = self.vms.get(reservation.vm).is_schedulable();
            if schedulable
                && !ready
                && round.now < reservation.expires_at
                && !self.jobs[reservation.job].pending.is_empty()
            {
                kept.push(reservation);
                continue;
            }
            self.release(&reservation);
            let fits = self
                .vms
                .get(reservation.vm)
                .free()
                .holds(&self.jobs[reservation.job].size);
            if schedulable && fits && self.may_start(reservation.job) {
                self.start_next(reservation.job, reservation.vm, round);
            }
        }
        kept.append(&mut self.reservations);
        self.reservations = kept;
    }

    /// Cancels the reservations for which `is_affected`, called with job and VM, returns true.
    pub(super) fn cancel_reservations(
        &mut self,
        is_affected: impl Fn(SlabIndex, SlabIndex) -> bool,
    ) {
        let (cancelled, kept) = std::mem::take(&mut self.reservations)
            .into_iter()
            .partition::<Vec<Reservation>, _>(|reservation| {
                is_affected(reservation.job, reservation.vm)
            });
        self.reservations = kept;
        for reservation in cancelled {
            self.release(&reservation);
        }
        let gang_affected = self.gang_reservation.as_ref().is_some_and(|reservation| {
            reservation
                .placement
                .iter()
                .any(|&(vm, _)| is_affected(reservation.job, vm))
        });
        if gang_affected {
            self.cancel_gang_reservation();
        }
    }

    fn release(&mut self, reservation: &Reservation) {
        self.vms.release(reservation.vm, &reservation.amount);
        self.jobs[reservation.job].open_reservations -= 1;
    }
}
