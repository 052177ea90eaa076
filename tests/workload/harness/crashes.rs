//! Crashes of VMs: by themselves, or by the tasks that they start.

use std::collections::BTreeSet;
use std::time::Duration;

use ragwortstall::core::model::Now;
use ragwortstall::core::workload::event::FeedRow;
use ragwortstall::core::workload::task::RunOutcome;
use ragwortstall::core::workload::task::TaskName;

use super::Harness;
use crate::vm::SimVm;

/// Time from the start of a task that crashes its VM to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(10);

/// Crashes so far, those to come, and how the VMs return.
#[derive(Debug)]
pub(crate) struct Crashes {
    /// Tasks that crash each VM that starts them.
    pub tasks: BTreeSet<TaskName>,
    /// Time after which a crashed VM is back.
    pub downtime: Duration,
    /// Whether a crashed VM has a new id when it is back.
    pub new_ids: bool,
    /// Whether a crashed VM does not refuse connections.
    pub are_silent: bool,
    /// Crashes by the tasks that caused them.
    pub log: Vec<(Now, Box<str>, TaskName)>,
    /// VMs that are down, with the times of their returns.
    down: Vec<(Now, Box<str>)>,
    /// Largest number of VMs that were down at the same time.
    pub most_down: usize,
}

impl Default for Crashes {
    fn default() -> Self {
        Self {
            tasks: BTreeSet::new(),
            downtime: Duration::from_millis(3_300),
            new_ids: false,
            are_silent: false,
            log: Vec::new(),
            down: Vec::new(),
            most_down: 0,
        }
    }
}

impl Harness {
    /// Crashes a VM, which is back after the downtime.
    pub(crate) fn crash_vm(&mut self, id: &str) {
        let vm = self.vms.get_mut(id).expect("a VM");
        vm.connected = false;
        let lost = std::mem::take(&mut vm.runs);
        for (name, run) in lost.iter().filter(|(_, run)| run.step.traits.gang) {
            self.break_gang(name, run.number);
        }
        let back_at = self.now + self.crashes.downtime;
        self.crashes.down.push((back_at, id.into()));
        self.crashes.most_down = self.crashes.most_down.max(self.crashes.down.len());
    }

    /// Crashes a VM that neither refuses nor answers anything from then on, until it is brought back.
    pub(crate) fn crash_vm_silently(&mut self, id: &str) {
        self.crash_vm(id);
        self.crashes.down.retain(|(_, vm)| **vm != *id);
        self.silent_vms.insert(id.into());
    }

    /// Returns the number of starts of a task after its third crash.
    pub(crate) fn starts_after_third_crash(&self, task: &TaskName) -> usize {
        let mut crashes = self.crashes.log.iter().filter(|crash| crash.2 == *task);
        let Some((third, ..)) = crashes.nth(2) else {
            return 0;
        };
        let starts = self.starts.iter().filter(|start| start.1 == *task);
        starts.filter(|start| start.0 > *third).count()
    }

    /// Crashes the VMs with runs that crash them, and brings back those whose downtime is over.
    pub(super) fn advance_crashes(&mut self) {
        let now = self.now;
        let crashing = self.vms.values().filter_map(|vm| {
            let task = vm.runs.iter().find(|(task, run)| {
                self.crashes.tasks.contains(*task) && now >= run.started_at() + CRASH_DELAY
            });
            Some((vm.id.clone(), task?.0.clone()))
        });
        for (vm, task) in crashing.collect::<Vec<_>>() {
            self.crash_vm(&vm);
            if self.crashes.are_silent {
                self.silent_vms.insert(vm.clone());
            }
            self.crashes.log.push((now, vm, task));
        }
        for (_, vm) in self
            .crashes
            .down
            .extract_if(.., |down| now >= down.0)
            .collect::<Vec<_>>()
        {
            self.bring_back(&vm);
        }
    }

    /// Ends the other members of a gang's run.
    fn break_gang(&mut self, lost: &TaskName, run: u64) {
        let is_member = |name: &TaskName| {
            (&name.job, name.occurrence, name.step) == (&lost.job, lost.occurrence, lost.step)
        };
        for vm in self.vms.values_mut() {
            let members = vm
                .runs
                .iter()
                .filter(|(name, other)| is_member(name) && other.number == run);
            let members: Vec<TaskName> = members.map(|(name, _)| name.clone()).collect();
            for name in members {
                vm.finish(&name, run, RunOutcome::GangMemberEnded, "".into());
            }
        }
    }

    /// Brings a crashed VM back.
    pub(crate) fn bring_back(&mut self, id: &str) {
        self.silent_vms.remove(id);
        let vm = self.vms.get_mut(id).expect("a VM");
        self.table.version += 1;
        let version = self.table.version;
        if !self.crashes.new_ids {
            vm.restart();
            let row = FeedRow::Vm(vm.row());
            return self.pending_vm_rows.push((version, row));
        }
        vm.listed = false;
        let next = vm.successor();
        self.pending_vm_rows
            .push((version, FeedRow::VmRemoved(id.into())));
        self.pending_vm_rows
            .push((version, FeedRow::Vm(next.row())));
        self.vms.insert(next.id.clone(), next);
    }
}

impl SimVm {
    /// Returns the VM that runs on the machine after this one has crashed.
    fn successor(&self) -> Self {
        let started_ms = self.started_ms + 1;
        let id = format!("{}-{started_ms}", self.machine);
        let mut next = Self::new(&id, self.capacity);
        next.machine = self.machine.clone();
        next.zone = self.zone;
        next.stop_time = self.stop_time;
        next.started_ms = started_ms;
        next
    }
}
