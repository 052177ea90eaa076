//! Selection of the VM for a task.

use super::Placer;
use super::fleet::Vm;
use super::fleet::VmKey;
use super::job_registry::StepKey;
use crate::core::model::Resources;
use crate::core::workload::cx::Cx;
use crate::core::workload::submission::Step;

/// Weight of a VM's slowness in the placement cost, relative to the fraction of its capacity that
/// would stay unused.
const SLOWNESS_WEIGHT: f64 = 4.0;

/// A VM on which tasks of a step may be placed, with the resources left by the plan so far.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub vm: VmKey,
    pub free: Resources,
    capacity: Resources,
    /// CPU demand of the fillers on the VM, in millicores.
    filler_cpu_milli: u32,
    /// Whether tasks with a latency target run on the VM.
    has_latency_tasks: bool,
    /// Whether filler tasks run on the VM.
    has_fillers: bool,
    /// Number of tasks of the same step and occurrence that run or are planned on the VM. Those
    /// that run are counted only if the step has a limit per VM.
    pub siblings: u32,
    /// Natural logarithm of the run time of tasks on this VM relative to other VMs.
    pub slowness: f64,
    on_preferred_rack: bool,
    pub rack: Box<str>,
}

impl Placer {
    /// Returns the VMs on which tasks of a step fit, whether or not advice allows them.
    pub(super) fn candidates(&self, cx: &Cx, key: StepKey) -> Vec<Candidate> {
        let Some(job) = self.registry.jobs.get(&key.job) else {
            return Vec::new();
        };
        let spec = job.spec(key.step);
        let reservation = spec.reservation();
        let max_silence = self.renewal_wait(cx) + cx.options.vms.unresponsive_after;
        let fits = |vm: &Vm| {
            vm.service == job.queue.service
                && vm.is_usable(cx.now, max_silence)
                && vm.free().holds(&reservation)
                && (spec.required_label.is_empty() || vm.labels.contains(&spec.required_label))
        };
        let vms = self.fleet.vms.iter().filter(|(_, vm)| fits(vm));
        let list = vms
            .map(|(&vm, state)| Candidate {
                vm,
                free: state.free(),
                capacity: state.capacity,
                filler_cpu_milli: state.filler_cpu_milli,
                has_latency_tasks: state.latency_tasks > 0,
                has_fillers: state.filler_cpu_milli > 0,
                siblings: state.siblings(key, spec.max_per_vm > 0),
                slowness: self.speeds.slowness(state),
                on_preferred_rack: spec.preferred_rack.is_empty()
                    || state.rack == spec.preferred_rack,
                rack: state.rack.clone(),
            })
            .filter(|candidate| candidate.has_room_for(spec));
        list.collect()
    }
}

impl Candidate {
    /// Returns whether another task of the step fits.
    pub fn has_room_for(&self, spec: &Step) -> bool {
        self.free.holds(&spec.reservation())
            && (spec.max_per_vm == 0 || self.siblings < spec.max_per_vm)
    }

    /// Returns the number of tasks of the step that fit.
    pub fn max_tasks(&self, spec: &Step) -> u32 {
        let reservation = spec.reservation();
        let count = |free: u32, each: u32| free.checked_div(each).unwrap_or(u32::MAX);
        let limit = count(self.free.cpu_milli, reservation.cpu_milli)
            .min(count(self.free.mem_mib, reservation.mem_mib))
            .min(count(self.free.accel, reservation.accel));
        if spec.max_per_vm == 0 {
            limit
        } else {
            limit.min(spec.max_per_vm.saturating_sub(self.siblings))
        }
    }

    /// Reserves the resources of one task.
    pub fn reserve(&mut self, spec: &Step) {
        self.free = self.free.minus(&spec.reservation());
        self.siblings += 1;
        if spec.traits.filler {
            self.filler_cpu_milli += spec.demand.cpu_milli;
        }
    }

    /// Returns the cost of placing a task on the VM; the lowest is best.
    pub fn cost(&self, spec: &Step) -> f64 {
        let share = |part: u32, whole: u32| f64::from(part) / f64::from(whole.max(1));
        let rack_cost = if self.on_preferred_rack { 0.0 } else { 10.0 };
        if spec.traits.filler {
            // Fillers are placed where most CPU is unused, away from tasks with a latency target.
            let idle = f64::from(self.free.cpu_milli) - f64::from(self.filler_cpu_milli);
            let mixing_cost = if self.has_latency_tasks {
                100_000.0
            } else {
                0.0
            };
            return rack_cost * 1e6 + mixing_cost - idle;
        }
        let left = self.free.minus(&spec.reservation());
        let unused = share(left.cpu_milli, self.capacity.cpu_milli)
            + share(left.mem_mib, self.capacity.mem_mib);
        let mixing_cost = if spec.target_ms > 0 && self.has_fillers {
            1.0
        } else {
            0.0
        };
        let slowness = if spec.traits.long_running {
            -self.slowness
        } else {
            self.slowness
        };
        rack_cost + mixing_cost + unused + slowness * SLOWNESS_WEIGHT
    }
}

/// Returns the candidate with the lowest cost that has room for a task; of several, the one with
/// the lowest key.
pub(super) fn best_candidate<'a>(
    candidates: impl Iterator<Item = &'a mut Candidate>,
    spec: &Step,
) -> Option<&'a mut Candidate> {
    candidates
        .filter(|candidate| candidate.has_room_for(spec))
        .min_by(|a, b| a.cost(spec).total_cmp(&b.cost(spec)).then(a.vm.cmp(&b.vm)))
}
