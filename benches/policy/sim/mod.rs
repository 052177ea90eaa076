//! Event loop over a policy: VMs that run, fail, checkpoint and report in virtual time.

mod tasks;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use ragwortstall::core::model::EndedTask;
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

use self::tasks::CHECKPOINT_TIME;
use crate::measure::Measures;
use crate::policy::Policy;
use crate::share;
use crate::workload::Arrival;
use crate::workload::Truth;
use crate::workload::VM_CAPACITY;
use crate::workload::Workload;

/// Time between rounds of decisions while something happens, as in the daemon.
const ROUND_EVERY: Duration = Duration::from_millis(100);

/// Time between rounds when nothing happens.
const IDLE_ROUND_EVERY: Duration = Duration::from_secs(1);

/// Decisions in one round.
const ROUND_LIMIT: usize = 256;

/// Time between reports of one VM.
const REPORT_EVERY: Duration = Duration::from_secs(5);

/// Time between samples of packing and shares.
const SAMPLE_EVERY: Duration = Duration::from_secs(10);

/// A task on a VM.
#[derive(Clone, Debug)]
pub struct Live {
    pub start: StartTask,
    pub used: Resources,
    pub state: TaskState,
    pub started: Now,
    serial: u64,
    /// Run time still needed at full speed, as of `counted`; `None` for a service.
    left: Option<Duration>,
    counted: Now,
    /// When it will have run to its end.
    ends: Now,
}

/// One VM.
#[derive(Clone, Debug)]
pub struct SimVm {
    pub spec: VmSpec,
    pub tasks: Vec<Live>,
    pub up: bool,
    fails: bool,
    /// Speed of its tasks: below one while they use more processor time than it has.
    speed: f64,
}

/// A job as the loop knows it.
#[derive(Debug)]
pub struct SimJob {
    pub spec: JobSpec,
    pub truth: Truth,
    pub submitted: Now,
    /// Tasks that wait.
    pub waiting: u32,
    pub done: u32,
    wanted: bool,
    started: Vec<bool>,
    /// Run time that checkpointed tasks still need, by index.
    left: HashMap<u32, Duration>,
}

impl SimJob {
    /// Tasks that were wanted and never started.
    pub fn never_started(&self) -> usize {
        if self.wanted {
            self.started.iter().filter(|started| !**started).count()
        } else {
            0
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    End { vm: usize, serial: u64, outcome: u8 },
    Report(usize),
    Sample,
}

const OUTCOMES: [TaskOutcome; 4] = [
    TaskOutcome::Done,
    TaskOutcome::Failed,
    TaskOutcome::Stopped,
    TaskOutcome::Checkpointed,
];

/// The loop.
pub struct Sim<'a> {
    policy: &'a mut dyn Policy,
    workload: &'a Workload,
    now: Now,
    pub vms: Vec<SimVm>,
    vm_names: HashMap<Box<str>, usize>,
    pub jobs: HashMap<JobId, SimJob>,
    due: BinaryHeap<Reverse<(Now, u64, Due)>>,
    serial: u64,
    /// What waits, by team.
    waiting: Vec<[f64; 2]>,
    measures: Measures,
    in_policy: Duration,
}

/// Runs a workload under a policy.
pub fn run(workload: &Workload, policy: &mut dyn Policy) -> Measures {
    let mut sim = Sim::new(workload, policy);
    sim.run();
    let Sim {
        mut measures,
        in_policy,
        jobs,
        ..
    } = sim;
    measures.in_policy = in_policy;
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
            vm_names: HashMap::new(),
            jobs: HashMap::new(),
            due: BinaryHeap::new(),
            serial: 0,
            waiting: vec![[0.0; 2]; workload.teams.len()],
            measures: Measures::new(workload),
            in_policy: Duration::ZERO,
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
        sim.push(SAMPLE_EVERY, Due::Sample);
        sim
    }

    fn add_vm(&mut self, n: usize) {
        let spec = VmSpec {
            id: format!("vm-{n}").into(),
            rack: format!("rack-{}", n / self.workload.vms_a_rack).into(),
            capacity: VM_CAPACITY,
        };
        self.policy.vm_gained(Now::ZERO, spec.clone());
        self.vm_names.insert(spec.id.clone(), n);
        self.vms.push(SimVm {
            spec,
            tasks: Vec::new(),
            up: true,
            fails: false,
            speed: 1.0,
        });
        let stagger = REPORT_EVERY * u32::try_from(n % 50).unwrap_or(0) / 50;
        self.push(stagger, Due::Report(n));
    }

    fn push(&mut self, at: Now, due: Due) {
        self.serial += 1;
        self.due.push(Reverse((at, self.serial, due)));
    }

    fn run(&mut self) {
        let mut next_arrival = 0;
        let mut last_round = Now::ZERO;
        let mut stirred = true;
        while self.now < self.workload.length {
            let arrivals = &self.workload.arrivals;
            let every = if stirred {
                ROUND_EVERY
            } else {
                IDLE_ROUND_EVERY
            };
            let round = last_round + every;
            let due = self.due.peek().map_or(Now::MAX, |Reverse((at, _, _))| *at);
            let arrival = arrivals.get(next_arrival).map_or(Now::MAX, |(at, _)| *at);
            let at = round.min(due).min(arrival);
            self.now = at.max(self.now);
            if arrival <= at {
                self.arrive(&arrivals[next_arrival].1);
                next_arrival += 1;
                stirred = true;
            } else if due <= at {
                stirred |= self.happen();
            } else {
                last_round = self.now;
                stirred = self.round();
            }
        }
    }

    fn timed<T>(&mut self, call: impl FnOnce(&mut dyn Policy) -> T) -> T {
        let begin = Instant::now();
        let result = call(self.policy);
        self.in_policy += begin.elapsed();
        result
    }

    fn arrive(&mut self, arrival: &Arrival) {
        let now = self.now;
        match arrival {
            Arrival::Job(spec, truth) => self.submit(spec, truth),
            Arrival::Service(spec, truth) => {
                self.know(spec, truth);
                let spec = spec.clone();
                self.timed(|policy| policy.set_service(now, spec));
            }
            Arrival::Cancel(id) => {
                self.unwant(id);
                self.timed(|policy| policy.cancel(now, id));
            }
            Arrival::VmLost(vm) => self.lose_vm(*vm),
            Arrival::VmGained(vm) => {
                self.vms[*vm].up = true;
                let spec = self.vms[*vm].spec.clone();
                self.timed(|policy| policy.vm_gained(now, spec));
            }
            Arrival::VmFails(vm, fails) => self.vms[*vm].fails = *fails,
        }
    }

    fn know(&mut self, spec: &JobSpec, truth: &Truth) {
        let job = SimJob {
            spec: spec.clone(),
            truth: truth.clone(),
            submitted: self.now,
            waiting: spec.count,
            done: 0,
            wanted: true,
            started: vec![false; spec.count as usize],
            left: HashMap::new(),
        };
        self.jobs.insert(spec.id.clone(), job);
        self.count_waiting(spec, f64::from(spec.count));
    }

    fn count_waiting(&mut self, spec: &JobSpec, times: f64) {
        let mut teams = self.workload.teams.iter();
        let at = teams.position(|(team, _, _)| *team == spec.team);
        let at = at.expect("the team is of the workload");
        self.waiting[at] = share::add(self.waiting[at], &spec.size, times);
    }

    /// Nothing more of a job is to be run.
    fn unwant(&mut self, id: &str) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.wanted = false;
        let waiting = std::mem::take(&mut job.waiting);
        let spec = job.spec.clone();
        self.count_waiting(&spec, -f64::from(waiting));
    }

    fn submit(&mut self, spec: &JobSpec, truth: &Truth) {
        self.know(spec, truth);
        let pending = (0..spec.count)
            .map(|index| PendingTask { index, attempt: 0 })
            .collect();
        let job = QueuedJob {
            spec: spec.clone(),
            age: Duration::ZERO,
            pending,
        };
        let now = self.now;
        let accepted = self.timed(|policy| policy.submit(now, job));
        assert_eq!(accepted, Ok(()), "{}", spec.id);
    }

    fn lose_vm(&mut self, vm: usize) {
        self.vms[vm].up = false;
        self.vms[vm].speed = 1.0;
        for live in std::mem::take(&mut self.vms[vm].tasks) {
            self.measures.lost_to_faults(&live, self.now);
            self.wait_again(&live.start);
        }
        let (now, id) = (self.now, self.vms[vm].spec.id.clone());
        self.timed(|policy| policy.vm_lost(now, &id));
    }

    fn wait_again(&mut self, start: &StartTask) {
        if let Some(job) = self.jobs.get_mut(&start.task.job)
            && job.wanted
            && (job.spec.restartable || job.truth.run_time.is_none())
        {
            job.waiting += 1;
            let spec = job.spec.clone();
            self.count_waiting(&spec, 1.0);
        }
    }

    /// Takes what is due; returns whether it may lead to a decision.
    fn happen(&mut self) -> bool {
        let Some(Reverse((_, _, due))) = self.due.pop() else {
            return false;
        };
        match due {
            Due::End {
                vm,
                serial,
                outcome,
            } => self.end(vm, serial, OUTCOMES[outcome as usize]),
            Due::Report(vm) => {
                self.report(vm);
                self.push(self.now + REPORT_EVERY, Due::Report(vm));
                false
            }
            Due::Sample => {
                if self.now >= self.workload.warm_up {
                    let now = self.now;
                    self.measures.sample(now, &self.vms, &self.waiting);
                }
                self.push(self.now + SAMPLE_EVERY, Due::Sample);
                false
            }
        }
    }

    fn report(&mut self, vm: usize) {
        if !self.vms[vm].up {
            return;
        }
        let running: Vec<RunningTask> = self.vms[vm]
            .tasks
            .iter()
            .map(|live| RunningTask {
                task: live.start.task.clone(),
                team: live.start.team.clone(),
                size: live.start.size,
                used: live.used,
                state: live.state,
            })
            .collect();
        let (now, id) = (self.now, self.vms[vm].spec.id.clone());
        self.timed(|policy| policy.reported(now, &id, &running));
        self.kill_for_memory(vm);
    }

    fn end(&mut self, vm: usize, serial: u64, outcome: TaskOutcome) -> bool {
        let tasks = &mut self.vms[vm].tasks;
        let Some(at) = tasks.iter().position(|live| live.serial == serial) else {
            return false;
        };
        if outcome == TaskOutcome::Done && self.now < tasks[at].ends {
            return false;
        }
        let live = tasks.swap_remove(at);
        let left = self.left_of(vm, &live);
        self.settle(&live, left, outcome);
        self.keep_pace(vm);
        let end = EndedTask {
            task: live.start.task.clone(),
            team: live.start.team.clone(),
            outcome,
        };
        let (now, id) = (self.now, self.vms[vm].spec.id.clone());
        self.timed(|policy| policy.ended(now, &id, &end));
        true
    }

    fn settle(&mut self, live: &Live, left: Duration, outcome: TaskOutcome) {
        let index = live.start.task.index;
        let wanted = self.jobs[&live.start.task.job].wanted;
        let job = self
            .jobs
            .get_mut(&live.start.task.job)
            .expect("it was submitted");
        match outcome {
            TaskOutcome::Done => {
                job.done += 1;
                self.measures.done(job.truth.kind, live, self.now);
                return;
            }
            TaskOutcome::Failed => self.measures.lost_to_faults(live, self.now),
            TaskOutcome::Stopped if wanted => self.measures.lost_to_preemption(live, self.now),
            TaskOutcome::Stopped => {}
            TaskOutcome::Checkpointed => {
                job.left.insert(index, left + Duration::from_millis(1));
                self.measures.checkpointed(live, CHECKPOINT_TIME);
            }
        }
        self.wait_again(&live.start);
    }

    /// One round of decisions; returns whether there were any.
    fn round(&mut self) -> bool {
        let now = self.now;
        let begin = Instant::now();
        let decisions = self.policy.decide(now, ROUND_LIMIT);
        let spent = begin.elapsed();
        self.in_policy += spent;
        self.measures.round(spent, decisions.len());
        for decision in &decisions {
            match decision {
                Decision::Start { vm, start } => self.start(vm, start),
                Decision::Act { vm, action } => self.act(vm, action),
                Decision::Fail { job, .. } => self.fail(job),
                Decision::Lost { .. } => {}
                Decision::Quarantine { .. } => self.measures.quarantines += 1,
            }
        }
        !decisions.is_empty()
    }

    fn fail(&mut self, job: &str) {
        self.unwant(job);
        self.measures.given_up += 1;
    }

    fn start(&mut self, vm: &str, start: &StartTask) {
        let vm = self.vm_names[vm];
        let job = self
            .jobs
            .get_mut(&start.task.job)
            .expect("it was submitted");
        let spec = job.spec.clone();
        let counted = job.waiting.min(1);
        job.waiting -= counted;
        let index = start.task.index;
        let first = !std::mem::replace(&mut job.started[index as usize], true);
        if first && self.now >= self.workload.warm_up {
            let waited = self.now.saturating_sub(job.submitted);
            self.measures.waited(job.truth.kind, waited);
        }
        let fails = self.vms[vm].fails || job.truth.fails;
        self.serial += 1;
        let live = Live {
            used: percent(&spec.size, job.truth.usage_percent),
            state: TaskState::Running,
            started: self.now,
            serial: self.serial,
            start: start.clone(),
            left: job.left.get(&index).copied().or(job.truth.run_time),
            counted: self.now,
            ends: Now::MAX,
        };
        self.count_waiting(&spec, -f64::from(counted));
        self.put(vm, live, fails);
    }
}

fn percent(size: &Resources, percent: u32) -> Resources {
    Resources {
        cpu_milli: size.cpu_milli * percent / 100,
        mem_mib: size.mem_mib * percent / 100,
        ..*size
    }
}
