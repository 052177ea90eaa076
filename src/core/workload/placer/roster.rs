//! The roster: VMs on which tasks may run. From it the next placer learns which VMs it has to hear
//! from, or whose leases it has to wait for, before it may start again what it does not find.

use super::Lost;
use super::Placer;
use super::fleet::Vm;
use super::fleet::VmKey;
use crate::core::model::Now;
use crate::core::model::Rev;
use crate::core::workload::cx::Cx;
use crate::core::workload::decision::Decision;
use crate::core::workload::event::CommitPurpose;
use crate::core::workload::rows::OWNER_KEY;
use crate::core::workload::rows::RosterRow;
use crate::core::workload::rows::encode;
use crate::core::workload::table::CommitOutcome;
use crate::core::workload::table::JOBS;
use crate::core::workload::table::ROSTER;
use crate::core::workload::table::RowId;
use crate::core::workload::table::TableRow;
use crate::core::workload::table::Transaction;

/// Largest number of VMs entered in one change, of one row each.
const MAX_ADDED: usize = 60;

/// Largest number of VMs taken out in one change, of two rows each: one expected, one removed.
const MAX_REMOVED: usize = 18;

/// Whether a VM is in the roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Roster {
    /// It is not; nothing may be started there yet.
    Absent,
    /// This placer has entered it, or it began a new lifetime since; the version is its row's.
    Registered(Rev),
    /// An earlier placer has, and may have started tasks there.
    Inherited(Rev),
    /// It is being taken out; nothing may be started there.
    Leaving,
}

/// A change of the roster under way.
#[derive(Debug)]
pub(super) struct Change {
    added: Vec<VmKey>,
    /// VMs to take out, and what they were before.
    removed: Vec<(VmKey, Roster)>,
}

impl Roster {
    /// Version of the VM's row.
    fn version(self) -> Option<Rev> {
        match self {
            Self::Registered(version) | Self::Inherited(version) => Some(version),
            Self::Absent | Self::Leaving => None,
        }
    }

    /// Whether an earlier placer may have started tasks there of which nothing was heard.
    pub fn is_inherited(self) -> bool {
        matches!(self, Self::Inherited(_))
    }

    /// What it is once the VM has begun a new lifetime.
    pub fn renewed(self) -> Self {
        match self {
            Self::Inherited(version) => Self::Registered(version),
            other => other,
        }
    }
}

impl Placer {
    /// Writes VMs into the roster before they are used, and takes out those on which nothing can
    /// run any more, so that no later placer waits for them.
    pub(super) fn register(&mut self, cx: &mut Cx) {
        if self.registering.is_some() {
            return;
        }
        let (now, settled) = (cx.now, self.settled);
        let wanted = |vm: &Vm| vm.listed && vm.roster == Roster::Absent && vm.hold.misses == 0;
        let added = self.fleet.select(wanted, MAX_ADDED);
        let left = |vm: &Vm| vm.roster.version().is_some() && vm.is_vacant(now, settled);
        let removed = self.fleet.select(left, MAX_REMOVED);
        if !added.is_empty() || !removed.is_empty() {
            self.change_roster(cx, added, &removed);
        }
        self.forget_gone(cx);
    }

    fn change_roster(&mut self, cx: &mut Cx, added: Vec<VmKey>, removed: &[VmKey]) {
        let part = &cx.options.part;
        let mut txn = Transaction {
            expect: vec![(RowId::new(JOBS, part, OWNER_KEY), self.version)],
            ..Transaction::default()
        };
        for vm in added.iter().filter_map(|key| self.fleet.vms.get(key)) {
            let address = vm.address.clone();
            let row = RowId::new(ROSTER, part, &vm.id);
            txn.put.push((row, encode(&RosterRow { address })));
        }
        let mut before = Vec::with_capacity(removed.len());
        for &key in removed {
            let Some(vm) = self.fleet.vms.get_mut(&key) else {
                continue;
            };
            let row = RowId::new(ROSTER, part, &vm.id);
            // A removal that is carried out late must not undo a later entry.
            txn.expect
                .extend(vm.roster.version().map(|version| (row.clone(), version)));
            txn.remove.push(row);
            before.push((key, vm.roster));
            vm.roster = Roster::Leaving;
        }
        self.registering = Some(Change {
            added,
            removed: before,
        });
        cx.commit(CommitPurpose::Roster, txn);
    }

    /// Takes the outcome of a change of the roster.
    pub(super) fn registered(&mut self, cx: &mut Cx, outcome: &CommitOutcome) -> Lost {
        let change = self.registering.take()?;
        let kept = match outcome {
            CommitOutcome::Done(version) => {
                self.set_roster(&change.added, Roster::Registered(*version));
                false
            }
            CommitOutcome::Conflict(rows) if !self.owns(cx, rows) => {
                return Some("the owner row has changed".into());
            }
            CommitOutcome::Refused(_) => true,
            // The rows' versions are not known: VMs that are still used are entered anew.
            CommitOutcome::Conflict(_) | CommitOutcome::Unknown(_) => false,
        };
        for (key, before) in change.removed {
            self.set_roster(&[key], if kept { before } else { Roster::Absent });
        }
        self.want_round(cx.now);
        None
    }

    fn set_roster(&mut self, keys: &[VmKey], roster: Roster) {
        for key in keys {
            if let Some(vm) = self.fleet.vms.get_mut(key) {
                vm.roster = roster;
            }
        }
    }

    /// Whether the owner row among `rows` is still this placer's.
    fn owns(&self, cx: &Cx, rows: &[TableRow]) -> bool {
        let is_owner = |row: &&TableRow| row.part == cx.options.part && &*row.key == OWNER_KEY;
        let owner = rows.iter().find(is_owner);
        owner.is_some_and(|row| row.version == self.version && row.value.is_some())
    }

    /// Forgets VMs that have left and are in no roster.
    fn forget_gone(&mut self, cx: &mut Cx) {
        let silence = cx.options.vms.forget_after;
        let gone = |vm: &Vm| vm.roster == Roster::Absent && vm.is_gone(cx.now, silence);
        for key in self.fleet.select(gone, usize::MAX) {
            let Some(vm) = self.fleet.vms.get(&key) else {
                continue;
            };
            cx.log(Decision::VmGone {
                vm: vm.id.clone(),
                reason: "unlisted, silent, and its lease has lapsed",
            });
            self.fleet.remove(key);
        }
    }
}

impl Vm {
    /// Whether nothing can run there: it is silent, and no lease of this placer or, once that is
    /// settled, of an earlier one can still hold.
    fn is_vacant(&self, now: Now, settled: bool) -> bool {
        let lapsed = if self.clock.is_some() {
            self.has_lapsed(now)
        } else {
            settled
        };
        self.hold.misses > 0 && lapsed && self.runs.is_empty()
    }
}
