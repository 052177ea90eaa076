//! Preemption: stops runs of other queues for urgent tasks that found no room in a round.
//!
//! The VMs' runs are looked at once in a round, and only if an urgent step was left without room.

use std::rc::Rc;
use std::time::Duration;

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
use crate::core::workload::placer::rounds::preemptible::StepClaim;
use crate::core::workload::placer::rounds::rank::Rank;
use crate::core::workload::placer::rounds::round::Round;
use crate::core::workload::placer::state::fleet::VmKey;
use crate::core::workload::placer::state::job_registry::StepKey;
use crate::core::workload::placer::state::job_registry::TaskKey;
use crate::core::workload::placer::state::run::Run;
use crate::core::workload::policy::preemption::RunView;
use crate::core::workload::policy::preemption::Site;
use crate::core::workload::policy::shares::FairShares;
use crate::core::workload::policy::timeliness::Timeliness;
use crate::core::workload::submission::Step;

/// VMs that are considered for a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::core::workload::placer) enum Among {
    AllVms,
    /// Those for which the step has a valid ticket.
    Ticketed,
}

/// Time beyond the longest stop for which a VM is kept for urgent tasks.
const HOLD_MARGIN: Duration = Duration::from_millis(300);

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
        let (order, _) = rank;
        let job = self.registry.jobs.get(&key.job);
        let is_gang = job.is_some_and(|job| job.spec(key.step).traits.gang);
        order.priority == URGENT_PRIORITY && order.timeliness != Timeliness::Overdue && !is_gang
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
        among: Among,
    ) -> Vec<Candidate> {
        self.preemptible(cx, round, service);
        let preemptible = &round.preemption.services[service];
        let (Some(pool), Some(step)) = (round.known_pool(service), self.registry.step(key)) else {
            return Vec::new();
        };
        let vms: Vec<&Candidate> = match among {
            Among::AllVms => pool.vms_without_gang().collect(),
            Among::Ticketed => pool.ticketed_without_gang(&step.advice, cx.now),
        };
        let vms = vms.into_iter();
        let vms = vms.map(|vm| (vm, vm.free.plus(&preemptible.room(vm.vm))));
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
        &mut self,
        cx: &Cx,
        round: &mut Round,
        key: StepKey,
        spec: &Step,
        service: &ServiceId,
        is_advised: bool,
    ) -> Vec<(VmKey, Site)> {
        let among = if is_advised {
            Among::Ticketed
        } else {
            self.work.vm_scans += 1;
            Among::AllVms
        };
        let vms = self.preemptible_candidates(cx, round, key, spec, service, among);
        let stoppable = vms.iter().map(|vm| (vm.vm, vm.max_tasks(spec), true));
        let mut sites: Vec<(VmKey, u32, bool)> = stoppable.collect();
        if is_advised && !round.is_unmet(service, spec) {
            self.work.vm_scans += 1;
            let step = self.registry.step(key);
            let may_get_ticket = |vm: &Candidate| {
                step.is_some_and(|step| {
                    step.advice.ticket(vm.vm, cx.now).is_none()
                        && !step.advice.rejected.contains(&vm.vm)
                })
            };
            let pool = round.pool(service, Vec::new);
            let with_room = pool
                .vms_without_gang()
                .filter(|vm| vm.has_room_for(spec) && may_get_ticket(vm));
            sites.extend(with_room.map(|vm| (vm.vm, vm.max_tasks(spec), false)));
            sites.sort_unstable_by_key(|(vm, ..)| *vm);
        }
        let sites = (0..).zip(sites).map(|(ix, (key, limit, may_stop))| {
            let site = Site {
                vm: ix,
                limit,
                may_stop,
            };
            (key, site)
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
