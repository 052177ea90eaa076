//! Placement policy of one zone: chooses which task starts on which VM, and which tasks are
//! preempted for it.
//!
//! The scheduler does no I/O. The placer passes it the VMs' reports and carries out its
//! [`Decision`]s.

mod action;
mod deadline;
mod decide;
mod estimate;
mod free_index;
mod gang;
mod gang_plan;
mod health;
mod overcommit;
mod place;
mod preempt;
mod queue;
mod report;
mod reservation;
mod share;
mod slab;
mod submit;
mod task;
mod team;
mod totals;
mod vms;

use std::collections::BTreeSet;
use std::time::Duration;

use rustc_hash::FxHashMap;

use self::estimate::Estimate;
use self::gang::GangReservation;
use self::queue::ClockMillis;
use self::queue::Job;
use self::reservation::Reservation;
use self::slab::NamedSlab;
use self::slab::SlabIndex;
use self::task::Tasks;
use self::team::Team;
use self::vms::Vms;

use super::effect::Reason;
use super::model::EndedTask;
use super::model::JobId;
use super::model::JobSpec;
use super::model::Now;
use super::model::RackId;
use super::model::Resources;
use super::model::RunningTask;
use super::model::StartTask;
use super::model::TaskAction;
use super::model::TaskIndex;
use super::model::TaskRef;
use super::model::TeamId;
use super::model::VmId;

/// Result of submitting a job; the error is the reason for the refusal.
pub type Result<T, E = Reason> = std::result::Result<T, E>;

/// Specification of a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmSpec {
    /// Name.
    pub id: VmId,
    /// Rack.
    pub rack: RackId,
    /// Total resources.
    pub capacity: Resources,
}

/// Weight and limits of a team in this zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamPolicy {
    /// Weight in the division of a full zone among teams.
    pub weight: u32,
    /// Maximum of running resources up to which tasks may be started.
    pub allotment: Resources,
    /// Running resources above this are preempted. The ceiling exceeds `allotment` while the zone
    /// is giving back a part of the limit, which it does as tasks end.
    pub ceiling: Resources,
    /// Upper bound of the resources that the team may have running on VMs that have not reported
    /// yet. It is subtracted from `allotment`.
    pub unknown: Resources,
}

/// Relative weights of the scheduling objectives, in thousandths, as set by operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Weights {
    /// Keeping each team close to its share.
    pub fairness: u32,
    /// Dense packing.
    pub packing: u32,
    /// Short waiting times.
    pub waiting: u32,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            fairness: 1_000,
            packing: 1_000,
            waiting: 1_000,
        }
    }
}

/// A job of this zone with its remaining tasks, as passed to [`Scheduler::submit`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedJob {
    /// Specification.
    pub spec: JobSpec,
    /// Time since it was submitted.
    pub age: Duration,
    /// Tasks still to be run, with the attempt number of their next start.
    pub pending: Vec<PendingTask>,
}

/// A task that has to be started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingTask {
    /// Position in its job.
    pub index: TaskIndex,
    /// Number of earlier starts.
    pub attempt: u32,
}

/// An instruction to the placer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Start a task on a VM; its resources are allocated from now on.
    Start {
        /// Target VM.
        vm: VmId,
        /// Start message.
        start: StartTask,
    },
    /// Throttle, checkpoint or stop a task; its resources stay allocated until its end is reported.
    Act {
        /// VM of the task.
        vm: VmId,
        /// Action and task.
        action: TaskAction,
    },
    /// Record as failed a task whose end was never reported and that may not be restarted.
    Lost {
        /// VM that ran it.
        vm: VmId,
        /// End to record.
        end: EndedTask,
    },
    /// Fail a job permanently.
    Fail {
        /// Job.
        job: JobId,
        /// Reason to record.
        reason: Reason,
    },
    /// Start nothing on a VM for a time.
    Quarantine {
        /// VM.
        vm: VmId,
        /// End of the quarantine.
        until: Now,
    },
}

/// Usage and demand of a team in this zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamDemand {
    /// Team.
    pub team: TeamId,
    /// Resources of its running and starting tasks.
    pub used: Resources,
    /// `used` plus the resources of its pending tasks.
    pub wanted: Resources,
    /// `used` plus all members of the gang at the head of its queue; zero if the job at the head
    /// is no gang.
    pub needs: Resources,
}

/// Sizes of the scheduler's tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Footprint {
    /// Jobs that are pending, running or being stopped, and services.
    pub jobs: usize,
    /// Running and starting tasks.
    pub tasks: usize,
    /// Bytes of the tasks' entries, without data that tasks share.
    pub task_bytes: usize,
}

/// Scheduler of one zone.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    weights: Weights,
    vms: Vms,
    teams: NamedSlab<Team>,
    jobs: NamedSlab<Job>,
    tasks: Tasks,
    estimates: NamedSlab<Estimate>,
    /// Time of the last round.
    now: Now,
    /// Services and urgent jobs with pending tasks.
    priority_jobs: BTreeSet<(ClockMillis, SlabIndex)>,
    /// Jobs with a deadline and pending tasks.
    deadline_jobs: BTreeSet<(ClockMillis, SlabIndex)>,
    /// Jobs with too little slack before their deadline, the least slack first.
    near_deadline: Vec<SlabIndex>,
    /// Tasks with a requested action, by the time at which it is next sent.
    pending_actions: BTreeSet<(Now, SlabIndex)>,
    reservations: Vec<Reservation>,
    gang_reservation: Option<GangReservation>,
    /// VMs whose tasks use more than the VM's capacity.
    overcommitted: BTreeSet<SlabIndex>,
    quarantines: BTreeSet<(Now, SlabIndex)>,
    next_share_refresh: Now,
    last_share_refresh: Now,
    total_weight: f64,
    last_serial: u64,
    preemption_steps: u64,
    /// Decisions that are returned by the current or next round and do not count against its limit.
    exempt_decisions: Vec<Decision>,
}

impl Scheduler {
    /// Returns a scheduler without VMs, teams and jobs.
    #[must_use]
    pub fn new(weights: Weights) -> Self {
        Self {
            weights,
            ..Self::default()
        }
    }

    /// Replaces the weights of the objectives.
    pub fn set_weights(&mut self, weights: Weights) {
        self.weights = weights;
    }

    /// Adds a team or replaces its policy.
    pub fn set_team(&mut self, _now: Now, team: &str, policy: TeamPolicy) {
        let team = self.find_or_insert_team(team);
        self.teams[team].policy = Some(policy);
    }

    /// Adds a VM, or resumes it after [`Scheduler::suspend_vm`]. `running` is the complete list of
    /// its tasks.
    pub fn add_vm(&mut self, now: Now, vm: VmSpec, running: &[RunningTask]) {
        self.upsert_vm(now, vm, running);
    }

    /// Stops placing tasks on a VM. Its tasks stay accounted for.
    pub fn suspend_vm(&mut self, _now: Now, vm: &str) {
        if let Some(index) = self.vms.find(vm) {
            self.vms.update(index, |vm| vm.leased = false);
        }
    }

    /// Removes a VM, all of whose tasks are known to have stopped. Tasks that may be restarted are
    /// queued again, unless they have been lost with too many VMs.
    pub fn remove_vm(&mut self, now: Now, vm: &str) {
        let Some(index) = self.vms.find(vm) else {
            return;
        };
        for task in self.vms.get(index).tasks.clone() {
            self.record_loss(now, task);
        }
        while let Some(&task) = self.vms.get(index).tasks.last() {
            self.handle_lost_task(task);
        }
        self.cancel_reservations(|_, vm| vm == index);
        self.overcommitted.remove(&index);
        self.quarantines.retain(|&(_, vm)| vm != index);
        self.vms.remove(index);
    }

    /// Returns the sizes of the scheduler's tables.
    #[must_use]
    pub fn footprint(&self) -> Footprint {
        Footprint {
            jobs: self.jobs.len(),
            tasks: self.tasks.len(),
            task_bytes: self.tasks.bytes(),
        }
    }

    /// Returns the number of VMs and tasks examined by searches so far.
    #[must_use]
    pub fn search_steps(&self) -> u64 {
        self.vms.examined() + self.preemption_steps
    }

    /// Queues the pending tasks of a job. A job that is already known is left unchanged.
    ///
    /// Fails with [`Reason::NeverFits`] if the zone has VMs, and these could not hold the job even
    /// when empty.
    pub fn submit(&mut self, now: Now, job: QueuedJob) -> Result<()> {
        self.submit_job(now, job)
    }

    /// Sets the specification of a service, which has `spec.count` instances in this zone; a count
    /// of zero stops them all. The kind must be
    /// [`JobKind::Service`](super::model::JobKind::Service).
    pub fn set_service(&mut self, now: Now, spec: JobSpec) {
        self.update_service(now, spec);
    }

    /// Drops a job's pending tasks and stops its running ones.
    pub fn cancel(&mut self, _now: Now, job: &str) {
        if let Some(job) = self.jobs.find(job) {
            self.withdraw_job(job);
        }
    }

    /// Records a VM's report, which lists all tasks on it with their usage.
    pub fn record_report(&mut self, now: Now, vm: &str, running: &[RunningTask]) {
        if let Some(vm) = self.vms.find(vm) {
            self.apply_report(now, vm, running);
        }
    }

    /// Records the end of a task, as reported by its VM.
    pub fn record_task_end(&mut self, now: Now, vm: &str, end: &EndedTask) {
        if let Some(vm) = self.vms.find(vm) {
            self.apply_task_end(now, vm, end);
        }
    }

    /// Reverts a start that is proved not to have taken effect; the task is queued again.
    pub fn revert_start(&mut self, _now: Now, vm: &str, task: &TaskRef) {
        if let Some(vm) = self.vms.find(vm) {
            self.undo_start(vm, task);
        }
    }

    /// Runs a scheduling round, which decides on at most `limit` starts and actions.
    ///
    /// The limit is exceeded only by a gang that starts first in the round, and does not count
    /// [`Decision::Lost`], [`Decision::Fail`] and [`Decision::Quarantine`].
    pub fn decide(&mut self, now: Now, limit: usize) -> Vec<Decision> {
        self.run_round(now, limit)
    }

    /// Returns each team's usage and demand in this zone, from which its limit is divided among
    /// zones.
    #[must_use]
    pub fn team_demands(&self) -> Vec<TeamDemand> {
        let mut needs: FxHashMap<SlabIndex, Resources> = FxHashMap::default();
        for (_, job) in &self.priority_jobs {
            let entry = &self.jobs[*job];
            needs.entry(entry.team).or_insert_with(|| entry.gang_size());
        }
        let demand = |(index, team): (SlabIndex, &Team)| {
            let first = needs.get(&index).copied();
            let next = || {
                team.queue
                    .first()
                    .map(|(_, job)| self.jobs[*job].gang_size())
            };
            team.demand(first.or_else(next).unwrap_or_default())
        };
        self.teams.iter().map(demand).collect()
    }

    /// Returns the total of free resources on schedulable VMs.
    #[must_use]
    pub fn free(&self) -> Resources {
        self.vms.free()
    }
}
