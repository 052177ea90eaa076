//! What a placement round has found out so far, so that no step of a long queue is looked at again
//! in vain: a search of the fleet takes time in proportion to the VMs, and while it lasts no
//! heartbeat is sent.

use rustc_hash::FxHashSet;

use crate::core::model::Now;
use crate::core::model::Resources;
use crate::core::model::ServiceId;
use crate::core::workload::catalog::URGENT_PRIORITY;
use crate::core::workload::heartbeat::HeartbeatMonitor;
use crate::core::workload::placer::rounds::advice::Availability;
use crate::core::workload::placer::rounds::advice::StepAdvice;
use crate::core::workload::placer::rounds::candidates::Candidate;
use crate::core::workload::placer::rounds::candidates::OpenTo;
use crate::core::workload::placer::rounds::preemptible::PreemptionRound;
use crate::core::workload::placer::state::fleet::VmKey;
use crate::core::workload::submission::Step;

/// Multiple of the free capacity of a service for which steps may ask for advice at the same time,
/// as advice rejects some of the VMs.
const CLAIM_FACTOR: u64 = 3;

/// Largest part of a service's VMs that is held for the first waiting gang, as a divisor. Their room
/// is partly idle.
const FIRST_HELD_DIVISOR: usize = 2;

/// Largest part of a service's VMs that is held for several gangs, as a divisor.
const HELD_DIVISOR: usize = 8;

/// State of a placement round.
pub(in crate::core::workload::placer) struct Round<'a> {
    /// Daemons through which advice queries can be sent.
    pub heartbeats: &'a HeartbeatMonitor,
    /// Queues for whose advice queries a daemon is free.
    pub forwarders: Availability,
    /// VMs that accept new tasks, by service.
    pools: Vec<(ServiceId, Pool)>,
    /// Needs that no VM had room for.
    unmet: Vec<Need>,
    /// Urgent tasks that found no room, and the runs that may be stopped for them.
    pub preemption: PreemptionRound,
}

/// VMs of a service that accept new tasks.
pub(in crate::core::workload::placer) struct Pool {
    /// VMs in ascending order of their keys, with the resources that the round has left so far.
    vms: Vec<Candidate>,
    /// VMs held for gangs.
    held: FxHashSet<VmKey>,
    /// Sum of the free resources at the start of the round, times [`CLAIM_FACTOR`], less what
    /// steps that wait for advice may use.
    unclaimed: Claimable,
}

/// Resources that steps may claim, in the units of [`Resources`].
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::core::workload::placer) struct Claimable {
    cpu_milli: u64,
    mem_mib: u64,
    accel: u64,
}

/// What a VM must have to run a task of a step.
struct Need {
    service: ServiceId,
    required_label: Box<str>,
    reservation: Resources,
}

impl<'a> Round<'a> {
    /// Returns the state at the start of a round.
    pub fn new(heartbeats: &'a HeartbeatMonitor, forwarders: Availability) -> Self {
        Self {
            heartbeats,
            forwarders,
            pools: Vec::new(),
            unmet: Vec::new(),
            preemption: PreemptionRound::default(),
        }
    }

    /// Returns whether a daemon is free for a query of a queue of this priority.
    pub fn may_query(&self, priority: u32) -> bool {
        match self.forwarders {
            Availability::All => true,
            Availability::Urgent => priority == URGENT_PRIORITY,
            Availability::None => false,
        }
    }

    /// Returns the pool of a service; lists its VMs by `list` if this is the first use of it.
    pub fn pool(
        &mut self,
        service: &ServiceId,
        list: impl FnOnce() -> Vec<Candidate>,
    ) -> &mut Pool {
        let known = self.pools.iter().position(|(other, _)| other == service);
        let ix = known.unwrap_or_else(|| {
            self.pools.push((service.clone(), Pool::new(list())));
            self.pools.len() - 1
        });
        &mut self.pools[ix].1
    }

    /// Returns the pool of a service if it was used before.
    pub fn known_pool(&self, service: &ServiceId) -> Option<&Pool> {
        let mut pools = self.pools.iter();
        pools
            .find(|(other, _)| other == service)
            .map(|(_, pool)| pool)
    }

    /// Records that no VM has room for a task of a step. During a round, room only decreases.
    pub fn record_unmet(&mut self, service: &ServiceId, spec: &Step) {
        let need = Need {
            service: service.clone(),
            required_label: spec.required_label.clone(),
            reservation: spec.reservation(),
        };
        self.unmet.retain(|other| !need.covers(other));
        self.unmet.push(need);
    }

    /// Returns whether no VM can have room for a task of a step, as none had for a smaller one that
    /// could run on the same VMs.
    pub fn is_unmet(&self, service: &ServiceId, spec: &Step) -> bool {
        let reservation = spec.reservation();
        self.unmet.iter().any(|need| {
            need.service == *service
                && (need.required_label.is_empty() || need.required_label == spec.required_label)
                && reservation.holds(&need.reservation)
        })
    }
}

impl Pool {
    fn new(vms: Vec<Candidate>) -> Self {
        let mut unclaimed = Claimable::default();
        for vm in &vms {
            unclaimed.add_room(&vm.free);
        }
        Self {
            vms,
            held: FxHashSet::default(),
            unclaimed,
        }
    }

    /// Returns the number of tasks of a step for which a VM has room.
    pub fn open_slots(&self, vm: VmKey, spec: &Step) -> u32 {
        let ix = self.vms.binary_search_by_key(&vm, |candidate| candidate.vm);
        ix.map_or(0, |ix| self.vms[ix].max_tasks(spec))
    }

    /// Returns whether any VM may have room for a task of a step, whatever its labels.
    pub fn has_room_for(&self, spec: &Step) -> bool {
        let reservation = spec.reservation();
        self.vms.iter().any(|vm| vm.free.holds(&reservation))
    }

    /// Returns the VMs for which a step has valid tickets, in ascending order of their keys.
    pub fn ticketed(&self, advice: &StepAdvice, now: Now) -> Vec<&Candidate> {
        let mut keys = advice.valid_vms(now);
        keys.sort_unstable();
        let find = |key| {
            self.vms
                .binary_search_by_key(&key, |candidate| candidate.vm)
        };
        let found = keys.into_iter().filter_map(|key| find(key).ok());
        found.map(|ix| &self.vms[ix]).collect()
    }

    /// Returns the VMs for which a step has valid tickets and that are not held for a gang.
    pub fn ticketed_without_gang(&self, advice: &StepAdvice, now: Now) -> Vec<&Candidate> {
        let mut vms = self.ticketed(advice, now);
        vms.retain(|candidate| !self.held.contains(&candidate.vm));
        vms
    }

    /// Returns the VMs, with the resources that the round has left so far.
    pub fn vms(&self) -> &[Candidate] {
        &self.vms
    }

    /// Returns the VMs that are not held for a gang.
    pub fn vms_without_gang(&self) -> impl Iterator<Item = &Candidate> {
        let vms = self.vms.iter();
        vms.filter(|candidate| !self.held.contains(&candidate.vm))
    }

    /// Reserves the resources of a task that the round places on a VM.
    pub fn reserve(&mut self, vm: VmKey, spec: &Step) {
        if let Ok(ix) = self.vms.binary_search_by_key(&vm, |candidate| candidate.vm) {
            self.vms[ix].reserve(spec);
        }
        self.unclaimed.subtract(&spec.reservation(), CLAIM_FACTOR);
    }

    /// Returns the resources of a VM that the round has left so far; none if it is held.
    pub fn free(&self, vm: VmKey) -> Resources {
        let ix = self.vms.binary_search_by_key(&vm, |candidate| candidate.vm);
        ix.map_or(Resources::ZERO, |ix| self.vms[ix].free)
    }

    /// Holds VMs for a gang: the round has no room left on them. Does nothing if too many VMs would
    /// be held.
    pub fn hold(&mut self, vms: &[VmKey]) {
        let divisor = if self.held.is_empty() {
            FIRST_HELD_DIVISOR
        } else {
            HELD_DIVISOR
        };
        if (self.held.len() + vms.len()) * divisor > self.vms.len() {
            return;
        }
        self.held.extend(vms);
        for vm in vms {
            if let Ok(ix) = self.vms.binary_search_by_key(vm, |candidate| candidate.vm) {
                self.vms[ix].free = Resources::ZERO;
                self.vms[ix].drained = Resources::ZERO;
            }
        }
    }

    /// Returns the number of VMs that are held.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// Keeps the room of a VM for urgent tasks.
    pub fn keep_for_urgent(&mut self, vm: VmKey) {
        if let Ok(ix) = self.vms.binary_search_by_key(&vm, |candidate| candidate.vm) {
            self.vms[ix].open_to = OpenTo::Urgent;
        }
    }

    /// Keeps a VM for tasks that are to run alone.
    pub fn keep_for_lone_tasks(&mut self, vm: VmKey) {
        if let Ok(ix) = self.vms.binary_search_by_key(&vm, |candidate| candidate.vm) {
            self.vms[ix].open_to = OpenTo::Lone;
        }
    }

    /// Counts a step that waits for advice on these VMs.
    pub fn record_asked(&mut self, vms: &[VmKey]) {
        for vm in vms {
            if let Ok(ix) = self.vms.binary_search_by_key(vm, |candidate| candidate.vm) {
                self.vms[ix].asked += 1;
            }
        }
    }

    /// Claims room for `tasks` tasks of a step that waits for advice. Returns whether room was left
    /// for one.
    ///
    /// Steps behind those that will use all room would ask in vain: their tickets would expire
    /// before the VMs have room again.
    pub fn claim(&mut self, spec: &Step, tasks: u32) -> bool {
        self.unclaimed.claim(spec, tasks)
    }
}

impl Claimable {
    /// Adds what steps that wait for advice may claim of an amount of room.
    pub fn add_room(&mut self, room: &Resources) {
        self.add(room, CLAIM_FACTOR);
    }

    /// Claims room for `tasks` tasks of a step. Returns whether room was left for one.
    pub fn claim(&mut self, spec: &Step, tasks: u32) -> bool {
        let reservation = spec.reservation();
        let is_left = self.holds(&reservation);
        self.subtract(&reservation, tasks.into());
        is_left
    }

    fn add(&mut self, amount: &Resources, factor: u64) {
        self.cpu_milli += u64::from(amount.cpu_milli) * factor;
        self.mem_mib += u64::from(amount.mem_mib) * factor;
        self.accel += u64::from(amount.accel) * factor;
    }

    fn subtract(&mut self, amount: &Resources, factor: u64) {
        let minus = |from: u64, amount: u32| from.saturating_sub(u64::from(amount) * factor);
        self.cpu_milli = minus(self.cpu_milli, amount.cpu_milli);
        self.mem_mib = minus(self.mem_mib, amount.mem_mib);
        self.accel = minus(self.accel, amount.accel);
    }

    fn holds(&self, amount: &Resources) -> bool {
        u64::from(amount.cpu_milli) <= self.cpu_milli
            && u64::from(amount.mem_mib) <= self.mem_mib
            && u64::from(amount.accel) <= self.accel
    }
}

impl Need {
    /// Returns whether a step with the need `other` is unmet if this need is.
    fn covers(&self, other: &Self) -> bool {
        self.service == other.service
            && (self.required_label.is_empty() || self.required_label == other.required_label)
            && other.reservation.holds(&self.reservation)
    }
}
