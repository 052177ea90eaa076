//! Placement rounds: assigns waiting tasks of ready steps to VMs, in the order of the steps' ranks.

use crate::core::model::Resources;
use crate::core::model::ServiceId;
use crate::core::model::TaskIndex;
use crate::core::workload::cx::Cx;
use crate::core::workload::heartbeat::HeartbeatMonitor;
use crate::core::workload::placer::PENDING_ROUND_INTERVAL;
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::rounds::candidates::Candidate;
use crate::core::workload::placer::rounds::candidates::CandidateList;
use crate::core::workload::placer::rounds::evacuation::MOVE_ROUND_INTERVAL;
use crate::core::workload::placer::rounds::preempt::Among;
use crate::core::workload::placer::rounds::queries::Room;
use crate::core::workload::placer::rounds::rank::Rank;
use crate::core::workload::placer::rounds::round::Round;
use crate::core::workload::placer::state::fleet::VmKey;
use crate::core::workload::placer::state::job_registry::Placement;
use crate::core::workload::placer::state::job_registry::StepKey;
use crate::core::workload::placer::state::job_registry::TaskKey;
use crate::core::workload::policy::crashes::Caution;
use crate::core::workload::policy::wait_reasons::WaitReason;
use crate::core::workload::submission::Step;

/// Start of a task that a round has planned.
#[derive(Clone, Copy, Debug)]
pub(in crate::core::workload::placer) struct PlannedStart {
    /// Index of the task in its step.
    pub index: TaskIndex,
    pub vm: VmKey,
    pub caution: Caution,
}

impl Placer {
    /// Runs a placement round if one is due.
    ///
    /// Steps of teams that have used up their fair share are placed after all others.
    pub(in crate::core::workload::placer) fn run_round(
        &mut self,
        cx: &mut Cx,
        heartbeats: &HeartbeatMonitor,
    ) {
        let due = self.next_round_at.is_some_and(|at| cx.now >= at);
        if !due || cx.now < self.earliest_round_at(cx) {
            return;
        }
        self.next_round_at = None;
        self.last_round_at = cx.now;
        self.round_timer.begin();
        self.work.rounds += 1;
        self.reconcile_kept_runs(cx);
        self.retry_stops(cx);
        self.count_recent_losses(cx.now);
        self.count_inherited_tasks();
        self.count_unread_runs(cx);
        let steps = self.ready_steps(cx);
        self.record_inherited_waits(cx);
        if steps.is_empty() && cx.evacuation.is_empty() {
            return;
        }
        if self.suspends_starts(cx) {
            return self.schedule_round(cx.now + PENDING_ROUND_INTERVAL);
        }
        let has_waiting_tasks = !steps.is_empty();
        let shares = self.fair_shares(cx, steps.iter().map(|(_, key)| key));
        let preempts = self.is_preemption_enabled(cx);
        let forwarders = self.forwarders.availability(cx, heartbeats);
        let mut round = Round::new(heartbeats, forwarders);
        let mut over_share = Vec::new();
        for (rank, key) in steps {
            if self.is_over_share(&shares, key) {
                over_share.push(key);
                continue;
            }
            // Runs are stopped before steps of a lower priority are placed, as these would take the room
            // beside the victims.
            if !self.is_urgent(key) {
                self.preempt(cx, &mut round);
            }
            let may_preempt = preempts && self.may_preempt(rank, key);
            let reason = self.place_step(cx, &mut round, key, may_preempt);
            self.record_wait(cx, key, reason);
            if may_preempt {
                self.claim_preemption(cx, &mut round, &shares, key);
            }
        }
        self.preempt(cx, &mut round);
        for key in over_share {
            let reason = self.place_step(cx, &mut round, key, false);
            let reason = match reason {
                WaitReason::Room | WaitReason::AdviceClaims => WaitReason::Share,
                other => other,
            };
            self.record_wait(cx, key, reason);
        }
        self.release_preempted_vms(cx);
        let has_moves = self.move_out_of_zones(cx, &mut round);
        if has_waiting_tasks {
            self.schedule_round(cx.now + PENDING_ROUND_INTERVAL);
        } else if has_moves {
            self.schedule_round(cx.now + MOVE_ROUND_INTERVAL);
        }
    }

    /// Charges the caps of teams with the tasks that an earlier placer may have started, until the
    /// placer is settled.
    fn count_inherited_tasks(&mut self) {
        self.usage.clear_inherited();
        if self.settled {
            return;
        }
        let inherited = self
            .registry
            .active_jobs()
            .filter(|(_, job)| job.version <= self.grant_version);
        for (_, job) in inherited {
            let steps = job
                .occurrences
                .values()
                .flat_map(|steps| steps.iter().zip(&job.submission.steps));
            for (step, spec) in steps.filter(|(step, _)| step.ready_at.is_some()) {
                let demand = spec.demand.times(step.waiting);
                self.usage.add_inherited(job.team.as_ref(), &demand);
            }
        }
    }

    /// Records the wait of the steps that are not placed until the placer is settled.
    fn record_inherited_waits(&mut self, cx: &mut Cx) {
        if self.settled {
            return;
        }
        let jobs = self.registry.active_jobs();
        let inherited = jobs.filter(|(_, job)| job.version <= self.grant_version);
        let steps: Vec<StepKey> = inherited
            .flat_map(|(key, job)| job.ready_steps(key))
            .collect();
        for key in steps {
            self.record_wait(cx, key, WaitReason::Settling);
        }
    }

    /// Returns the ready steps with waiting tasks, in rank order.
    ///
    /// Jobs accepted before the role was granted are left out until the placer is settled, as an
    /// earlier placer may have started their tasks.
    fn ready_steps(&self, cx: &Cx) -> Vec<(Rank, StepKey)> {
        let mut list = Vec::new();
        for (job_key, job) in self.registry.active_jobs() {
            let inherited = job.version <= self.grant_version;
            if inherited && !self.settled {
                continue;
            }
            let mut ready = job.ready_steps(job_key).peekable();
            if ready.peek().is_some() {
                let rank = job.rank(job_key, cx.unix_time);
                list.extend(ready.map(|key| (rank, key)));
            }
        }
        list.sort_unstable();
        list
    }

    /// Starts waiting tasks of a step on the VMs that have room; asks for the advice that it needs,
    /// also on VMs whose runs may be stopped for it if it may preempt. Returns why the remaining
    /// tasks wait, if there are any.
    fn place_step(
        &mut self,
        cx: &mut Cx,
        round: &mut Round,
        key: StepKey,
        may_preempt: bool,
    ) -> WaitReason {
        let Some(job) = self.registry.jobs.get(&key.job) else {
            return WaitReason::Room;
        };
        let (submission, queue) = (job.submission.clone(), job.queue.clone());
        let (service, priority) = (&queue.service, queue.priority);
        let is_advised = queue.advice.is_some();
        let spec = &submission.steps[usize::from(key.step)];
        if !self.usage.allows(cx, job.team.as_ref(), &spec.demand) {
            return WaitReason::Cap;
        }
        if is_advised && !round.may_query(priority) && !self.has_use_for_round(cx, key, spec) {
            return self.reason_without_ticket(round, key, priority);
        }
        self.work.steps_examined += 1;
        if self.is_held(cx.now, key) {
            return WaitReason::CrashHold;
        }
        if spec.traits.gang {
            return self.place_gang(cx, round, key, spec, service, is_advised);
        }
        // VMs that are cleared for tasks that are to run alone have no room for other steps.
        let has_lone_tasks = self.has_lone_tasks(cx.now, key);
        let is_unmet = !has_lone_tasks && round.is_unmet(service, spec);
        if is_unmet && !(may_preempt && is_advised) {
            return WaitReason::Room;
        }
        let room = if is_unmet {
            Room::Preemptible
        } else if may_preempt {
            Room::Any
        } else {
            Room::Free
        };
        let asks = is_advised && self.may_ask(cx, round, key, spec, service, room);
        if is_unmet && !asks {
            return WaitReason::Room;
        }
        if is_advised && !asks {
            let pool = round.pool(service, || self.open_vms(cx, service));
            if !pool.has_room_for(spec) {
                round.record_unmet(service, spec);
                return WaitReason::Room;
            }
            if self.has_ticket(cx, key) {
                let candidates = self.ticketed_candidates(cx, pool, key, spec);
                self.start_on(cx, round, key, spec, service, &candidates);
            }
            return self.reason_without_ticket(round, key, priority);
        }
        let mut candidates = Vec::new();
        if !is_unmet {
            self.work.vm_scans += 1;
            let pool = round.pool(service, || self.open_vms(cx, service));
            candidates = self.candidates(cx, pool, key, spec);
        }
        let has_room = !candidates.is_empty();
        if !has_room && spec.max_per_vm == 0 {
            round.record_unmet(service, spec);
        }
        if asks {
            // Tickets for VMs that have room now are of use at once.
            if may_preempt && !has_room {
                self.work.vm_scans += 1;
                let usable =
                    self.preemptible_candidates(cx, round, key, spec, service, Among::AllVms);
                self.query_advice(cx, round, key, spec, &usable);
            } else {
                self.query_advice(cx, round, key, spec, &candidates);
            }
        }
        if is_advised {
            let step = self.registry.step(key);
            candidates.retain(|candidate| {
                step.is_some_and(|step| step.advice.ticket(candidate.vm, cx.now).is_some())
            });
        }
        self.start_on(cx, round, key, spec, service, &candidates);
        if is_advised && has_room {
            return self.reason_without_ticket(round, key, priority);
        }
        WaitReason::Room
    }

    /// Returns whether a step that needs advice, and cannot ask for it, may start tasks or hold VMs.
    fn has_use_for_round(&self, cx: &Cx, key: StepKey, spec: &Step) -> bool {
        if spec.traits.gang {
            let step = self.registry.step(key);
            return step.is_some_and(|step| step.advice.has_approvals());
        }
        self.has_ticket(cx, key)
    }

    /// Starts waiting tasks of a step on some of the candidates.
    fn start_on(
        &mut self,
        cx: &mut Cx,
        round: &mut Round,
        key: StepKey,
        spec: &Step,
        service: &ServiceId,
        candidates: &[Candidate],
    ) {
        if candidates.is_empty() {
            return;
        }
        let planned = self.plan_tasks(cx, key, spec, candidates.iter().cloned());
        self.clear_vms(cx, round, key, service, candidates, &planned);
        for start in planned {
            let task = TaskKey {
                step: key,
                index: start.index,
            };
            let run = self.next_run_number(task);
            self.start_task(cx, task, start, run);
            let pool = round.pool(service, Vec::new);
            pool.reserve(start.vm, spec);
        }
    }

    /// Plans starts for as many waiting tasks of a step as the candidates and the team's cap allow.
    pub(in crate::core::workload::placer) fn plan_tasks(
        &self,
        cx: &Cx,
        key: StepKey,
        spec: &Step,
        candidates: impl Iterator<Item = Candidate>,
    ) -> Vec<PlannedStart> {
        let (Some(job), Some(step)) = (self.registry.jobs.get(&key.job), self.registry.step(key))
        else {
            return Vec::new();
        };
        // The tasks of a gang start together, so the most suspect one decides for all.
        let gang_caution = spec.traits.gang.then(|| self.step_caution(cx.now, key));
        let mut candidates = CandidateList::new(candidates, spec);
        let mut lone_slots = None;
        let mut planned = Vec::new();
        let mut requested = Resources::ZERO;
        let waiting = (0..).zip(&step.tasks);
        let waiting = waiting.filter(|(_, task)| task.placement == Placement::Waiting);
        for (index, task) in waiting {
            let next = requested.plus(&spec.demand);
            if !self.usage.allows(cx, job.team.as_ref(), &next) {
                break;
            }
            let caution = gang_caution.unwrap_or_else(|| task.caution(cx.now));
            if caution == Caution::Hold {
                continue;
            }
            let vm = if caution == Caution::Alone && gang_caution.is_none() {
                let slots =
                    lone_slots.get_or_insert_with(|| self.free_lone_slots(&job.queue.service));
                let vm = (*slots > 0).then(|| candidates.reserve_clear()).flatten();
                let Some(vm) = vm else {
                    continue;
                };
                *slots -= 1;
                vm
            } else {
                // Members of a gang may share a VM, as they crash and end together anyway.
                let apart = if gang_caution.is_some() {
                    Caution::None
                } else {
                    caution
                };
                let Some(vm) = candidates.reserve_best(apart) else {
                    break;
                };
                vm
            };
            requested = next;
            planned.push(PlannedStart { index, vm, caution });
        }
        planned
    }
}
