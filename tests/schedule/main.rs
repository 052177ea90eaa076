//! Simulated cells under seeded schedules of faults, in virtual time.

mod build;
mod check;
mod directed;
mod faults;
mod harness;
mod network;
mod plan;
mod recovery;
mod run;
#[path = "../support/mod.rs"]
mod support;

use std::fmt::Write;
use std::time::Duration;

use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use self::check::Result;
use self::harness::Harness;
use self::plan::FAULTS_END;
use self::plan::Plan;
use self::plan::Setup;
use self::plan::Submission;
use self::support::cases;

/// Time within which a cell must finish all accepted jobs after the faults have ended.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(90);

/// Maximum number of timeline entries that a failure prints.
const MAX_TIMELINE_ENTRIES: usize = 60;

/// Runs one schedule until all accepted jobs have ended.
fn run_plan(setup: Setup, plan: &Plan) -> Result {
    let mut harness = Harness::new(setup, plan.clone());
    let result = run_to_completion(&mut harness);
    result.map_err(|violation| {
        format!(
            "{violation} at {:?}\n{}",
            harness.now,
            format_timeline(&harness)
        )
    })
}

fn run_to_completion(harness: &mut Harness) -> Result {
    harness.run_until(FAULTS_END)?;
    harness.end_all_faults();
    let end = FAULTS_END + COMPLETION_TIMEOUT;
    while harness.unfinished_job().is_some() && harness.now < end {
        harness.run_until(harness.now + Duration::from_secs(1))?;
    }
    match harness.unfinished_job() {
        Some(job) => Err(format!("{job} was accepted but did not end")),
        None => Ok(()),
    }
}

fn format_timeline(harness: &Harness) -> String {
    let mut text = String::new();
    let from = harness.timeline.len().saturating_sub(MAX_TIMELINE_ENTRIES);
    for entry in &harness.timeline[from..] {
        let _ = writeln!(text, "{:?} d{} {:?}", entry.at, entry.daemon, entry.event);
    }
    text
}

/// Runs `cases` schedules, the same ones each time, until one has a violation whose description
/// contains `expected`, and returns it as the error.
fn explore(setup: Setup, faults: usize, cases: u32, max_shrinks: u32, expected: &str) -> Result {
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: max_shrinks,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner
        .run(&plan::plans(faults), |plan| {
            let violation = run_plan(setup, &plan)
                .err()
                .filter(|violation| violation.contains(expected));
            violation.map_or(Ok(()), |violation| Err(TestCaseError::fail(violation)))
        })
        .map_err(|err| err.to_string())
}

/// The invariants hold with up to `faults` random faults, and all accepted jobs end after the
/// faults have ended.
fn invariants_hold(faults: usize, cases: u32) {
    if let Err(violation) = explore(Setup::default(), faults, cases, 200, "") {
        panic!("{violation}");
    }
}

cases! { invariants_hold;
    invariants_hold_without_faults(0, 4),
    invariants_hold_with_two_faults(2, 48),
    invariants_hold_with_six_faults(6, 48),
}

/// The checks find what a mechanism prevents: with the mechanism disabled, some schedule must have
/// a violation whose description contains `expected`.
fn violation_is_found(setup: Setup, expected: &str) {
    let violation = explore(setup, 6, 1_000, 0, expected);
    assert!(violation.is_err(), "no schedule had the violation");
}

fn with(change: impl Fn(&mut Setup)) -> Setup {
    let mut setup = Setup::default();
    change(&mut setup);
    setup
}

/// Returns a setup whose clocks drift by up to 5 percent while the leases allow for `bound_ppm`.
fn drifting(bound_ppm: u32) -> Setup {
    with(|setup| {
        setup.drift_ppm = 50_000;
        setup.lease.drift_ppm = bound_ppm;
    })
}

cases! { violation_is_found;
    tasks_run_twice_without_fencing(with(|setup| setup.unfenced = true), " on vm"),
    vm_overcommitted_without_fencing(with(|setup| setup.unfenced = true), " holds "),
    team_exceeds_its_limit_without_escrow(with(|setup| setup.safeguards.escrow = false), "team t"),
}

/// The invariants hold with clocks that drift by up to 5 percent if the leases allow for that.
#[test]
fn invariants_hold_with_large_drift() {
    if let Err(violation) = explore(drifting(50_000), 6, 48, 200, "") {
        panic!("{violation}");
    }
}

/// Guards against two gangs of one team in two zones blocking each other when the team's limit
/// allows one at a time: each zone keeps requesting what its gang needs until the gang has started.
#[test]
fn gangs_of_one_team_in_two_zones_both_run() {
    let batch = |at, daemon, count, run_time| Submission {
        at: Duration::from_millis(at),
        daemon,
        team: 0,
        count,
        run_time: Duration::from_millis(run_time),
        repeated: false,
        cancel: None,
        gang: false,
    };
    let gang = |at, daemon, count, run_time| Submission {
        gang: true,
        ..batch(at, daemon, count, run_time)
    };
    let plan = Plan {
        seed: 11_535_819_065_386,
        faults: Vec::new(),
        submissions: vec![
            batch(6_451, 2, 3, 8_141),
            gang(13_434, 2, 3, 500),
            batch(4_000, 0, 4, 6_613),
            gang(4_450, 2, 5, 514),
        ],
    };
    if let Err(violation) = run_plan(Setup::default(), &plan) {
        panic!("{violation}");
    }
}
