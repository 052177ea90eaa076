//! Changes from one lifetime of a VM to the next.
//!
//! The start of a lifetime is a time of the VM's own wall clock, which may be set back, so that the order
//! of starts is not the order of lifetimes. A report is of a later lifetime than the one known if its
//! renewal was sent after that one was last seen. A row of the VM table may be older than the last
//! report, or of another writer: while the VM answers, its next report decides.

use crate::core::model::Now;
use crate::core::workload::cx::Cx;
use crate::core::workload::decision::Decision;
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::state::fleet::Vm;
use crate::core::workload::placer::state::fleet::VmKey;
use crate::core::workload::placer::state::run::Run;

impl Placer {
    /// Handles a row that has changed to another start than that of the known lifetime. The VM is asked
    /// at once, unless it does not answer and the start is later than the known one.
    pub(super) fn apply_row_start(&mut self, cx: &mut Cx, key: VmKey, started_ms: u64) {
        let Some(vm) = self.fleet.vms.get_mut(&key) else {
            return;
        };
        vm.row_start_at = Some(cx.now);
        if vm.clock.is_none() || vm.renewal.failures > 0 {
            self.take_row_start(cx, key);
        }
        let vm = self.fleet.vms.get(&key);
        if vm.is_some_and(|vm| vm.started_ms != started_ms) {
            self.fleet.abandon_renewal(key);
            self.fleet.schedule_renewal(key, cx.now);
        }
    }

    /// Begins the lifetime that the row of a VM shows, if no report has refuted it and its start is later
    /// than that of the known one.
    pub(super) fn take_row_start(&mut self, cx: &mut Cx, key: VmKey) {
        let Some(vm) = self.fleet.vms.get(&key) else {
            return;
        };
        let started_ms = vm.row_started_ms;
        if vm.row_start_at.is_none() || started_ms <= vm.started_ms {
            return;
        }
        self.begin_vm_lifetime(cx, key, started_ms, "row");
        let seen = self.fleet.vms.get(&key).map(Vm::lifetime);
        if let Some(seen) = seen {
            self.record_crashes(cx, &seen, None);
        }
    }

    /// Ignores the start in the row of a VM whose renewal, sent after the row was read, was answered in
    /// another lifetime.
    pub(super) fn refute_row_start(&mut self, cx: &mut Cx, key: VmKey, sent: Now) {
        let Some(vm) = self.fleet.vms.get_mut(&key) else {
            return;
        };
        if vm.row_start_at.take_if(|at| sent >= *at).is_some() && vm.row_started_ms != vm.started_ms
        {
            cx.log(Decision::VmLifetimeIgnored {
                vm: vm.id.clone(),
                born: vm.row_started_ms,
                known_born: vm.started_ms,
                source: "row",
            });
        }
    }

    /// Ignores a report that may be of a former lifetime: its renewal was sent before the known one was
    /// last seen. The next renewal shows which lifetime is the present one.
    pub(super) fn ignore_report(&mut self, cx: &mut Cx, key: VmKey, started_ms: u64) {
        let gap = cx.options.vms.renewal_gap;
        let Some(vm) = self.fleet.vms.get_mut(&key) else {
            return;
        };
        if vm.ignored_started_ms != started_ms {
            vm.ignored_started_ms = started_ms;
            cx.log(Decision::VmLifetimeIgnored {
                vm: vm.id.clone(),
                born: started_ms,
                known_born: vm.started_ms,
                source: "report",
            });
        }
        if vm.renewal.sent_at.is_none() {
            self.fleet.schedule_renewal(key, cx.now + gap);
        }
    }

    /// Handles a restart of a VM, which begins a new lifetime: none of the runs of the former lifetime
    /// still executes. The other runs may have begun after the restart: they are kept until a report
    /// of the new lifetime lists them or does not.
    pub(super) fn begin_vm_lifetime(
        &mut self,
        cx: &mut Cx,
        key: VmKey,
        started_ms: u64,
        source: &'static str,
    ) {
        if let Some(vm) = self.fleet.vms.get(&key) {
            cx.log(Decision::VmRestarted {
                vm: vm.id.clone(),
                born: started_ms,
                former_born: vm.started_ms,
                source,
            });
        }
        self.drop_lost_runs(cx, key, "VM restarted", Run::is_in_current_lifetime);
        self.mark_unconfirmed_runs(cx, key);
        self.clear_suspicion(cx, key, "VM restarted");
        self.missing.clear_runs(key);
        let longest_order = self.longest_order(cx);
        if let Some(vm) = self.fleet.vms.get_mut(&key) {
            vm.begin_lifetime(started_ms, cx.now, longest_order);
        }
        self.fleet.abandon_renewal(key);
        self.fleet.schedule_renewal(key, cx.now);
    }
}
