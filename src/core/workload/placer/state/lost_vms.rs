//! VMs that were lost with runs on them, until it is known whether they crashed.
//!
//! A VM that does not answer may have crashed or may be cut off. It has crashed if a later lifetime
//! of the VM, or of another VM on its machine, is seen. It has not if it answers again in the same
//! lifetime.

use std::time::Duration;

use crate::core::model::Now;
use crate::core::model::VmId;
use crate::core::workload::event::RenewalReport;
use crate::core::workload::task::RunNumber;
use crate::core::workload::task::TaskName;

/// Time after which a lost VM is no longer expected back. A crash that shows later is not counted
/// against the runs that were lost.
const MAX_ABSENCE: Duration = Duration::from_secs(30);

/// Lifetime of a VM: the time from one start to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::core::workload::placer) struct Lifetime {
    pub vm: VmId,
    /// Host machine; empty if unknown.
    pub machine: Box<str>,
    /// Start of the lifetime, in milliseconds since the Unix epoch; zero if unknown.
    pub started_ms: u64,
}

/// What is known of the delivery of a start to a VM that was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::core::workload::placer) enum Evidence {
    /// The VM has confirmed the run, or had answered a check right before the start was sent.
    Delivered,
    /// The VM may have been down before the start reached it.
    Uncertain,
    /// Not recorded by the earlier version that has stored the run.
    Unrecorded,
}

/// A run on a VM that was lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::core::workload::placer) struct LostRun {
    pub task: TaskName,
    pub number: RunNumber,
    pub evidence: Evidence,
}

/// A VM lifetime that was lost, with its runs.
#[derive(Clone, Debug)]
pub(in crate::core::workload::placer) struct LostVm {
    pub lifetime: Lifetime,
    pub lost_at: Now,
    /// Runs that may have caused a crash.
    pub runs: Vec<LostRun>,
    /// Whether other runs may have caused it that are not known.
    pub has_more: bool,
}

/// Lost VMs in the order of their losses.
#[derive(Debug, Default)]
pub(in crate::core::workload::placer) struct LostVms {
    list: Vec<LostVm>,
    /// Crashes under runs of jobs that are not loaded yet.
    kept_crashes: Vec<KeptCrash>,
}

/// A crash of a VM under a run of a job that is not loaded yet.
#[derive(Clone, Debug)]
pub(in crate::core::workload::placer) struct KeptCrash {
    /// Lifetime that ended with the crash.
    pub former: Lifetime,
    pub run: LostRun,
    /// Whether no other run may have caused the crash.
    pub was_alone: bool,
}

impl LostVms {
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Adds a VM, or further runs of a VM that is lost already.
    pub fn add(&mut self, lost: LostVm) {
        let known = self.list.iter_mut();
        let mut known = known.filter(|known| known.lifetime == lost.lifetime);
        if let Some(known) = known.next() {
            known.runs.extend(lost.runs);
            known.has_more |= lost.has_more;
        } else {
            self.list.push(lost);
        }
    }

    /// Removes and returns the VMs that have crashed, given a lifetime that has been seen. If it has
    /// answered a renewal, `asked_at` is when that was sent.
    pub fn take_crashed(&mut self, seen: &Lifetime, asked_at: Option<Now>) -> Vec<LostVm> {
        let has_replaced = |lost: &LostVm| {
            let is_later = asked_at.is_some_and(|at| at >= lost.lost_at);
            seen.replaces(&lost.lifetime) && (is_later || seen.vm == lost.lifetime.vm)
        };
        let crashed = self.list.extract_if(.., |lost| {
            seen.follows(&lost.lifetime) || asked_at.is_some() && has_replaced(lost)
        });
        crashed.collect()
    }

    /// Removes a VM that has answered, and so has not crashed.
    pub fn remove_alive(&mut self, seen: &Lifetime) {
        let is_same =
            |lifetime: &Lifetime| lifetime.vm == seen.vm && lifetime.started_ms == seen.started_ms;
        self.list.retain(|lost| !is_same(&lost.lifetime));
    }

    /// Removes the runs that a VM lists: it has not crashed under them.
    pub fn remove_listed_runs(&mut self, vm: &VmId, report: &RenewalReport) {
        let is_listed = |run: &LostRun| {
            let mut running = report.running.iter();
            let mut ended = report.ended.iter();
            running.any(|row| row.task == run.task && row.run == run.number)
                || ended.any(|row| row.task == run.task && row.run == run.number)
        };
        for lost in self.list.iter_mut().filter(|lost| lost.lifetime.vm == *vm) {
            lost.runs.retain(|run| !is_listed(run));
        }
        self.list.retain(|lost| !lost.runs.is_empty());
    }

    /// Keeps a crash under a run of a job that is not loaded yet.
    pub fn keep_crash(&mut self, former: &Lifetime, run: &LostRun, was_alone: bool) {
        self.kept_crashes.push(KeptCrash {
            former: former.clone(),
            run: run.clone(),
            was_alone,
        });
    }

    /// Removes and returns the crashes that were kept.
    pub fn take_kept_crashes(&mut self) -> Vec<KeptCrash> {
        std::mem::take(&mut self.kept_crashes)
    }

    pub fn iter(&self) -> impl Iterator<Item = &LostVm> {
        self.list.iter()
    }

    /// Returns the lost runs with their VMs.
    pub fn runs(&self) -> impl Iterator<Item = (&LostVm, &LostRun)> {
        self.iter()
            .flat_map(|lost| lost.runs.iter().map(move |run| (lost, run)))
    }

    /// Returns the VMs that were lost after a time.
    pub fn lost_after(&self, at: Now) -> impl Iterator<Item = &LostVm> {
        self.iter().filter(move |lost| lost.lost_at > at)
    }

    /// Removes the VMs that are no longer expected back.
    pub fn remove_overdue(&mut self, now: Now) {
        self.list.retain(|lost| now < lost.lost_at + MAX_ABSENCE);
    }
}

impl Lifetime {
    /// Returns whether this lifetime can have begun only after another one had ended: it is a later
    /// one of the same VM or machine.
    pub fn follows(&self, former: &Self) -> bool {
        self.shares_host(former) && former.started_ms != 0 && self.started_ms > former.started_ms
    }

    /// Returns whether this lifetime, which answers, cannot go on beside another one. The start of the
    /// later one may be lower, if the clock of the machine was set back.
    fn replaces(&self, other: &Self) -> bool {
        let is_known = self.started_ms != 0 && other.started_ms != 0;
        let is_same = self.vm == other.vm && self.started_ms == other.started_ms;
        self.shares_host(other) && is_known && !is_same
    }

    fn shares_host(&self, other: &Self) -> bool {
        let same_machine = !self.machine.is_empty() && self.machine == other.machine;
        self.vm == other.vm || same_machine
    }
}
