//! Maintenance of the roster, the table of VMs on which tasks may run.
//!
//! After a takeover the new placer loads the roster. Before it restarts a task that it does not
//! find running, every VM in the roster must have answered, or its lease must have expired.

use crate::core::model::Now;
use crate::core::model::Rev;
use crate::core::workload::cx::Cx;
use crate::core::workload::decision::Decision;
use crate::core::workload::event::PlacerWrite;
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::RoleLoss;
use crate::core::workload::placer::state::fleet::Vm;
use crate::core::workload::placer::state::fleet::VmKey;
use crate::core::workload::rows::OWNER_KEY;
use crate::core::workload::rows::RosterRow;
use crate::core::workload::rows::encode;
use crate::core::workload::table::CommitOutcome;
use crate::core::workload::table::JOBS;
use crate::core::workload::table::ROSTER;
use crate::core::workload::table::RowId;
use crate::core::workload::table::TableRow;
use crate::core::workload::table::Transaction;

/// Largest number of VMs added in one transaction; each takes one row.
const MAX_ADDED: usize = 60;

/// Largest number of VMs removed in one transaction; each takes two rows, one expected and one
/// removed.
const MAX_REMOVED: usize = 18;

/// Whether the roster has a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::core::workload::placer) enum RosterState {
    /// Not in the roster; no task may be started on the VM yet.
    Absent,
    /// Added by this placer, or restarted since an earlier placer added it; with the version of its
    /// row.
    Registered(Rev),
    /// Added by an earlier placer, which may have started tasks there; with the version of its row.
    Inherited(Rev),
    /// Being removed from the roster; no task may be started on the VM.
    Removing,
}

/// A roster change whose transaction is pending.
#[derive(Debug)]
pub(in crate::core::workload::placer) struct RosterChange {
    added: Vec<VmKey>,
    /// VMs to remove, with their state before the change.
    removed: Vec<(VmKey, RosterState)>,
}

impl RosterState {
    /// Returns the version of the VM's roster row.
    fn version(self) -> Option<Rev> {
        match self {
            Self::Registered(version) | Self::Inherited(version) => Some(version),
            Self::Absent | Self::Removing => None,
        }
    }

    /// Returns whether an earlier placer may have started tasks on the VM that are not known yet.
    pub fn is_inherited(self) -> bool {
        matches!(self, Self::Inherited(_))
    }

    /// Returns the state after the VM has restarted: no task of an earlier placer can run there any
    /// more.
    pub fn after_restart(self) -> Self {
        match self {
            Self::Inherited(version) => Self::Registered(version),
            other => other,
        }
    }
}

impl Placer {
    /// Adds VMs to the roster before they are used, and removes those on which no task can run any
    /// more, so that no later placer waits for them.
    pub(in crate::core::workload::placer) fn update_roster(&mut self, cx: &mut Cx) {
        if self.roster_change.is_some() {
            return;
        }
        let (now, settled) = (cx.now, self.settled);
        let is_new = |vm: &Vm| {
            vm.listed && vm.roster_state == RosterState::Absent && vm.renewal.failures == 0
        };
        let added = self.fleet.select(is_new, MAX_ADDED);
        let is_unused = |vm: &Vm| vm.roster_state.version().is_some() && vm.is_vacant(now, settled);
        let removed = self.fleet.select(is_unused, MAX_REMOVED);
        if !added.is_empty() || !removed.is_empty() {
            self.change_roster(cx, added, &removed);
        }
        self.remove_gone_vms(cx);
    }

    fn change_roster(&mut self, cx: &mut Cx, added: Vec<VmKey>, removed: &[VmKey]) {
        let part = &cx.options.part;
        let mut txn = Transaction {
            expect: vec![(RowId::new(JOBS, part, OWNER_KEY), self.grant_version)],
            ..Transaction::default()
        };
        for vm in added.iter().filter_map(|key| self.fleet.vms.get(key)) {
            let entry = RosterRow {
                address: vm.address.clone(),
                capacity: vm.full_capacity,
                started_ms: vm.started_ms,
            };
            let row = RowId::new(ROSTER, part, &vm.id);
            txn.put.push((row, encode(&entry)));
        }
        let mut before = Vec::with_capacity(removed.len());
        for &key in removed {
            let Some(vm) = self.fleet.vms.get_mut(&key) else {
                continue;
            };
            let row = RowId::new(ROSTER, part, &vm.id);
            // The expected version keeps a delayed removal from deleting a newer row.
            txn.expect.extend(
                vm.roster_state
                    .version()
                    .map(|version| (row.clone(), version)),
            );
            txn.remove.push(row);
            before.push((key, vm.roster_state));
            vm.roster_state = RosterState::Removing;
        }
        self.roster_change = Some(RosterChange {
            added,
            removed: before,
        });
        cx.commit(self.purpose(PlacerWrite::Roster), txn);
    }

    /// Handles the outcome of a roster transaction.
    pub(in crate::core::workload::placer) fn handle_roster_outcome(
        &mut self,
        cx: &mut Cx,
        outcome: &CommitOutcome,
    ) -> RoleLoss {
        let change = self.roster_change.take()?;
        let is_unchanged = match outcome {
            CommitOutcome::Done(version) => {
                self.set_roster_state(&change.added, RosterState::Registered(*version));
                false
            }
            CommitOutcome::Conflict(rows) if !self.owns(cx, rows) => {
                return Some("the owner row has changed".into());
            }
            CommitOutcome::Refused(_) | CommitOutcome::Rejected(_) => true,
            // The versions of the rows are unknown: VMs that are still used are added again.
            CommitOutcome::Conflict(_) | CommitOutcome::Unknown(_) => false,
        };
        for (key, before) in change.removed {
            self.set_roster_state(
                &[key],
                if is_unchanged {
                    before
                } else {
                    RosterState::Absent
                },
            );
        }
        self.schedule_round(cx.now);
        None
    }

    fn set_roster_state(&mut self, keys: &[VmKey], roster: RosterState) {
        for key in keys {
            if let Some(vm) = self.fleet.vms.get_mut(key) {
                vm.roster_state = roster;
            }
        }
    }

    /// Returns whether the owner row among `rows` is still the version that granted this placer its
    /// role.
    fn owns(&self, cx: &Cx, rows: &[TableRow]) -> bool {
        let is_owner = |row: &&TableRow| row.part == cx.options.part && &*row.key == OWNER_KEY;
        let owner = rows.iter().find(is_owner);
        owner.is_some_and(|row| row.version == self.grant_version && row.value.is_some())
    }

    /// Removes VMs that have left and are not in the roster.
    fn remove_gone_vms(&mut self, cx: &mut Cx) {
        let silence = cx.options.vms.forget_after;
        let gone = |vm: &Vm| vm.roster_state == RosterState::Absent && vm.is_gone(cx.now, silence);
        for key in self.fleet.select(gone, usize::MAX) {
            let Some(vm) = self.fleet.vms.get(&key) else {
                continue;
            };
            cx.log(Decision::VmGone {
                vm: vm.id.clone(),
                reason: "not listed, not answering, and its lease has expired",
            });
            self.fleet.remove(key);
        }
    }
}

impl Vm {
    /// Returns whether no task can run on the VM: it does not answer, and neither a lease from this
    /// placer nor one from an earlier placer can still be valid. Without a clock reading, `settled`
    /// shows that leases from earlier placers have expired.
    fn is_vacant(&self, now: Now, settled: bool) -> bool {
        let is_expired = if self.clock.is_some() {
            self.is_lease_expired(now)
        } else {
            settled
        };
        self.renewal.failures > 0 && is_expired && self.runs.is_empty()
    }
}
