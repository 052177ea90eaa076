//! Index of VMs by their free resources.

use std::collections::BTreeSet;

use super::slab::SlabIndex;
use crate::core::model::Resources;

/// VMs sorted by the free amount of each resource.
#[derive(Clone, Debug, Default)]
pub struct FreeIndex {
    cpu: BTreeSet<(u32, SlabIndex)>,
    mem: BTreeSet<(u32, SlabIndex)>,
    accel: BTreeSet<(u32, SlabIndex)>,
}

impl FreeIndex {
    /// Adds a VM.
    pub fn insert(&mut self, vm: SlabIndex, free: &Resources) {
        self.cpu.insert((free.cpu_milli, vm));
        self.mem.insert((free.mem_mib, vm));
        if free.accel > 0 {
            self.accel.insert((free.accel, vm));
        }
    }

    /// Removes a VM that was inserted with `free`.
    pub fn remove(&mut self, vm: SlabIndex, free: &Resources) {
        self.cpu.remove(&(free.cpu_milli, vm));
        self.mem.remove(&(free.mem_mib, vm));
        self.accel.remove(&(free.accel, vm));
    }

    /// Iterates over the VMs with enough of one resource for `need`, those with the least of it
    /// first. The resource is the accelerator if `need` contains one. Otherwise it is the one of
    /// CPU and memory of which `need` is the larger fraction of `total`, the free amount on all
    /// VMs.
    pub fn tightest_first(
        &self,
        need: &Resources,
        total: &Resources,
    ) -> impl Iterator<Item = SlabIndex> + '_ {
        let (tree, minimum) = if need.accel > 0 {
            (&self.accel, need.accel)
        } else if fraction(need.mem_mib, total.mem_mib) > fraction(need.cpu_milli, total.cpu_milli)
        {
            (&self.mem, need.mem_mib)
        } else {
            (&self.cpu, need.cpu_milli)
        };
        tree.range((minimum, 0)..).map(|&(_, vm)| vm)
    }
}

fn fraction(need: u32, total: u32) -> f64 {
    f64::from(need) / f64::from(total.max(1))
}
