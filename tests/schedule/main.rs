//! Whole cells under seeded schedules of faults, in virtual time.

mod build;
mod check;
mod directed;
mod network;
mod plan;
mod recovery;
mod run;
#[path = "../support/mod.rs"]
mod support;
mod world;

use std::fmt::Write;
use std::time::Duration;

use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use self::check::Result;
use self::plan::FAULTS_END;
use self::plan::Plan;
use self::plan::Setup;
use self::plan::Work;
use self::support::cases;
use self::world::World;

/// Time in which a mended cell finishes all accepted work.
const SETTLE_TIME: Duration = Duration::from_secs(90);

/// Lines of the timeline that a failure prints.
const LINES: usize = 60;

/// Runs one schedule to its end.
fn run_plan(setup: Setup, plan: &Plan) -> Result {
    let mut world = World::new(setup, plan.clone());
    let result = play(&mut world);
    result.map_err(|broken| format!("{broken} at {:?}\n{}", world.now, timeline(&world)))
}

fn play(world: &mut World) -> Result {
    world.run_until(FAULTS_END)?;
    world.mend();
    let end = FAULTS_END + SETTLE_TIME;
    while world.unfinished().is_some() && world.now < end {
        world.run_until(world.now + Duration::from_secs(1))?;
    }
    match world.unfinished() {
        Some(job) => Err(format!("{job} was accepted and is not done")),
        None => Ok(()),
    }
}

fn timeline(world: &World) -> String {
    let mut text = String::new();
    let from = world.lines.len().saturating_sub(LINES);
    for line in &world.lines[from..] {
        let _ = writeln!(text, "{:?} d{} {:?}", line.at, line.daemon, line.happening);
    }
    text
}

/// Runs as many schedules as asked for, always the same ones, until one breaks something that
/// contains `expected`.
fn explore(setup: Setup, faults: usize, cases: u32, shrinks: u32, expected: &str) -> Result {
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: shrinks,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner
        .run(&plan::plans(faults), |plan| {
            let found = run_plan(setup, &plan)
                .err()
                .filter(|broken| broken.contains(expected));
            found.map_or(Ok(()), |broken| Err(TestCaseError::fail(broken)))
        })
        .map_err(|err| err.to_string())
}

/// Proves that the invariants hold under any two or more faults at once, and that all accepted
/// work is done once they are mended.
fn holds(faults: usize, cases: u32) {
    if let Err(broken) = explore(Setup::default(), faults, cases, 200, "") {
        panic!("{broken}");
    }
}

cases! { holds;
    without_faults(0, 4),
    with_two_faults(2, 48),
    with_six_faults(6, 48),
}

/// Proves that the checks find what a mechanism prevents: with it turned off, some schedule must
/// break what `expected` says.
fn breaks(setup: Setup, expected: &str) {
    let broken = explore(setup, 6, 1_000, 0, expected);
    assert!(broken.is_err(), "no schedule found the fault");
}

fn with(change: impl Fn(&mut Setup)) -> Setup {
    let mut setup = Setup::default();
    change(&mut setup);
    setup
}

/// Clocks that drift by as much as the holders take off.
fn drifting(bound_ppm: u32) -> Setup {
    with(|setup| {
        setup.drift_ppm = 50_000;
        setup.lease.drift_ppm = bound_ppm;
    })
}

cases! { breaks;
    task_in_two_places_without_fencing(with(|setup| setup.unfenced = true), " on vm"),
    vm_overcommitted_without_fencing(with(|setup| setup.unfenced = true), " holds "),
    without_escrow(with(|setup| setup.safeguards.escrow = false), "team t"),
}

/// Proves that the margin keeps clocks that drift by a twentieth from harm.
#[test]
fn with_large_drift() {
    if let Err(broken) = explore(drifting(50_000), 6, 48, 200, "") {
        panic!("{broken}");
    }
}

/// Proves that two gangs of one team in two zones, of which the limit holds one at a time, both
/// run: each zone stays in line for what its gang needs until the gang has started.
#[test]
fn gangs_of_one_team_in_two_zones_both_run() {
    let batch = |at, daemon, count, run_time| Work {
        at: Duration::from_millis(at),
        daemon,
        team: 0,
        count,
        run_time: Duration::from_millis(run_time),
        again: false,
        cancel: None,
        gang: false,
    };
    let gang = |at, daemon, count, run_time| Work {
        gang: true,
        ..batch(at, daemon, count, run_time)
    };
    let plan = Plan {
        seed: 11_535_819_065_386,
        faults: Vec::new(),
        work: vec![
            batch(6_451, 2, 3, 8_141),
            gang(13_434, 2, 3, 500),
            batch(4_000, 0, 4, 6_613),
            gang(4_450, 2, 5, 514),
        ],
    };
    if let Err(broken) = run_plan(Setup::default(), &plan) {
        panic!("{broken}");
    }
}
