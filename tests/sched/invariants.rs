//! Random histories: capacity, one place a task, whole gangs and allotments hold in each.

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

use crate::zone::Zone;
use crate::zone::batch;
use crate::zone::gang;
use crate::zone::lasting;
use crate::zone::of_team;
use crate::zone::service;

const TEAMS: [&str; 3] = ["bakers", "spicers", "picklers"];

const HISTORIES: u32 = 200;

/// What happens next.
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
    LoseVm(usize),
    Suspend(usize),
    Readmit(usize),
    FailTask(usize),
    Allot {
        team: usize,
        cores: u32,
    },
    Pass(u64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => (0..3_u8, 0..3_usize, 1..9_u32, 1..20_u32, 1..200_u64, 0..6_u8).prop_map(
            |(kind, team, count, cores, seconds, urgent)| Op::Submit {
                kind, team, count, cores, seconds, urgent: urgent == 0,
            }
        ),
        1 => (0..40_usize).prop_map(Op::Cancel),
        1 => (0..6_usize).prop_map(Op::LoseVm),
        1 => (0..6_usize).prop_map(Op::Suspend),
        2 => (0..6_usize).prop_map(Op::Readmit),
        1 => (0..40_usize).prop_map(Op::FailTask),
        1 => (0..3_usize, 8..200_u32).prop_map(|(team, cores)| Op::Allot { team, cores }),
        8 => (1..60_u64).prop_map(Op::Pass),
    ]
}

/// A zone with what the history needs to be judged.
struct History {
    zone: Zone,
    jobs: Vec<JobSpec>,
    allotments: BTreeMap<&'static str, u32>,
}

impl History {
    fn new() -> Self {
        Self {
            zone: Zone::new(6, &TEAMS),
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
                let spec = of_team(TEAMS[*team], spec);
                if *kind == 2 {
                    zone.sched.set_service(zone.now, spec.clone());
                } else {
                    let spec = lasting(Duration::from_secs(*seconds), spec.clone());
                    let urgent = *urgent;
                    let _ = zone.submit(JobSpec { urgent, ..spec });
                }
                self.jobs.push(spec);
            }
            Op::Cancel(n) => {
                if let Some(job) = self.jobs.get(*n) {
                    zone.sched.cancel(zone.now, &job.id);
                }
            }
            Op::LoseVm(n) => zone.lose(&format!("vm{n:03}")),
            Op::Suspend(n) => zone.sched.suspend_vm(zone.now, &format!("vm{n:03}")),
            Op::Readmit(n) => zone.gain(&format!("vm{n:03}"), n / 2),
            Op::FailTask(n) => {
                let now = zone.now;
                let task = zone.vms.values_mut().flatten().nth(*n);
                if let Some(live) = task {
                    live.ends = Some((now, TaskOutcome::Failed));
                }
            }
            Op::Allot { team, cores } => {
                let allotment = Resources::new(cores * 1_000, 1 << 24, 0, 1_000);
                self.allotments.insert(TEAMS[*team], *cores);
                zone.allot(TEAMS[*team], allotment);
            }
            Op::Pass(steps) => {
                for _ in 0..*steps {
                    self.zone.now += Duration::from_millis(500);
                    self.zone.end_due();
                    self.zone.report();
                    self.decide();
                }
            }
        }
    }

    /// Decides, and checks what the zone itself does not.
    fn decide(&mut self) {
        let before: BTreeMap<&str, u32> = TEAMS
            .iter()
            .map(|team| (*team, self.zone.cores_of(team)))
            .collect();
        let waiting = self.placed_of_gangs();
        let decisions = self.zone.decide();
        for (team, cores) in &self.allotments {
            let after = self.zone.cores_of(team);
            assert!(
                after <= (*cores).max(before[team]),
                "{team} passes its allotment"
            );
        }
        for job in self.jobs.iter().filter(|job| job.kind == JobKind::Gang) {
            let starts = decisions.iter().filter(|decision| {
                matches!(decision, Decision::Start { start, .. } if start.task.job == job.id)
            });
            let starts = starts.count();
            let alone = waiting.get(&job.id).is_none_or(|&placed| placed == 0);
            assert!(starts == 0 || alone, "a gang starts beside its own members");
        }
    }

    fn placed_of_gangs(&self) -> BTreeMap<Box<str>, usize> {
        let gangs = self.jobs.iter().filter(|job| job.kind == JobKind::Gang);
        let placed = |job: &JobSpec| self.zone.count(|live| live.start.task.job == job.id);
        gangs.map(|job| (job.id.clone(), placed(job))).collect()
    }
}

/// Proves the bookkeeping: no history overcommits a VM, doubles a task, splits a gang's start or
/// passes an allotment.
#[test]
fn random_histories_keep_the_invariants() {
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
