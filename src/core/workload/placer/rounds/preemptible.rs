//! Runs that may be stopped for urgent tasks in a round, and the tasks that claim their room.

use std::mem;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::core::model::Now;
use crate::core::model::Resources;
use crate::core::model::ServiceId;
use crate::core::model::TeamId;
use crate::core::workload::catalog::URGENT_PRIORITY;
use crate::core::workload::cx::Cx;
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::rounds::round::Claimable;
use crate::core::workload::placer::rounds::round::Round;
use crate::core::workload::placer::state::fleet::Vm;
use crate::core::workload::placer::state::fleet::VmKey;
use crate::core::workload::placer::state::job_registry::JobKey;
use crate::core::workload::placer::state::job_registry::StepKey;
use crate::core::workload::placer::state::job_registry::StepProgress;
use crate::core::workload::placer::state::job_registry::TaskKey;
use crate::core::workload::placer::state::run::Phase;
use crate::core::workload::placer::state::run::Run;
use crate::core::workload::policy::preemption;
use crate::core::workload::policy::preemption::Claim;
use crate::core::workload::policy::preemption::RunView;
use crate::core::workload::policy::preemption::Site;
use crate::core::workload::policy::preemption::VmView;
use crate::core::workload::policy::preemption::choose_victims;
use crate::core::workload::policy::timeliness::Timeliness;
use crate::core::workload::submission::Step;

/// What a round knows about preemption.
#[derive(Debug, Default)]
pub(in crate::core::workload::placer) struct PreemptionRound {
    /// Runs that may be stopped, by service; filled when an urgent step first lacks room.
    pub services: FxHashMap<ServiceId, Preemptible>,
    /// Demand of the claims of each team.
    pub claimed: FxHashMap<TeamId, Resources>,
}

/// Runs of a service that may be stopped, and the tasks that wait for their room.
#[derive(Debug, Default)]
pub(in crate::core::workload::placer) struct Preemptible {
    vms: FxHashMap<VmKey, PreemptibleVm>,
    /// Room for which steps may still ask for advice.
    pub unclaimed: Claimable,
    /// Resources that claims may still take, so that no more steps are looked at than can be served.
    pub claimable: Resources,
    /// Resources that may be freed in addition to what is being freed.
    budget: Resources,
    claims: Vec<StepClaim>,
}

/// Runs of a VM that may be stopped, in the order of their keys.
#[derive(Debug, Default)]
struct PreemptibleVm {
    runs: Vec<(TaskKey, RunView)>,
    /// Sum of the reservations of `runs`.
    stoppable: Resources,
    /// Resources of runs that are being stopped.
    freeing: Resources,
    /// Resources that runs reserve beyond the capacity.
    excess: Resources,
}

/// Tasks of a step that wait for room.
#[derive(Debug)]
pub(in crate::core::workload::placer) struct StepClaim {
    pub step: StepKey,
    pub reservation: Resources,
    pub tasks: u32,
    /// VMs that may run the step.
    pub sites: Vec<(VmKey, Site)>,
}

impl Placer {
    /// Returns the runs of a service that may be stopped; looks for them if this is the first use.
    pub(in crate::core::workload::placer) fn preemptible<'a>(
        &self,
        cx: &Cx,
        round: &'a mut Round,
        service: &ServiceId,
    ) -> &'a mut Preemptible {
        if !round.preemption.services.contains_key(service) {
            let pool = round.pool(service, || self.open_vms(cx, service));
            let vms: Vec<VmKey> = pool.vms().iter().map(|vm| vm.vm).collect();
            let preemptible = self.list_preemptible(cx, &vms);
            let services = &mut round.preemption.services;
            services.insert(service.clone(), preemptible);
        }
        let services = &mut round.preemption.services;
        services.entry(service.clone()).or_default()
    }

    fn list_preemptible(&self, cx: &Cx, vms: &[VmKey]) -> Preemptible {
        let mut list = Preemptible::default();
        let mut jobs = FxHashMap::default();
        let (mut capacity, mut freeing) = (Resources::ZERO, Resources::ZERO);
        let mut stoppable = Resources::ZERO;
        for &key in vms {
            let Some(vm) = self.fleet.vms.get(&key) else {
                continue;
            };
            let preemptible = self.preemptible_vm(cx, vm, &mut jobs);
            capacity = capacity.plus(&vm.capacity);
            freeing = freeing.plus(&preemptible.freeing);
            stoppable = stoppable.plus(&preemptible.stoppable);
            list.unclaimed.add_room(&preemptible.stoppable);
            list.unclaimed.add_room(&preemptible.freeing);
            list.vms.insert(key, preemptible);
        }
        if preemption::is_worthwhile(&capacity, &stoppable) {
            list.budget = preemption::budget(&capacity, &freeing);
            list.claimable = list.budget.min(&stoppable).plus(&freeing);
        } else {
            list.clear_stoppable();
        }
        list
    }

    fn preemptible_vm(
        &self,
        cx: &Cx,
        vm: &Vm,
        jobs: &mut FxHashMap<JobKey, (Timeliness, Duration)>,
    ) -> PreemptibleVm {
        let views = vm.runs.iter();
        let views =
            views.filter_map(|(&task, run)| Some((task, self.run_view(cx, task, run, jobs)?)));
        let mut runs: Vec<(TaskKey, RunView)> = views.collect();
        runs.sort_unstable_by_key(|(task, _)| *task);
        let stoppable = runs
            .iter()
            .fold(Resources::ZERO, |sum, (_, run)| sum.plus(&run.reservation));
        PreemptibleVm {
            runs,
            stoppable,
            freeing: vm.freeing(),
            excess: vm.used.minus(&vm.capacity),
        }
    }

    /// Returns the view of a run; `None` if it may not be stopped for urgent tasks.
    fn run_view(
        &self,
        cx: &Cx,
        task: TaskKey,
        run: &Run,
        jobs: &mut FxHashMap<JobKey, (Timeliness, Duration)>,
    ) -> Option<RunView> {
        let Phase::Running { since } = run.phase else {
            return None;
        };
        let age = cx.now.saturating_sub(since);
        let job = self.registry.jobs.get(&task.step.job)?;
        if job.queue.priority == URGENT_PRIORITY || age < preemption::MIN_RUN_TIME {
            return None;
        }
        if !job.is_active() || !preemption::is_preemptible(job.spec(task.step.step)) {
            return None;
        }
        let (timeliness, slack) = *jobs
            .entry(task.step.job)
            .or_insert_with(|| (job.timeliness(cx.unix_time), job.slack(cx.unix_time)));
        Some(RunView {
            priority: job.queue.priority,
            reservation: run.reservation,
            timeliness,
            slack,
            age,
        })
    }
}

impl PreemptionRound {
    /// Removes and returns the claims, by service in ascending order.
    pub fn take_claims(&mut self) -> Vec<(ServiceId, Vec<StepClaim>)> {
        let services = self.services.iter_mut();
        let claims = services
            .filter(|(_, preemptible)| !preemptible.claims.is_empty())
            .map(|(service, preemptible)| (service.clone(), mem::take(&mut preemptible.claims)));
        let mut list: Vec<(ServiceId, Vec<StepClaim>)> = claims.collect();
        list.sort_unstable_by(|(a, _), (b, _)| a.cmp(b));
        list
    }

    /// Adds a claim of a team.
    pub fn add(
        &mut self,
        service: &ServiceId,
        team: Option<TeamId>,
        spec: &Step,
        claim: StepClaim,
    ) {
        if let Some(team) = team {
            let claimed = self.claimed.entry(team).or_default();
            *claimed = claimed.plus(&spec.demand.times(claim.tasks));
        }
        if let Some(service) = self.services.get_mut(service) {
            let claimed = claim.reservation.times(claim.tasks);
            service.claimable = service.claimable.minus(&claimed);
            service.claims.push(claim);
        }
    }
}

impl Round<'_> {
    /// Returns the number of tasks of a step for which the VMs with valid tickets have room without
    /// the runs that may be stopped.
    pub fn ticketed_room(
        &self,
        step: &StepProgress,
        spec: &Step,
        service: &ServiceId,
        now: Now,
    ) -> u32 {
        let preemptible = self.preemption.services.get(service);
        let (Some(pool), Some(preemptible)) = (self.known_pool(service), preemptible) else {
            return 0;
        };
        let tickets = step.advice.tickets.iter();
        let vms = tickets.filter(|(_, ticket)| now < ticket.until);
        let room = vms.map(|(&vm, _)| {
            let room = pool.free(vm).plus(&preemptible.room(vm));
            room.count_of(&spec.reservation())
        });
        room.fold(0, u32::saturating_add)
    }

    /// Returns the runs to stop for claims, each with the step that it is stopped for and its VM.
    pub fn victims(
        &self,
        service: &ServiceId,
        claims: &[StepClaim],
    ) -> Vec<(StepKey, VmKey, TaskKey, RunView)> {
        let preemptible = self.preemption.services.get(service);
        let (Some(pool), Some(preemptible)) = (self.known_pool(service), preemptible) else {
            return Vec::new();
        };
        let nothing = PreemptibleVm::default();
        let runs_on = |key: VmKey| preemptible.vms.get(&key).unwrap_or(&nothing);
        let keys: Vec<VmKey> = pool.vms_without_gang().map(|vm| vm.vm).collect();
        let views = pool.vms_without_gang().map(|vm| VmView {
            free: vm.free,
            freeing: runs_on(vm.vm).freeing,
            excess: runs_on(vm.vm).excess,
            runs: runs_on(vm.vm).runs.iter().map(|(_, run)| *run).collect(),
        });
        let views: Vec<VmView> = views.collect();
        let policy_claims = claims.iter().map(|claim| Claim {
            priority: URGENT_PRIORITY,
            reservation: claim.reservation,
            tasks: claim.tasks,
            sites: claim.sites(&keys),
        });
        let policy_claims: Vec<Claim> = policy_claims.collect();
        let victims = choose_victims(&policy_claims, &views, preemptible.budget);
        let victims = victims.into_iter().map(|victim| {
            let vm = keys[victim.vm];
            let (task, run) = runs_on(vm).runs[victim.run];
            (claims[victim.claim].step, vm, task, run)
        });
        victims.collect()
    }
}

impl Preemptible {
    /// Leaves no run to be stopped, so that no step claims room. What is being freed still counts as
    /// room of its VM.
    fn clear_stoppable(&mut self) {
        self.unclaimed = Claimable::default();
        for vm in self.vms.values_mut() {
            vm.runs.clear();
            vm.stoppable = Resources::ZERO;
        }
    }

    /// Returns the resources of the runs on a VM that may be stopped or are being stopped.
    pub fn room(&self, vm: VmKey) -> Resources {
        let vm = self.vms.get(&vm);
        vm.map_or(Resources::ZERO, |vm| {
            vm.stoppable.plus(&vm.freeing).minus(&vm.excess)
        })
    }
}

impl StepClaim {
    /// Returns the sites with the positions of their VMs in `vms`.
    fn sites(&self, vms: &[VmKey]) -> Vec<Site> {
        let sites = self.sites.iter().filter_map(|(key, site)| {
            let vm = vms.binary_search(key).ok()?;
            Some(Site { vm, ..*site })
        });
        sites.collect()
    }
}
