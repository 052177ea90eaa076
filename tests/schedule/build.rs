//! Setup of a simulated cell: records, members, daemons and VMs.

use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;

use ragwortstall::core::Options;
use ragwortstall::core::State;
use ragwortstall::core::model::JobKind;
use ragwortstall::core::model::JobSpec;
use ragwortstall::core::model::Member;
use ragwortstall::core::model::Resources;
use ragwortstall::core::model::Txn;
use ragwortstall::core::model::Write;
use ragwortstall_standins::platform::Members;
use ragwortstall_standins::platform::Table;
use ragwortstall_standins::worker::VmModel;
use rand::Rng;

use super::check::CompletedTasks;
use super::harness::Daemon;
use super::harness::Delivery;
use super::harness::Harness;
use super::harness::PlanStep;
use super::harness::Vm;
use super::harness::rng_from_seed;
use super::network::Network;
use super::plan::Plan;
use super::plan::Setup;
use super::plan::Submission;

/// Capacity of each VM.
const VM_CAPACITY: Resources = Resources::new(4_000, 16_384, 0, 100);

/// Size of each task.
const TASK_SIZE: Resources = Resources::new(1_000, 1_024, 0, 1);

/// Limit of each team, in tasks of [`TASK_SIZE`].
const TEAM_TASK_LIMITS: [u32; 3] = [7, 5, 6];

/// Number of instances of the service, which belongs to the last team.
const SERVICE_INSTANCES: u32 = 4;

/// Delay after which a change appears in the membership list.
const MEMBERSHIP_LAG: Duration = Duration::from_millis(500);

/// Delay between a submission and its repetition.
const REPEAT_DELAY: Duration = Duration::from_millis(200);

impl Harness {
    /// Returns a cell whose daemons are about to start.
    pub fn new(setup: Setup, plan: Plan) -> Self {
        let mut harness = Self {
            setup,
            now: Duration::ZERO,
            rng: rng_from_seed(plan.seed),
            plan,
            queue: BinaryHeap::new(),
            deliveries: BTreeMap::new(),
            calls: BTreeMap::new(),
            counter: 0,
            network: Network::new(setup),
            daemons: Vec::new(),
            vms: Vec::new(),
            vm_models: Vec::new(),
            table: initial_table(),
            members: Members::default(),
            platform_down_until: Duration::ZERO,
            platform_slow_until: Duration::ZERO,
            answers_lost_until: Duration::ZERO,
            limits: limits(),
            tickets: BTreeMap::new(),
            job_answers: BTreeMap::new(),
            completed_tasks: CompletedTasks::default(),
            violation: None,
            timeline: Vec::new(),
        };
        harness.add_vms();
        for daemon in 0..setup.zones * setup.daemons_per_zone {
            harness.daemons.push(Daemon {
                state: None,
                started_at: Duration::ZERO,
                drift_ppm: 0,
                paused_until: Duration::ZERO,
            });
            harness.start_daemon(daemon);
        }
        harness.schedule_plan();
        harness
    }

    /// Starts a daemon unless it is running.
    pub fn start_daemon(&mut self, daemon: usize) {
        if self.daemons[daemon].state.is_some() {
            return;
        }
        let drift_ppm = self.random_drift_ppm(1);
        let state = State::new(self.options(daemon));
        // The start time identifies this start of the daemon, so each start needs a different one.
        let started_at = self.now + Duration::from_micros(self.rng.random_range(1..100_000));
        self.daemons[daemon] = Daemon {
            state: Some(state),
            started_at,
            drift_ppm,
            paused_until: Duration::ZERO,
        };
        self.push(started_at, Delivery::Tick { daemon, started_at });
    }

    /// Returns the membership list's entry of a VM.
    pub fn vm_member(&self, vm: usize) -> Member {
        let id = vm_name(vm);
        let zone = zone_name(vm / self.setup.vms_per_zone);
        Member::worker(&id, &id, &zone, "r", VM_CAPACITY)
    }

    fn options(&self, daemon: usize) -> Options {
        let zone = zone_name(self.daemon_zone(daemon));
        let daemons = self.setup.zones * self.setup.daemons_per_zone;
        let seeds = (0..daemons)
            .map(|daemon| self.entry_member(daemon))
            .collect();
        Options {
            seeds,
            clock_origin: self.now,
            lease: self.setup.lease,
            safeguards: self.setup.safeguards,
            heartbeat_every: Duration::from_millis(300),
            peer_timeout: Duration::from_secs(1),
            zone_timeout: Duration::from_secs(10),
            drain_timeout: Duration::from_secs(5),
            ..Options::new(daemon_name(daemon), zone)
        }
    }

    fn entry_member(&self, daemon: usize) -> Member {
        let id = daemon_name(daemon);
        Member::entry(&id, &id, &id, &zone_name(self.daemon_zone(daemon)))
    }

    fn add_vms(&mut self) {
        self.members.set_lag(MEMBERSHIP_LAG);
        for daemon in 0..self.setup.zones * self.setup.daemons_per_zone {
            let member = self.entry_member(daemon);
            self.members.put(Duration::ZERO, member);
        }
        for vm in 0..self.setup.zones * self.setup.vms_per_zone {
            let drift_ppm = self.random_drift_ppm(-1);
            let mut model = VmModel::new(vm_name(vm), VM_CAPACITY);
            model.faults.unfenced = self.setup.unfenced;
            self.vm_models.push(model);
            self.vms.push(Vm {
                started_at: Duration::ZERO,
                drift_ppm,
                up: true,
                paused_until: Duration::ZERO,
            });
            let member = self.vm_member(vm);
            self.members.put(Duration::ZERO, member);
        }
    }

    fn schedule_plan(&mut self) {
        for (index, submission) in self.plan.submissions.clone().into_iter().enumerate() {
            let at = submission.at;
            let repeated = false;
            self.push(
                at,
                Delivery::Plan(PlanStep::Submit {
                    submission: index,
                    repeated,
                }),
            );
            if submission.repeated {
                let repeated = true;
                self.push(
                    at + REPEAT_DELAY,
                    Delivery::Plan(PlanStep::Submit {
                        submission: index,
                        repeated,
                    }),
                );
            }
            if let Some(cancel) = submission.cancel {
                self.push(
                    at + cancel,
                    Delivery::Plan(PlanStep::Cancel { submission: index }),
                );
            }
        }
        for (fault, timed_fault) in self.plan.faults.clone().into_iter().enumerate() {
            self.push(
                timed_fault.at,
                Delivery::Plan(PlanStep::BeginFault { fault }),
            );
            self.push(
                timed_fault.at + timed_fault.duration,
                Delivery::Plan(PlanStep::EndFault { fault }),
            );
        }
    }
}

/// Returns the job of a submission.
pub fn job_spec(index: usize, submission: &Submission) -> JobSpec {
    let count = submission.count.min(TEAM_TASK_LIMITS[submission.team]);
    let mut spec = JobSpec::batch(&job_name(index), count, TASK_SIZE, submission.run_time);
    if submission.gang {
        spec.kind = JobKind::Gang;
    }
    spec
}

pub fn daemon_name(daemon: usize) -> Box<str> {
    format!("d{daemon}").into()
}

pub fn vm_name(vm: usize) -> Box<str> {
    format!("vm{vm}").into()
}

pub fn zone_name(zone: usize) -> Box<str> {
    format!("z{zone}").into()
}

pub fn job_name(submission: usize) -> Box<str> {
    format!("j{submission}").into()
}

fn limits() -> BTreeMap<Box<str>, Resources> {
    TEAM_TASK_LIMITS
        .iter()
        .enumerate()
        .map(|(team, tasks)| (format!("t{team}").into(), TASK_SIZE.times(*tasks)))
        .collect()
}

fn initial_table() -> Table {
    let mut table = Table::default();
    let mut put = |key: String, value: serde_json::Value| {
        table.commit(&Txn {
            writes: vec![Write {
                key: key.into(),
                expect: 0,
                value: Some(value.to_string().into()),
            }],
        });
    };
    for (team, limit) in limits() {
        let record = serde_json::json!({"schema": 1, "weight": 1, "limit": limit});
        put(format!("team/{team}"), record);
        let queue = serde_json::json!({"schema": 1, "team": team});
        put(format!("queue/{team}"), queue);
    }
    let service = serde_json::json!({
        "schema": 1,
        "team": "t2",
        "count": SERVICE_INSTANCES,
        "size": TASK_SIZE,
    });
    put("service/panels".into(), service);
    table
}
