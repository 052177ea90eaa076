//! Estimates of VM speed, from run times of tasks of the same step on different VMs.
//!
//! A step takes as long as its slowest task. If some VMs are slower than others, because of their
//! kind or because they are degraded, a wide step almost always has a task on one of them, and its
//! job is late although it did not wait. Tasks that end are therefore placed on faster VMs, and
//! tasks that run until cancelled on slower ones.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::Placer;
use super::fleet::Vm;
use super::fleet::VmKey;
use super::job_registry::StepKey;

/// Least number of runs of a step for an update of the estimates.
const MIN_RUNS: usize = 3;

/// Number of runs after which older ones lose weight in the estimate of a VM.
const VM_WINDOW_RUNS: f64 = 16.0;

/// Number of runs after which older ones lose weight in the estimate of a kind.
const KIND_WINDOW_RUNS: f64 = 400.0;

/// Weight of a kind's estimate in that of a VM, in runs: with more runs of its own, the VM's own
/// mean prevails.
const KIND_WEIGHT_RUNS: f64 = 8.0;

/// Moving mean of the logarithm of run times relative to other VMs.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SpeedEstimate {
    mean: f64,
    runs: f64,
}

/// Speed estimates by VM kind, which is the labels without the rack.
#[derive(Debug, Default)]
pub(super) struct Speeds {
    kinds: FxHashMap<Box<str>, SpeedEstimate>,
}

impl SpeedEstimate {
    fn update(&mut self, value: f64, window: f64) {
        self.runs = (self.runs + 1.0).min(window);
        self.mean += (value - self.mean) / self.runs;
    }
}

impl Speeds {
    /// Returns the natural logarithm of the run time on a VM relative to other VMs; positive for a
    /// slow VM.
    pub fn slowness(&self, vm: &Vm) -> f64 {
        let kind = self.kinds.get(&vm.kind).copied().unwrap_or_default();
        let own = vm.speed;
        (kind.mean * KIND_WEIGHT_RUNS + own.mean * own.runs) / (KIND_WEIGHT_RUNS + own.runs)
    }

    fn update(&mut self, vm: &mut Vm, value: f64) {
        vm.speed.update(value, VM_WINDOW_RUNS);
        let kind = self.kinds.entry(vm.kind.clone()).or_default();
        kind.update(value, KIND_WINDOW_RUNS);
    }
}

impl Placer {
    /// Updates the estimates from the runs of a step that is done.
    pub(super) fn update_speeds(&mut self, step: StepKey) {
        let runs = self.registry.step_mut(step).map(|step| &mut step.done_runs);
        let runs = runs.map(std::mem::take).unwrap_or_default();
        if runs.len() < MIN_RUNS {
            return;
        }
        let log = |took: Duration| took.as_secs_f64().max(f64::MIN_POSITIVE).ln();
        let expected = |key: VmKey| {
            let vm = self.fleet.vms.get(&key);
            vm.map_or(0.0, |vm| self.speeds.slowness(vm))
        };
        let sum: f64 = runs
            .iter()
            .map(|&(vm, took)| log(took) - expected(vm))
            .sum();
        #[allow(clippy::cast_precision_loss)]
        let mean = sum / runs.len() as f64;
        for (key, took) in runs {
            if let Some(vm) = self.fleet.vms.get_mut(&key) {
                self.speeds.update(vm, log(took) - mean);
            }
        }
    }
}
