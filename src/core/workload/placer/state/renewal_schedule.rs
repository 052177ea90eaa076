//! Times at which the VMs' leases are renewed next, in order, so that finding the next one takes no
//! walk over all VMs.

use std::collections::BTreeSet;

use crate::core::model::Now;
use crate::core::workload::placer::state::fleet::Fleet;
use crate::core::workload::placer::state::fleet::VmKey;

/// VMs without a pending renewal, by the time at which their next one is due.
#[derive(Debug, Default)]
pub(in crate::core::workload::placer) struct RenewalSchedule {
    due: BTreeSet<(Now, VmKey)>,
}

impl RenewalSchedule {
    /// Adds a VM whose next renewal is due at a time.
    pub fn add(&mut self, key: VmKey, at: Now) {
        self.due.insert((at, key));
    }

    /// Removes a VM that was added with this time.
    pub fn remove(&mut self, key: VmKey, at: Now) {
        self.due.remove(&(at, key));
    }
}

impl Fleet {
    /// Returns the time of the next renewal, if any VM has none pending.
    pub fn next_renewal_at(&self) -> Option<Now> {
        self.schedule.due.first().map(|&(at, _)| at)
    }

    /// Returns the VMs whose renewals are due, the earliest first.
    pub fn due_renewals(&self, now: Now) -> Vec<VmKey> {
        let due = self.schedule.due.range(..=(now, VmKey::MAX));
        due.map(|&(_, key)| key).collect()
    }

    /// Sets the time of a VM's next renewal.
    pub fn schedule_renewal(&mut self, key: VmKey, at: Now) {
        let Some(vm) = self.vms.get_mut(&key) else {
            return;
        };
        let before = std::mem::replace(&mut vm.renewal.next_at, at);
        if vm.renewal.sent_at.is_none() {
            self.schedule.remove(key, before);
            self.schedule.add(key, at);
        }
    }

    /// Sets the time of a VM's next renewal if it is earlier than the one set.
    pub fn hasten_renewal(&mut self, key: VmKey, at: Now) {
        let vm = self.vms.get(&key);
        if vm.is_some_and(|vm| at < vm.renewal.next_at) {
            self.schedule_renewal(key, at);
        }
    }

    /// Records that a VM's renewal is sent.
    pub fn begin_renewal(&mut self, key: VmKey, now: Now) {
        if let Some(vm) = self.vms.get_mut(&key) {
            vm.renewal.sent_at = Some(now);
            self.schedule.remove(key, vm.renewal.next_at);
        }
    }

    /// Records the answer or the failure of the renewal that was sent at `sent`. Returns whether that
    /// was the pending one.
    pub fn end_renewal(&mut self, key: VmKey, sent: Now) -> bool {
        let vm = self.vms.get(&key);
        let is_pending = vm.is_some_and(|vm| vm.renewal.sent_at == Some(sent));
        if is_pending {
            self.abandon_renewal(key);
        }
        is_pending
    }

    /// Ceases to wait for the pending renewal of a VM, if there is one.
    pub fn abandon_renewal(&mut self, key: VmKey) {
        if let Some(vm) = self.vms.get_mut(&key)
            && vm.renewal.sent_at.take().is_some()
        {
            self.schedule.add(key, vm.renewal.next_at);
        }
    }
}
