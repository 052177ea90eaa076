//! Selection of the VM for a task.

use std::rc::Rc;

use crate::core::model::Now;
use crate::core::model::Resources;
use crate::core::model::ServiceId;
use crate::core::workload::cx::Cx;
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::rounds::round::Pool;
use crate::core::workload::placer::state::fleet::Vm;
use crate::core::workload::placer::state::fleet::VmKey;
use crate::core::workload::placer::state::job_registry::StepKey;
use crate::core::workload::policy::crashes::Caution;
use crate::core::workload::submission::Step;

/// Weight of a VM's slowness in the placement cost, relative to the fraction of its capacity that
/// would stay unused.
const SLOWNESS_WEIGHT: f64 = 4.0;

/// Placement cost of a VM that is not on the preferred rack.
const OFF_RACK_COST: f64 = 10.0;

/// Placement cost, for a task with a latency target, of a VM with fillers.
const MIXING_COST: f64 = 1.0;

/// Placement cost of a VM that is slow after its start. It exceeds the cost of unused capacity, so
/// that other VMs are chosen first.
const COLD_COST: f64 = 3.0;

/// Placement cost, for a task under which a VM has crashed, of each other such task on the VM, and of
/// a VM whose CPU is all in use, as the runs there would end with another crash. It exceeds the cost of
/// unused capacity, but not that of another rack.
const SUSPECT_COST: f64 = 5.0;

/// The same cost for a filler, in millicores of idle CPU.
const FILLER_SUSPECT_COST: f64 = 5_000_000.0;

/// Placement cost, for a filler, of a VM that is not on the preferred rack, in millicores of
/// idle CPU.
const FILLER_OFF_RACK_COST: f64 = 10_000_000.0;

/// Placement cost, for a filler, of a VM that runs tasks with a latency target, in millicores
/// of idle CPU.
const FILLER_MIXING_COST: f64 = 100_000.0;

/// Placement cost, for a filler, of a VM that is slow after its start, in millicores of idle CPU. It
/// exceeds the idle CPU of a VM.
const FILLER_COLD_COST: f64 = 1_000_000.0;

/// A VM on which tasks of a step may be placed, with the resources left by the plan so far.
#[derive(Clone, Debug)]
pub(in crate::core::workload::placer) struct Candidate {
    pub vm: VmKey,
    pub free: Resources,
    /// Resources that runs do not use that last until they are cancelled.
    pub drained: Resources,
    pub open_to: OpenTo,
    capacity: Resources,
    /// CPU demand of the fillers on the VM, in millicores.
    filler_cpu_milli: u32,
    /// Whether tasks with a latency target run on the VM.
    has_latency_tasks: bool,
    /// Number of tasks of the same step and occurrence that run on the VM or are planned for it.
    /// Running ones are counted only if the step has a limit per VM.
    pub siblings: u32,
    /// Number of steps that wait for advice on the VM.
    pub asked: u32,
    /// Number of runs on the VM of tasks under which a VM has crashed.
    suspect_runs: u32,
    /// Whether a task can run alone on the VM.
    pub is_clear: bool,
    /// Start of the VM's lifetime, in milliseconds since the Unix epoch.
    started_ms: u64,
    /// Natural logarithm of the run time of tasks on this VM relative to other VMs.
    pub slowness: f64,
    on_preferred_rack: bool,
    /// One while the VM is slow after its start, otherwise zero.
    cold: f64,
    pub rack: Rc<str>,
}

/// Tasks that may be placed on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::core::workload::placer) enum OpenTo {
    All,
    /// Tasks of urgent queues, as runs are stopped for them.
    Urgent,
    /// Tasks that are to run alone, once the other runs have ended.
    Lone,
}

/// VMs on which tasks of a step may be placed, with the placement cost of each.
pub(in crate::core::workload::placer) struct CandidateList<'a> {
    spec: &'a Step,
    /// Candidates with room for a task, and their costs.
    vms: Vec<(f64, Candidate)>,
}

impl Placer {
    /// Returns the VMs of a service that accept new tasks, in ascending order of their keys.
    pub(in crate::core::workload::placer) fn open_vms(
        &self,
        cx: &Cx,
        service: &ServiceId,
    ) -> Vec<Candidate> {
        let max_silence = self.renewal_wait(cx) + cx.options.vms.unresponsive_after;
        let is_open = |vm: &Vm| {
            vm.service == *service
                && vm.is_usable(cx.now, max_silence)
                && !cx.evacuation.includes(&vm.zone)
        };
        let vms = self.fleet.vms.iter().filter(|(_, vm)| is_open(vm));
        vms.map(|(&key, vm)| Candidate::new(key, vm, self.slowness.estimate(vm), cx.now))
            .collect()
    }

    /// Returns the VMs of a pool on which tasks of a step fit, whether or not advice allows them.
    pub(in crate::core::workload::placer) fn candidates(
        &self,
        cx: &Cx,
        pool: &Pool,
        key: StepKey,
        spec: &Step,
    ) -> Vec<Candidate> {
        let vms = self.visible_vms(cx, pool.vms().iter(), key);
        let vms = vms.map(|vm| (vm, vm.free));
        self.fitting(vms, key, spec)
    }

    /// Returns the VMs of a pool on which tasks of a step fit and for which it has a valid ticket.
    ///
    /// A step has tickets for few VMs, so that this takes much less time than a search of the fleet.
    pub(in crate::core::workload::placer) fn ticketed_candidates(
        &self,
        cx: &Cx,
        pool: &Pool,
        key: StepKey,
        spec: &Step,
    ) -> Vec<Candidate> {
        let Some(step) = self.registry.step(key) else {
            return Vec::new();
        };
        let vms = pool.ticketed(&step.advice, cx.now);
        let open = self.visible_vms(cx, vms.into_iter(), key);
        self.fitting(open.map(|vm| (vm, vm.free)), key, spec)
    }

    /// Returns the VMs of a pool on which tasks of a step fit once the runs there have ended that do
    /// not last until they are cancelled.
    pub(in crate::core::workload::placer) fn drained_candidates(
        &self,
        cx: &Cx,
        pool: &Pool,
        key: StepKey,
        spec: &Step,
    ) -> Vec<Candidate> {
        let vms = self.visible_vms(cx, pool.vms().iter(), key);
        let drained = vms.map(|vm| (vm, vm.drained));
        self.fitting(drained, key, spec)
    }

    /// Returns those VMs on which tasks of a step may be placed.
    pub(in crate::core::workload::placer) fn visible_vms<'a, I: Iterator<Item = &'a Candidate>>(
        &self,
        cx: &Cx,
        vms: I,
        key: StepKey,
    ) -> impl Iterator<Item = &'a Candidate> + use<'a, I> {
        let is_urgent = self.is_urgent(key);
        let has_lone_tasks = self.has_lone_tasks(cx.now, key);
        vms.filter(move |vm| match vm.open_to {
            OpenTo::All => true,
            OpenTo::Urgent => is_urgent,
            OpenTo::Lone => has_lone_tasks,
        })
    }

    /// Returns those VMs on which tasks of a step fit within the resources given with each.
    pub(in crate::core::workload::placer) fn fitting<'a>(
        &self,
        vms: impl Iterator<Item = (&'a Candidate, Resources)>,
        key: StepKey,
        spec: &Step,
    ) -> Vec<Candidate> {
        let reservation = spec.reservation();
        let fits = |(vm, free): &(&Candidate, Resources)| {
            free.holds(&reservation)
                && (spec.required_label.is_empty() || self.has_label(vm.vm, &spec.required_label))
        };
        let vms = vms
            .filter(fits)
            .map(|(vm, free)| Candidate { free, ..vm.clone() });
        let mut list: Vec<Candidate> = vms.collect();
        if spec.max_per_vm > 0 {
            for candidate in &mut list {
                candidate.siblings = self.siblings(candidate.vm, key);
            }
            list.retain(|candidate| candidate.has_room_for(spec));
        }
        if !spec.preferred_rack.is_empty() {
            for candidate in &mut list {
                candidate.on_preferred_rack = *candidate.rack == *spec.preferred_rack;
            }
        }
        list
    }

    /// Returns whether a task of a step fits on a VM.
    pub(in crate::core::workload::placer) fn fits(
        &self,
        vm: &Candidate,
        key: StepKey,
        spec: &Step,
    ) -> bool {
        vm.free.holds(&spec.reservation())
            && (spec.required_label.is_empty() || self.has_label(vm.vm, &spec.required_label))
            && (spec.max_per_vm == 0 || self.siblings(vm.vm, key) < spec.max_per_vm)
    }

    fn has_label(&self, vm: VmKey, label: &str) -> bool {
        let vm = self.fleet.vms.get(&vm);
        vm.is_some_and(|vm| vm.labels.iter().any(|other| **other == *label))
    }

    fn siblings(&self, vm: VmKey, key: StepKey) -> u32 {
        let vm = self.fleet.vms.get(&vm);
        vm.map_or(0, |vm| vm.siblings(key))
    }
}

impl OpenTo {
    fn new(vm: &Vm, now: Now) -> Self {
        if vm.is_clearing(now) {
            Self::Lone
        } else if now < vm.preempted_until {
            Self::Urgent
        } else {
            Self::All
        }
    }
}

impl Candidate {
    fn new(key: VmKey, vm: &Vm, slowness: f64, now: Now) -> Self {
        Self {
            vm: key,
            free: vm.free(),
            drained: vm.capacity.minus(&vm.lasting),
            open_to: OpenTo::new(vm, now),
            capacity: vm.capacity,
            filler_cpu_milli: vm.filler_cpu_milli,
            has_latency_tasks: vm.latency_tasks > 0,
            siblings: 0,
            asked: 0,
            suspect_runs: vm.suspect_runs,
            is_clear: vm.is_clear(),
            started_ms: vm.started_ms,
            slowness,
            on_preferred_rack: true,
            cold: f64::from(u8::from(now < vm.cold_until)),
            rack: Rc::clone(&vm.rack),
        }
    }

    /// Returns the used part of the VM's CPU.
    fn used_share(&self) -> f64 {
        1.0 - f64::from(self.free.cpu_milli) / f64::from(self.capacity.cpu_milli.max(1))
    }

    /// Returns whether another task of the step fits.
    pub fn has_room_for(&self, spec: &Step) -> bool {
        self.free.holds(&spec.reservation())
            && (spec.max_per_vm == 0 || self.siblings < spec.max_per_vm)
    }

    /// Returns the number of tasks of the step that fit.
    pub fn max_tasks(&self, spec: &Step) -> u32 {
        let limit = self.free.count_of(&spec.reservation());
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
        self.is_clear = false;
        if spec.traits.filler {
            self.filler_cpu_milli += spec.demand.cpu_milli;
        }
    }

    /// Returns the cost of placing a task on the VM; the lowest is best.
    pub fn cost(&self, spec: &Step) -> f64 {
        let share = |part: u32, whole: u32| f64::from(part) / f64::from(whole.max(1));
        let cost_if = |applies: bool, cost: f64| if applies { cost } else { 0.0 };
        if spec.traits.filler {
            // Fillers are placed where most CPU is unused, away from tasks with a latency target.
            let idle = f64::from(self.free.cpu_milli) - f64::from(self.filler_cpu_milli);
            let rack_cost = cost_if(!self.on_preferred_rack, FILLER_OFF_RACK_COST);
            let mixing_cost = cost_if(self.has_latency_tasks, FILLER_MIXING_COST);
            return rack_cost + self.cold * FILLER_COLD_COST + mixing_cost - idle;
        }
        let rack_cost = cost_if(!self.on_preferred_rack, OFF_RACK_COST);
        let left = self.free.minus(&spec.reservation());
        let unused = share(left.cpu_milli, self.capacity.cpu_milli)
            + share(left.mem_mib, self.capacity.mem_mib);
        let mixing_cost = cost_if(spec.target_ms > 0 && self.filler_cpu_milli > 0, MIXING_COST);
        let slowness = if spec.traits.long_running {
            -self.slowness
        } else {
            self.slowness
        };
        rack_cost + self.cold * COLD_COST + mixing_cost + unused + slowness * SLOWNESS_WEIGHT
    }
}

impl<'a> CandidateList<'a> {
    /// Returns the list of those candidates that have room for a task of a step.
    pub fn new(candidates: impl Iterator<Item = Candidate>, spec: &'a Step) -> Self {
        let vms = candidates.filter(|candidate| candidate.has_room_for(spec));
        Self {
            spec,
            vms: vms
                .map(|candidate| (candidate.cost(spec), candidate))
                .collect(),
        }
    }

    /// Reserves the resources of a task on the candidate with the lowest cost, of several on the one
    /// with the lowest key, and returns the VM; `None` if no candidate has room.
    pub fn reserve_best(&mut self, caution: Caution) -> Option<VmKey> {
        let cost_of_suspect = match (caution, self.spec.traits.filler) {
            (Caution::None | Caution::Checked, _) => 0.0,
            (_, true) => FILLER_SUSPECT_COST,
            (_, false) => SUSPECT_COST,
        };
        let suspect_cost = |candidate: &Candidate| {
            (f64::from(candidate.suspect_runs) + candidate.used_share()) * cost_of_suspect
        };
        let vms = self.vms.iter().enumerate();
        let vms = vms.filter(|(_, (_, candidate))| candidate.open_to != OpenTo::Lone);
        let best = vms.min_by(|(_, (a, left)), (_, (b, right))| {
            let (a, b) = (a + suspect_cost(left), b + suspect_cost(right));
            a.total_cmp(&b).then_with(|| left.vm.cmp(&right.vm))
        });
        let (ix, _) = best?;
        Some(self.reserve(ix, caution))
    }

    /// Reserves the resources of a task on a candidate where it runs alone, and returns the VM; `None`
    /// if there is none.
    ///
    /// Among VMs on the same rack, the one that has run for the longest time is the least likely to
    /// crash by itself.
    pub fn reserve_clear(&mut self) -> Option<VmKey> {
        let vms = self.vms.iter().enumerate();
        let clear = vms.filter(|(_, (_, candidate))| candidate.is_clear);
        let best = clear.min_by_key(|(_, (_, candidate))| {
            let off_rack = !candidate.on_preferred_rack;
            (off_rack, candidate.started_ms, candidate.vm)
        });
        let (ix, _) = best?;
        let vm = self.reserve(ix, Caution::Alone);
        self.vms.retain(|(_, candidate)| candidate.vm != vm);
        Some(vm)
    }

    fn reserve(&mut self, ix: usize, caution: Caution) -> VmKey {
        let (cost, candidate) = &mut self.vms[ix];
        let vm = candidate.vm;
        candidate.reserve(self.spec);
        candidate.suspect_runs += u32::from(caution != Caution::None);
        if candidate.has_room_for(self.spec) {
            *cost = candidate.cost(self.spec);
        } else {
            self.vms.swap_remove(ix);
        }
        vm
    }
}
