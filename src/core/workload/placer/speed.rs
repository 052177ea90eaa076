//! How fast VMs work, learned from the tasks of a step that ran on different VMs.
//!
//! Pattern: a step is as slow as its slowest task. Where some VMs work slower than others, by their
//! kind or because they are degraded, a wide step nearly always has a task on one of them, and
//! its job is late without having waited. Tasks that end therefore prefer VMs that are not slow,
//! and tasks that last leave those to them.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::Placer;
use super::fleet::Vm;
use super::fleet::VmKey;
use super::job_registry::StepKey;

/// Fewest tasks of a step from which something is learned.
const LEAST_RUNS: usize = 3;

/// Runs after which older ones count less, for a VM.
const VM_MEMORY: f64 = 16.0;

/// The same for all VMs of a kind.
const KIND_MEMORY: f64 = 400.0;

/// Runs of its own from which on a VM is judged by these rather than by its kind.
const KIND_WEIGHT: f64 = 8.0;

/// A mean of logarithms of durations, relative to those of other VMs.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Learned {
    mean: f64,
    runs: f64,
}

/// What is known of the kinds of VMs, by their labels without the rack.
#[derive(Debug, Default)]
pub(super) struct Speeds {
    kinds: FxHashMap<Box<str>, Learned>,
}

impl Learned {
    fn learn(&mut self, value: f64, memory: f64) {
        self.runs = (self.runs + 1.0).min(memory);
        self.mean += (value - self.mean) / self.runs;
    }
}

impl Speeds {
    /// Logarithm of the time that a VM takes, relative to other VMs: above zero for a slow one.
    pub fn slowness(&self, vm: &Vm) -> f64 {
        let kind = self.kinds.get(&vm.kind).copied().unwrap_or_default();
        let own = vm.speed;
        (kind.mean * KIND_WEIGHT + own.mean * own.runs) / (KIND_WEIGHT + own.runs)
    }

    fn learn(&mut self, vm: &mut Vm, value: f64) {
        vm.speed.learn(value, VM_MEMORY);
        let kind = self.kinds.entry(vm.kind.clone()).or_default();
        kind.learn(value, KIND_MEMORY);
    }
}

impl Placer {
    /// Learns from the runs of a step, all of which are done.
    pub(super) fn learn_speeds(&mut self, step: StepKey) {
        let runs = self.registry.step_mut(step).map(|step| &mut step.done_runs);
        let runs = runs.map(std::mem::take).unwrap_or_default();
        if runs.len() < LEAST_RUNS {
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
                self.speeds.learn(vm, log(took) - mean);
            }
        }
    }
}
