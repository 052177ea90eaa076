//! Rows of the VMs in the simulated table.

use ragwortstall::core::workload::event::FeedRow;

use crate::harness::Harness;

impl Harness {
    /// Writes the rows of all VMs.
    pub(crate) fn write_vm_rows(&mut self) {
        self.table.version += 1;
        let version = self.table.version;
        let listed = self.vms.values().filter(|vm| vm.listed);
        let rows = listed.map(|vm| FeedRow::Vm(vm.row()));
        let rows = rows.map(|row| (version, row)).collect();
        self.pending_vm_rows = rows;
    }

    /// Removes the row of a VM.
    pub(crate) fn remove_vm_row(&mut self, id: &str) {
        self.table.version += 1;
        self.pending_vm_rows = vec![(self.table.version, FeedRow::VmRemoved(id.into()))];
    }

    /// Returns the changes after a version; each is returned once.
    pub(crate) fn vm_row_changes(&mut self, after: u64) -> Vec<FeedRow> {
        let rows = std::mem::take(&mut self.pending_vm_rows);
        let rows = rows.into_iter().filter(|(version, _)| *version > after);
        rows.map(|(_, row)| row).collect()
    }
}
