//! Discrete-event simulation of a zone in virtual time, driven by a workload and scheduled by a
//! policy.

mod tasks;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use ragwortstall::core::model::JobId;
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
use ragwortstall::core::sched::TeamPolicy;
use ragwortstall::core::sched::VmSpec;

use crate::measure::Measures;
use crate::policy::Policy;
use crate::share;
use crate::workload::TaskProfile;
use crate::workload::VM_CAPACITY;
use crate::workload::Workload;
use crate::workload::WorkloadEvent;

/// Interval between scheduling rounds after a change; the daemon has one of 80 ms.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between scheduling rounds without a change.
const IDLE_ROUND_INTERVAL: Duration = Duration::from_secs(1);

const MAX_DECISIONS_PER_ROUND: usize = 256;

/// Interval between the reports of one VM.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Interval between samples of packing and shares.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(10);

/// A task on a VM.
#[derive(Clone, Debug)]
pub struct SimTask {
    pub start: StartTask,
    pub used: Resources,
    pub state: TaskState,
    pub started_at: Now,
    /// Identifier of this run of the task.
    serial: u64,
    /// Run time still needed at full speed, as of `remaining_as_of`; `None` for a service.
    remaining: Option<Duration>,
    remaining_as_of: Now,
    /// When the task completes at the VM's present speed.
    ends_at: Now,
}

#[derive(Clone, Debug)]
pub struct SimVm {
    pub spec: VmSpec,
    pub tasks: Vec<SimTask>,
    pub up: bool,
    /// Whether every task that starts on the VM fails.
    is_faulty: bool,
    /// Speed of the tasks; below 1.0 while they need more processor time than the VM has.
    speed: f64,
}

/// State of a job.
#[derive(Debug)]
pub struct SimJob {
    pub spec: JobSpec,
    pub profile: TaskProfile,
    pub submitted: Now,
    /// Number of waiting tasks.
    pub waiting: u32,
    /// Number of completed tasks.
    pub done: u32,
    /// Whether the job was neither cancelled nor failed by the policy.
    is_active: bool,
    /// Whether each task has ever started.
    started: Vec<bool>,
    /// Run time that checkpointed tasks still need, by index.
    remaining: HashMap<u32, Duration>,
}

impl SimJob {
    /// Returns the number of tasks that never started, or zero if the job is not active.
    pub fn never_started_count(&self) -> usize {
        if self.is_active {
            self.started.iter().filter(|started| !**started).count()
        } else {
            0
        }
    }
}

/// Internal event; `outcome` is an index in [`OUTCOMES`], since [`TaskOutcome`] is not ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    TaskEnd { vm: usize, serial: u64, outcome: u8 },
    Report(usize),
    Sample,
}

const OUTCOMES: [TaskOutcome; 4] = [
    TaskOutcome::Done,
    TaskOutcome::Failed,
    TaskOutcome::Stopped,
    TaskOutcome::Checkpointed,
];

/// State of the simulation.
pub struct Sim<'a> {
    policy: &'a mut dyn Policy,
    workload: &'a Workload,
    now: Now,
    pub vms: Vec<SimVm>,
    vm_indexes: HashMap<Box<str>, usize>,
    pub jobs: HashMap<JobId, SimJob>,
    /// Events by time; those at the same time in the order in which they were scheduled.
    queue: BinaryHeap<Reverse<(Now, u64, SimEvent)>>,
    /// Last serial number given to an event or a run of a task.
    serial: u64,
    /// Declared processors and memory of the waiting tasks, by team.
    waiting_demand: Vec<[f64; 2]>,
    measures: Measures,
    /// Real time spent in the policy.
    policy_time: Duration,
}

/// Runs a workload under a policy and returns the measures.
pub fn run(workload: &Workload, policy: &mut dyn Policy) -> Measures {
    let mut sim = Sim::new(workload, policy);
    sim.run();
    let Sim {
        mut measures,
        policy_time,
        jobs,
        ..
    } = sim;
    measures.policy_time = policy_time;
    measures.finish(workload, &jobs);
    measures
}

impl<'a> Sim<'a> {
    fn new(workload: &'a Workload, policy: &'a mut dyn Policy) -> Self {
        let mut sim = Self {
            policy,
            workload,
            now: Now::ZERO,
            vms: Vec::new(),
            vm_indexes: HashMap::new(),
            jobs: HashMap::new(),
            queue: BinaryHeap::new(),
            serial: 0,
            waiting_demand: vec![[0.0; 2]; workload.teams.len()],
            measures: Measures::new(workload),
            policy_time: Duration::ZERO,
        };
        for (team, weight, allotment) in &workload.teams {
            let policy = TeamPolicy {
                weight: *weight,
                allotment: *allotment,
                ceiling: *allotment,
                unknown: Resources::ZERO,
            };
            sim.policy.set_team(Now::ZERO, team, policy);
        }
        for n in 0..workload.vms {
            sim.add_vm(n);
        }
        sim.schedule(SAMPLE_INTERVAL, SimEvent::Sample);
        sim
    }

    fn add_vm(&mut self, n: usize) {
        let spec = VmSpec {
            id: format!("vm-{n}").into(),
            rack: format!("rack-{}", n / self.workload.vms_per_rack).into(),
            capacity: VM_CAPACITY,
        };
        self.policy.add_vm(Now::ZERO, spec.clone());
        self.vm_indexes.insert(spec.id.clone(), n);
        self.vms.push(SimVm {
            spec,
            tasks: Vec::new(),
            up: true,
            is_faulty: false,
            speed: 1.0,
        });
        let stagger = REPORT_INTERVAL * u32::try_from(n % 50).unwrap_or(0) / 50;
        self.schedule(stagger, SimEvent::Report(n));
    }

    fn schedule(&mut self, at: Now, event: SimEvent) {
        self.serial += 1;
        self.queue.push(Reverse((at, self.serial, event)));
    }

    fn run(&mut self) {
        let mut next_event = 0;
        let mut last_round = Now::ZERO;
        let mut has_changed = true;
        while self.now < self.workload.duration {
            let events = &self.workload.events;
            let interval = if has_changed {
                ROUND_INTERVAL
            } else {
                IDLE_ROUND_INTERVAL
            };
            let round_at = last_round + interval;
            let internal_at = self
                .queue
                .peek()
                .map_or(Now::MAX, |Reverse((at, _, _))| *at);
            let external_at = events.get(next_event).map_or(Now::MAX, |(at, _)| *at);
            let at = round_at.min(internal_at).min(external_at);
            self.now = at.max(self.now);
            if external_at <= at {
                self.apply_workload_event(&events[next_event].1);
                next_event += 1;
                has_changed = true;
            } else if internal_at <= at {
                has_changed |= self.process_event();
            } else {
                last_round = self.now;
                has_changed = self.run_round();
            }
        }
    }

    /// Calls the policy and adds the time that it takes to `policy_time`.
    fn call_policy<T>(&mut self, call: impl FnOnce(&mut dyn Policy) -> T) -> T {
        let begin = Instant::now();
        let result = call(self.policy);
        self.policy_time += begin.elapsed();
        result
    }

    fn apply_workload_event(&mut self, event: &WorkloadEvent) {
        let now = self.now;
        match event {
            WorkloadEvent::Submit(spec, profile) => self.submit(spec, profile),
            WorkloadEvent::SetService(spec, profile) => {
                self.register_job(spec, profile);
                let spec = spec.clone();
                self.call_policy(|policy| policy.set_service(now, spec));
            }
            WorkloadEvent::Cancel(id) => {
                self.deactivate_job(id);
                self.call_policy(|policy| policy.cancel(now, id));
            }
            WorkloadEvent::VmDown(vm) => self.take_vm_down(*vm),
            WorkloadEvent::VmUp(vm) => {
                self.vms[*vm].up = true;
                let spec = self.vms[*vm].spec.clone();
                self.call_policy(|policy| policy.add_vm(now, spec));
            }
            WorkloadEvent::SetVmFaulty(vm, is_faulty) => self.vms[*vm].is_faulty = *is_faulty,
        }
    }

    fn register_job(&mut self, spec: &JobSpec, profile: &TaskProfile) {
        let job = SimJob {
            spec: spec.clone(),
            profile: profile.clone(),
            submitted: self.now,
            waiting: spec.count,
            done: 0,
            is_active: true,
            started: vec![false; spec.count as usize],
            remaining: HashMap::new(),
        };
        self.jobs.insert(spec.id.clone(), job);
        self.add_waiting_demand(spec, f64::from(spec.count));
    }

    /// Adds `factor` tasks of a job to the waiting demand of its team.
    fn add_waiting_demand(&mut self, spec: &JobSpec, factor: f64) {
        let mut teams = self.workload.teams.iter();
        let at = teams.position(|(team, _, _)| *team == spec.team);
        let at = at.expect("the team is of the workload");
        self.waiting_demand[at] = share::add_scaled(self.waiting_demand[at], &spec.size, factor);
    }

    /// Removes the waiting tasks of a job that was cancelled or failed.
    fn deactivate_job(&mut self, id: &str) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.is_active = false;
        let waiting = std::mem::take(&mut job.waiting);
        let spec = job.spec.clone();
        self.add_waiting_demand(&spec, -f64::from(waiting));
    }

    fn submit(&mut self, spec: &JobSpec, profile: &TaskProfile) {
        self.register_job(spec, profile);
        let pending = (0..spec.count)
            .map(|index| PendingTask { index, attempt: 0 })
            .collect();
        let job = QueuedJob {
            spec: spec.clone(),
            age: Duration::ZERO,
            pending,
        };
        let now = self.now;
        let accepted = self.call_policy(|policy| policy.submit(now, job));
        assert_eq!(accepted, Ok(()), "{}", spec.id);
    }

    /// Ends all tasks of a VM and removes it from the policy.
    fn take_vm_down(&mut self, vm: usize) {
        self.vms[vm].up = false;
        self.vms[vm].speed = 1.0;
        for task in std::mem::take(&mut self.vms[vm].tasks) {
            self.measures.record_fault(&task, self.now);
            self.requeue(&task.start);
        }
        let (now, id) = (self.now, self.vms[vm].spec.id.clone());
        self.call_policy(|policy| policy.remove_vm(now, &id));
    }

    /// Counts a task that ended early as waiting again, if it may be restarted.
    fn requeue(&mut self, start: &StartTask) {
        if let Some(job) = self.jobs.get_mut(&start.task.job)
            && job.is_active
            && (job.spec.restartable || job.profile.run_time.is_none())
        {
            job.waiting += 1;
            let spec = job.spec.clone();
            self.add_waiting_demand(&spec, 1.0);
        }
    }

    /// Processes the next internal event; returns whether it may lead to a decision.
    fn process_event(&mut self) -> bool {
        let Some(Reverse((_, _, event))) = self.queue.pop() else {
            return false;
        };
        match event {
            SimEvent::TaskEnd {
                vm,
                serial,
                outcome,
            } => self.end_task(vm, serial, OUTCOMES[outcome as usize]),
            SimEvent::Report(vm) => {
                self.report_vm(vm);
                self.schedule(self.now + REPORT_INTERVAL, SimEvent::Report(vm));
                false
            }
            SimEvent::Sample => {
                if self.now >= self.workload.warm_up {
                    let now = self.now;
                    self.measures.sample(now, &self.vms, &self.waiting_demand);
                }
                self.schedule(self.now + SAMPLE_INTERVAL, SimEvent::Sample);
                false
            }
        }
    }

    fn report_vm(&mut self, vm: usize) {
        if !self.vms[vm].up {
            return;
        }
        let running: Vec<RunningTask> = self.vms[vm]
            .tasks
            .iter()
            .map(|task| RunningTask {
                task: task.start.task.clone(),
                team: task.start.team.clone(),
                size: task.start.size,
                used: task.used,
                state: task.state,
            })
            .collect();
        let (now, id) = (self.now, self.vms[vm].spec.id.clone());
        self.call_policy(|policy| policy.record_report(now, &id, &running));
        self.kill_on_memory_exhaustion(vm);
    }

    /// Runs a scheduling round and carries its decisions out; returns whether there were any.
    fn run_round(&mut self) -> bool {
        let now = self.now;
        let begin = Instant::now();
        let decisions = self.policy.decide(now, MAX_DECISIONS_PER_ROUND);
        let time = begin.elapsed();
        self.policy_time += time;
        self.measures.record_round(time, decisions.len());
        for decision in &decisions {
            match decision {
                Decision::Start { vm, start } => self.start_task(vm, start),
                Decision::Act { vm, action } => self.apply_action(vm, action),
                Decision::Fail { job, .. } => self.fail_job(job),
                Decision::Lost { .. } => {}
                Decision::Quarantine { .. } => self.measures.quarantines += 1,
            }
        }
        !decisions.is_empty()
    }

    fn fail_job(&mut self, job: &str) {
        self.deactivate_job(job);
        self.measures.failed_jobs += 1;
    }

    fn start_task(&mut self, vm: &str, start: &StartTask) {
        let vm = self.vm_indexes[vm];
        let job = self
            .jobs
            .get_mut(&start.task.job)
            .expect("it was submitted");
        let spec = job.spec.clone();
        let was_waiting = job.waiting.min(1);
        job.waiting -= was_waiting;
        let index = start.task.index;
        let first = !std::mem::replace(&mut job.started[index as usize], true);
        if first && self.now >= self.workload.warm_up {
            let waited = self.now.saturating_sub(job.submitted);
            self.measures.record_wait(job.profile.kind, waited);
        }
        let fails = self.vms[vm].is_faulty || job.profile.fails;
        self.serial += 1;
        let task = SimTask {
            used: scale(&spec.size, job.profile.usage_percent),
            state: TaskState::Running,
            started_at: self.now,
            serial: self.serial,
            start: start.clone(),
            remaining: job.remaining.get(&index).copied().or(job.profile.run_time),
            remaining_as_of: self.now,
            ends_at: Now::MAX,
        };
        self.add_waiting_demand(&spec, -f64::from(was_waiting));
        self.add_task(vm, task, fails);
    }
}

/// Returns a percentage of the processors and memory of a size.
fn scale(size: &Resources, percent: u32) -> Resources {
    Resources {
        cpu_milli: size.cpu_milli * percent / 100,
        mem_mib: size.mem_mib * percent / 100,
        ..*size
    }
}
