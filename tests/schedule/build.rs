//! Sets a cell up: records, members, daemons and VMs.

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

use super::check::Decisions;
use super::network::Network;
use super::plan::Plan;
use super::plan::Setup;
use super::plan::Work;
use super::world::Daemon;
use super::world::Item;
use super::world::Planned;
use super::world::Vm;
use super::world::World;
use super::world::generator;

const CAPACITY: Resources = Resources::new(4_000, 16_384, 0, 100);

const TASK: Resources = Resources::new(1_000, 1_024, 0, 1);

/// Limits of the teams, in tasks of the one size that there is.
const LIMITS: [u32; 3] = [7, 5, 6];

/// Instances of the service, which belongs to the last team.
const INSTANCES: u32 = 4;

/// Age of the membership list.
const MEMBER_LAG: Duration = Duration::from_millis(500);

/// Delay of a repeated submission.
const AGAIN_AFTER: Duration = Duration::from_millis(200);

impl World {
    /// A cell whose daemons are about to start.
    pub fn new(setup: Setup, plan: Plan) -> Self {
        let mut world = Self {
            setup,
            now: Duration::ZERO,
            rng: generator(plan.seed),
            plan,
            queue: BinaryHeap::new(),
            items: BTreeMap::new(),
            calls: BTreeMap::new(),
            counter: 0,
            network: Network::new(setup),
            daemons: Vec::new(),
            vms: Vec::new(),
            models: Vec::new(),
            table: table(),
            members: Members::default(),
            store_down_until: Duration::ZERO,
            store_slow_until: Duration::ZERO,
            answers_lost_until: Duration::ZERO,
            limits: limits(),
            tickets: BTreeMap::new(),
            told: BTreeMap::new(),
            decisions: Decisions::default(),
            broken: None,
            lines: Vec::new(),
        };
        world.add_vms();
        for daemon in 0..setup.zones * setup.daemons_per_zone {
            world.daemons.push(Daemon {
                state: None,
                born: Duration::ZERO,
                rate_ppm: 0,
                paused_until: Duration::ZERO,
            });
            world.start_daemon(daemon);
        }
        world.add_plan();
        world
    }

    /// Starts a daemon that does not run.
    pub fn start_daemon(&mut self, daemon: usize) {
        if self.daemons[daemon].state.is_some() {
            return;
        }
        let rate_ppm = self.draw_rate(1);
        let state = State::new(self.options(daemon));
        // A process that starts anew is told apart by the time of its start.
        let born = self.now + Duration::from_micros(self.rng.random_range(1..100_000));
        self.daemons[daemon] = Daemon {
            state: Some(state),
            born,
            rate_ppm,
            paused_until: Duration::ZERO,
        };
        self.push(born, Item::Tick { daemon, born });
    }

    /// The membership list's entry of a VM.
    pub fn vm_member(&self, vm: usize) -> Member {
        let id = vm_name(vm);
        let zone = zone_name(vm / self.setup.vms_per_zone);
        Member::worker(&id, &id, &zone, "r", CAPACITY)
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
        self.members.set_lag(MEMBER_LAG);
        for daemon in 0..self.setup.zones * self.setup.daemons_per_zone {
            let member = self.entry_member(daemon);
            self.members.put(Duration::ZERO, member);
        }
        for vm in 0..self.setup.zones * self.setup.vms_per_zone {
            let rate_ppm = self.draw_rate(-1);
            let mut model = VmModel::new(vm_name(vm), CAPACITY);
            model.faults.unfenced = self.setup.unfenced;
            self.models.push(model);
            self.vms.push(Vm {
                born: Duration::ZERO,
                rate_ppm,
                up: true,
                paused_until: Duration::ZERO,
            });
            let member = self.vm_member(vm);
            self.members.put(Duration::ZERO, member);
        }
    }

    fn add_plan(&mut self) {
        for (work, submission) in self.plan.work.clone().into_iter().enumerate() {
            let at = submission.at;
            let again = false;
            self.push(at, Item::Planned(Planned::Submit { work, again }));
            if submission.again {
                let again = true;
                self.push(
                    at + AGAIN_AFTER,
                    Item::Planned(Planned::Submit { work, again }),
                );
            }
            if let Some(cancel) = submission.cancel {
                self.push(at + cancel, Item::Planned(Planned::Cancel { work }));
            }
        }
        for (fault, timed) in self.plan.faults.clone().into_iter().enumerate() {
            self.push(timed.at, Item::Planned(Planned::Begin { fault }));
            self.push(
                timed.at + timed.lasts,
                Item::Planned(Planned::End { fault }),
            );
        }
    }
}

/// The job of a submission.
pub fn spec(position: usize, work: &Work) -> JobSpec {
    let count = work.count.min(LIMITS[work.team]);
    let mut spec = JobSpec::batch(&job_name(position), count, TASK, work.run_time);
    if work.gang {
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

pub fn job_name(work: usize) -> Box<str> {
    format!("j{work}").into()
}

fn limits() -> BTreeMap<Box<str>, Resources> {
    LIMITS
        .iter()
        .enumerate()
        .map(|(team, tasks)| (format!("t{team}").into(), TASK.times(*tasks)))
        .collect()
}

fn table() -> Table {
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
    let service = serde_json::json!({"schema": 1, "team": "t2", "count": INSTANCES, "size": TASK});
    put("service/panels".into(), service);
    table
}
