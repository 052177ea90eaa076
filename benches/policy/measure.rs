//! Measures of the run of one workload under one policy.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use ragwortstall::core::model::JobId;
use ragwortstall::core::model::Now;
use ragwortstall::core::model::Resources;
use ragwortstall::core::model::TeamId;

use crate::share;
use crate::sim::SimJob;
use crate::sim::SimTask;
use crate::sim::SimVm;
use crate::workload::VM_CAPACITY;
use crate::workload::Workload;

/// Samples in one window of the moving average of the share distance: five minutes, less the
/// samples without unmet demand.
const SHARE_WINDOW_SAMPLES: usize = 30;

/// Times from submission to the first start, for the tasks of one kind of job.
#[derive(Clone, Debug, Default)]
pub struct Waits {
    waits: Vec<Duration>,
}

impl Waits {
    /// Returns the wait that the given fraction of the tasks does not exceed.
    pub fn quantile(&self, fraction: f64) -> Duration {
        quantile(&self.waits, fraction).unwrap_or_default()
    }

    pub fn len(&self) -> usize {
        self.waits.len()
    }
}

/// Measures of one run.
#[derive(Clone, Debug)]
pub struct Measures {
    teams: Vec<(TeamId, u32)>,
    /// By kind of job.
    pub waits: BTreeMap<&'static str, Waits>,
    /// Samples of the used fraction of the VMs that have tasks.
    used_over_held: Vec<f64>,
    /// Samples of the number of VMs that have tasks, relative to the least number that could hold
    /// these tasks.
    vms_over_least: Vec<f64>,
    /// Samples of the share distance, see [`share::share_distance`]; none while no team has unmet
    /// demand.
    pub distances: Vec<(Now, f64)>,
    /// Number of samples of a VM whose usage exceeded its capacity, and of all samples of a VM.
    over_capacity: [usize; 2],
    /// Time and number of decisions of each round.
    rounds: Vec<(Duration, usize)>,
    /// Real time spent in the policy.
    pub policy_time: Duration,
    /// Indexed by [`DONE`], [`PREEMPTED`] and [`FAULTS`].
    core_hours: [f64; 3],
    /// Last end of a task, by kind of job.
    last_completion: BTreeMap<&'static str, Now>,
    pub quarantines: u32,
    /// Number of jobs that the policy failed.
    pub failed_jobs: u32,
    /// For the workload's `makespan_kind`: time from the first submission to the last end of a
    /// task, and number of tasks that had not ended.
    pub makespan: Option<(Duration, u32)>,
}

const DONE: usize = 0;
const PREEMPTED: usize = 1;
const FAULTS: usize = 2;

impl Measures {
    pub fn new(workload: &Workload) -> Self {
        let teams = workload.teams.iter();
        Self {
            teams: teams
                .map(|(team, weight, _)| (team.clone(), *weight))
                .collect(),
            waits: BTreeMap::new(),
            used_over_held: Vec::new(),
            vms_over_least: Vec::new(),
            distances: Vec::new(),
            over_capacity: [0; 2],
            rounds: Vec::new(),
            policy_time: Duration::ZERO,
            core_hours: [0.0; 3],
            last_completion: BTreeMap::new(),
            quarantines: 0,
            failed_jobs: 0,
            makespan: None,
        }
    }

    pub fn record_wait(&mut self, kind: &'static str, wait: Duration) {
        self.waits.entry(kind).or_default().waits.push(wait);
    }

    pub fn record_round(&mut self, time: Duration, decisions: usize) {
        self.rounds.push((time, decisions));
    }

    pub fn record_completion(&mut self, kind: &'static str, task: &SimTask, now: Now) {
        self.add_core_hours(DONE, task, now.saturating_sub(task.started_at));
        self.last_completion.insert(kind, now);
    }

    pub fn record_preemption(&mut self, task: &SimTask, now: Now) {
        self.add_core_hours(PREEMPTED, task, now.saturating_sub(task.started_at));
    }

    pub fn record_fault(&mut self, task: &SimTask, now: Now) {
        self.add_core_hours(FAULTS, task, now.saturating_sub(task.started_at));
    }

    /// Counts the time of writing a checkpoint as lost to preemption; the work before it is kept.
    pub fn record_checkpoint(&mut self, task: &SimTask, time: Duration) {
        self.add_core_hours(PREEMPTED, task, time);
    }

    fn add_core_hours(&mut self, category: usize, task: &SimTask, time: Duration) {
        let cores = f64::from(task.used.cpu_milli) / 1_000.0;
        self.core_hours[category] += cores * time.as_secs_f64() / 3_600.0;
    }

    /// Samples packing and shares; `waiting_demand` is that of the waiting tasks, by team.
    pub fn sample(&mut self, now: Now, vms: &[SimVm], waiting_demand: &[[f64; 2]]) {
        self.sample_packing(vms);
        let usage = share::team_usage(&self.teams, vms, waiting_demand);
        if let Some(distance) = share::share_distance(&usage) {
            self.distances.push((now, distance));
        }
    }

    fn sample_packing(&mut self, vms: &[SimVm]) {
        let mut occupied = 0_u32;
        let mut sizes = [0_u64; 2];
        let mut used = [0_u64; 2];
        for vm in vms.iter().filter(|vm| !vm.tasks.is_empty()) {
            occupied += 1;
            let mut vm_used = Resources::ZERO;
            for task in &vm.tasks {
                sizes[0] += u64::from(task.start.size.cpu_milli);
                sizes[1] += u64::from(task.start.size.mem_mib);
                vm_used = vm_used.plus(&task.used);
            }
            used[0] += u64::from(vm_used.cpu_milli.min(vm.spec.capacity.cpu_milli));
            used[1] += u64::from(vm_used.mem_mib.min(vm.spec.capacity.mem_mib));
            let over = !vm.spec.capacity.holds(&Resources {
                tasks: 0,
                ..vm_used
            });
            self.over_capacity[0] += usize::from(over);
        }
        self.over_capacity[1] += vms.len();
        if occupied == 0 {
            return;
        }
        let capacity = [VM_CAPACITY.cpu_milli, VM_CAPACITY.mem_mib].map(u64::from);
        let part = |sums: &[u64; 2]| {
            let parts = [0, 1].map(|r| ratio(sums[r], capacity[r]));
            parts[0].max(parts[1])
        };
        self.used_over_held.push(part(&used) / f64::from(occupied));
        self.vms_over_least
            .push(f64::from(occupied) / part(&sizes).ceil().max(1.0));
    }

    /// Computes the makespan, and counts a task that never started as one that waited until the end
    /// of the run.
    pub fn finish(&mut self, workload: &Workload, jobs: &HashMap<JobId, SimJob>) {
        let mut ids: Vec<&JobId> = jobs.keys().collect();
        ids.sort();
        let mut first = Now::MAX;
        let mut left = 0;
        for id in ids {
            let job = &jobs[id];
            for _ in 0..job.never_started_count() {
                let wait = workload.duration.saturating_sub(job.submitted);
                self.record_wait(job.profile.kind, wait);
            }
            if Some(job.profile.kind) == workload.makespan_kind {
                first = first.min(job.submitted);
                left += job.spec.count - job.done;
            }
        }
        let Some(kind) = workload.makespan_kind else {
            return;
        };
        let last = self
            .last_completion
            .get(kind)
            .copied()
            .unwrap_or(workload.duration);
        let last = if left > 0 { workload.duration } else { last };
        self.makespan = Some((last.saturating_sub(first), left));
    }

    /// Returns the mean used fraction of the VMs that have tasks, for the more used of processors
    /// and memory.
    pub fn used_over_held(&self) -> f64 {
        mean(&self.used_over_held)
    }

    /// Returns the mean number of VMs that have tasks, relative to the least number that could hold
    /// the declared sizes of these tasks.
    pub fn vms_over_least(&self) -> f64 {
        mean(&self.vms_over_least)
    }

    /// Returns the mean share distance, in percent of the zone's capacity.
    pub fn share_mean(&self) -> f64 {
        let distances: Vec<f64> = self
            .distances
            .iter()
            .map(|(_, distance)| *distance)
            .collect();
        mean(&distances) * 100.0
    }

    /// Returns the highest mean of the share distance over a window, in percent of the zone's
    /// capacity.
    pub fn share_worst(&self) -> f64 {
        let windows = self.windows();
        windows
            .into_iter()
            .map(|(_, mean)| mean)
            .fold(0.0, f64::max)
    }

    /// Returns the end of each window and the mean share distance over it, in percent of the zone's
    /// capacity.
    pub fn windows(&self) -> Vec<(Now, f64)> {
        let windows = self.distances.windows(SHARE_WINDOW_SAMPLES);
        windows
            .map(|window| {
                let distances: Vec<f64> = window.iter().map(|(_, distance)| *distance).collect();
                (window[SHARE_WINDOW_SAMPLES - 1].0, mean(&distances) * 100.0)
            })
            .collect()
    }

    /// Returns the percentage of the samples of a VM whose usage exceeded its capacity.
    pub fn over_capacity(&self) -> f64 {
        let [over, all] = self.over_capacity.map(|n| n as u64);
        ratio(over, all.max(1)) * 100.0
    }

    /// Returns the work lost to preemption, in percent of the completed work.
    pub fn preempted_percent(&self) -> f64 {
        self.core_hours[PREEMPTED] / self.core_hours[DONE].max(1e-9) * 100.0
    }

    /// Returns the core hours completed, lost to preemption and lost to faults.
    pub fn core_hours(&self) -> [f64; 3] {
        self.core_hours
    }

    /// Returns the time per decision that the given fraction of the rounds does not exceed. That of
    /// a round is its time divided by the number of its decisions.
    pub fn decision_time(&self, fraction: f64) -> Duration {
        let times: Vec<Duration> = self
            .rounds
            .iter()
            .map(|&(time, n)| time / u32::try_from(n.max(1)).unwrap_or(u32::MAX))
            .collect();
        quantile(&times, fraction).unwrap_or_default()
    }

    pub fn decisions(&self) -> usize {
        self.rounds.iter().map(|(_, n)| n).sum()
    }

    /// Returns the decisions per second of real time spent in the policy, which includes the
    /// handling of submissions and reports.
    pub fn decisions_per_second(&self) -> f64 {
        let decisions = u32::try_from(self.decisions()).unwrap_or(u32::MAX);
        f64::from(decisions) / self.policy_time.as_secs_f64().max(1e-9)
    }
}

fn mean(values: &[f64]) -> f64 {
    let count = u32::try_from(values.len()).unwrap_or(u32::MAX);
    values.iter().sum::<f64>() / f64::from(count.max(1))
}

#[allow(clippy::cast_precision_loss)]
fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole as f64
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]
fn quantile(values: &[Duration], fraction: f64) -> Option<Duration> {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let at = (sorted.len() as f64 * fraction) as usize;
    sorted.get(at.min(sorted.len().saturating_sub(1))).copied()
}
