//! The placer of a zone: joins leases, scheduler, escrow and jobs.

mod limits;
mod report;
mod role;
mod services;

use std::time::Duration;

use rustc_hash::FxHashMap;

use self::role::Role;
use self::services::Services;
use crate::core::effect::Effect;
use crate::core::effect::Effects;
use crate::core::job::JobChange;
use crate::core::job::Jobs;
use crate::core::lease::LeaseOptions;
use crate::core::lease::Leases;
use crate::core::limit::Escrow;
use crate::core::model::DaemonId;
use crate::core::model::JobId;
use crate::core::model::Member;
use crate::core::model::MemberRole;
use crate::core::model::Now;
use crate::core::model::Resources;
use crate::core::model::TeamId;
use crate::core::model::Token;
use crate::core::model::VmId;
use crate::core::model::VmSyncAnswer;
use crate::core::model::ZoneId;
use crate::core::peers::Peers;
use crate::core::record::Records;
use crate::core::sched::Decision;
use crate::core::sched::QueuedJob;
use crate::core::sched::Scheduler;
use crate::core::sched::VmSpec;
use crate::core::sched::Weights;
use crate::core::state::Mechanisms;
use crate::core::timeline::TimelineEvent;

/// Least time between two rounds of placement.
const ROUND_INTERVAL: Duration = Duration::from_millis(80);

/// Decisions taken in one step at the most.
const DECISIONS_PER_STEP: usize = 256;

/// Placer of one zone, or candidate for it.
#[derive(Clone, Debug)]
pub struct Placer {
    leases: Leases,
    sched: Scheduler,
    escrow: Escrow,
    weights: Weights,
    mechanisms: Mechanisms,
    vms: FxHashMap<VmId, VmSpec>,
    role: Role,
    services: Services,
    /// Jobs that no VM held at present could hold.
    deferred: Vec<JobId>,
    writes: FxHashMap<Token, TeamId>,
    writes_started: u64,
    next_round: Now,
}

impl Placer {
    /// Returns a candidate without leases.
    #[must_use]
    pub fn new(
        me: DaemonId,
        zone: ZoneId,
        lease: LeaseOptions,
        weights: Weights,
        mechanisms: Mechanisms,
    ) -> Self {
        Self {
            leases: Leases::new(me, zone.clone(), lease),
            sched: Scheduler::new(weights),
            escrow: Escrow::new(zone),
            weights,
            mechanisms,
            vms: FxHashMap::default(),
            role: Role::default(),
            services: Services::default(),
            deferred: Vec::new(),
            writes: FxHashMap::default(),
            writes_started: 0,
            next_round: Now::ZERO,
        }
    }

    /// Whether this daemon is the placer now.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.role.is_placer()
    }

    /// Zone of this placer.
    #[must_use]
    pub fn zone(&self) -> &str {
        self.leases.zone()
    }

    /// Free resources of the zone.
    #[must_use]
    pub fn free(&self) -> Resources {
        self.sched.free()
    }

    /// View of the allotments.
    pub fn escrow(&mut self) -> &mut Escrow {
        &mut self.escrow
    }

    /// Takes the membership list.
    pub fn set_members(&mut self, now: Now, members: &[Member], jobs: &mut Jobs, fx: &mut Effects) {
        for member in members
            .iter()
            .filter(|member| *member.zone == *self.leases.zone())
        {
            if let MemberRole::Worker { rack, capacity } = &member.role {
                let id = member.id.clone();
                let spec = VmSpec {
                    id: id.clone(),
                    rack: rack.clone(),
                    capacity: *capacity,
                };
                self.vms.insert(id, spec);
            }
        }
        self.services.set_members(now, members);
        let changes = self.leases.set_members(now, members);
        self.apply(now, changes, jobs, fx);
    }

    /// Whether to hold leases, or to give them back.
    pub fn set_candidate(&mut self, now: Now, candidate: bool, jobs: &mut Jobs, fx: &mut Effects) {
        if !candidate && self.leases.has_placed() {
            self.leave_role(now, jobs, fx);
        }
        self.leases.set_candidate(now, candidate);
    }

    /// Takes a VM's answer to a sync.
    pub fn answered(
        &mut self,
        now: Now,
        vm: &str,
        sent: Now,
        answer: Option<VmSyncAnswer>,
        jobs: &mut Jobs,
        fx: &mut Effects,
    ) {
        let changes = self.leases.answered(now, vm, sent, answer);
        self.apply(now, changes, jobs, fx);
    }

    /// Takes changes of the zone's jobs.
    pub fn jobs_changed(&mut self, now: Now, changes: Vec<JobChange>, jobs: &mut Jobs) {
        for change in changes {
            match change {
                JobChange::Queued(job) => {
                    if self.role.admits(&job.spec.id) {
                        self.offer(now, job, jobs);
                    }
                }
                JobChange::Cancelled(job) => self.sched.cancel(now, &job),
                JobChange::Recorded { vm, tasks } => self.leases.ack(&vm, &tasks),
            }
        }
    }

    /// The table's jobs and allotments were read; all that was committed before `sent` is known.
    pub fn work_read(&mut self, now: Now, sent: Now, jobs: &mut Jobs) {
        self.role.table_read(sent);
        self.take_role_whole(now, jobs);
    }

    /// Keeps the zone's part of each service; zones that were silent for `timeout` have no part.
    pub fn keep_services(&mut self, now: Now, records: &Records, peers: &Peers, timeout: Duration) {
        self.services.hear(peers);
        if !self.role.is_placing() {
            return;
        }
        let zone: ZoneId = self.leases.zone().into();
        for spec in self.services.changed(now, &zone, records, timeout) {
            self.sched.set_service(now, spec);
        }
    }

    /// Whether the next round is due; rounds are fewer than the daemon's ticks.
    #[must_use]
    pub fn is_due(&self, now: Now) -> bool {
        now >= self.next_round
    }

    /// Renews leases, takes or leaves the role, divides limits and places work.
    pub fn tick(&mut self, now: Now, records: &Records, jobs: &mut Jobs, fx: &mut Effects) {
        self.next_round = now + ROUND_INTERVAL;
        let changes = self.leases.tick(now, fx);
        self.apply(now, changes, jobs, fx);
        self.take_or_leave_role(now, jobs, fx);
        if self.is_active() {
            jobs.expire(now);
            self.offer_deferred(now, jobs);
            self.divide_limits(now, records, fx);
            self.place(now, jobs, fx);
        }
    }

    fn take_or_leave_role(&mut self, now: Now, jobs: &mut Jobs, fx: &mut Effects) {
        let placer = self.leases.is_placer(now);
        if placer && !self.is_active() {
            let zone = self.leases.zone().into();
            fx.push(Effect::Note(TimelineEvent::PlacerGained { zone }));
            self.escrow.begin_tenure();
            self.role = Role::won(now);
        }
        if !placer && self.leases.has_placed() {
            self.leave_role(now, jobs, fx);
        }
        self.take_role_whole(now, jobs);
    }

    fn take_role_whole(&mut self, now: Now, jobs: &mut Jobs) {
        let known = self.leases.all_known() || !self.mechanisms.holding_back;
        let Some(offered) = self.role.complete(known) else {
            return;
        };
        for job in jobs.owned_jobs(now) {
            if !offered.contains(&job.spec.id) {
                self.offer(now, job, jobs);
            }
        }
    }

    /// Gives the leases back, and forgets what another placer may change from now on.
    fn leave_role(&mut self, now: Now, jobs: &mut Jobs, fx: &mut Effects) {
        if self.is_active() {
            let zone = self.leases.zone().into();
            fx.push(Effect::Note(TimelineEvent::PlacerLost { zone }));
        }
        self.role = Role::Follower;
        self.services.reset();
        self.deferred.clear();
        self.sched = Scheduler::new(self.weights);
        self.leases.set_candidate(now, false);
        jobs.clear_running();
    }

    /// Queues a job's tasks, but for those that run.
    fn offer(&mut self, now: Now, mut job: QueuedJob, jobs: &mut Jobs) {
        let id = job.spec.id.clone();
        let leases = &self.leases;
        job.pending.retain(|task| !leases.runs(&id, task.index));
        match self.sched.submit(now, job) {
            Err(_) if !self.leases.all_held(now) => self.deferred.push(id),
            Err(reason) => jobs.fail(now, &id, reason),
            Ok(()) => {}
        }
    }

    /// Offers again what no VM could hold while some VMs were missing.
    fn offer_deferred(&mut self, now: Now, jobs: &mut Jobs) {
        for id in std::mem::take(&mut self.deferred) {
            if let Some(job) = jobs.queued_job(now, &id) {
                self.offer(now, job, jobs);
            }
        }
    }

    fn place(&mut self, now: Now, jobs: &mut Jobs, fx: &mut Effects) {
        for decision in self.sched.decide(now, DECISIONS_PER_STEP) {
            match decision {
                Decision::Start { vm, start } => {
                    let task = start.task.clone();
                    jobs.record_start(now, &task);
                    self.leases.start(&vm, start);
                    fx.push(Effect::Note(TimelineEvent::TaskStarted { task, vm }));
                }
                Decision::Act { vm, action } => {
                    self.leases.act(&vm, action);
                }
                Decision::Lost { vm, end } => {
                    jobs.record_task_end(now, &vm, &end);
                }
                Decision::Fail { job, reason } => jobs.fail(now, &job, reason),
                Decision::Quarantine { vm, .. } => {
                    fx.push(Effect::Note(TimelineEvent::VmQuarantined { vm }));
                }
            }
        }
        self.leases.flush(now, fx);
    }
}
