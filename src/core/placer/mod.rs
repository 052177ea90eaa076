//! Placer of a zone, which connects leases, scheduler, escrow and jobs.

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
use crate::core::state::Safeguards;
use crate::core::timeline::TimelineEvent;

/// Minimum interval between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(80);

/// Maximum number of scheduling decisions per round.
const MAX_DECISIONS_PER_ROUND: usize = 256;

/// Placer of a zone, or candidate for the role.
#[derive(Clone, Debug)]
pub struct Placer {
    leases: Leases,
    sched: Scheduler,
    escrow: Escrow,
    weights: Weights,
    safeguards: Safeguards,
    vms: FxHashMap<VmId, VmSpec>,
    role: Role,
    services: Services,
    /// Jobs that fit on no VM whose lease is held, but may fit on one whose lease is not.
    waiting_for_vms: Vec<JobId>,
    /// Teams of the escrow transactions in flight.
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
        safeguards: Safeguards,
    ) -> Self {
        Self {
            leases: Leases::new(me, zone.clone(), lease),
            sched: Scheduler::new(weights),
            escrow: Escrow::new(zone),
            weights,
            safeguards,
            vms: FxHashMap::default(),
            role: Role::default(),
            services: Services::default(),
            waiting_for_vms: Vec::new(),
            writes: FxHashMap::default(),
            writes_started: 0,
            next_round: Now::ZERO,
        }
    }

    /// Returns whether this daemon is the placer now.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.role.is_placer()
    }

    /// Returns the zone of this placer.
    #[must_use]
    pub fn zone(&self) -> &str {
        self.leases.zone()
    }

    /// Returns the free resources of the zone.
    #[must_use]
    pub fn free(&self) -> Resources {
        self.sched.free()
    }

    /// Returns the view of the allotments.
    pub fn escrow(&mut self) -> &mut Escrow {
        &mut self.escrow
    }

    /// Applies a membership list.
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
        self.apply_lease_changes(now, changes, jobs, fx);
    }

    /// Starts to acquire leases (`true`), or leaves the role and releases them (`false`).
    pub fn set_candidate(&mut self, now: Now, candidate: bool, jobs: &mut Jobs, fx: &mut Effects) {
        if !candidate && self.leases.is_placer() {
            self.leave_role(now, jobs, fx);
        }
        self.leases.set_candidate(now, candidate);
    }

    /// Handles a VM's answer to a sync; `None` if no answer was received.
    pub fn handle_sync_answer(
        &mut self,
        now: Now,
        vm: &str,
        sent: Now,
        answer: Option<VmSyncAnswer>,
        jobs: &mut Jobs,
        fx: &mut Effects,
    ) {
        let changes = self.leases.handle_answer(now, vm, sent, answer);
        self.apply_lease_changes(now, changes, jobs, fx);
    }

    /// Applies changes of the zone's jobs.
    pub fn apply_job_changes(&mut self, now: Now, changes: Vec<JobChange>, jobs: &mut Jobs) {
        for change in changes {
            match change {
                JobChange::Queued(job) => {
                    if self.role.admit(&job.spec.id) {
                        self.submit(now, job, jobs);
                    }
                }
                JobChange::Ended(job) => self.sched.cancel(now, &job),
                JobChange::Recorded { vm, tasks } => self.leases.ack(&vm, &tasks),
            }
        }
    }

    /// Handles a read of the jobs and allotments, which includes all rows committed before `sent`.
    pub fn handle_work_read(&mut self, now: Now, sent: Now, jobs: &mut Jobs) {
        self.role.record_table_read(sent);
        self.finish_recovery(now, jobs);
    }

    /// Updates the instances of services in this zone. Zones whose placer was not seen within
    /// `timeout` get no instances.
    pub fn update_services(
        &mut self,
        now: Now,
        records: &Records,
        peers: &Peers,
        timeout: Duration,
    ) {
        self.services.update_zones(peers);
        if !self.role.is_ready() {
            return;
        }
        let zone: ZoneId = self.leases.zone().into();
        for spec in self.services.changed_specs(now, &zone, records, timeout) {
            self.sched.set_service(now, spec);
        }
    }

    /// Returns whether the next round is due. Rounds are less frequent than the daemon's ticks.
    #[must_use]
    pub fn is_due(&self, now: Now) -> bool {
        now >= self.next_round
    }

    /// Runs a round: renews leases, takes or leaves the role, divides limits and places tasks.
    pub fn tick(&mut self, now: Now, records: &Records, jobs: &mut Jobs, fx: &mut Effects) {
        self.next_round = now + ROUND_INTERVAL;
        let changes = self.leases.tick(now, fx);
        self.apply_lease_changes(now, changes, jobs, fx);
        self.update_role(now, jobs, fx);
        if self.is_active() {
            jobs.expire(now);
            self.submit_waiting(now, jobs);
            self.divide_limits(now, records, fx);
            self.place(now, jobs, fx);
        }
    }

    fn update_role(&mut self, now: Now, jobs: &mut Jobs, fx: &mut Effects) {
        let has_majority = self.leases.has_majority(now);
        if has_majority && !self.is_active() {
            let zone = self.leases.zone().into();
            fx.push(Effect::Timeline(TimelineEvent::PlacerGained { zone }));
            self.escrow.begin_tenure();
            self.role = Role::start_recovery(now);
        }
        if !has_majority && self.leases.is_placer() {
            self.leave_role(now, jobs, fx);
        }
        self.finish_recovery(now, jobs);
    }

    /// Submits the jobs that were deferred during recovery, once all running tasks are known.
    fn finish_recovery(&mut self, now: Now, jobs: &mut Jobs) {
        let known = self.leases.all_tasks_known() || !self.safeguards.defer_existing_jobs;
        let Some(submitted) = self.role.try_complete(known) else {
            return;
        };
        for job in jobs.owned_jobs(now) {
            if !submitted.contains(&job.spec.id) {
                self.submit(now, job, jobs);
            }
        }
    }

    /// Releases the leases, and discards all state that another placer may change from now on.
    fn leave_role(&mut self, now: Now, jobs: &mut Jobs, fx: &mut Effects) {
        if self.is_active() {
            let zone = self.leases.zone().into();
            fx.push(Effect::Timeline(TimelineEvent::PlacerLost { zone }));
        }
        self.role = Role::Follower;
        self.services.reset();
        self.waiting_for_vms.clear();
        self.sched = Scheduler::new(self.weights);
        self.leases.set_candidate(now, false);
        jobs.clear_running();
    }

    /// Submits a job to the scheduler, without the tasks that may be running.
    ///
    /// A job that fits on no VM whose lease is held waits while the leases of other VMs are not
    /// held, and fails otherwise.
    fn submit(&mut self, now: Now, mut job: QueuedJob, jobs: &mut Jobs) {
        let id = job.spec.id.clone();
        let leases = &self.leases;
        job.pending.retain(|task| !leases.may_run(&id, task.index));
        match self.sched.submit(now, job) {
            Err(_) if !self.leases.all_held(now) => self.waiting_for_vms.push(id),
            Err(reason) => jobs.fail(now, &id, reason),
            Ok(()) => {}
        }
    }

    /// Submits the jobs that wait for VMs again.
    fn submit_waiting(&mut self, now: Now, jobs: &mut Jobs) {
        for id in std::mem::take(&mut self.waiting_for_vms) {
            if let Some(job) = jobs.queued_job(now, &id) {
                self.submit(now, job, jobs);
            }
        }
    }

    fn place(&mut self, now: Now, jobs: &mut Jobs, fx: &mut Effects) {
        for decision in self.sched.decide(now, MAX_DECISIONS_PER_ROUND) {
            match decision {
                Decision::Start { vm, start } => {
                    let task = start.task.clone();
                    jobs.record_start(now, &task);
                    self.leases.start(&vm, start);
                    fx.push(Effect::Timeline(TimelineEvent::TaskStarted { task, vm }));
                }
                Decision::Act { vm, action } => {
                    self.leases.act(&vm, action);
                }
                Decision::Lost { vm, end } => {
                    jobs.record_task_end(now, &vm, &end);
                }
                Decision::Fail { job, reason } => jobs.fail(now, &job, reason),
                Decision::Quarantine { vm, .. } => {
                    fx.push(Effect::Timeline(TimelineEvent::VmQuarantined { vm }));
                }
            }
        }
        self.leases.flush(now, fx);
    }
}
