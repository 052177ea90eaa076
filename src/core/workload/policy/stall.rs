//! Detection of VMs that answer but whose tasks make no progress.
//!
//! A single overdue run says little, as its job may take longer than declared on any VM. Overdue
//! runs of several jobs on a VM where no run ends any more point to the VM.

use std::time::Duration;

/// Multiple of its expected run time from which on a run is overdue.
const OVERDUE_FACTOR: f64 = 2.5;

/// Least time beyond its expected run time from which on a run is overdue.
const MIN_OVERDUE: Duration = Duration::from_secs(1);

/// Least number of jobs with overdue runs on a stalled VM.
const MIN_JOBS: usize = 2;

/// Part of the VMs that may be suspect at a time, as a divisor. If more VMs seem stalled, the cause
/// is likely common to them, and starting their tasks elsewhere would not help.
const SUSPECT_DIVISOR: usize = 10;

/// Time after which a suspect VM gets tasks again.
pub const SUSPECT_TIME: Duration = Duration::from_secs(3);

/// Run whose age exceeds [`overdue_age`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverdueRun {
    /// Key of the job.
    pub job: u32,
    /// Age when the VM last reported the run.
    pub age: Duration,
    /// Expected run time.
    pub expected: Duration,
}

/// VM with overdue runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmView {
    /// Key of the VM.
    pub vm: u32,
    /// Overdue runs.
    pub overdue: Vec<OverdueRun>,
    /// Time from the last end of a run to the VM's last report; `None` if no run has ended.
    pub since_last_end: Option<Duration>,
    /// Whether the VM answers renewals.
    pub answers: bool,
    /// Whether the VM is suspect already.
    pub suspect: bool,
}

/// Returns the age from which on a run is overdue.
#[must_use]
pub fn overdue_age(expected: Duration) -> Duration {
    let factored = expected.mul_f64(OVERDUE_FACTOR);
    factored.max(expected + MIN_OVERDUE)
}

/// Returns the keys of the VMs that become suspect, those with the longest overdue runs first.
///
/// `fleet_size` is the number of all VMs and `suspects` the number of those that are suspect, whether
/// or not they are in `vms`.
#[must_use]
pub fn new_suspects(vms: &[VmView], fleet_size: usize, suspects: usize) -> Vec<u32> {
    let limit = (fleet_size / SUSPECT_DIVISOR).max(1);
    let mut stalled: Vec<&VmView> = vms.iter().filter(|vm| vm.is_stalled()).collect();
    stalled.sort_by_key(|vm| (std::cmp::Reverse(vm.overdue_for()), vm.vm));
    stalled.truncate(limit.saturating_sub(suspects));
    stalled.into_iter().map(|vm| vm.vm).collect()
}

impl VmView {
    fn is_stalled(&self) -> bool {
        let has_ended = |since: Duration| since <= self.overdue_for();
        self.answers
            && !self.suspect
            && self.job_count() >= MIN_JOBS
            && !self.since_last_end.is_some_and(has_ended)
    }

    /// Returns the time since the first run became overdue.
    fn overdue_for(&self) -> Duration {
        let runs = self.overdue.iter();
        let times = runs.map(|run| run.age.saturating_sub(overdue_age(run.expected)));
        times.max().unwrap_or(Duration::ZERO)
    }

    fn job_count(&self) -> usize {
        let mut jobs: Vec<u32> = self.overdue.iter().map(|run| run.job).collect();
        jobs.sort_unstable();
        jobs.dedup();
        jobs.len()
    }
}
