//! Admission of new jobs while more work arrives than the VMs can do.

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use ragwortstall::core::model::Now;
use ragwortstall::core::model::Resources;
use ragwortstall::core::workload::policy::admission::Backlog;
use ragwortstall::core::workload::policy::admission::DrainMeter;
use ragwortstall::core::workload::policy::admission::MAX_RETRY_AFTER;
use ragwortstall::core::workload::policy::admission::MIN_RETRY_AFTER;
use ragwortstall::core::workload::policy::admission::Overload;
use ragwortstall::core::workload::policy::admission::Pair;
use ragwortstall::core::workload::policy::admission::WaitEstimator;
use ragwortstall::core::workload::policy::admission::core_millis;
use ragwortstall::core::workload::policy::admission::retry_after;

/// Interval between updates, in milliseconds.
const TICK_MS: u64 = 250;

/// Cores of the simulated VMs.
const CORES: f64 = 100.0;

/// Critical path and objective of a batch job.
const BATCH: (Duration, Duration) = (Duration::from_secs(8), Duration::from_secs(16));

/// Critical path and objective of a small job.
const SMALL: (Duration, Duration) = (Duration::from_millis(640), Duration::from_secs(2));

/// Queue whose teams share the VMs: waiting work and started work by team.
struct Cell {
    now: Now,
    estimator: WaitEstimator,
    teams: Vec<Team>,
}

struct Team {
    name: &'static str,
    weight: f64,
    /// Work that arrives, in cores.
    arrives: f64,
    ready: f64,
    /// Ready work that waits for advice.
    held: f64,
    blocked: f64,
}

impl Cell {
    fn new(teams: &[(&'static str, f64, f64)]) -> Self {
        let teams = teams.iter().map(|&(name, weight, arrives)| Team {
            name,
            weight,
            arrives,
            ready: 0.0,
            held: 0.0,
            blocked: 0.0,
        });
        Self {
            now: Now::from_secs(100),
            estimator: WaitEstimator::default(),
            teams: teams.collect(),
        }
    }

    /// Runs the cell. The VMs start work of each team in proportion to its weight; what a team does
    /// not use goes to the others.
    fn run_for(&mut self, millis: u64) {
        for _ in 0..millis / TICK_MS {
            let tick = ms(TICK_MS);
            for team in &mut self.teams {
                team.ready += team.arrives * tick;
            }
            let mut left = CORES * tick;
            for _ in 0..self.teams.len() {
                let weights = self.weights();
                let share = left;
                for team in self.teams.iter_mut().filter(|team| team.ready > 0.0) {
                    let started = team.ready.min(share * team.weight / weights);
                    team.ready -= started;
                    left -= started;
                    let pair = pair(team.name);
                    self.estimator.record_start(self.now, pair, started);
                }
            }
            self.now += Duration::from_millis(TICK_MS);
            self.update();
        }
    }

    fn weights(&self) -> f64 {
        let waiting = self.teams.iter().filter(|team| team.ready > 0.0);
        waiting.map(|team| team.weight).sum()
    }

    fn update(&mut self) {
        let teams = self.teams.iter();
        let waiting = teams.filter(|team| team.ready + team.held + team.blocked > 0.0);
        let backlogs = waiting.map(|team| {
            let backlog = Backlog {
                ready: team.ready + team.held,
                blocked: team.blocked,
                weight: team.weight,
            };
            (pair(team.name), backlog)
        });
        self.estimator.update(self.now, &backlogs.collect());
    }

    fn wait(&self, team: &str) -> Option<Duration> {
        let mut listed = self.estimator.listed();
        listed.find_map(|(listed, wait)| (*listed == pair(team)).then_some(wait))
    }

    fn refuses(&self, team: &str, (critical_path, objective): (Duration, Duration)) -> bool {
        let wait = self.wait(team);
        wait.is_some_and(|wait| Overload::check(wait, critical_path, objective).is_some())
    }
}

fn pair(team: &str) -> Pair {
    ("batch".into(), Some(team.into()))
}

#[allow(clippy::cast_precision_loss)]
fn ms(millis: u64) -> f64 {
    millis as f64
}

/// Guards against the acceptance of batch jobs whose callers are gone before they start.
#[test]
fn a_burst_of_batch_work_is_refused_until_it_can_be_done_in_useful_time() {
    let mut cell = Cell::new(&[("farm", 1.0, 50.0)]);
    cell.run_for(5_000);
    cell.teams[0].ready = CORES * ms(120_000);
    cell.run_for(3_000);
    assert!(cell.refuses("farm", BATCH), "wait {:?}", cell.wait("farm"));
    // Half of the capacity goes to new work, so that the backlog falls by half a second each second.
    cell.run_for(180_000);
    assert!(!cell.refuses("farm", BATCH), "wait {:?}", cell.wait("farm"));
}

/// Guards against refusals for another team's excess.
#[test]
fn a_team_at_ten_times_its_rate_is_refused_and_a_team_within_its_share_is_not() {
    let mut cell = Cell::new(&[("busy", 1.0, 400.0), ("calm", 1.0, 40.0)]);
    cell.teams[1].held = 40.0 * ms(600);
    for _ in 0..80 {
        cell.run_for(TICK_MS);
        assert!(!cell.refuses("calm", SMALL), "wait {:?}", cell.wait("calm"));
    }
    assert!(cell.refuses("busy", SMALL), "wait {:?}", cell.wait("busy"));
}

/// Guards against an estimate that counts a team's weight only: here the other team leaves four
/// fifths of its part.
#[test]
fn what_other_teams_leave_shortens_a_team_s_wait() {
    let mut cell = Cell::new(&[("busy", 1.0, 0.0), ("calm", 1.0, 10.0)]);
    cell.teams[0].ready = CORES * ms(30_000);
    cell.teams[1].held = 10.0 * ms(300);
    cell.run_for(6_000);
    let wait = cell.wait("busy").expect("a wait");
    let exact = Duration::from_secs_f64(cell.teams[0].ready / (CORES - 10.0) / 1_000.0);
    let error = wait.abs_diff(exact);
    assert!(
        error < Duration::from_secs(2),
        "{wait:?}, exactly {exact:?}"
    );
}

/// Guards against refusals on a quiet day: later steps of long jobs are no wait for a short one, and
/// neither are tasks that wait for advice.
#[test]
fn nothing_is_refused_on_a_quiet_day() {
    let mut cell = Cell::new(&[("farm", 1.0, 30.0), ("shop", 1.0, 20.0)]);
    cell.teams[0].held = 30.0 * ms(600);
    cell.teams[0].blocked = 30.0 * ms(60_000);
    for round in 0..120 {
        // Now and then a team submits two seconds of work at once.
        if round % 20 == 0 {
            cell.teams[1].ready += CORES * ms(2_000);
        }
        cell.run_for(TICK_MS);
        for team in ["farm", "shop"] {
            assert!(!cell.refuses(team, SMALL), "wait {:?}", cell.wait(team));
        }
    }
}

/// Guards against an estimate from the rate of submissions, which is lower than what the VMs can do,
/// at the start of a burst.
#[test]
fn the_first_two_seconds_of_a_burst_have_no_estimate() {
    let mut cell = Cell::new(&[("farm", 1.0, 5.0)]);
    cell.run_for(10_000);
    cell.teams[0].held = 5.0 * ms(600);
    cell.run_for(5_000);
    cell.teams[0].ready = CORES * ms(6_000);
    for _ in 0..7 {
        cell.run_for(TICK_MS);
        assert_eq!(cell.wait("farm"), None);
    }
    cell.run_for(2_000);
    assert!(cell.wait("farm").is_some_and(|wait| wait.as_secs() <= 3));
}

/// Guards against a wait without end while nothing starts, as when the placer is cut off.
#[test]
fn without_drain_the_wait_is_unknown() {
    let mut cell = Cell::new(&[("farm", 1.0, 200.0)]);
    cell.run_for(10_000);
    assert!(cell.wait("farm").is_some());
    for _ in 0..24 {
        cell.now += Duration::from_millis(TICK_MS);
        cell.update();
    }
    assert_eq!(cell.wait("farm"), None);
}

/// Guards against a team that is listed and removed in turn while its wait is near the threshold.
#[test]
fn a_wait_stays_listed_until_it_is_below_half_of_the_reported_one() {
    let mut cell = Cell::new(&[("farm", 1.0, CORES)]);
    let listed_at = |cell: &mut Cell, wait_ms: u64| {
        // The backlog stays, as the VMs start as much as arrives.
        cell.teams[0].ready = CORES * ms(wait_ms);
        cell.run_for(6_000);
        cell.wait("farm").is_some()
    };
    assert!(!listed_at(&mut cell, 900));
    assert!(listed_at(&mut cell, 1_200));
    assert!(listed_at(&mut cell, 700));
    assert!(!listed_at(&mut cell, 400));
    assert!(!listed_at(&mut cell, 900));
}

/// Guards against a single sample that refuses jobs.
#[test]
fn a_short_peak_is_smoothed() {
    let mut cell = Cell::new(&[("farm", 1.0, CORES)]);
    cell.teams[0].ready = CORES * ms(2_000);
    cell.run_for(6_000);
    cell.teams[0].ready = CORES * ms(20_000);
    cell.run_for(TICK_MS);
    cell.teams[0].ready = CORES * ms(2_000);
    assert!(cell.wait("farm").is_some());
    assert!(!cell.refuses("farm", SMALL), "wait {:?}", cell.wait("farm"));
}

/// Guards against waits from before the placer lost sight of its VMs.
#[test]
fn a_cleared_estimator_lists_no_wait() {
    let mut cell = Cell::new(&[("farm", 1.0, 200.0)]);
    cell.run_for(10_000);
    cell.estimator.clear();
    assert_eq!(cell.wait("farm"), None);
}

#[test]
fn work_is_that_of_all_tasks_at_the_corrected_run_time() {
    let demand = Resources::new(4_500, 1_000, 0, 1);
    let work = core_millis(10, &demand, Duration::from_millis(640), 1.5);
    assert!((work - 43_200.0).abs() < 1e-6, "{work}");
}

#[test]
fn work_beyond_the_window_does_not_count_as_drain() {
    let mut meter = DrainMeter::default();
    meter.record(Now::from_secs(1), 50_000.0);
    meter.record(Now::from_secs(8), 10_000.0);
    let rate = meter.rate(Now::ZERO, Now::from_secs(10));
    assert!((rate - 2.0).abs() < 1e-9, "{rate}");
    assert!(!meter.is_idle(Now::from_secs(10)));
    assert!(meter.is_idle(Now::from_secs(14)));
}

/// Names a wait of a job with a critical path of 1 s and an objective of 2 s, in milliseconds.
macro_rules! rules {
    ($($name:ident: $wait:literal => $refused:literal;)*) => {$(
        #[test]
        fn $name() {
            let wait = Duration::from_millis($wait);
            let overload = Overload::check(wait, Duration::from_secs(1), Duration::from_secs(2));
            assert_eq!(overload.is_some(), $refused);
        }
    )*};
}

rules! {
    a_job_that_need_not_wait_is_taken: 0 => false;
    a_job_that_can_be_done_in_useful_time_is_taken: 5_000 => false;
    a_wait_that_may_be_overestimated_refuses_no_job: 7_500 => false;
    a_job_whose_caller_would_be_gone_is_refused: 7_600 => true;
}

/// Checks a property for many values.
fn check<S: Strategy>(values: &S, property: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    let config = Config {
        cases: 200,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let result = TestRunner::new_with_rng(config, rng).run(values, property);
    assert!(result.is_ok(), "{result:?}");
}

fn any_wait() -> impl Strategy<Value = Duration> {
    (0_u64..10_000_000).prop_map(Duration::from_millis)
}

/// Guards against callers that retry all at once, or too early to be of use.
#[test]
fn retries_are_within_bounds_and_spread() {
    let ids = vec("[0-9a-f]{16}", 64);
    check(&(any_wait(), ids), |(wait, ids)| {
        let overload = Overload::check(wait, Duration::from_secs(1), Duration::from_secs(2));
        let Some(overload) = overload else {
            return Ok(());
        };
        let delays: Vec<Duration> = ids.iter().map(|id| retry_after(&overload, id)).collect();
        let min = delays.iter().min().copied().unwrap_or_default();
        let max = delays.iter().max().copied().unwrap_or_default();
        prop_assert!(min >= MIN_RETRY_AFTER && max <= MAX_RETRY_AFTER);
        prop_assert!(max <= min.mul_f64(1.2501));
        prop_assert!(max > min.mul_f64(1.05));
        Ok(())
    });
}

/// Guards against a refusal that a longer wait would lift.
#[test]
fn a_longer_wait_refuses_no_fewer_jobs() {
    check(&(any_wait(), any_wait()), |(wait, more)| {
        let (path, objective) = SMALL;
        let refused = |wait| Overload::check(wait, path, objective).is_some();
        prop_assert!(!refused(wait) || refused(wait + more));
        Ok(())
    });
}

/// Guards against a wait that gets shorter as work is added.
#[test]
fn a_larger_backlog_gives_no_shorter_wait() {
    let work = || 0.0..1e7_f64;
    check(
        &(work(), work(), work(), work()),
        |(base, more, blocked, other)| {
            let wait = |ready| steady_wait(ready, blocked, other);
            prop_assert!(wait(base) <= wait(base + more));
            Ok(())
        },
    );
}

/// Returns the wait of a team with a constant backlog beside another team.
fn steady_wait(ready: f64, blocked: f64, other: f64) -> Duration {
    let mut cell = Cell::new(&[("farm", 1.0, 0.0), ("shop", 2.0, 0.0)]);
    cell.teams[0].ready = ready;
    cell.teams[0].blocked = blocked;
    cell.teams[1].ready = other;
    for _ in 0..20 {
        for (team, work) in [("farm", 9_000.0), ("shop", 16_000.0)] {
            cell.estimator.record_start(cell.now, pair(team), work);
        }
        cell.now += Duration::from_millis(TICK_MS);
        cell.update();
    }
    cell.wait("farm").unwrap_or_default()
}
