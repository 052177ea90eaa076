//! Invariants under random histories: VM capacity, one instance per task, complete gangs and
//! allotments.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use ragwortstall::core::model::JobKind;
use ragwortstall::core::model::JobSpec;
use ragwortstall::core::model::Resources;
use ragwortstall::core::model::TaskOutcome;
use ragwortstall::core::sched::Decision;

use crate::zone::SimulatedZone;
use crate::zone::batch;
use crate::zone::gang;
use crate::zone::service;
use crate::zone::with_run_time;
use crate::zone::with_team;

const TEAMS: [&str; 3] = ["bakers", "spicers", "picklers"];

/// Number of random histories.
const HISTORIES: u32 = 200;

/// Step of a history.
#[derive(Clone, Debug)]
enum Op {
    Submit {
        kind: u8,
        team: usize,
        count: u32,
        cores: u32,
        seconds: u64,
        urgent: bool,
    },
    Cancel(usize),
    RemoveVm(usize),
    SuspendVm(usize),
    AddVm(usize),
    FailTask(usize),
    SetAllotment {
        team: usize,
        cores: u32,
    },
    /// Half-second steps of the clock.
    Advance(u64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => (0..3_u8, 0..3_usize, 1..9_u32, 1..20_u32, 1..200_u64, 0..6_u8).prop_map(
            |(kind, team, count, cores, seconds, urgent)| Op::Submit {
                kind, team, count, cores, seconds, urgent: urgent == 0,
            }
        ),
        1 => (0..40_usize).prop_map(Op::Cancel),
        1 => (0..6_usize).prop_map(Op::RemoveVm),
        1 => (0..6_usize).prop_map(Op::SuspendVm),
        2 => (0..6_usize).prop_map(Op::AddVm),
        1 => (0..40_usize).prop_map(Op::FailTask),
        1 => (0..3_usize, 8..200_u32).prop_map(|(team, cores)| Op::SetAllotment { team, cores }),
        8 => (1..60_u64).prop_map(Op::Advance),
    ]
}

/// Zone with the state that its invariants depend on.
struct History {
    zone: SimulatedZone,
    jobs: Vec<JobSpec>,
    /// Allotment of each team in cores, if it was limited.
    allotments: BTreeMap<&'static str, u32>,
}

impl History {
    fn new() -> Self {
        Self {
            zone: SimulatedZone::new(6, &TEAMS),
            jobs: Vec::new(),
            allotments: BTreeMap::new(),
        }
    }

    fn apply(&mut self, op: &Op) {
        let zone = &mut self.zone;
        match op {
            Op::Submit {
                kind,
                team,
                count,
                cores,
                seconds,
                urgent,
            } => {
                let id = format!("job{}", self.jobs.len());
                let spec = match kind {
                    0 => batch(&id, *count, *cores),
                    1 => gang(&id, *count, *cores),
                    _ => service(&id, (*count).min(3), (*cores).min(4)),
                };
                let spec = with_team(TEAMS[*team], spec);
                if *kind == 2 {
                    zone.sched.set_service(zone.now, spec.clone());
                } else {
                    let spec = with_run_time(Duration::from_secs(*seconds), spec.clone());
                    let urgent = *urgent;
                    let _ = zone.try_submit(JobSpec { urgent, ..spec });
                }
                self.jobs.push(spec);
            }
            Op::Cancel(n) => {
                if let Some(job) = self.jobs.get(*n) {
                    zone.sched.cancel(zone.now, &job.id);
                }
            }
            Op::RemoveVm(n) => zone.remove_vm(&format!("vm{n:03}")),
            Op::SuspendVm(n) => zone.sched.suspend_vm(zone.now, &format!("vm{n:03}")),
            Op::AddVm(n) => zone.add_vm(&format!("vm{n:03}"), n / 2),
            Op::FailTask(n) => {
                let now = zone.now;
                let task = zone.vms.values_mut().flatten().nth(*n);
                if let Some(task) = task {
                    task.planned_end = Some((now, TaskOutcome::Failed));
                }
            }
            Op::SetAllotment { team, cores } => {
                let allotment = Resources::new(cores * 1_000, 1 << 24, 0, 1_000);
                self.allotments.insert(TEAMS[*team], *cores);
                zone.set_allotment(TEAMS[*team], allotment);
            }
            Op::Advance(steps) => {
                for _ in 0..*steps {
                    self.zone.now += Duration::from_millis(500);
                    self.zone.end_due_tasks();
                    self.zone.report();
                    self.decide();
                }
            }
        }
    }

    /// Runs a round, and checks the allotments and that gangs start completely.
    fn decide(&mut self) {
        let cores_before: BTreeMap<&str, u32> = TEAMS
            .iter()
            .map(|team| (*team, self.zone.cores_of(team)))
            .collect();
        let placed_before = self.placed_gang_members();
        let decisions = self.zone.decide();
        for (team, cores) in &self.allotments {
            let after = self.zone.cores_of(team);
            assert!(
                after <= (*cores).max(cores_before[team]),
                "{team} exceeds its allotment"
            );
        }
        for job in self.jobs.iter().filter(|job| job.kind == JobKind::Gang) {
            let starts = decisions.iter().filter(|decision| {
                matches!(decision, Decision::Start { start, .. } if start.task.job == job.id)
            });
            let starts = starts.count();
            let none_placed = placed_before.get(&job.id).is_none_or(|&placed| placed == 0);
            assert!(
                starts == 0 || none_placed,
                "a gang starts while some of its members are running"
            );
        }
    }

    /// Returns the number of placed members of each gang.
    fn placed_gang_members(&self) -> BTreeMap<Box<str>, usize> {
        let gangs = self.jobs.iter().filter(|job| job.kind == JobKind::Gang);
        let placed = |job: &JobSpec| self.zone.count_tasks(|task| task.start.task.job == job.id);
        gangs.map(|job| (job.id.clone(), placed(job))).collect()
    }
}

/// Guards against accounting errors that overcommit a VM, start a task twice, start a gang beside
/// running members or exceed an allotment.
#[test]
fn invariants_hold_under_random_histories() {
    let config = Config {
        cases: HISTORIES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let histories = proptest::collection::vec(op(), 1..80);
    let outcome = runner.run(&histories, |ops| {
        let mut history = History::new();
        for op in &ops {
            history.apply(op);
        }
        Ok(())
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
}
