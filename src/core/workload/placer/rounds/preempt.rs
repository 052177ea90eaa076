//! Preemption: stops runs of other queues for urgent tasks that found no room in a round.
//!
//! The VMs' runs are looked at once in a round, and only if an urgent step was left without room.

use std::mem;
use std::rc::Rc;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::core::model::Now;
use crate::core::model::Resources;
use crate::core::model::ServiceId;
use crate::core::model::TeamId;
use crate::core::workload::catalog::Catalog;
use crate::core::workload::catalog::Queue;
use crate::core::workload::catalog::QueueId;
use crate::core::workload::catalog::URGENT_PRIORITY;
use crate::core::workload::cx::Cx;
use crate::core::workload::cx::millis;
use crate::core::workload::decision::Decision;
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::rounds::candidates::Candidate;
use crate::core::workload::placer::rounds::rank::Rank;
use crate::core::workload::placer::rounds::round::Claimable;
use crate::core::workload::placer::rounds::round::Round;
use crate::core::workload::placer::state::fleet::Phase;
use crate::core::workload::placer::state::fleet::Run;
use crate::core::workload::placer::state::fleet::Vm;
use crate::core::workload::placer::state::fleet::VmKey;
use crate::core::workload::placer::state::job_registry::JobKey;
use crate::core::workload::placer::state::job_registry::StepKey;
use crate::core::workload::placer::state::job_registry::StepProgress;
use crate::core::workload::placer::state::job_registry::TaskKey;
use crate::core::workload::policy::preemption;
use crate::core::workload::policy::preemption::Claim;
use crate::core::workload::policy::preemption::RunView;
use crate::core::workload::policy::preemption::Site;
use crate::core::workload::policy::preemption::VmView;
use crate::core::workload::policy::preemption::choose_victims;
use crate::core::workload::policy::shares::FairShares;
use crate::core::workload::policy::timeliness::Timeliness;
use crate::core::workload::submission::Step;

/// Time beyond the longest stop for which a VM is kept for urgent tasks.
const HOLD_MARGIN: Duration = Duration::from_millis(300);

/// What a round knows about preemption.
#[derive(Debug, Default)]
pub(in crate::core::workload::placer) struct PreemptionRound {
    /// Runs that may be stopped, by service; filled when an urgent step first lacks room.
    services: FxHashMap<ServiceId, Preemptible>,
    /// Demand of the claims of each team.
    claimed: FxHashMap<TeamId, Resources>,
}

/// Runs of a service that may be stopped, and the tasks that wait for their room.
#[derive(Debug, Default)]
struct Preemptible {
    vms: FxHashMap<VmKey, PreemptibleVm>,
    /// Room for which steps may still ask for advice.
    unclaimed: Claimable,
    /// Resources that claims may still take, so that no more steps are looked at than can be served.
    claimable: Resources,
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
}

/// Tasks of a step that wait for room.
#[derive(Debug)]
struct StepClaim {
    step: StepKey,
    reservation: Resources,
    tasks: u32,
    /// VMs that may run the step.
    sites: Vec<(VmKey, Site)>,
}

impl Placer {
    /// Returns whether the configuration has an urgent queue and one with a lower priority. Logs a
    /// change of the queues that may preempt others.
    pub(in crate::core::workload::placer) fn is_preemption_enabled(&mut self, cx: &mut Cx) -> bool {
        let queues = cx
            .catalog
            .map(|catalog| preempting_queues(catalog))
            .unwrap_or_default();
        if queues != self.preempting_queues {
            self.preempting_queues = queues;
            cx.log(Decision::PreemptionChanged {
                urgent: self.preempting_queues.clone(),
            });
        }
        !self.preempting_queues.is_empty()
    }

    /// Returns whether a step belongs to an urgent queue.
    pub(in crate::core::workload::placer) fn is_urgent(&self, key: StepKey) -> bool {
        let job = self.registry.jobs.get(&key.job);
        job.is_some_and(|job| job.queue.priority == URGENT_PRIORITY)
    }

    /// Returns whether runs may be stopped for a step: it is urgent, still of use to its caller,
    /// and not a gang, which holds whole VMs instead.
    pub(in crate::core::workload::placer) fn may_preempt(&self, rank: Rank, key: StepKey) -> bool {
        let (priority, timeliness, ..) = rank;
        let job = self.registry.jobs.get(&key.job);
        let is_gang = job.is_some_and(|job| job.spec(key.step).traits.gang);
        priority == URGENT_PRIORITY && timeliness != Timeliness::Overdue && !is_gang
    }

    /// Claims room for which a step that may preempt asks for advice, if the VMs for which it has
    /// tickets have too little. Returns whether room was left for a task.
    pub(in crate::core::workload::placer) fn claim_preemptible_room(
        &self,
        cx: &Cx,
        round: &mut Round,
        key: StepKey,
        spec: &Step,
        service: &ServiceId,
    ) -> bool {
        let Some(step) = self.registry.step(key) else {
            return false;
        };
        self.preemptible(cx, round, service);
        let approved = round.ticketed_room(step, spec, service, cx.now);
        let needed = step.waiting.saturating_sub(approved);
        let preemptible = self.preemptible(cx, round, service);
        needed > 0 && preemptible.unclaimed.claim(spec, needed)
    }

    /// Returns the VMs on which tasks of a step would fit once the runs there have ended that may be
    /// stopped or are being stopped.
    pub(in crate::core::workload::placer) fn preemptible_candidates(
        &self,
        cx: &Cx,
        round: &mut Round,
        key: StepKey,
        spec: &Step,
        service: &ServiceId,
        may_use: impl Fn(&Candidate) -> bool,
    ) -> Vec<Candidate> {
        self.preemptible(cx, round, service);
        let preemptible = &round.preemption.services[service];
        let Some(pool) = round.known_pool(service) else {
            return Vec::new();
        };
        let vms = pool.vms_without_gang().filter(|vm| may_use(vm));
        let vms = vms.cloned().map(|mut vm| {
            vm.free = vm.free.plus(&preemptible.room(vm.vm));
            vm
        });
        self.fitting(vms, key, spec)
    }

    /// Records the tasks of a step that found no room, as far as its team may still use resources.
    pub(in crate::core::workload::placer) fn claim_preemption(
        &mut self,
        cx: &Cx,
        round: &mut Round,
        shares: &FairShares,
        key: StepKey,
    ) {
        let (Some(job), Some(step)) = (self.registry.jobs.get(&key.job), self.registry.step(key))
        else {
            return;
        };
        let (submission, service) = (job.submission.clone(), job.queue.service.clone());
        let spec = &submission.steps[usize::from(key.step)];
        let is_advised = job.queue.advice.is_some();
        if step.waiting == 0 || is_advised && !step.advice.has_ticket(cx.now) {
            return;
        }
        let (waiting, team) = (step.waiting, job.team.clone());
        let preemptible = self.preemptible(cx, round, &service);
        if !preemptible.claimable.holds(&spec.reservation()) {
            return;
        }
        let allowed = self.claimable_tasks(cx, round, shares, team.as_ref(), spec, waiting);
        self.vm_scans += 1;
        let sites = self.claim_sites(cx, round, key, spec, &service, is_advised);
        let slots = |sum: u32, (_, site): &(VmKey, Site)| sum.saturating_add(site.limit);
        let tasks = allowed.min(sites.iter().fold(0, slots));
        if tasks == 0 || !sites.iter().any(|(_, site)| site.may_stop) {
            return;
        }
        let claim = StepClaim {
            step: key,
            reservation: spec.reservation(),
            tasks,
            sites,
        };
        round.preemption.add(&service, team, spec, claim);
    }

    /// Returns the VMs on which tasks of a step fit once runs there have ended.
    ///
    /// A step that needs advice has runs stopped only on VMs for which it has a valid ticket. Room
    /// that is free now on others counts as well, as it may get tickets for them.
    fn claim_sites(
        &self,
        cx: &Cx,
        round: &mut Round,
        key: StepKey,
        spec: &Step,
        service: &ServiceId,
        is_advised: bool,
    ) -> Vec<(VmKey, Site)> {
        let Some(step) = self.registry.step(key) else {
            return Vec::new();
        };
        let may_stop = |vm| !is_advised || step.advice.ticket(vm, cx.now).is_some();
        let is_rejected = |vm: VmKey| step.advice.rejected.contains(&vm);
        let may_use =
            |vm: &Candidate| may_stop(vm.vm) || vm.has_room_for(spec) && !is_rejected(vm.vm);
        let vms = self.preemptible_candidates(cx, round, key, spec, service, may_use);
        let pool = round.pool(service, Vec::new);
        let sites = vms.iter().enumerate().map(|(ix, vm)| {
            let may_stop = may_stop(vm.vm);
            let limit = if may_stop {
                vm.max_tasks(spec)
            } else {
                pool.open_slots(vm.vm, spec)
            };
            let site = Site {
                vm: ix,
                limit,
                may_stop,
            };
            (vm.vm, site)
        });
        sites.collect()
    }

    /// Returns how many of the waiting tasks of a step the cap and the fair share of its team allow,
    /// with those that the team has claimed already.
    fn claimable_tasks(
        &self,
        cx: &Cx,
        round: &Round,
        shares: &FairShares,
        team: Option<&TeamId>,
        spec: &Step,
        waiting: u32,
    ) -> u32 {
        let claimed = team.and_then(|team| round.preemption.claimed.get(team));
        let mut claimed = claimed.copied().unwrap_or(Resources::ZERO);
        let mut tasks = 0;
        while tasks < waiting {
            let is_exhausted = team.is_some_and(|team| {
                shares.is_exhausted(team, &self.usage.running(team).plus(&claimed))
            });
            claimed = claimed.plus(&spec.demand);
            if is_exhausted || !self.usage.allows(cx, team, &claimed) {
                break;
            }
            tasks += 1;
        }
        tasks
    }

    /// Stops runs for the tasks that were claimed in the round so far, and keeps their VMs for
    /// urgent tasks.
    pub(in crate::core::workload::placer) fn preempt(&mut self, cx: &mut Cx, round: &mut Round) {
        for (service, claims) in round.preemption.take_claims() {
            for (claim, vm, task, run) in round.victims(&service, &claims) {
                self.preempt_run(cx, claim, vm, task, &run);
                round.pool(&service, Vec::new).keep_for_urgent(vm);
            }
        }
    }

    /// Stops a run for a claimant.
    fn preempt_run(
        &mut self,
        cx: &mut Cx,
        claim: StepKey,
        vm_key: VmKey,
        task: TaskKey,
        run: &RunView,
    ) {
        let (Some(name), Some(claimant)) = (
            self.registry.task_name(task),
            self.registry.jobs.get(&claim.job),
        ) else {
            return;
        };
        let Some(vm) = self.fleet.vms.get_mut(&vm_key) else {
            return;
        };
        vm.preempted_until = cx.now + cx.options.vms.stop_timeout + HOLD_MARGIN;
        cx.log(Decision::Preempted {
            id: name.job.clone(),
            task: name.to_string().into(),
            run: vm.runs.get(&task).map_or(0, |run| run.number),
            vm: vm.id.clone(),
            claimant: claimant.id.clone(),
            queue: claimant.queue.name.clone(),
            slack_ms: millis(run.slack),
            lost_core_ms: millis(run.age) * u64::from(run.reservation.cpu_milli) / 1_000,
        });
        self.preempted_runs += 1;
        self.order_stop(cx, vm_key, task, "preempted");
    }

    /// Ends the hold of the VMs on which no run is being stopped any more: the round has placed
    /// urgent tasks there.
    pub(in crate::core::workload::placer) fn release_preempted_vms(&mut self, cx: &Cx) {
        for vm in self.fleet.vms.values_mut() {
            let is_held = cx.now < vm.preempted_until;
            if is_held && !vm.runs.values().any(Run::is_stopping) {
                vm.preempted_until = Now::ZERO;
            }
        }
    }

    /// Returns the runs of a service that may be stopped; looks for them if this is the first use.
    fn preemptible<'a>(
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
        for &key in vms {
            let Some(vm) = self.fleet.vms.get(&key) else {
                continue;
            };
            let preemptible = self.preemptible_vm(cx, vm, &mut jobs);
            capacity = capacity.plus(&vm.capacity);
            freeing = freeing.plus(&preemptible.freeing);
            list.unclaimed.add_room(&preemptible.stoppable);
            list.unclaimed.add_room(&preemptible.freeing);
            list.vms.insert(key, preemptible);
        }
        list.budget = preemption::budget(&capacity, &freeing);
        list.claimable = list.budget.plus(&freeing);
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
    fn take_claims(&mut self) -> Vec<(ServiceId, Vec<StepClaim>)> {
        let services = self.services.iter_mut();
        let claims = services
            .filter(|(_, preemptible)| !preemptible.claims.is_empty())
            .map(|(service, preemptible)| (service.clone(), mem::take(&mut preemptible.claims)));
        let mut list: Vec<(ServiceId, Vec<StepClaim>)> = claims.collect();
        list.sort_unstable_by(|(a, _), (b, _)| a.cmp(b));
        list
    }

    /// Adds a claim of a team.
    fn add(&mut self, service: &ServiceId, team: Option<TeamId>, spec: &Step, claim: StepClaim) {
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
    fn ticketed_room(
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
    fn victims(
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
    /// Returns the resources of the runs on a VM that may be stopped or are being stopped.
    fn room(&self, vm: VmKey) -> Resources {
        let vm = self.vms.get(&vm);
        vm.map_or(Resources::ZERO, |vm| vm.stoppable.plus(&vm.freeing))
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

/// Returns the names of the urgent queues; none if there is no queue with a lower priority.
fn preempting_queues(catalog: &Catalog) -> Box<[QueueId]> {
    let is_urgent = |queue: &&Rc<Queue>| queue.priority == URGENT_PRIORITY;
    let queues = &catalog.queues;
    if queues.iter().all(|queue| is_urgent(&queue)) {
        return Box::default();
    }
    let urgent = queues.iter().filter(is_urgent);
    urgent.map(|queue| queue.name.clone()).collect()
}
