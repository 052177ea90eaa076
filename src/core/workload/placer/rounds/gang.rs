//! Placement of gangs, whose tasks start together or not at all.
//!
//! A gang needs room on several VMs at the same time. Smaller tasks that are placed one by one take
//! the room of each VM as it becomes free, so that a gang would wait until there is little other
//! work. A waiting gang therefore holds as many VMs as it needs: steps behind it are not placed there
//! until the runs on them have ended and the gang has started.

use std::cmp::Reverse;
use std::time::Duration;

use crate::core::model::Now;
use crate::core::model::ServiceId;
use crate::core::model::TaskIndex;
use crate::core::workload::cx::Cx;
use crate::core::workload::cx::millis;
use crate::core::workload::decision::Decision;
use crate::core::workload::decision::GangRoom;
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::rounds::advice::StepAdvice;
use crate::core::workload::placer::rounds::candidates::Candidate;
use crate::core::workload::placer::rounds::dispatch::PlannedStart;
use crate::core::workload::placer::rounds::round::Pool;
use crate::core::workload::placer::rounds::round::Round;
use crate::core::workload::placer::state::fleet::VmKey;
use crate::core::workload::placer::state::job_registry::Placement;
use crate::core::workload::placer::state::job_registry::StepKey;
use crate::core::workload::placer::state::job_registry::TaskKey;
use crate::core::workload::policy::crashes::Caution;
use crate::core::workload::policy::wait_reasons::WaitReason;
use crate::core::workload::submission::Step;

/// Interval of searches for room for a gang, unless advice for it is answered. The rounds between hold
/// the VMs that the last search has chosen.
const SEARCH_INTERVAL: Duration = Duration::from_millis(60);

/// Interval at which the room that a waiting gang finds is logged.
const LOG_INTERVAL: Duration = Duration::from_secs(2);

/// Last search for room for a gang.
#[derive(Debug, Default)]
pub(in crate::core::workload::placer) struct GangSearch {
    /// Time of the next search.
    pub search_at: Now,
    /// VMs that are held for the gang.
    pub held: Vec<VmKey>,
    /// Why the last search found no room; `None` before the first.
    reason: Option<WaitReason>,
    /// When the room that the gang finds was logged last, or was first looked for.
    logged_at: Option<Now>,
}

impl Placer {
    /// Starts a gang if the VMs have room for all its tasks; otherwise asks for the advice that it
    /// needs, and holds VMs for it. Returns why it waits, if it does.
    pub(in crate::core::workload::placer) fn place_gang(
        &mut self,
        cx: &mut Cx,
        round: &mut Round,
        key: StepKey,
        spec: &Step,
        service: &ServiceId,
        is_advised: bool,
    ) -> WaitReason {
        let Some(step) = self.registry.step(key) else {
            return WaitReason::GangRoom;
        };
        // Tasks of the last run may not have ended yet.
        let caution = self.step_caution(cx.now, key);
        if step.waiting < spec.count {
            return WaitReason::GangMembers;
        }
        if caution == Caution::Hold {
            return WaitReason::CrashHold;
        }
        let pool = round.pool(service, || self.open_vms(cx, service));
        if cx.now < step.gang.search_at {
            pool.hold(&step.gang.held);
            return step.gang.reason.unwrap_or(WaitReason::GangRoom);
        }
        self.work.vm_scans += 1;
        let mut open = self.candidates(cx, pool, key, spec);
        let mut usable = self.drained_candidates(cx, pool, key, spec);
        let held_before = pool.held_count();
        if is_advised {
            self.ask_for_gang(cx, round, key, spec, service, &open, &usable);
        }
        let Some(step) = self.registry.step(key) else {
            return WaitReason::GangRoom;
        };
        let mut room = GangRoom {
            held_before,
            ..count_room(&step.advice, spec, &open, &usable)
        };
        if is_advised {
            open.retain(|vm| step.advice.ticket(vm.vm, cx.now).is_some());
            usable.retain(|vm| step.advice.is_approved(vm.vm));
        }
        room.ticketed = slots(open.iter(), spec);
        if caution == Caution::Alone {
            open.retain(|vm| vm.is_clear);
        }
        let planned = self.plan_gang(cx, key, spec, &open);
        if planned.is_empty() {
            let pool = round.pool(service, Vec::new);
            let held = hold_vms(pool, spec, usable);
            room.held = pool.held_count() - held_before;
            return self.record_gang_wait(cx, key, spec, is_advised, held, room);
        }
        let run = self.gang_run_number(key);
        for start in planned {
            let task = TaskKey {
                step: key,
                index: start.index,
            };
            self.start_task(cx, task, start, run);
            round.pool(service, Vec::new).reserve(start.vm, spec);
        }
        WaitReason::GangRoom
    }

    /// Records a search that has found no room for a gang, and returns why. Logs the room once in a
    /// while.
    fn record_gang_wait(
        &mut self,
        cx: &mut Cx,
        key: StepKey,
        spec: &Step,
        is_advised: bool,
        held: Vec<VmKey>,
        room: GangRoom,
    ) -> WaitReason {
        let Some(job) = self.registry.jobs.get(&key.job) else {
            return WaitReason::GangRoom;
        };
        let (id, queue) = (job.id.clone(), job.queue.name.clone());
        let demand = spec.demand.times(spec.count);
        let is_capped = !self.usage.allows(cx, job.team.as_ref(), &demand);
        let timeliness = job.timeliness(cx.unix_time);
        let Some(step) = self.registry.step_mut(key) else {
            return WaitReason::GangRoom;
        };
        let advice = &step.advice;
        let reason = if is_capped {
            WaitReason::Cap
        } else if room.open < spec.count || room.ticketed >= spec.count {
            WaitReason::GangRoom
        } else if is_advised && advice.asked.is_some() {
            WaitReason::Advice
        } else if is_advised && room.open_approved < spec.count {
            WaitReason::Approval
        } else {
            WaitReason::GangTickets
        };
        let logged_at = step.gang.logged_at.unwrap_or(cx.now);
        let is_due = cx.now >= logged_at + LOG_INTERVAL;
        let asked_ms = advice.asked.as_ref().map(|_| advice.asked_at);
        let asked_ms = asked_ms.map(|at| millis(cx.now.saturating_sub(at)));
        step.gang = GangSearch {
            search_at: cx.now + SEARCH_INTERVAL,
            held,
            reason: Some(reason),
            logged_at: Some(if is_due { cx.now } else { logged_at }),
        };
        if is_due {
            cx.log(Decision::GangWaits {
                id,
                queue,
                step: key.step,
                tasks: spec.count,
                reason,
                timeliness,
                room,
                asked_ms,
            });
        }
        reason
    }

    /// Asks about the VMs that have room now if the gang may fit there; otherwise, while too few VMs
    /// are known that may run it, about others.
    #[allow(clippy::too_many_arguments)]
    fn ask_for_gang(
        &mut self,
        cx: &mut Cx,
        round: &mut Round,
        key: StepKey,
        spec: &Step,
        service: &ServiceId,
        open: &[Candidate],
        usable: &[Candidate],
    ) {
        let (Some(job), Some(step)) = (self.registry.jobs.get(&key.job), self.registry.step(key))
        else {
            return;
        };
        let pool = round.pool(service, Vec::new);
        if let Some(vms) = &step.advice.asked {
            return pool.record_asked(vms);
        }
        let is_approved = |vm: &&Candidate| step.advice.is_approved(vm.vm);
        let is_known = slots(usable.iter().filter(is_approved), spec) >= spec.count;
        let is_rejected = |vm: &&Candidate| step.advice.rejected.contains(&vm.vm);
        let may_fit = slots(open.iter().filter(|vm| !is_rejected(vm)), spec) >= spec.count;
        let asked: Vec<Candidate> = if may_fit {
            open.to_vec()
        } else if !is_known {
            let unknown = usable.iter().filter(|vm| !is_approved(vm));
            unknown.cloned().collect()
        } else {
            return;
        };
        if round.may_query(job.queue.priority) && step.advice.can_query(cx.now) {
            self.query_advice(cx, round, key, spec, &asked);
        }
    }

    /// Plans starts for all tasks of a gang, or none. Prefers a single rack if the step has
    /// `same_rack` set.
    fn plan_gang(
        &self,
        cx: &Cx,
        key: StepKey,
        spec: &Step,
        candidates: &[Candidate],
    ) -> Vec<PlannedStart> {
        let Some(step) = self.registry.step(key) else {
            return Vec::new();
        };
        if step
            .tasks
            .iter()
            .any(|task| task.placement != Placement::Waiting)
        {
            return Vec::new();
        }
        let mut racks: Vec<&str> = candidates
            .iter()
            .map(|candidate| &*candidate.rack)
            .collect();
        racks.sort_unstable();
        racks.dedup();
        if spec.traits.same_rack {
            for rack in racks {
                let on_rack = candidates
                    .iter()
                    .filter(|candidate| &*candidate.rack == rack);
                let planned = self.plan_tasks(cx, key, spec, on_rack.cloned());
                if planned.len() == step.tasks.len() {
                    return planned;
                }
            }
        }
        let planned = self.plan_tasks(cx, key, spec, candidates.iter().cloned());
        if planned.len() == step.tasks.len() {
            planned
        } else {
            Vec::new()
        }
    }

    /// Returns the run number that all members of a gang share.
    fn gang_run_number(&self, key: StepKey) -> u64 {
        let count = self.registry.step(key).map_or(0, |step| step.tasks.len());
        let members = (0..count).map(|index| TaskKey {
            step: key,
            index: TaskIndex::try_from(index).unwrap_or(0),
        });
        let waiting = |task: &TaskKey| {
            self.registry
                .task(*task)
                .is_some_and(|task| task.placement == Placement::Waiting)
        };
        let all: Vec<TaskKey> = members.collect();
        let started = all.iter().find(|task| !waiting(task));
        match started.and_then(|task| self.registry.task(*task)) {
            Some(member) => member.run,
            None => all
                .into_iter()
                .map(|task| self.next_run_number(task))
                .max()
                .unwrap_or(1),
        }
    }
}

/// Holds VMs for a gang: the ones with the most free room, so that they stay the same until all have
/// room. Holds none if the gang does not fit on them, or if too many are held already. Returns the VMs
/// on which the gang fits.
fn hold_vms(pool: &mut Pool, spec: &Step, mut vms: Vec<Candidate>) -> Vec<VmKey> {
    vms.sort_by_key(|vm| (Reverse(pool.free(vm.vm).cpu_milli), vm.vm));
    let mut held: Vec<VmKey> = Vec::new();
    let mut room = 0_u32;
    for vm in vms {
        if room >= spec.count {
            break;
        }
        room = room.saturating_add(vm.max_tasks(spec));
        held.push(vm.vm);
    }
    if room < spec.count {
        return Vec::new();
    }
    pool.hold(&held);
    held
}

/// Returns the number of tasks of a step for which VMs have room.
pub(in crate::core::workload::placer) fn slots<'a>(
    vms: impl Iterator<Item = &'a Candidate>,
    spec: &Step,
) -> u32 {
    vms.fold(0, |sum, vm| sum.saturating_add(vm.max_tasks(spec)))
}

/// Counts the room for a gang on the VMs that have room now, `open`, and on those that will have.
fn count_room(
    advice: &StepAdvice,
    spec: &Step,
    open: &[Candidate],
    usable: &[Candidate],
) -> GangRoom {
    let is_approved = |vm: &&Candidate| advice.is_approved(vm.vm);
    let is_rejected = |vm: &&Candidate| advice.is_rejected(vm.vm);
    GangRoom {
        usable: slots(usable.iter(), spec),
        rejected: slots(usable.iter().filter(is_rejected), spec),
        approved: slots(usable.iter().filter(is_approved), spec),
        open: slots(open.iter(), spec),
        open_approved: slots(open.iter().filter(is_approved), spec),
        ..GangRoom::default()
    }
}
