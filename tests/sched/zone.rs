//! VMs of one zone that do at once what the scheduler decides, and check it.

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

/// Decisions asked for in one round.
pub const LIMIT: usize = 10_000;

/// Capacity of a VM.
pub const CAPACITY: Resources = Resources::new(32_000, 131_072, 0, 100);

/// A task on a VM.
#[derive(Clone, Debug)]
pub struct Live {
    pub start: StartTask,
    pub used: Resources,
    pub state: TaskState,
    pub ends: Option<(Now, TaskOutcome)>,
}

/// How tasks behave.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// What a task uses, `None` for what it declared.
    pub usage: fn(&StartTask) -> Option<Resources>,
    /// How long it runs, and how it ends.
    pub life: fn(&str, &StartTask) -> Option<(Duration, TaskOutcome)>,
    /// How long it takes to save its state; `None` if it never does.
    pub checkpoint: Option<Duration>,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            usage: |_| None,
            life: |_, start| start.run_time.map(|time| (time, TaskOutcome::Done)),
            checkpoint: Some(Duration::from_secs(1)),
        }
    }
}

/// A scheduler with its VMs.
pub struct Zone {
    pub sched: Scheduler,
    pub now: Now,
    pub vms: BTreeMap<Box<str>, Vec<Live>>,
    pub behaviour: Behaviour,
    /// Starts so far, with their time and VM.
    pub started: Vec<(Now, Box<str>, StartTask)>,
    /// All other decisions so far, with their time.
    pub others: Vec<(Now, Decision)>,
    /// Ends so far.
    pub ended: Vec<(Now, EndedTask)>,
}

impl Zone {
    pub fn new(vms: usize, teams: &[&str]) -> Self {
        let mut zone = Self {
            sched: Scheduler::new(Weights::default()),
            now: Now::ZERO,
            vms: BTreeMap::new(),
            behaviour: Behaviour::default(),
            started: Vec::new(),
            others: Vec::new(),
            ended: Vec::new(),
        };
        for n in 0..vms {
            zone.gain(&format!("vm{n:03}"), n / 2);
        }
        for team in teams {
            zone.allot(team, Resources::MAX);
        }
        zone
    }

    pub fn gain(&mut self, name: &str, rack: usize) {
        let spec = VmSpec {
            id: name.into(),
            rack: format!("rack{rack}").into(),
            capacity: CAPACITY,
        };
        let tasks = self.vms.entry(name.into()).or_default();
        let running: Vec<RunningTask> = tasks.iter().map(running).collect();
        self.sched.add_vm(self.now, spec, &running);
    }

    pub fn lose(&mut self, name: &str) {
        self.vms.remove(name);
        self.sched.remove_vm(self.now, name);
    }

    pub fn allot(&mut self, team: &str, allotment: Resources) {
        let policy = TeamPolicy {
            weight: 1,
            allotment,
            ceiling: allotment,
            unknown: Resources::ZERO,
        };
        self.sched.set_team(self.now, team, policy);
    }

    pub fn submit(&mut self, spec: JobSpec) -> Result<(), Reason> {
        self.sched.submit(self.now, queued(spec))
    }

    pub fn accept(&mut self, spec: JobSpec) {
        assert_eq!(self.submit(spec), Ok(()));
    }

    /// Runs for a time, in steps.
    pub fn run(&mut self, time: Duration, step: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += step;
            self.end_due();
            self.report();
            self.decide();
        }
    }

    pub fn decide(&mut self) -> Vec<Decision> {
        let decisions = self.sched.decide(self.now, LIMIT);
        for decision in &decisions {
            self.carry_out(decision);
        }
        self.check();
        decisions
    }

    pub fn report(&mut self) {
        for (vm, tasks) in &self.vms {
            let running: Vec<RunningTask> = tasks.iter().map(running).collect();
            self.sched.record_report(self.now, vm, &running);
        }
    }

    /// Number of running tasks that a test picks.
    pub fn count(&self, pick: impl Fn(&Live) -> bool) -> usize {
        self.vms
            .values()
            .flatten()
            .filter(|live| pick(live))
            .count()
    }

    /// Processor time that a team's tasks hold.
    pub fn cores_of(&self, team: &str) -> u32 {
        let tasks = self.vms.values().flatten();
        let of_team = tasks.filter(|live| *live.start.team == *team);
        of_team.map(|live| live.start.size.cpu_milli / 1_000).sum()
    }

    /// When a job's first task was started.
    pub fn start_of(&self, job: &str) -> Option<Now> {
        let mut started = self.started.iter();
        started
            .find(|(_, _, start)| *start.task.job == *job)
            .map(|(at, _, _)| *at)
    }

    /// When a job's last task ended by itself.
    pub fn end_of(&self, job: &str) -> Option<Now> {
        let ended = self.ended.iter().rev();
        let mut done = ended.filter(|(_, end)| end.outcome == TaskOutcome::Done);
        done.find(|(_, end)| *end.task.job == *job)
            .map(|(at, _)| *at)
    }

    pub fn end_due(&mut self) {
        let now = self.now;
        for (vm, tasks) in &mut self.vms {
            let due = |live: &Live| live.ends.is_some_and(|(at, _)| at <= now);
            let ended: Vec<Live> = tasks.iter().filter(|live| due(live)).cloned().collect();
            tasks.retain(|live| !due(live));
            for live in ended {
                let end = end(&live.start, live.ends.expect("it is due").1);
                self.sched.record_task_end(now, vm, &end);
                self.ended.push((now, end));
            }
        }
    }

    fn carry_out(&mut self, decision: &Decision) {
        match decision {
            Decision::Start { vm, start } => {
                let ends = (self.behaviour.life)(vm, start);
                let live = Live {
                    used: (self.behaviour.usage)(start).unwrap_or(start.size),
                    state: TaskState::Running,
                    ends: ends.map(|(time, outcome)| (self.now + time, outcome)),
                    start: start.clone(),
                };
                let tasks = self
                    .vms
                    .get_mut(vm)
                    .expect("a start names a VM of the zone");
                tasks.push(live);
                self.started.push((self.now, vm.clone(), start.clone()));
            }
            Decision::Act { vm, action } => {
                self.others.push((self.now, decision.clone()));
                let tasks = self.vms.get_mut(vm).into_iter().flatten();
                let checkpoint = self.behaviour.checkpoint;
                for live in tasks.filter(|live| live.start.task == action.task) {
                    act(live, action.kind, self.now, checkpoint);
                }
            }
            other => self.others.push((self.now, other.clone())),
        }
    }

    /// What must always hold.
    fn check(&self) {
        let mut present = BTreeSet::new();
        for (vm, tasks) in &self.vms {
            let sizes = tasks.iter().map(|live| live.start.size);
            let held = sizes.fold(Resources::ZERO, |sum, size| sum.plus(&size));
            let fits = CAPACITY.holds(&held);
            assert!(fits, "{vm} holds {held:?}");
            for live in tasks {
                let task = &live.start.task;
                let first = present.insert((&task.job, task.index));
                assert!(first, "{task:?} runs twice");
            }
        }
    }
}

fn act(live: &mut Live, kind: ActionKind, now: Now, checkpoint: Option<Duration>) {
    match kind {
        ActionKind::Stop => live.ends = Some((now, TaskOutcome::Stopped)),
        ActionKind::Checkpoint => {
            live.state = TaskState::Checkpointing;
            if let Some(time) = checkpoint {
                live.ends = Some((now + time, TaskOutcome::Checkpointed));
            }
        }
        ActionKind::Throttle => {
            live.state = TaskState::Throttled;
            live.used.cpu_milli = live.used.cpu_milli.min(live.start.size.cpu_milli);
        }
    }
}

pub fn running(live: &Live) -> RunningTask {
    RunningTask {
        task: live.start.task.clone(),
        team: live.start.team.clone(),
        size: live.start.size,
        used: live.used,
        state: live.state,
    }
}

pub fn end(start: &StartTask, outcome: TaskOutcome) -> EndedTask {
    EndedTask {
        task: start.task.clone(),
        team: start.team.clone(),
        outcome,
    }
}

/// A batch job of team `bakers` with tasks of 1 GiB that run for a minute.
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

pub fn of_team(team: &str, spec: JobSpec) -> JobSpec {
    JobSpec {
        team: team.into(),
        ..spec
    }
}

pub fn lasting(run_time: Duration, spec: JobSpec) -> JobSpec {
    JobSpec {
        run_time: Some(run_time),
        ..spec
    }
}

pub fn queued(spec: JobSpec) -> QueuedJob {
    let pending = (0..spec.count)
        .map(|index| PendingTask { index, attempt: 0 })
        .collect();
    QueuedJob {
        spec,
        age: Duration::ZERO,
        pending,
    }
}
