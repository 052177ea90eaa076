//! Estimates of how slow VMs are, from run times of tasks of the same step on different VMs.
//!
//! A step takes as long as its slowest task. If some VMs are slower than others, because of their
//! kind or because they are degraded, a wide step almost always has a task on one of them, and its
//! job is late although it did not wait. Tasks that end are therefore placed on faster VMs, and
//! tasks that run until cancelled on slower ones.

use std::collections::BTreeMap;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::core::workload::placer::Placer;
use crate::core::workload::placer::state::fleet::Vm;
use crate::core::workload::placer::state::fleet::VmKey;
use crate::core::workload::placer::state::job_registry::StepKey;

/// Least number of runs of a step for an update of the estimates.
const MIN_RUNS: usize = 3;

/// Window of the moving mean of a VM, in runs.
const VM_WINDOW_RUNS: f64 = 16.0;

/// Window of the moving mean of a VM kind, in runs.
const KIND_WINDOW_RUNS: f64 = 400.0;

/// Number of runs that the mean of a VM's kind counts for in the estimate of the VM. With more runs
/// than this, the VM's own mean outweighs that of its kind.
const KIND_WEIGHT_RUNS: f64 = 8.0;

/// Shortest run time that is told from others.
const MIN_RUN_TIME: Duration = Duration::from_millis(1);

/// Largest logarithm that is learned or restored from the table, which stands for a factor of 1,000.
const MAX_LOG: f64 = 6.9;

/// Mean and number of runs of each VM kind, as stored in the table.
pub(in crate::core::workload::placer) type StoredKinds = BTreeMap<Box<str>, (f64, f64)>;

/// Moving mean of the natural logarithm of run times relative to other VMs.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::core::workload::placer) struct SlownessEstimate {
    mean: f64,
    runs: f64,
}

/// Slowness estimates by VM kind, which is the labels without the rack.
#[derive(Debug, Default)]
pub(in crate::core::workload::placer) struct SlownessByKind {
    kinds: FxHashMap<Box<str>, SlownessEstimate>,
}

impl SlownessEstimate {
    fn update(&mut self, value: f64, window: f64) {
        self.runs = (self.runs + 1.0).min(window);
        self.mean += (value - self.mean) / self.runs;
    }
}

impl SlownessByKind {
    /// Restores the estimates of the VM kinds. Values beyond what can be learned are limited.
    pub fn from_stored(stored: StoredKinds) -> Self {
        let restore = |(kind, (mean, runs)): (Box<str>, (f64, f64))| {
            let mean = mean.clamp(-MAX_LOG, MAX_LOG);
            let runs = runs.clamp(0.0, KIND_WINDOW_RUNS);
            (kind, SlownessEstimate { mean, runs })
        };
        Self {
            kinds: stored.into_iter().map(restore).collect(),
        }
    }

    /// Returns the estimates of those kinds that `is_stored` selects, to store them.
    pub fn to_stored(&self, is_stored: impl Fn(&str) -> bool) -> StoredKinds {
        let kinds = self.kinds.iter().filter(|(kind, _)| is_stored(kind));
        kinds
            .map(|(kind, estimate)| (kind.clone(), (estimate.mean, estimate.runs)))
            .collect()
    }

    /// Returns the natural logarithm of the run time on a VM relative to other VMs; positive for a
    /// slow VM.
    pub fn estimate(&self, vm: &Vm) -> f64 {
        let kind = self.kinds.get(&vm.kind).copied().unwrap_or_default();
        let own = vm.slowness;
        (kind.mean * KIND_WEIGHT_RUNS + own.mean * own.runs) / (KIND_WEIGHT_RUNS + own.runs)
    }

    fn update(&mut self, vm: &mut Vm, value: f64) {
        vm.slowness.update(value, VM_WINDOW_RUNS);
        let kind = self.kinds.entry(vm.kind.clone()).or_default();
        kind.update(value, KIND_WINDOW_RUNS);
    }
}

impl Placer {
    /// Updates the estimates from the runs of a step that is done.
    pub(in crate::core::workload::placer) fn update_slowness(&mut self, step: StepKey) {
        let runs = self.registry.step_mut(step).map(|step| &mut step.done_runs);
        let runs = runs.map(std::mem::take).unwrap_or_default();
        if runs.len() < MIN_RUNS {
            return;
        }
        self.estimates_writer.mark_changed();
        let log = |took: Duration| took.max(MIN_RUN_TIME).as_secs_f64().ln();
        let expected = |key: VmKey| {
            let vm = self.fleet.vms.get(&key);
            vm.map_or(0.0, |vm| self.slowness.estimate(vm))
        };
        let sum: f64 = runs
            .iter()
            .map(|&(vm, took)| log(took) - expected(vm))
            .sum();
        #[allow(clippy::cast_precision_loss)]
        let mean = sum / runs.len() as f64;
        for (key, took) in runs {
            if let Some(vm) = self.fleet.vms.get_mut(&key) {
                let value = (log(took) - mean).clamp(-MAX_LOG, MAX_LOG);
                self.slowness.update(vm, value);
            }
        }
    }
}
