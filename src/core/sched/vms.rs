//! VMs of the zone, with their allocated and reserved resources, and the search for VMs with enough
//! free resources.

use super::VmSpec;
use super::free_index::FreeIndex;
use super::slab::NamedSlab;
use super::slab::SlabIndex;
use super::totals::ResourceTotals;
use crate::core::model::Now;
use crate::core::model::Resources;
use crate::core::model::VmId;

/// Number of VMs with enough free resources that a best-fit search compares.
const MAX_CANDIDATES: usize = 8;

/// State of a VM.
#[derive(Clone, Debug)]
pub struct Vm {
    /// Name.
    pub id: VmId,
    /// Index of its rack.
    pub rack: SlabIndex,
    /// Total resources.
    pub capacity: Resources,
    /// Tasks charged to it.
    pub tasks: Vec<SlabIndex>,
    /// Number of reports received, wrapping.
    pub reports: u32,
    /// Whether this placer holds its lease.
    pub leased: bool,
    /// End of its quarantine, if it is in one.
    pub quarantine: Option<Now>,
    /// Quarantines since a task last succeeded on it.
    pub quarantine_count: u32,
    /// Serial numbers of distinct jobs that failed on it since a task last succeeded.
    pub failed_jobs: Vec<u64>,
    /// Serial numbers of the jobs whose failures led to the current quarantine.
    pub quarantine_jobs: Vec<u64>,
    charged: ResourceTotals,
    reserved: ResourceTotals,
    /// Free resources under which it is in the index; `None` if it is not in the index.
    indexed: Option<Resources>,
}

impl Vm {
    /// Returns the resources that are neither charged to tasks nor reserved.
    pub fn free(&self) -> Resources {
        self.unallocated().minus(&self.reserved.to_resources())
    }

    /// Returns the resources that are not charged to tasks; a part of them may be reserved.
    pub fn unallocated(&self) -> Resources {
        self.capacity.minus(&self.charged.to_resources())
    }

    /// Returns the resources charged to its tasks: for each task, the larger of its size and its
    /// usage.
    pub fn charged(&self) -> Resources {
        self.charged.to_resources()
    }

    /// Returns whether more than its capacity is charged to its tasks.
    pub fn is_overcommitted(&self) -> bool {
        !self.capacity.holds(&self.charged())
    }

    /// Returns whether tasks may be started on it.
    pub fn is_schedulable(&self) -> bool {
        self.leased && self.quarantine.is_none()
    }
}

/// The VMs of the zone, indexed by their free resources.
#[derive(Clone, Debug, Default)]
pub struct Vms {
    slab: NamedSlab<Vm>,
    racks: NamedSlab<()>,
    cpu_only: FreeIndex,
    accelerated: FreeIndex,
    free: ResourceTotals,
    capacity: ResourceTotals,
    examined: u64,
    shapes: Vec<Resources>,
}

impl Vms {
    /// Adds a VM or replaces its specification, and marks it as leased.
    pub fn upsert(&mut self, spec: VmSpec) -> SlabIndex {
        let rack = self.racks.find_or_insert(&spec.rack, || ());
        let name = spec.id.clone();
        let index = self.slab.find_or_insert(&name, || Vm {
            id: spec.id,
            rack,
            capacity: Resources::ZERO,
            tasks: Vec::new(),
            reports: 0,
            leased: false,
            quarantine: None,
            quarantine_count: 0,
            failed_jobs: Vec::new(),
            quarantine_jobs: Vec::new(),
            charged: ResourceTotals::default(),
            reserved: ResourceTotals::default(),
            indexed: None,
        });
        self.remove_from_index(index);
        let vm = &mut self.slab[index];
        self.capacity.sub(&vm.capacity);
        vm.rack = rack;
        vm.capacity = with_task_limit(spec.capacity);
        vm.leased = true;
        self.capacity.add(&vm.capacity);
        if !self.shapes.contains(&vm.capacity) {
            self.shapes.push(vm.capacity);
        }
        self.add_to_index(index);
        index
    }

    /// Removes a VM, which must have no tasks.
    pub fn remove(&mut self, index: SlabIndex) {
        self.remove_from_index(index);
        let name = self.slab[index].id.clone();
        if let Some(vm) = self.slab.remove(&name) {
            self.capacity.sub(&vm.capacity);
        }
    }

    /// Applies a change that affects a VM's free resources or whether it is schedulable, and
    /// updates the index.
    pub fn update(&mut self, index: SlabIndex, change: impl FnOnce(&mut Vm)) {
        self.remove_from_index(index);
        change(&mut self.slab[index]);
        self.add_to_index(index);
    }

    /// Charges resources of a task to a VM.
    pub fn charge(&mut self, index: SlabIndex, amount: &Resources) {
        self.update(index, |vm| vm.charged.add(amount));
    }

    /// Reverts [`Vms::charge`].
    pub fn uncharge(&mut self, index: SlabIndex, amount: &Resources) {
        self.update(index, |vm| vm.charged.sub(amount));
    }

    /// Reserves resources on a VM for a job.
    pub fn reserve(&mut self, index: SlabIndex, amount: &Resources) {
        self.update(index, |vm| vm.reserved.add(amount));
    }

    /// Reverts [`Vms::reserve`].
    pub fn release(&mut self, index: SlabIndex, amount: &Resources) {
        self.update(index, |vm| vm.reserved.sub(amount));
    }

    /// Returns the VM with the least resources left after placing `need`, among the first
    /// [`MAX_CANDIDATES`] that fit and satisfy `accept`.
    pub fn best_fit(
        &mut self,
        need: &Resources,
        accept: impl Fn(SlabIndex, &Vm) -> bool,
    ) -> Option<SlabIndex> {
        let fits =
            |index: SlabIndex, vm: &Vm| accept(index, vm).then(|| leftover_fraction(vm, need));
        self.search(need, MAX_CANDIDATES, fits)
    }

    /// Returns the VM with the lowest sum of `cost` and the fraction of its resources left after
    /// placing `need`, among all VMs on which `need` fits. VMs with a cost of `None` are skipped.
    pub fn cheapest(
        &mut self,
        need: &Resources,
        cost: impl Fn(SlabIndex, &Vm) -> Option<f64>,
    ) -> Option<SlabIndex> {
        self.search(need, usize::MAX, |index, vm| {
            cost(index, vm).map(|cost| cost + leftover_fraction(vm, need))
        })
    }

    /// Returns VMs for `count` tasks of size `need`, with the number of tasks for each VM; the
    /// fullest VMs are filled first. Returns `None` if not all tasks fit.
    pub fn pack(&mut self, need: &Resources, count: u32) -> Option<Vec<(SlabIndex, u32)>> {
        let total = self.free.to_resources();
        let mut left = count;
        let mut placement = Vec::new();
        let free_indexes = [&self.cpu_only, &self.accelerated];
        for index in free_indexes
            .into_iter()
            .flat_map(|free_index| free_index.tightest_first(need, &total))
        {
            self.examined += 1;
            let members = fitting_count(&self.slab[index].free(), need).min(left);
            if members > 0 {
                placement.push((index, members));
                left -= members;
            }
            if left == 0 {
                return Some(placement);
            }
        }
        None
    }

    /// Returns the number of VMs examined by searches so far.
    pub fn examined(&self) -> u64 {
        self.examined
    }

    /// Returns the cheapest of the first `candidates` VMs on which `need` fits. VMs with
    /// accelerators are searched for other tasks only if no VM without them was found.
    fn search(
        &mut self,
        need: &Resources,
        candidates: usize,
        cost: impl Fn(SlabIndex, &Vm) -> Option<f64>,
    ) -> Option<SlabIndex> {
        let total = self.free.to_resources();
        let free_indexes = if need.accel > 0 {
            [None, Some(&self.accelerated)]
        } else {
            [Some(&self.cpu_only), Some(&self.accelerated)]
        };
        for free_index in free_indexes.into_iter().flatten() {
            let examined = &mut self.examined;
            let best = free_index
                .tightest_first(need, &total)
                .inspect(|_| *examined += 1)
                .map(|index| (index, &self.slab[index]))
                .filter(|(_, vm)| vm.free().holds(need))
                .filter_map(|(index, vm)| Some((cost(index, vm)?, index)))
                .take(candidates)
                .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            if let Some((_, index)) = best {
                return Some(index);
            }
        }
        None
    }

    /// Returns the index of a VM.
    pub fn find(&self, name: &str) -> Option<SlabIndex> {
        self.slab.find(name)
    }

    /// Returns a VM.
    ///
    /// Panics if there is none at this index.
    pub fn get(&self, index: SlabIndex) -> &Vm {
        &self.slab[index]
    }

    /// Returns a VM, or `None` if there is none at this index.
    pub fn try_get(&self, index: SlabIndex) -> Option<&Vm> {
        self.slab.get(index)
    }

    /// Applies a change that affects neither a VM's free resources nor whether it is schedulable.
    pub fn update_unindexed(&mut self, index: SlabIndex, change: impl FnOnce(&mut Vm)) {
        change(&mut self.slab[index]);
    }

    /// Returns the distinct capacities of all VMs ever added.
    pub fn shapes(&self) -> impl Iterator<Item = &Resources> {
        self.shapes.iter()
    }

    /// Returns the tasks charged to a VM.
    pub fn tasks_mut(&mut self, index: SlabIndex) -> &mut Vec<SlabIndex> {
        &mut self.slab[index].tasks
    }

    /// Counts a report of a VM, and returns the new count.
    pub fn count_report(&mut self, index: SlabIndex) -> u32 {
        let vm = &mut self.slab[index];
        vm.reports = vm.reports.wrapping_add(1);
        vm.reports
    }

    /// Iterates over all VMs.
    pub fn iter(&self) -> impl Iterator<Item = (SlabIndex, &Vm)> {
        self.slab.iter()
    }

    /// Returns the number of racks to which any VM has belonged.
    pub fn racks(&self) -> usize {
        self.racks.len()
    }

    /// Returns the number of VMs.
    pub fn len(&self) -> usize {
        self.slab.len()
    }

    /// Returns the total of free resources on schedulable VMs.
    pub fn free(&self) -> Resources {
        self.free.to_resources()
    }

    /// Returns the total capacity of all VMs.
    pub fn capacity(&self) -> Resources {
        self.capacity.to_resources()
    }

    fn add_to_index(&mut self, index: SlabIndex) {
        let vm = &mut self.slab[index];
        if !vm.is_schedulable() {
            return;
        }
        let free = vm.free();
        vm.indexed = Some(free);
        self.free.add(&free);
        let free_index = if vm.capacity.accel > 0 {
            &mut self.accelerated
        } else {
            &mut self.cpu_only
        };
        free_index.insert(index, &free);
    }

    fn remove_from_index(&mut self, index: SlabIndex) {
        let vm = &mut self.slab[index];
        let Some(free) = vm.indexed.take() else {
            return;
        };
        self.free.sub(&free);
        let free_index = if vm.capacity.accel > 0 {
            &mut self.accelerated
        } else {
            &mut self.cpu_only
        };
        free_index.remove(index, &free);
    }
}

/// Returns the number of tasks of a size that fit into `free`.
pub fn fitting_count(free: &Resources, size: &Resources) -> u32 {
    let count = |free: u32, size: u32| free.checked_div(size).unwrap_or(u32::MAX);
    count(free.cpu_milli, size.cpu_milli)
        .min(count(free.mem_mib, size.mem_mib))
        .min(count(free.accel, size.accel))
        .min(count(free.tasks, size.tasks))
}

/// Replaces a task limit of zero, which stands for a VM without one, by a large number.
fn with_task_limit(capacity: Resources) -> Resources {
    let tasks = if capacity.tasks == 0 {
        u32::MAX >> 8
    } else {
        capacity.tasks
    };
    Resources { tasks, ..capacity }
}

/// Returns the sum over all resources of the fraction of a VM's capacity that is free after placing
/// `need`.
fn leftover_fraction(vm: &Vm, need: &Resources) -> f64 {
    let left = vm.free().minus(need);
    let fraction = |left: u32, total: u32| f64::from(left) / f64::from(total.max(1));
    fraction(left.cpu_milli, vm.capacity.cpu_milli)
        + fraction(left.mem_mib, vm.capacity.mem_mib)
        + fraction(left.accel, vm.capacity.accel)
}
