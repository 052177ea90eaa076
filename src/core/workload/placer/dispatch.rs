//! Rounds of placement: ready steps in the order of what waiting costs their callers.

use std::rc::Rc;
use std::time::Duration;

use super::Placer;
use super::WAITING_ROUND;
use super::book::Place;
use super::book::StepKey;
use super::book::TaskKey;
use super::choose::Candidate;
use super::choose::best;
use super::fleet::VmKey;
use super::order::Rank;
use crate::core::model::Now;
use crate::core::model::TaskIndex;
use crate::core::model::VmId;
use crate::core::workload::catalog::AdviceTerms;
use crate::core::workload::cx::Cx;
use crate::core::workload::decision::Decision;
use crate::core::workload::event::AdviceQuery;
use crate::core::workload::event::AdvisedVm;
use crate::core::workload::heartbeat::HeartbeatMonitor;
use crate::core::workload::submission::Step;

/// VMs asked about for each one that the waiting tasks need, as advice turns some down.
const ADVICE_SPARE: u32 = 3;

/// Fewest VMs named in a request for advice.
const ADVICE_LEAST: u32 = 8;

/// Slowness, as a logarithm, from which on other VMs are asked about first.
const SLOW: f64 = 0.08;

/// Delay before advice that failed is asked for again.
const ADVICE_RETRY: Duration = Duration::from_millis(150);

/// A planned start.
type Planned = (TaskIndex, VmKey);

impl Placer {
    /// Runs a round of placement if one is due.
    pub(super) fn round(&mut self, cx: &mut Cx, pulse: &HeartbeatMonitor) {
        let due = self.round_at.is_some_and(|at| cx.now >= at);
        if !due || cx.now < self.earliest_round(cx) {
            return;
        }
        self.round_at = None;
        self.rounded = cx.now;
        self.repeat_stops(cx);
        self.count_unseen();
        let steps = self.ready_steps(cx);
        if steps.is_empty() {
            return;
        }
        let shares = self.shares(cx, steps.iter().map(|(_, key)| key));
        let mut beyond = Vec::new();
        for (_, key) in steps {
            if self.is_over_share(&shares, key) {
                beyond.push(key);
            } else {
                self.place_step(cx, pulse, key);
            }
        }
        for key in beyond {
            self.place_step(cx, pulse, key);
        }
        self.want_round(cx.now + WAITING_ROUND);
    }

    /// Until all VMs of the former placer are accounted for, counts the tasks that it may have
    /// started against their teams' caps.
    fn count_unseen(&mut self) {
        self.usage.clear_unseen();
        if self.settled {
            return;
        }
        let old = self
            .book
            .open_jobs()
            .filter(|(_, job)| job.version <= self.version);
        for (_, job) in old {
            let steps = job
                .occurrences
                .values()
                .flat_map(|steps| steps.iter().zip(&job.sub.steps));
            for (run, spec) in steps.filter(|(run, _)| run.ready_at.is_some()) {
                let demand = spec.demand.times(run.waiting);
                self.usage.add_unseen(job.team.as_ref(), &demand);
            }
        }
    }

    /// Takes advice.
    pub(super) fn advised(
        &mut self,
        cx: &mut Cx,
        query: &AdviceQuery,
        result: Result<Vec<AdvisedVm>, Box<str>>,
    ) {
        self.helpers
            .ended(query.helper.as_ref(), result.is_err(), cx.now);
        self.want_round(cx.now);
        let Some(job_key) = self.book.key(&query.job) else {
            return;
        };
        let key = StepKey {
            job: job_key,
            occurrence: query.occurrence,
            step: query.step,
        };
        let terms = self
            .book
            .jobs
            .get(&job_key)
            .and_then(|job| job.queue.advice);
        let vms: Vec<(VmId, Option<VmKey>)> = query
            .vms
            .iter()
            .map(|id| (id.clone(), self.fleet.key(id)))
            .collect();
        let (Some(step), Some(terms)) = (self.book.step_mut(key), terms) else {
            return;
        };
        step.advice.asking = false;
        match result {
            Ok(good) => {
                let count = u32::try_from(vms.len()).unwrap_or(u32::MAX);
                let decided = query.sent + terms.base + terms.per_vm * count;
                for (id, vm) in vms {
                    let ticket = good.iter().find(|advised| advised.vm == id);
                    let ticket = ticket.map(|advised| advised.ticket.clone());
                    if let Some(vm) = vm {
                        step.advice.learn(vm, ticket, decided, &terms);
                    }
                }
            }
            Err(reason) => {
                step.advice.retry_at = cx.now + ADVICE_RETRY;
                let helper = query.helper.clone().unwrap_or_default();
                cx.log(Decision::AdviceFailed {
                    id: query.job.clone(),
                    step: query.step,
                    helper,
                    reason,
                });
            }
        }
    }

    /// Steps with tasks that wait, the most urgent first.
    fn ready_steps(&self, cx: &Cx) -> Vec<(Rank, StepKey)> {
        let mut list = Vec::new();
        for (job_key, job) in self.book.open_jobs() {
            let old = job.version <= self.version;
            if old && !self.settled {
                continue;
            }
            let rank = job.rank(job_key, cx.unix_time);
            for (&occurrence, steps) in &job.occurrences {
                let ready = steps.iter().enumerate();
                let ready = ready.filter(|(_, run)| run.ready_at.is_some() && run.waiting > 0);
                for (step, _) in ready {
                    let key = StepKey {
                        job: job_key,
                        occurrence,
                        step: u16::try_from(step).unwrap_or(u16::MAX),
                    };
                    list.push((rank, key));
                }
            }
        }
        list.sort_unstable();
        list
    }

    fn place_step(&mut self, cx: &mut Cx, pulse: &HeartbeatMonitor, key: StepKey) {
        let Some(job) = self.book.jobs.get(&key.job) else {
            return;
        };
        let (sub, terms) = (job.sub.clone(), job.queue.advice);
        let spec = &sub.steps[usize::from(key.step)];
        let mut candidates = self.candidates(cx, key);
        if terms.is_some() {
            self.ask_advice(cx, pulse, key, spec, &candidates);
            let step = self.book.step(key);
            candidates.retain(|candidate| {
                step.is_some_and(|step| step.advice.ticket(candidate.vm, cx.now).is_some())
            });
        }
        if candidates.is_empty() {
            return;
        }
        let planned = if spec.traits.gang {
            self.plan_gang(cx, key, spec, &candidates)
        } else {
            self.plan_tasks(cx, key, spec, &mut candidates)
        };
        for (index, vm) in planned {
            let task = TaskKey { step: key, index };
            let run = if spec.traits.gang {
                self.gang_run(key)
            } else {
                self.next_run(task)
            };
            self.start(cx, task, vm, run);
        }
    }

    /// Tasks of a step that can start now.
    fn plan_tasks(
        &self,
        cx: &Cx,
        key: StepKey,
        spec: &Step,
        candidates: &mut [Candidate],
    ) -> Vec<Planned> {
        let (Some(job), Some(run)) = (self.book.jobs.get(&key.job), self.book.step(key)) else {
            return Vec::new();
        };
        let mut planned = Vec::new();
        let mut more = crate::core::model::Resources::ZERO;
        for (index, task) in run.tasks.iter().enumerate() {
            if task.place != Place::Waiting {
                continue;
            }
            more = more.plus(&spec.demand);
            if !self.usage.allows(cx, job.team.as_ref(), &more) {
                break;
            }
            let Some(candidate) = best(candidates.iter_mut(), spec) else {
                break;
            };
            candidate.take(spec);
            planned.push((TaskIndex::try_from(index).unwrap_or(0), candidate.vm));
        }
        planned
    }

    /// All tasks of a gang, or none. Prefers a single rack.
    fn plan_gang(
        &self,
        cx: &Cx,
        key: StepKey,
        spec: &Step,
        candidates: &[Candidate],
    ) -> Vec<Planned> {
        let Some(run) = self.book.step(key) else {
            return Vec::new();
        };
        if run.tasks.iter().any(|task| task.place != Place::Waiting) {
            return Vec::new();
        }
        let mut racks: Vec<&str> = candidates.iter().map(|one| &*one.rack).collect();
        racks.sort_unstable();
        racks.dedup();
        if spec.traits.same_rack {
            for rack in racks {
                let on_rack = candidates.iter().filter(|one| &*one.rack == rack);
                let mut on_rack: Vec<Candidate> = on_rack.cloned().collect();
                let planned = self.plan_tasks(cx, key, spec, &mut on_rack);
                if planned.len() == run.tasks.len() {
                    return planned;
                }
            }
        }
        let planned = self.plan_tasks(cx, key, spec, &mut candidates.to_vec());
        if planned.len() == run.tasks.len() {
            planned
        } else {
            Vec::new()
        }
    }

    /// Run number that all members of a gang share.
    fn gang_run(&self, key: StepKey) -> u64 {
        let count = self.book.step(key).map_or(0, |step| step.tasks.len());
        let members = (0..count).map(|index| TaskKey {
            step: key,
            index: TaskIndex::try_from(index).unwrap_or(0),
        });
        let waiting = |task: &TaskKey| {
            self.book
                .task(*task)
                .is_some_and(|task| task.place == Place::Waiting)
        };
        let all: Vec<TaskKey> = members.collect();
        let started = all.iter().find(|task| !waiting(task));
        match started.and_then(|task| self.book.task(*task)) {
            Some(member) => member.run,
            None => all
                .into_iter()
                .map(|task| self.next_run(task))
                .max()
                .unwrap_or(1),
        }
    }

    /// Asks for advice if the VMs known to be good cannot take what waits.
    fn ask_advice(
        &mut self,
        cx: &mut Cx,
        pulse: &HeartbeatMonitor,
        key: StepKey,
        spec: &Step,
        candidates: &[Candidate],
    ) {
        let Some(job) = self.book.jobs.get(&key.job) else {
            return;
        };
        let (Some(terms), Some(run)) = (job.queue.advice, self.book.step(key)) else {
            return;
        };
        if run.advice.asking || cx.now < run.advice.retry_at {
            return;
        }
        let id = job.id.clone();
        let Some(vms) = unknown_vms(cx, spec, run, candidates) else {
            return;
        };
        let vms: Rc<[VmId]> = vms
            .into_iter()
            .filter_map(|vm| Some(self.fleet.vms.get(&vm)?.id.clone()))
            .collect();
        self.send_advice(cx, pulse, key, &id, vms, &terms);
    }

    fn send_advice(
        &mut self,
        cx: &mut Cx,
        pulse: &HeartbeatMonitor,
        key: StepKey,
        id: &str,
        vms: Rc<[VmId]>,
        terms: &AdviceTerms,
    ) {
        let Some(helper) = self.helpers.free(cx, pulse) else {
            return;
        };
        if let Some(step) = self.book.step_mut(key) {
            step.advice.asking = true;
        }
        self.helpers.ask(cx, helper, key, id, vms, terms);
    }
}

/// VMs to ask about, the best first; `None` if those with tickets can take all that waits.
fn unknown_vms(
    cx: &Cx,
    spec: &Step,
    run: &super::book::StepRun,
    candidates: &[Candidate],
) -> Option<Vec<VmKey>> {
    let now: Now = cx.now;
    let has_ticket = |one: &&Candidate| run.advice.ticket(one.vm, now).is_some();
    let good: u32 = candidates
        .iter()
        .filter(has_ticket)
        .fold(0, |sum, one| sum.saturating_add(one.fits(spec)));
    if good >= run.waiting {
        return None;
    }
    let open = |one: &&Candidate| !has_ticket(one) && !run.advice.bad.contains(&one.vm);
    let mut open: Vec<&Candidate> = candidates.iter().filter(open).collect();
    if open.is_empty() {
        return None;
    }
    let known = |one: &Candidate| run.advice.good.contains_key(&one.vm);
    let slow = |one: &Candidate| !spec.traits.lasting && one.slowness > SLOW;
    open.sort_by_key(|one| {
        let fits = std::cmp::Reverse(one.fits(spec));
        (!known(one), slow(one), fits, one.vm)
    });
    let mut list = Vec::new();
    let mut room = 0_u32;
    let needed = run.waiting - good;
    for one in open {
        let weight = if known(one) { ADVICE_SPARE } else { 1 };
        room = room.saturating_add(one.fits(spec).saturating_mul(weight));
        list.push(one.vm);
        let enough = room >= needed.saturating_mul(ADVICE_SPARE);
        let least = known(one) || list.len() >= ADVICE_LEAST as usize;
        if (enough && least) || list.len() >= cx.options.vms.advice_vms {
            break;
        }
    }
    Some(list)
}
