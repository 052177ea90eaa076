//! Workloads: what is submitted and when, and how the tasks behave in contrast to what is declared.

use std::time::Duration;

use ragwortstall::core::model::JobId;
use ragwortstall::core::model::JobKind;
use ragwortstall::core::model::JobSpec;
use ragwortstall::core::model::Now;
use ragwortstall::core::model::Resources;
use ragwortstall::core::model::TeamId;
use ragwortstall::core::sched::Weights;
use rand::Rng;
use rand::rngs::SmallRng;

/// Actual behavior of a job's tasks, which the policy does not know in advance.
#[derive(Clone, Debug)]
pub struct TaskProfile {
    /// Kind of job, by which waits are reported.
    pub kind: &'static str,
    /// Usage of a task, in percent of its declared size.
    pub usage_percent: u32,
    /// Run time of a task at full speed; `None` for a service.
    pub run_time: Option<Duration>,
    /// Whether every task fails wherever it runs.
    pub fails: bool,
}

/// External event in the simulation.
#[derive(Clone, Debug)]
pub enum WorkloadEvent {
    Submit(JobSpec, TaskProfile),
    SetService(JobSpec, TaskProfile),
    Cancel(JobId),
    VmDown(usize),
    VmUp(usize),
    /// From now on, every task that starts on the VM fails (`true`), or no longer does.
    SetVmFaulty(usize, bool),
}

/// A zone, its teams, and the events of one run.
#[derive(Clone, Debug)]
pub struct Workload {
    pub name: &'static str,
    pub weights: Weights,
    /// Number of VMs, each of [`VM_CAPACITY`].
    pub vms: usize,
    pub vms_per_rack: usize,
    /// Name, weight and allotment of each team.
    pub teams: Vec<(TeamId, u32, Resources)>,
    pub duration: Duration,
    /// Time before which no samples are taken and no waits recorded.
    pub warm_up: Duration,
    /// In order of time.
    pub events: Vec<(Now, WorkloadEvent)>,
    /// Kind of job whose makespan is measured.
    pub makespan_kind: Option<&'static str>,
}

/// Capacity of every VM: 32 cores and 128 GiB.
pub const VM_CAPACITY: Resources = Resources::new(32_000, 131_072, 0, 256);

/// Builder of a workload's events.
pub struct WorkloadBuilder {
    pub rng: SmallRng,
    pub events: Vec<(Now, WorkloadEvent)>,
    job_count: u32,
}

/// Template of a job: what is declared, but for its identifier and name.
#[derive(Clone, Copy, Debug)]
pub struct JobShape {
    pub kind: &'static str,
    pub gang: bool,
    /// Number of tasks.
    pub count: u32,
    pub cores: u32,
    pub gib: u32,
    pub run_time: Duration,
    pub deadline: Option<Duration>,
    pub urgent: bool,
    pub restartable: bool,
}

/// A batch job of one task.
pub const SINGLE_TASK: JobShape = JobShape {
    kind: "batch",
    gang: false,
    count: 1,
    cores: 1,
    gib: 1,
    run_time: Duration::from_secs(30),
    deadline: None,
    urgent: false,
    restartable: true,
};

/// Number of job names for each kind. Jobs of one name recur and deviate from their declared size
/// in the same way, so that the scheduler can learn it.
const NAMES_PER_KIND: u32 = 12;

impl WorkloadBuilder {
    pub fn new(rng: SmallRng) -> Self {
        Self {
            rng,
            events: Vec::new(),
            job_count: 0,
        }
    }

    /// Adds a job whose actual usage and run time deviate from the declared ones.
    pub fn add_job(&mut self, at: Now, team: &str, shape: &JobShape) -> JobId {
        self.job_count += 1;
        let name = self.rng.random_range(0..NAMES_PER_KIND);
        let id: JobId = format!("{}-{}", shape.kind, self.job_count).into();
        let kind = if shape.gang {
            JobKind::Gang
        } else {
            JobKind::Batch
        };
        let run_time_percent =
            [30, 60, 80, 100, 100, 120, 150, 250][self.rng.random_range(0..8_usize)];
        let spec = JobSpec {
            id: id.clone(),
            name: format!("{}-{name}", shape.kind).into(),
            team: team.into(),
            kind,
            count: shape.count,
            size: size(shape),
            run_time: Some(shape.run_time),
            urgent: shape.urgent,
            deadline: shape.deadline,
            restartable: shape.restartable,
        };
        let profile = TaskProfile {
            kind: shape.kind,
            usage_percent: usage_percent(name),
            run_time: Some(shape.run_time * run_time_percent / 100),
            fails: false,
        };
        self.events.push((at, WorkloadEvent::Submit(spec, profile)));
        id
    }

    /// Adds a job whose tasks fail on every VM after two seconds.
    pub fn add_failing_job(&mut self, at: Now, team: &str, shape: &JobShape) {
        self.add_job(at, team, shape);
        if let Some((_, WorkloadEvent::Submit(_, profile))) = self.events.last_mut() {
            profile.fails = true;
            profile.run_time = Some(Duration::from_secs(2));
        }
    }

    /// Adds a service with `count` instances from the start of the run.
    pub fn add_service(&mut self, name: &str, team: &str, count: u32, cores: u32, gib: u32) {
        let shape = JobShape {
            kind: "service",
            count,
            cores,
            gib,
            ..SINGLE_TASK
        };
        let spec = JobSpec {
            id: name.into(),
            name: name.into(),
            team: team.into(),
            kind: JobKind::Service {
                service: name.into(),
            },
            count,
            size: size(&shape),
            run_time: None,
            urgent: false,
            deadline: None,
            restartable: true,
        };
        let profile = TaskProfile {
            kind: "service",
            usage_percent: 90,
            run_time: None,
            fails: false,
        };
        self.events
            .push((Now::ZERO, WorkloadEvent::SetService(spec, profile)));
    }

    /// Returns the event times of a Poisson process with a rate per second that varies over time.
    pub fn poisson_times(&mut self, from: Now, until: Now, rate: impl Fn(Now) -> f64) -> Vec<Now> {
        let mut times = Vec::new();
        let mut at = from;
        while at < until {
            let rate = rate(at).max(1e-6);
            let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
            at += Duration::from_secs_f64(gap.min(60.0));
            if gap < 60.0 && at < until {
                times.push(at);
            }
        }
        times
    }

    /// Returns a random time within 50 % of `time`.
    pub fn vary(&mut self, time: Duration) -> Duration {
        time.mul_f64(self.rng.random_range(0.5..1.5))
    }

    pub fn add_vm_outage(&mut self, vm: usize, from: Now, until: Now) {
        self.events.push((from, WorkloadEvent::VmDown(vm)));
        self.events.push((until, WorkloadEvent::VmUp(vm)));
    }

    pub fn add_vm_fault(&mut self, vm: usize, from: Now, until: Now) {
        self.events
            .push((from, WorkloadEvent::SetVmFaulty(vm, true)));
        self.events
            .push((until, WorkloadEvent::SetVmFaulty(vm, false)));
    }

    /// Returns the events in order of time.
    pub fn into_events(mut self) -> Vec<(Now, WorkloadEvent)> {
        self.events.sort_by_key(|(at, _)| *at);
        self.events
    }
}

fn size(shape: &JobShape) -> Resources {
    Resources::new(shape.cores * 1_000, shape.gib * 1_024, 0, 1)
}

/// Returns the actual usage of the jobs of a name, in percent of the declared size.
fn usage_percent(name: u32) -> u32 {
    [50, 70, 80, 90, 95, 100, 100, 100, 100, 110, 130, 160][name as usize]
}
