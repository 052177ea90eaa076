//! Which VM a task goes to.

use super::Placer;
use super::book::StepKey;
use super::fleet::Vm;
use super::fleet::VmKey;
use crate::core::model::Resources;
use crate::core::workload::cx::Cx;
use crate::core::workload::submission::Step;

/// Weight of a VM's slowness against the part of its room that a task would leave unused.
const SLOW_WEIGHT: f64 = 4.0;

/// A VM that tasks of a step may go to, with the room that a plan has left on it.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub vm: VmKey,
    pub free: Resources,
    capacity: Resources,
    /// Processor time that fillers there ask for already.
    filler_milli: u32,
    /// Whether tasks that serve run there.
    serves: bool,
    /// Whether tasks that fill run there.
    filled: bool,
    /// Tasks of the step and occurrence there.
    pub siblings: u32,
    /// Logarithm of the time that tasks take there, relative to other VMs.
    pub slowness: f64,
    on_rack: bool,
    pub rack: Box<str>,
}

impl Placer {
    /// VMs that may run a step, without asking for advice.
    pub(super) fn candidates(&self, cx: &Cx, key: StepKey) -> Vec<Candidate> {
        let Some(job) = self.book.jobs.get(&key.job) else {
            return Vec::new();
        };
        let spec = job.spec(key.step);
        let room = spec.reservation();
        let most_silent = self.hold_wait(cx) + cx.options.vms.unresponsive_after;
        let fits = |vm: &Vm| {
            vm.service == job.queue.service
                && vm.is_usable(cx.now, most_silent)
                && vm.free().holds(&room)
                && (spec.required_label.is_empty() || vm.labels.contains(&spec.required_label))
        };
        let vms = self.fleet.vms.iter().filter(|(_, vm)| fits(vm));
        let list = vms
            .map(|(&vm, state)| Candidate {
                vm,
                free: state.free(),
                capacity: state.capacity,
                filler_milli: state.filler_milli,
                serves: state.serving > 0,
                filled: state.filler_milli > 0,
                siblings: state.siblings(key, spec.max_per_vm > 0),
                slowness: self.speeds.slowness(state),
                on_rack: spec.preferred_rack.is_empty() || state.rack == spec.preferred_rack,
                rack: state.rack.clone(),
            })
            .filter(|candidate| candidate.may_take(spec));
        list.collect()
    }
}

impl Candidate {
    /// Whether one more task fits.
    pub fn may_take(&self, spec: &Step) -> bool {
        self.free.holds(&spec.reservation())
            && (spec.max_per_vm == 0 || self.siblings < spec.max_per_vm)
    }

    /// Tasks of the step that fit.
    pub fn fits(&self, spec: &Step) -> u32 {
        let room = spec.reservation();
        let by = |free: u32, each: u32| free.checked_div(each).unwrap_or(u32::MAX);
        let most = by(self.free.cpu_milli, room.cpu_milli)
            .min(by(self.free.mem_mib, room.mem_mib))
            .min(by(self.free.accel, room.accel));
        if spec.max_per_vm == 0 {
            most
        } else {
            most.min(spec.max_per_vm.saturating_sub(self.siblings))
        }
    }

    /// Takes the room of one task.
    pub fn take(&mut self, spec: &Step) {
        self.free = self.free.minus(&spec.reservation());
        self.siblings += 1;
        if spec.traits.filler {
            self.filler_milli += spec.demand.cpu_milli;
        }
    }

    /// Cost of putting a task here; the least is best.
    pub fn cost(&self, spec: &Step) -> f64 {
        let share = |part: u32, whole: u32| f64::from(part) / f64::from(whole.max(1));
        let away = if self.on_rack { 0.0 } else { 10.0 };
        if spec.traits.filler {
            // Fillers go where most processor time is unused, away from tasks that serve.
            let idle = f64::from(self.free.cpu_milli) - f64::from(self.filler_milli);
            let beside = if self.serves { 100_000.0 } else { 0.0 };
            return away * 1e6 + beside - idle;
        }
        let left = self.free.minus(&spec.reservation());
        let tight = share(left.cpu_milli, self.capacity.cpu_milli)
            + share(left.mem_mib, self.capacity.mem_mib);
        let beside = if spec.target_ms > 0 && self.filled {
            1.0
        } else {
            0.0
        };
        let slow = if spec.traits.long_running {
            -self.slowness
        } else {
            self.slowness
        };
        away + beside + tight + slow * SLOW_WEIGHT
    }
}

/// The best candidate for a task.
pub(super) fn best<'a>(
    candidates: impl Iterator<Item = &'a mut Candidate>,
    spec: &Step,
) -> Option<&'a mut Candidate> {
    candidates
        .filter(|candidate| candidate.may_take(spec))
        .min_by(|a, b| a.cost(spec).total_cmp(&b.cost(spec)).then(a.vm.cmp(&b.vm)))
}
