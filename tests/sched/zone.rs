//! Simulated zone: VMs that execute the scheduler's decisions without delay, and checks of its
//! invariants.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use ragwortstall::core::effect::Reason;
use ragwortstall::core::model::ActionKind;
use ragwortstall::core::model::EndedTask;
use ragwortstall::core::model::JobKind;
use ragwortstall::core::model::JobSpec;
use ragwortstall::core::model::Now;
use ragwortstall::core::model::Resources;
use ragwortstall::core::model::RunningTask;
use ragwortstall::core::model::StartTask;
use ragwortstall::core::model::TaskOutcome;
use ragwortstall::core::model::TaskState;
use ragwortstall::core::sched::Decision;
use ragwortstall::core::sched::PendingTask;
use ragwortstall::core::sched::QueuedJob;
use ragwortstall::core::sched::Scheduler;
use ragwortstall::core::sched::TeamPolicy;
use ragwortstall::core::sched::VmSpec;
use ragwortstall::core::sched::Weights;

/// Maximum number of decisions in one round.
pub const DECISION_LIMIT: usize = 10_000;

/// Capacity of each VM.
pub const VM_CAPACITY: Resources = Resources::new(32_000, 131_072, 0, 100);

/// Task on a simulated VM.
#[derive(Clone, Debug)]
pub struct SimulatedTask {
    pub start: StartTask,
    pub used: Resources,
    pub state: TaskState,
    /// When and how the task will end, `None` if it runs until it is stopped.
    pub planned_end: Option<(Now, TaskOutcome)>,
}

/// Behaviour of simulated tasks.
#[derive(Clone, Copy, Debug)]
pub struct TaskBehaviour {
    /// Resources that a task uses, `None` for the size with which it was started.
    pub usage: fn(&StartTask) -> Option<Resources>,
    /// Run time and outcome of a task on a VM, `None` if it runs until it is stopped.
    pub lifetime: fn(&str, &StartTask) -> Option<(Duration, TaskOutcome)>,
    /// Time that a task takes to save its state; `None` if it ignores checkpoint requests.
    pub checkpoint_time: Option<Duration>,
}

impl Default for TaskBehaviour {
    fn default() -> Self {
        Self {
            usage: |_| None,
            lifetime: |_, start| start.run_time.map(|time| (time, TaskOutcome::Done)),
            checkpoint_time: Some(Duration::from_secs(1)),
        }
    }
}

/// Scheduler with its VMs, in virtual time.
pub struct SimulatedZone {
    pub sched: Scheduler,
    pub now: Now,
    pub vms: BTreeMap<Box<str>, Vec<SimulatedTask>>,
    pub behaviour: TaskBehaviour,
    /// Start decisions so far, with their time and VM.
    pub started: Vec<(Now, Box<str>, StartTask)>,
    /// All other decisions so far, with their time.
    pub other_decisions: Vec<(Now, Decision)>,
    /// Ended tasks so far, with the time of the end.
    pub ended: Vec<(Now, EndedTask)>,
}

impl SimulatedZone {
    pub fn new(vms: usize, teams: &[&str]) -> Self {
        let mut zone = Self {
            sched: Scheduler::new(Weights::default()),
            now: Now::ZERO,
            vms: BTreeMap::new(),
            behaviour: TaskBehaviour::default(),
            started: Vec::new(),
            other_decisions: Vec::new(),
            ended: Vec::new(),
        };
        for n in 0..vms {
            zone.add_vm(&format!("vm{n:03}"), n / 2);
        }
        for team in teams {
            zone.set_allotment(team, Resources::MAX);
        }
        zone
    }

    /// Adds a VM, or reports one that is there already as available again.
    pub fn add_vm(&mut self, name: &str, rack: usize) {
        let spec = VmSpec {
            id: name.into(),
            rack: format!("rack{rack}").into(),
            capacity: VM_CAPACITY,
        };
        let tasks = self.vms.entry(name.into()).or_default();
        let running: Vec<RunningTask> = tasks.iter().map(running_task).collect();
        self.sched.add_vm(self.now, spec, &running);
    }

    /// Removes a VM with all its tasks.
    pub fn remove_vm(&mut self, name: &str) {
        self.vms.remove(name);
        self.sched.remove_vm(self.now, name);
    }

    /// Sets the allotment and the ceiling of a team with weight 1.
    pub fn set_allotment(&mut self, team: &str, allotment: Resources) {
        let policy = TeamPolicy {
            weight: 1,
            allotment,
            ceiling: allotment,
            unknown: Resources::ZERO,
        };
        self.sched.set_team(self.now, team, policy);
    }

    pub fn try_submit(&mut self, spec: JobSpec) -> Result<(), Reason> {
        self.sched.submit(self.now, queued_job(spec))
    }

    /// Submits a job that must be accepted.
    pub fn submit(&mut self, spec: JobSpec) {
        assert_eq!(self.try_submit(spec), Ok(()));
    }

    /// Advances the clock by `duration` in steps, with reports and a scheduling round in each.
    pub fn run(&mut self, duration: Duration, step: Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.now += step;
            self.end_due_tasks();
            self.report();
            self.decide();
        }
    }

    /// Runs a scheduling round, applies its decisions and checks the invariants.
    pub fn decide(&mut self) -> Vec<Decision> {
        let decisions = self.sched.decide(self.now, DECISION_LIMIT);
        for decision in &decisions {
            self.apply(decision);
        }
        self.check_invariants();
        decisions
    }

    /// Passes a report of each VM to the scheduler.
    pub fn report(&mut self) {
        for (vm, tasks) in &self.vms {
            let running: Vec<RunningTask> = tasks.iter().map(running_task).collect();
            self.sched.record_report(self.now, vm, &running);
        }
    }

    /// Returns the number of tasks on all VMs that satisfy `filter`.
    pub fn count_tasks(&self, filter: impl Fn(&SimulatedTask) -> bool) -> usize {
        self.vms
            .values()
            .flatten()
            .filter(|task| filter(task))
            .count()
    }

    /// Returns the number of cores allocated to a team's tasks.
    pub fn cores_of(&self, team: &str) -> u32 {
        let tasks = self.vms.values().flatten();
        let of_team = tasks.filter(|task| *task.start.team == *team);
        of_team.map(|task| task.start.size.cpu_milli / 1_000).sum()
    }

    /// Returns when a job's first task was started.
    pub fn first_start(&self, job: &str) -> Option<Now> {
        let mut started = self.started.iter();
        started
            .find(|(_, _, start)| *start.task.job == *job)
            .map(|(at, _, _)| *at)
    }

    /// Returns when a task of a job last completed successfully.
    pub fn last_completion(&self, job: &str) -> Option<Now> {
        let ended = self.ended.iter().rev();
        let mut done = ended.filter(|(_, end)| end.outcome == TaskOutcome::Done);
        done.find(|(_, end)| *end.task.job == *job)
            .map(|(at, _)| *at)
    }

    /// Ends the tasks whose planned end has come, and reports their ends.
    pub fn end_due_tasks(&mut self) {
        let now = self.now;
        for (vm, tasks) in &mut self.vms {
            let is_due = |task: &SimulatedTask| task.planned_end.is_some_and(|(at, _)| at <= now);
            let ended: Vec<SimulatedTask> =
                tasks.iter().filter(|task| is_due(task)).cloned().collect();
            tasks.retain(|task| !is_due(task));
            for task in ended {
                let (_, outcome) = task.planned_end.expect("due tasks have a planned end");
                let end = ended_task(&task.start, outcome);
                self.sched.record_task_end(now, vm, &end);
                self.ended.push((now, end));
            }
        }
    }

    fn apply(&mut self, decision: &Decision) {
        match decision {
            Decision::Start { vm, start } => {
                let lifetime = (self.behaviour.lifetime)(vm, start);
                let task = SimulatedTask {
                    used: (self.behaviour.usage)(start).unwrap_or(start.size),
                    state: TaskState::Running,
                    planned_end: lifetime.map(|(time, outcome)| (self.now + time, outcome)),
                    start: start.clone(),
                };
                let tasks = self
                    .vms
                    .get_mut(vm)
                    .expect("a start names a VM of the zone");
                tasks.push(task);
                self.started.push((self.now, vm.clone(), start.clone()));
            }
            Decision::Act { vm, action } => {
                self.other_decisions.push((self.now, decision.clone()));
                let tasks = self.vms.get_mut(vm).into_iter().flatten();
                let checkpoint_time = self.behaviour.checkpoint_time;
                for task in tasks.filter(|task| task.start.task == action.task) {
                    apply_action(task, action.kind, self.now, checkpoint_time);
                }
            }
            other => self.other_decisions.push((self.now, other.clone())),
        }
    }

    /// Checks that no VM holds more than its capacity and that no task runs twice.
    fn check_invariants(&self) {
        let mut present = BTreeSet::new();
        for (vm, tasks) in &self.vms {
            let sizes = tasks.iter().map(|task| task.start.size);
            let held = sizes.fold(Resources::ZERO, |sum, size| sum.plus(&size));
            let fits = VM_CAPACITY.holds(&held);
            assert!(fits, "{vm} exceeds its capacity: {held:?}");
            for task in tasks {
                let task = &task.start.task;
                let is_new = present.insert((&task.job, task.index));
                assert!(is_new, "{task:?} runs twice");
            }
        }
    }
}

fn apply_action(
    task: &mut SimulatedTask,
    kind: ActionKind,
    now: Now,
    checkpoint_time: Option<Duration>,
) {
    match kind {
        ActionKind::Stop => task.planned_end = Some((now, TaskOutcome::Stopped)),
        ActionKind::Checkpoint => {
            task.state = TaskState::Checkpointing;
            if let Some(time) = checkpoint_time {
                task.planned_end = Some((now + time, TaskOutcome::Checkpointed));
            }
        }
        ActionKind::Throttle => {
            task.state = TaskState::Throttled;
            task.used.cpu_milli = task.used.cpu_milli.min(task.start.size.cpu_milli);
        }
    }
}

/// Returns the entry for a task in its VM's report.
pub fn running_task(task: &SimulatedTask) -> RunningTask {
    RunningTask {
        task: task.start.task.clone(),
        team: task.start.team.clone(),
        size: task.start.size,
        used: task.used,
        state: task.state,
    }
}

pub fn ended_task(start: &StartTask, outcome: TaskOutcome) -> EndedTask {
    EndedTask {
        task: start.task.clone(),
        team: start.team.clone(),
        outcome,
    }
}

/// Returns a batch job of team `bakers` with tasks of 1 GiB that run for a minute.
pub fn batch(id: &str, count: u32, cores: u32) -> JobSpec {
    let size = Resources::new(cores * 1_000, 1_024, 0, 1);
    JobSpec {
        team: "bakers".into(),
        ..JobSpec::batch(id, count, size, Duration::from_secs(60))
    }
}

pub fn gang(id: &str, count: u32, cores: u32) -> JobSpec {
    JobSpec {
        kind: JobKind::Gang,
        ..batch(id, count, cores)
    }
}

pub fn service(id: &str, count: u32, cores: u32) -> JobSpec {
    JobSpec {
        kind: JobKind::Service { service: id.into() },
        run_time: None,
        ..batch(id, count, cores)
    }
}

pub fn with_team(team: &str, spec: JobSpec) -> JobSpec {
    JobSpec {
        team: team.into(),
        ..spec
    }
}

pub fn with_run_time(run_time: Duration, spec: JobSpec) -> JobSpec {
    JobSpec {
        run_time: Some(run_time),
        ..spec
    }
}

/// Returns a job just submitted, none of whose tasks was started before.
pub fn queued_job(spec: JobSpec) -> QueuedJob {
    let pending = (0..spec.count)
        .map(|index| PendingTask { index, attempt: 0 })
        .collect();
    QueuedJob {
        spec,
        age: Duration::ZERO,
        pending,
    }
}
