//! Estimates of task usage and run time, learnt from reports by team and job name.

use std::time::Duration;

use super::Scheduler;
use super::slab::SlabIndex;
use super::task::Origin;
use super::task::PlacedTask;
use crate::core::model::Now;
use crate::core::model::Resources;
use crate::core::model::TaskOutcome;

/// Peak usage, in percent of the declared size, up to which the declared size is kept.
const USAGE_TOLERANCE_PERCENT: u64 = 105;

/// Learnt sizes are rounded up to a multiple of the declared size divided by this number.
const SIZE_GRANULARITY: u64 = 64;

/// Reciprocal of the weight that a new run time, or a lower peak, has in the moving average.
const SMOOTHING: u32 = 4;

/// Number of estimates from which on those without jobs are evicted.
const MAX_ESTIMATES: usize = 8_192;

/// Estimate for the tasks of all of a team's jobs with the same name.
#[derive(Clone, Debug)]
pub struct Estimate {
    /// Key: team and job name.
    pub key: Box<str>,
    /// Peak usage, which decays with each successful task whose own peak is lower.
    pub peak: Resources,
    /// Moving average of the run time; `None` before the first successful task.
    pub run_time: Option<Duration>,
    /// Number of known jobs that use the estimate.
    pub jobs: u32,
    /// Incremented with each change of the peak.
    pub version: u32,
}

impl Scheduler {
    /// Returns the index of the estimate for a team and job name, which is inserted if there is
    /// none; counts a further job that uses it.
    pub(super) fn acquire_estimate(&mut self, team: &str, name: &str) -> SlabIndex {
        if self.estimates.len() >= MAX_ESTIMATES {
            self.evict_unused_estimates();
        }
        let key = format!("{team}/{name}").into_boxed_str();
        let index = self.estimates.find_or_insert(&key, || Estimate {
            key: key.clone(),
            peak: Resources::ZERO,
            run_time: None,
            jobs: 0,
            version: 0,
        });
        self.estimates[index].jobs += 1;
        index
    }

    /// Raises the peak of a job's estimate to a usage sample.
    pub(super) fn learn_from_usage(&mut self, job: SlabIndex, used: &Resources) {
        let Some(index) = self.jobs[job].estimate else {
            return;
        };
        let estimate = &mut self.estimates[index];
        if !estimate.peak.holds(used) {
            estimate.peak = estimate.peak.max(used);
            estimate.version += 1;
        }
    }

    /// Updates a job's estimate from a task that succeeded. Only tasks that this scheduler started
    /// count, since the start time of others is unknown.
    pub(super) fn learn_from_end(&mut self, now: Now, placed: &PlacedTask, outcome: TaskOutcome) {
        let Some(index) = self.jobs[placed.job].estimate else {
            return;
        };
        if outcome != TaskOutcome::Done || placed.origin != Origin::Started {
            return;
        }
        let ran = now.saturating_sub(placed.started);
        let estimate = &mut self.estimates[index];
        let known = estimate.run_time.unwrap_or(ran);
        estimate.run_time = Some((known * (SMOOTHING - 1) + ran) / SMOOTHING);
        let slack = estimate.peak.minus(&placed.peak);
        if slack != Resources::ZERO {
            estimate.peak = estimate.peak.minus(&smoothing_step(&slack));
            estimate.version += 1;
        }
    }

    /// Updates the size of a job's pending tasks if its estimate has changed.
    pub(super) fn refresh_size(&mut self, job: SlabIndex) {
        let entry = &self.jobs[job];
        let Some(index) = entry.estimate else {
            return;
        };
        let estimate = &self.estimates[index];
        if entry.estimate_version == estimate.version {
            return;
        }
        let declared = super::submit::with_task_count(entry.spec.size);
        let size = self.limit_to_vm(&declared, learnt_size(&declared, &estimate.peak));
        let version = estimate.version;
        let entry = &mut self.jobs[job];
        entry.estimate_version = version;
        let pending = &mut self.teams[entry.team].pending;
        pending.sub_multiple(&entry.size, entry.pending.len());
        pending.add_multiple(&size, entry.pending.len());
        entry.size = size;
    }

    /// Returns the estimated or declared run time of a job's tasks; `None` for services and if
    /// neither is known.
    pub(super) fn expected_run_time(&self, job: SlabIndex) -> Option<Duration> {
        let job = &self.jobs[job];
        if job.is_service() {
            return None;
        }
        let learnt = job
            .estimate
            .and_then(|index| self.estimates[index].run_time);
        learnt.or(job.spec.run_time)
    }

    /// Limits a learnt size to the VM capacities that hold the declared size, so that it never
    /// keeps a task from starting.
    fn limit_to_vm(&self, declared: &Resources, learnt: Resources) -> Resources {
        if learnt == *declared {
            return learnt;
        }
        let large_enough = self.vms.shapes().filter(|shape| shape.holds(declared));
        let largest = large_enough
            .map(|shape| learnt.min(shape))
            .max_by_key(|size| (size.mem_mib, size.cpu_milli));
        largest.unwrap_or(*declared)
    }

    /// Removes the estimates that no known job uses.
    fn evict_unused_estimates(&mut self) {
        let unused: Vec<Box<str>> = self
            .estimates
            .iter()
            .filter(|(_, estimate)| estimate.jobs == 0)
            .map(|(_, estimate)| estimate.key.clone())
            .collect();
        for key in unused {
            self.estimates.remove(&key);
        }
    }
}

/// Returns the declared size, with CPU and memory each replaced by the peak usage, rounded up,
/// where the peak exceeds the declared amount by more than the tolerance.
fn learnt_size(declared: &Resources, peak: &Resources) -> Resources {
    let learnt = |declared: u32, peak: u32| {
        let (declared, peak) = (u64::from(declared), u64::from(peak));
        if peak * 100 <= declared * USAGE_TOLERANCE_PERCENT {
            return u32::try_from(declared).unwrap_or(u32::MAX);
        }
        let steps = (peak * SIZE_GRANULARITY).div_ceil(declared.max(1));
        let learnt = (steps * declared).div_ceil(SIZE_GRANULARITY).max(peak);
        u32::try_from(learnt).unwrap_or(u32::MAX)
    };
    Resources {
        cpu_milli: learnt(declared.cpu_milli, peak.cpu_milli),
        mem_mib: learnt(declared.mem_mib, peak.mem_mib),
        ..*declared
    }
}

/// Returns the part of a difference by which one sample changes the moving average, rounded up.
fn smoothing_step(amount: &Resources) -> Resources {
    Resources {
        cpu_milli: amount.cpu_milli.div_ceil(SMOOTHING),
        mem_mib: amount.mem_mib.div_ceil(SMOOTHING),
        accel: amount.accel.div_ceil(SMOOTHING),
        tasks: amount.tasks.div_ceil(SMOOTHING),
    }
}
