//! Placement policy of one zone: which task starts on which VM, and what makes room for it.
//!
//! The scheduler never acts by itself: the placer feeds it what VMs report and carries its
//! [`Decision`]s out.

mod deadline;
mod decide;
mod estimate;
mod gang;
mod gang_plan;
mod health;
mod hold;
mod index;
mod intake;
mod order;
mod overuse;
mod place;
mod preempt;
mod queue;
mod report;
mod share;
mod sum;
mod table;
mod task;
mod team;
mod vms;

use std::collections::BTreeSet;
use std::time::Duration;

use rustc_hash::FxHashMap;

use self::estimate::Estimate;
use self::gang::GangHold;
use self::hold::Hold;
use self::queue::Job;
use self::queue::Order;
use self::table::Ix;
use self::table::Table;
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

/// Result of offering a job.
pub type Result<T, E = Reason> = std::result::Result<T, E>;

/// A VM as the scheduler sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmSpec {
    /// Name.
    pub id: VmId,
    /// Rack.
    pub rack: RackId,
    /// What it can hold.
    pub capacity: Resources,
}

/// What a team is entitled to in this zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamPolicy {
    /// Weight of its share when the cell is full.
    pub weight: u32,
    /// The most it may have running in this zone.
    pub allotment: Resources,
    /// What it has running beyond this is ended. It is above `allotment` while the zone gives a
    /// part of the limit up as its work ends.
    pub ceiling: Resources,
    /// What it may have running on VMs that have not reported; no start may rely on that part.
    pub unknown: Resources,
}

/// How operators weigh the measures against each other, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Weights {
    /// Closeness of each team to its share.
    pub fairness: u32,
    /// Tightness of packing.
    pub packing: u32,
    /// Shortness of waiting.
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

/// A job owned by this zone, as it is when offered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedJob {
    /// What to run.
    pub spec: JobSpec,
    /// Time since it was submitted.
    pub age: Duration,
    /// Tasks still to be run, with the attempt that a start of each would carry.
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

/// What the placer should do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Start a task on a VM; its resources are taken from now on.
    Start {
        /// Where.
        vm: VmId,
        /// What.
        start: StartTask,
    },
    /// Act on a running task; its resources stay taken until its end is reported.
    Act {
        /// Where.
        vm: VmId,
        /// What.
        action: TaskAction,
    },
    /// Record the end of a task that stopped with its VM and may not be started again.
    Lost {
        /// Where it ran.
        vm: VmId,
        /// Its end.
        end: EndedTask,
    },
    /// Give a job up for good.
    Fail {
        /// Which job.
        job: JobId,
        /// Why.
        reason: Reason,
    },
    /// A VM gets no new work until then.
    Quarantine {
        /// Which VM.
        vm: VmId,
        /// End of the quarantine.
        until: Now,
    },
}

/// Demand of a team that its allotment does not cover.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamDemand {
    /// Which team.
    pub team: TeamId,
    /// Running or being started.
    pub used: Resources,
    /// Used, and waiting.
    pub wanted: Resources,
    /// What is used with the whole of the gang that waits first; zero when none does.
    pub needs: Resources,
}

/// What the scheduler remembers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Footprint {
    /// Jobs that wait, run or are being stopped, and services.
    pub jobs: usize,
    /// Tasks on VMs or being started.
    pub tasks: usize,
    /// Bytes taken by these, without what they share.
    pub task_bytes: usize,
}

/// Scheduler of one zone.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    weights: Weights,
    vms: Vms,
    teams: Table<Team>,
    jobs: Table<Job>,
    tasks: Tasks,
    estimates: Table<Estimate>,
    /// Time of the last round.
    now: Now,
    /// Services and urgent jobs with tasks that wait.
    first: BTreeSet<(Order, Ix)>,
    /// Jobs with a deadline and tasks that wait.
    deadlines: BTreeSet<(Order, Ix)>,
    /// Those whose deadline is near.
    pressed: Vec<Ix>,
    /// Tasks with an order, by when it is due.
    orders: BTreeSet<(Now, Ix)>,
    holds: Vec<Hold>,
    gang_hold: Option<GangHold>,
    /// VMs whose tasks outgrew them.
    strained: BTreeSet<Ix>,
    quarantines: BTreeSet<(Now, Ix)>,
    shares_due: Now,
    shares_at: Now,
    total_weight: f64,
    jobs_seen: u64,
    preemption_work: u64,
    /// Decisions that are owed whatever the round's limit.
    given_up: Vec<Decision>,
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

    /// Changes how the measures are weighed.
    pub fn set_weights(&mut self, weights: Weights) {
        self.weights = weights;
    }

    /// Adds a team or changes its entitlements.
    pub fn set_team(&mut self, _now: Now, team: &str, policy: TeamPolicy) {
        let team = self.team(team);
        self.teams[team].policy = Some(policy);
    }

    /// Adds a VM or readmits it after [`Scheduler::vm_suspended`]; `running` is all that it runs.
    pub fn vm_gained(&mut self, now: Now, vm: VmSpec, running: &[RunningTask]) {
        self.gain(now, vm, running);
    }

    /// No task may be started on the VM; what runs there still counts.
    pub fn vm_suspended(&mut self, _now: Now, vm: &str) {
        if let Some(ix) = self.vms.find(vm) {
            self.vms.update(ix, |vm| vm.held = false);
        }
    }

    /// The VM is gone and all its tasks are known to have stopped; they wait again.
    pub fn vm_lost(&mut self, _now: Now, vm: &str) {
        let Some(ix) = self.vms.find(vm) else {
            return;
        };
        while let Some(&task) = self.vms.get(ix).tasks.last() {
            self.lose(task);
        }
        self.drop_holds(|_, held| held == ix);
        self.strained.remove(&ix);
        self.quarantines.retain(|&(_, held)| held != ix);
        self.vms.remove(ix);
    }

    /// Numbers of entries and the bytes they take.
    #[must_use]
    pub fn footprint(&self) -> Footprint {
        Footprint {
            jobs: self.jobs.len(),
            tasks: self.tasks.len(),
            task_bytes: self.tasks.bytes(),
        }
    }

    /// Steps of searches so far: VMs and tasks that were looked at.
    #[must_use]
    pub fn search_steps(&self) -> u64 {
        self.vms.examined() + self.preemption_work
    }

    /// Accepts a job into the queue; refuses what no VM and no limit could ever hold.
    pub fn submit(&mut self, now: Now, job: QueuedJob) -> Result<()> {
        self.accept(now, job)
    }

    /// Keeps a service at `spec.count` instances in this zone; zero stops them all. The spec's kind
    /// is [`JobKind::Service`](super::model::JobKind::Service).
    pub fn set_service(&mut self, now: Now, spec: JobSpec) {
        self.keep_service(now, spec);
    }

    /// Forgets what waits of a job and stops what runs of it.
    pub fn cancel(&mut self, _now: Now, job: &str) {
        if let Some(job) = self.jobs.find(job) {
            self.withdraw(job);
        }
    }

    /// Takes a VM's sample of what it runs.
    pub fn reported(&mut self, now: Now, vm: &str, running: &[RunningTask]) {
        if let Some(vm) = self.vms.find(vm) {
            self.take_report(now, vm, running);
        }
    }

    /// A task ended on its VM.
    pub fn ended(&mut self, now: Now, vm: &str, end: &EndedTask) {
        if let Some(vm) = self.vms.find(vm) {
            self.take_end(now, vm, end);
        }
    }

    /// A start is proved not to have taken effect; the task waits again.
    pub fn not_started(&mut self, _now: Now, vm: &str, task: &TaskRef) {
        if let Some(vm) = self.vms.find(vm) {
            self.undo_start(vm, task);
        }
    }

    /// Decides on at most `limit` starts and actions.
    pub fn decide(&mut self, now: Now, limit: usize) -> Vec<Decision> {
        self.run_round(now, limit)
    }

    /// What each team uses and wants here, for the division of its limit among zones.
    #[must_use]
    pub fn demands(&self) -> Vec<TeamDemand> {
        let mut needs: FxHashMap<Ix, Resources> = FxHashMap::default();
        for (_, job) in &self.first {
            let entry = &self.jobs[*job];
            needs.entry(entry.team).or_insert_with(|| entry.gang_size());
        }
        let demand = |(ix, team): (Ix, &Team)| {
            let first = needs.get(&ix).copied();
            let next = || {
                team.queue
                    .first()
                    .map(|(_, job)| self.jobs[*job].gang_size())
            };
            team.demand(first.or_else(next).unwrap_or_default())
        };
        self.teams.iter().map(demand).collect()
    }

    /// Free resources of all VMs that take new work.
    #[must_use]
    pub fn free(&self) -> Resources {
        self.vms.free()
    }
}
