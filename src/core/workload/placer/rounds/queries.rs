//! Advice queries of a placement round: which steps ask, about which VMs, and the answers.

use std::rc::Rc;
use std::time::Duration;

use crate::core::model::Now;
use crate::core::model::ServiceId;
use crate::core::model::VmId;
use crate::core::workload::cx::Cx;
use crate::core::workload::decision::Decision;
use crate::core::workload::event::AdviceQuery;
use crate::core::workload::event::AdvisedVm;
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::rounds::candidates::Candidate;
use crate::core::workload::placer::rounds::gang::slots;
use crate::core::workload::placer::rounds::round::Pool;
use crate::core::workload::placer::rounds::round::Round;
use crate::core::workload::placer::state::fleet::VmKey;
use crate::core::workload::placer::state::job_registry::JobKey;
use crate::core::workload::placer::state::job_registry::StepKey;
use crate::core::workload::placer::state::job_registry::StepProgress;
use crate::core::workload::policy::wait_reasons::WaitReason;
use crate::core::workload::submission::Step;

/// Number of task slots for which advice is requested per waiting task, as the advice service
/// rejects some VMs.
const ADVICE_OVERSAMPLING: u32 = 3;

/// Minimum number of VMs in an advice query, if there are that many candidates. It does not apply
/// to a query that only renews the tickets of VMs approved before.
const MIN_ADVICE_VMS: u32 = 8;

/// Slowness above which a VM is queried for advice only after faster ones. Slowness is the natural
/// logarithm of the run time relative to other VMs.
const SLOWNESS_THRESHOLD: f64 = 0.08;

/// Delay before a failed advice query is repeated.
const ADVICE_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Room on which a step asks for advice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::core::workload::placer) enum Room {
    Free,
    /// Free room, otherwise that of runs that may be stopped.
    Any,
    /// The room of runs that may be stopped.
    Preemptible,
}

impl Placer {
    /// Handles the answer to an advice query.
    pub(in crate::core::workload::placer) fn handle_advice(
        &mut self,
        cx: &mut Cx,
        query: &AdviceQuery,
        result: Result<Vec<AdvisedVm>, Box<str>>,
    ) {
        self.forwarders.finish(query, result.is_err(), cx.now);
        self.schedule_round(cx.now);
        let Some(job_key) = self.registry.key(&query.job) else {
            return;
        };
        let key = StepKey {
            job: job_key,
            occurrence: query.occurrence,
            step: query.step,
        };
        let timing = self
            .registry
            .jobs
            .get(&job_key)
            .and_then(|job| job.queue.advice);
        let vms: Vec<(VmId, Option<VmKey>)> = query
            .vms
            .iter()
            .map(|id| (id.clone(), self.fleet.key(id)))
            .collect();
        self.count_answer(job_key, result.as_ref().ok().map(Vec::len));
        let (Some(step), Some(timing)) = (self.registry.step_mut(key), timing) else {
            return;
        };
        step.advice.asked = None;
        step.gang.search_at = cx.now;
        match result {
            Ok(approved) => {
                let count = u32::try_from(vms.len()).unwrap_or(u32::MAX);
                let decided_at = query.sent + timing.base_latency + timing.latency_per_vm * count;
                for (id, vm) in vms {
                    let ticket = approved.iter().find(|advised| advised.vm == id);
                    let ticket = ticket.map(|advised| advised.ticket.clone());
                    if let Some(vm) = vm {
                        step.advice.record(vm, ticket, decided_at, &timing);
                    }
                }
            }
            Err(reason) => {
                step.advice.retry_at = cx.now + ADVICE_RETRY_DELAY;
                let forwarder = query.forwarder.clone().unwrap_or_default();
                cx.log(Decision::AdviceFailed {
                    id: query.job.clone(),
                    step: query.step,
                    helper: forwarder,
                    reason,
                });
            }
        }
    }

    /// Counts the answer to a query for a job, with the number of approved VMs; `None` if it failed.
    fn count_answer(&mut self, job: JobKey, approved: Option<usize>) {
        let Some(job) = self.registry.jobs.get(&job) else {
            return;
        };
        let counts = self.advice_use.queue(&job.queue.name);
        match approved {
            Some(approved) => counts.vms_approved += approved as u64,
            None => counts.failures += 1,
        }
    }

    /// Returns whether a step may ask for advice in this round: it needs more VMs than it has
    /// tickets for, and the steps before it leave room. Claims that room, also for a query that is
    /// in flight.
    pub(in crate::core::workload::placer) fn may_ask(
        &self,
        cx: &Cx,
        round: &mut Round,
        key: StepKey,
        spec: &Step,
        service: &ServiceId,
        room: Room,
    ) -> bool {
        let (Some(job), Some(step)) = (self.registry.jobs.get(&key.job), self.registry.step(key))
        else {
            return false;
        };
        let pool = round.pool(service, || self.open_vms(cx, service));
        // Runs of a step with a limit per VM occupy VMs that its tickets name.
        let approved = if spec.max_per_vm == 0 {
            step.advice.open_slots(pool, spec, cx.now)
        } else {
            0
        };
        if let Some(vms) = &step.advice.asked {
            pool.record_asked(vms);
        }
        let needed = step.waiting.saturating_sub(approved);
        // Room that no single VM has for a task is of no use to the step.
        let may_claim = match room {
            Room::Free => needed > 0 && self.may_use_room(cx, pool, key, spec),
            Room::Any => needed > 0,
            Room::Preemptible => false,
        };
        let mut has_claim = may_claim && pool.claim(spec, needed);
        let has_spare = || self.forwarders.has_spare(round.heartbeats);
        if room != Room::Free && needed > 0 && !has_claim && has_spare() {
            has_claim = self.claim_preemptible_room(cx, round, key, spec, service);
        }
        has_claim && round.may_query(job.queue.priority) && step.advice.can_query(cx.now)
    }

    /// Returns whether a step may run a task on any of the VMs with room. One that may not has no use for
    /// their room, however long it waits.
    fn may_use_room(&self, cx: &Cx, pool: &Pool, key: StepKey, spec: &Step) -> bool {
        let advice = self.registry.step(key).map(|step| &step.advice);
        let is_limited = !spec.required_label.is_empty() || spec.max_per_vm > 0;
        if !is_limited && advice.is_none_or(|advice| advice.rejected.is_empty()) {
            return true;
        }
        let is_rejected = |vm| advice.is_some_and(|advice| advice.is_rejected(vm));
        let vms = pool.vms().iter().filter(|vm| !is_rejected(vm.vm));
        self.visible_vms(cx, vms, key)
            .any(|vm| self.fits(vm, key, spec))
    }

    /// Returns whether a step has a valid ticket for any VM.
    pub(in crate::core::workload::placer) fn has_ticket(&self, cx: &Cx, key: StepKey) -> bool {
        let step = self.registry.step(key);
        step.is_some_and(|step| step.advice.has_ticket(cx.now))
    }

    /// Returns why a step that needs advice waits beside VMs with room.
    pub(in crate::core::workload::placer) fn reason_without_ticket(
        &self,
        round: &Round,
        key: StepKey,
        priority: u32,
    ) -> WaitReason {
        let step = self.registry.step(key);
        if step.is_some_and(|step| step.advice.asked.is_some()) {
            WaitReason::Advice
        } else if !round.may_query(priority) {
            WaitReason::AdviceDaemons
        } else if step.is_some_and(|step| step.advice.has_answers()) {
            WaitReason::Approval
        } else {
            WaitReason::AdviceClaims
        }
    }

    /// Sends an advice query if the VMs with valid tickets have no room for all waiting tasks.
    pub(in crate::core::workload::placer) fn query_advice(
        &mut self,
        cx: &mut Cx,
        round: &mut Round,
        key: StepKey,
        spec: &Step,
        candidates: &[Candidate],
    ) {
        let Some(job) = self.registry.jobs.get(&key.job) else {
            return;
        };
        let service = job.queue.service.clone();
        let (Some(timing), Some(step)) = (job.queue.advice, self.registry.step(key)) else {
            return;
        };
        let id = job.id.clone();
        let Some(vms) = vms_to_query(cx, spec, step, candidates) else {
            return;
        };
        let priority = job.queue.priority;
        let Some(forwarder) = self.forwarders.least_busy(cx, round.heartbeats, priority) else {
            return;
        };
        let counts = self.advice_use.queue(&job.queue.name);
        counts.queries += 1;
        counts.vms_asked += vms.len() as u64;
        let again = vms.iter().filter(|&&vm| step.advice.is_approved(vm));
        counts.vms_asked_again += again.count() as u64;
        if let Some(since) = self.forwarders.free_since(forwarder.0.as_ref()) {
            self.advice_use.end_idle(since, cx.now);
        }
        let pool = round.pool(&service, Vec::new);
        pool.record_asked(&vms);
        let ids = vms.iter();
        let ids = ids.filter_map(|vm| Some(self.fleet.vms.get(vm)?.id.clone()));
        let ids: Rc<[VmId]> = ids.collect();
        if let Some(step) = self.registry.step_mut(key) {
            step.advice.asked = Some(vms.into());
            step.advice.asked_at = cx.now;
        }
        let job = (&*id, priority);
        self.forwarders.send(cx, forwarder, key, job, ids, &timing);
        round.forwarders = self.forwarders.availability(cx, round.heartbeats);
    }
}

/// Returns the VMs to query advice for, the best first.
///
/// VMs that were approved before and whose tickets have expired come first, and their slots are not
/// oversampled. VMs that are not slow come next, first those on which fewer other steps wait for
/// advice, as these would take the same room. Returns `None` if the VMs with valid tickets have
/// room for all waiting tasks or if no other VM is left.
///
/// A gang needs all its tickets at the same time. Tickets that are renewed one by one may expire as
/// fast as they are renewed, so that a query for a gang names VMs for all its tasks once enough VMs are
/// approved. Until then it names only VMs that are not, whose answers are of lasting use.
fn vms_to_query(
    cx: &Cx,
    spec: &Step,
    step: &StepProgress,
    candidates: &[Candidate],
) -> Option<Vec<VmKey>> {
    let now: Now = cx.now;
    let has_ticket = |candidate: &Candidate| step.advice.ticket(candidate.vm, now).is_some();
    let is_approved = |candidate: &Candidate| step.advice.is_approved(candidate.vm);
    let ticketed = slots(candidates.iter().filter(|vm| has_ticket(vm)), spec);
    if ticketed >= step.waiting {
        return None;
    }
    let is_gang = spec.traits.gang;
    let approved = slots(candidates.iter().filter(|vm| is_approved(vm)), spec);
    let lacks_approvals = is_gang && approved < step.waiting;
    let may_ask = |candidate: &&Candidate| {
        let is_of_use = if lacks_approvals {
            !is_approved(candidate)
        } else {
            is_gang || !has_ticket(candidate)
        };
        is_of_use && !step.advice.is_rejected(candidate.vm)
    };
    let is_slow = |candidate: &Candidate| {
        !spec.traits.long_running && candidate.slowness > SLOWNESS_THRESHOLD
    };
    let ranks = candidates.iter().filter(may_ask).map(|candidate| {
        let fits = std::cmp::Reverse(candidate.max_tasks(spec));
        let is_new = !is_approved(candidate);
        (
            is_new,
            has_ticket(candidate),
            is_slow(candidate),
            candidate.asked,
            fits,
            candidate.vm,
        )
    });
    let mut ranks: Vec<_> = ranks.collect();
    if ranks.is_empty() {
        return None;
    }
    let max_new_vms = cx.options.vms.max_advice_vms;
    let max_vms = if is_gang {
        cx.options.vms.max_gang_advice_vms
    } else {
        max_new_vms
    };
    if ranks.len() > max_vms {
        ranks.select_nth_unstable(max_vms);
        ranks.truncate(max_vms);
    }
    ranks.sort_unstable();
    let mut list = Vec::with_capacity(ranks.len());
    let mut slots = 0_u32;
    let needed = if is_gang {
        step.waiting
    } else {
        step.waiting - ticketed
    };
    for (is_new, _, _, _, std::cmp::Reverse(tasks), vm) in ranks {
        if is_new && list.len() >= max_new_vms {
            break;
        }
        let weight = if is_new { 1 } else { ADVICE_OVERSAMPLING };
        slots = slots.saturating_add(tasks.saturating_mul(weight));
        list.push(vm);
        let enough_slots = slots >= needed.saturating_mul(ADVICE_OVERSAMPLING);
        let enough_vms = !is_new || list.len() >= MIN_ADVICE_VMS as usize;
        if enough_slots && enough_vms {
            break;
        }
    }
    Some(list)
}
