//! The rows of VMs in the simulated table.

use ragwortstall::core::workload::event::FeedRow;

use crate::world::World;

impl World {
    /// Writes the rows of all VMs.
    pub(crate) fn relist(&mut self) {
        self.table.version += 1;
        let version = self.table.version;
        let rows = self.vms.values().map(|vm| FeedRow::Vm(vm.row()));
        let rows = rows.map(|row| (version, row)).collect();
        self.vm_rows = rows;
    }

    /// Removes the row of a VM.
    pub(crate) fn unlist(&mut self, id: &str) {
        self.table.version += 1;
        self.vm_rows = vec![(self.table.version, FeedRow::VmRemoved(id.into()))];
    }

    /// Changes after a version; each is told once.
    pub(crate) fn vm_changes(&mut self, after: u64) -> Vec<FeedRow> {
        let rows = std::mem::take(&mut self.vm_rows);
        let rows = rows.into_iter().filter(|(version, _)| *version > after);
        rows.map(|(_, row)| row).collect()
    }
}
