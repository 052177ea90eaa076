//! Task starts: whether a job may start a task, the choice of the VM, and the bookkeeping.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::Decision;
use super::PendingTask;
use super::Scheduler;
use super::decide::Round;
use super::slab::SlabIndex;
use super::task::PlacedTask;
use crate::core::model::JobKind;
use crate::core::model::StartTask;
use crate::core::model::TaskRef;

/// Cost of a VM for each instance of the service in its rack.
const SAME_RACK_COST: f64 = 100.0;

/// Cost of a VM that already has its share of the service's instances.
const FULL_VM_COST: f64 = 10.0;

/// Cost of a VM on which the service failed.
const FAILED_VM_COST: f64 = 1e6;

/// Minimum number of VMs in each rack over which a service's instances should be spread.
const MIN_VMS_PER_RACK: usize = 2;

/// Time after which a gang that is only partly running is checkpointed. A new placer receives the
/// reports of all running members within this time.
const PARTIAL_GANG_TIMEOUT: Duration = Duration::from_secs(90);

impl Scheduler {
    /// Returns whether the job has a pending task, is not in a retry delay, and fits its team's
    /// allotment.
    pub(super) fn may_start(&self, job: SlabIndex) -> bool {
        let job = &self.jobs[job];
        !job.pending.is_empty()
            && job.not_before <= self.now
            && self.teams[job.team].headroom().holds(&job.size)
    }

    /// Returns whether no member of a gang is placed and all members fit the team's allotment.
    pub(super) fn may_start_gang(&self, job: SlabIndex) -> bool {
        let entry = &self.jobs[job];
        let members = u32::try_from(entry.pending.len()).unwrap_or(u32::MAX);
        let gang_size = entry.size.times(members);
        entry.placed.is_empty() && self.teams[entry.team].headroom().holds(&gang_size)
    }

    /// Starts the first pending task of a job, if it fits its team's allotment and a VM. If it fits
    /// no VM, it may be backfilled into the resources reserved for a gang.
    pub(super) fn start_one(&mut self, job: SlabIndex, round: &mut Round) -> bool {
        self.refresh_size(job);
        let size = self.jobs[job].size;
        let unplaceable = round.is_unplaceable(&size);
        if (unplaceable && self.gang_reservation.is_none()) || !self.may_start(job) {
            return false;
        }
        if !unplaceable {
            if let Some(vm) = self.choose_vm(job) {
                self.start_next(job, vm, round);
                return true;
            }
            round.record_unplaceable(size);
        }
        let Some(vm) = self.choose_backfill_vm(round.now, job) else {
            return false;
        };
        let task = self.start_next(job, vm, round);
        self.tasks.get_mut(task).is_backfill = true;
        true
    }

    /// Starts all pending members of a gang, or none. Tries to reserve resources for the gang if it
    /// does not fit now or exceeds the round's limit.
    pub(super) fn start_gang(&mut self, job: SlabIndex, round: &mut Round) -> bool {
        self.refresh_size(job);
        self.end_partial_gang(job);
        if !self.may_start_gang(job) || self.jobs[job].not_before > round.now {
            return false;
        }
        let members = self.jobs[job].pending.len();
        let count = u32::try_from(members).unwrap_or(u32::MAX);
        let Some(placement) = self.vms.pack(&self.jobs[job].size, count) else {
            self.try_reserve_for_gang(round.now, job);
            return false;
        };
        if !round.has_budget_for(members) {
            self.reserve_placement(job, round.now, placement);
            return false;
        }
        if self
            .gang_reservation
            .as_ref()
            .is_some_and(|reservation| reservation.job == job)
        {
            self.cancel_gang_reservation();
        }
        self.start_placement(job, &placement, round);
        true
    }

    /// Checkpoints the running members of a gang that has been partly running for
    /// [`PARTIAL_GANG_TIMEOUT`].
    fn end_partial_gang(&mut self, job: SlabIndex) {
        let now = self.now;
        let entry = &mut self.jobs[job];
        if entry.placed.is_empty() {
            entry.partial_since = None;
            return;
        }
        let since = *entry.partial_since.get_or_insert(now);
        if now.saturating_sub(since) >= PARTIAL_GANG_TIMEOUT {
            self.checkpoint_gang(job);
        }
    }

    /// Starts the given number of a job's pending tasks on each VM.
    pub(super) fn start_placement(
        &mut self,
        job: SlabIndex,
        placement: &[(SlabIndex, u32)],
        round: &mut Round,
    ) {
        for &(vm, members) in placement {
            for _ in 0..members {
                self.start_next(job, vm, round);
            }
        }
    }

    /// Returns the best VM for a job's next task, preferably one on which the job has not failed.
    fn choose_vm(&mut self, job: SlabIndex) -> Option<SlabIndex> {
        if self.jobs[job].is_service() {
            return self.choose_spread(job);
        }
        let entry = &self.jobs[job];
        let size = entry.size;
        if entry.failures.is_empty() {
            return self.vms.best_fit(&size, |_, _| true);
        }
        let failed_on = |vm| entry.failures.iter().any(|failure| failure.vm == vm);
        self.vms
            .best_fit(&size, |vm, _| !failed_on(vm))
            .or_else(|| self.vms.best_fit(&size, |_, _| true))
    }

    /// Returns the VM for the next instance of a service: in the rack with the fewest instances,
    /// the best-fitting VM that does not have its share of the instances yet. A VM on which the
    /// service failed is used only if there is no other.
    fn choose_spread(&mut self, job: SlabIndex) -> Option<SlabIndex> {
        let entry = &self.jobs[job];
        let mut by_vm: FxHashMap<SlabIndex, u32> = FxHashMap::default();
        let mut by_rack: FxHashMap<SlabIndex, u32> = FxHashMap::default();
        for &task in &entry.placed {
            let vm = self.tasks[task].vm;
            *by_vm.entry(vm).or_default() += 1;
            *by_rack.entry(self.vms.get(vm).rack).or_default() += 1;
        }
        let vm_share = entry.spec.count as usize / (self.vms.racks() * MIN_VMS_PER_RACK).max(1);
        let count =
            |counts: &FxHashMap<SlabIndex, u32>, key| counts.get(&key).copied().unwrap_or(0);
        let failures = &entry.failures;
        let cost = |vm, rack| {
            let full = count(&by_vm, vm) as usize >= vm_share.max(1);
            let failed = failures.iter().any(|failure| failure.vm == vm);
            f64::from(count(&by_rack, rack)) * SAME_RACK_COST
                + f64::from(u8::from(full)) * FULL_VM_COST
                + f64::from(u8::from(failed)) * FAILED_VM_COST
        };
        let size = entry.size;
        self.vms
            .cheapest(&size, |index, vm| Some(cost(index, vm.rack)))
    }

    /// Starts the first pending task of a job on a VM, and returns the placed task's index.
    ///
    /// Panics if the job has no pending task.
    pub(super) fn start_next(
        &mut self,
        job: SlabIndex,
        vm: SlabIndex,
        round: &mut Round,
    ) -> SlabIndex {
        let task = self.dequeue(job, 0).expect("job has a pending task");
        let entry = &mut self.jobs[job];
        entry.next_attempt = entry.next_attempt.max(task.attempt + 1);
        let mut placed =
            PlacedTask::new(job, entry.team, vm, (task.index, task.attempt), entry.size);
        placed.started = round.now;
        let start = self.start_message(job, task);
        let vm = self.vms.get(vm).id.clone();
        round.decisions.push(Decision::Start { vm, start });
        self.add_placed(placed)
    }

    fn start_message(&self, job: SlabIndex, task: PendingTask) -> StartTask {
        let entry = &self.jobs[job];
        let service = match &entry.spec.kind {
            JobKind::Service { service } => Some(service.clone()),
            JobKind::Batch | JobKind::Gang => None,
        };
        StartTask {
            task: TaskRef {
                job: entry.spec.id.clone(),
                index: task.index,
                attempt: task.attempt,
            },
            team: entry.spec.team.clone(),
            size: entry.size,
            run_time: entry.spec.run_time,
            service,
        }
    }
}
