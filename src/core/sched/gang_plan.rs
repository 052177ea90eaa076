//! Planning of gang reservations: which VMs, and when their resources are expected to be free.

use std::time::Duration;

use super::Scheduler;
use super::slab::SlabIndex;
use super::vms::Vm;
use super::vms::fitting_count;
use crate::core::model::Now;
use crate::core::model::Resources;

/// Horizons at which the free resources are predicted for a gang, in ascending order.
const GANG_HORIZONS: [Duration; 8] = [
    Duration::from_secs(10),
    Duration::from_secs(60),
    Duration::from_secs(300),
    Duration::from_secs(900),
    Duration::from_secs(1_800),
    Duration::from_secs(3_600),
    Duration::from_secs(7_200),
    Duration::from_secs(14_400),
];

impl Scheduler {
    /// Returns the end of the shortest horizon at which the whole gang is expected to fit, and its
    /// placement at that time.
    pub(super) fn plan_reservation(
        &self,
        now: Now,
        job: SlabIndex,
    ) -> Option<(Now, Vec<(SlabIndex, u32)>)> {
        let entry = &self.jobs[job];
        let count = u32::try_from(entry.pending.len()).ok()?;
        let found = GANG_HORIZONS.partition_point(|&horizon| {
            let vms = self.vms.iter().map(|(_, vm)| vm);
            let counts =
                vms.map(|vm| fitting_count(&self.expected_free(vm, now + horizon), &entry.size));
            counts.fold(0_u32, u32::saturating_add) < count
        });
        let ready = now + *GANG_HORIZONS.get(found)?;
        let free = |vm: &Vm| self.expected_free(vm, ready);
        Some((ready, self.pack(job, count, free)?))
    }

    /// Returns a placement for an urgent gang. Resources of tasks that are terminating or may be
    /// preempted count as free.
    pub(super) fn plan_preemption(&self, job: SlabIndex) -> Option<Vec<(SlabIndex, u32)>> {
        let count = u32::try_from(self.jobs[job].pending.len()).ok()?;
        let free = |vm: &Vm| {
            if !vm.is_schedulable() {
                return Resources::ZERO;
            }
            let tasks = vm.tasks.iter().map(|&task| &self.tasks[task]);
            let freeable =
                tasks.filter(|placed| placed.is_terminating() || self.may_preempt(placed, job));
            freeable.fold(vm.free(), |free, placed| free.plus(&placed.charged))
        };
        self.pack(job, count, free)
    }

    /// Returns a placement of all members on few VMs, or `None` if they do not fit. Each step takes
    /// the VM with the least free resources that hold all remaining members, or else the one with
    /// the most.
    fn pack(
        &self,
        job: SlabIndex,
        count: u32,
        free: impl Fn(&Vm) -> Resources,
    ) -> Option<Vec<(SlabIndex, u32)>> {
        let size = self.jobs[job].size;
        let mut candidates: Vec<(u32, SlabIndex)> = self
            .vms
            .iter()
            .map(|(index, vm)| (fitting_count(&free(vm), &size).min(count), index))
            .filter(|&(members, _)| members > 0)
            .collect();
        candidates.sort_unstable();
        let mut left = count;
        let mut placement = Vec::new();
        while left > 0 {
            let tightest = candidates.partition_point(|&(members, _)| members < left);
            let position = tightest.min(candidates.len().checked_sub(1)?);
            let (members, vm) = candidates.remove(position);
            let members = members.min(left);
            left -= members;
            placement.push((vm, members));
        }
        Some(placement)
    }

    /// Returns the resources expected to be free on a VM at a later time.
    fn expected_free(&self, vm: &Vm, at: Now) -> Resources {
        if !vm.is_schedulable() {
            return Resources::ZERO;
        }
        let ended = vm
            .tasks
            .iter()
            .filter(|&&task| self.expected_end(task, at).is_some_and(|end| end <= at));
        ended.fold(vm.free(), |free, &task| {
            free.plus(&self.tasks[task].charged)
        })
    }

    /// Returns when a task is expected to end; `None` if its run time is unknown or it is a service
    /// instance. Terminating and backfilled tasks are expected to end at `by`. A task that has
    /// exceeded its expected run time is expected to run on for half of the time that it has run.
    fn expected_end(&self, task: SlabIndex, by: Now) -> Option<Now> {
        let placed = &self.tasks[task];
        if placed.is_terminating() || placed.is_backfill {
            return Some(by);
        }
        let end = placed.started + self.expected_run_time(placed.job)?;
        let overdue = self.now.saturating_sub(end);
        if overdue.is_zero() {
            return Some(end);
        }
        Some(self.now + self.now.saturating_sub(placed.started) / 2)
    }
}
