//! Fair shares of a full zone, borrowing, allotments and deadlines.

use std::time::Duration;

use ragwortstall::core::model::JobSpec;
use ragwortstall::core::model::Resources;
use ragwortstall::core::model::TaskOutcome;
use ragwortstall::core::sched::TeamPolicy;

use crate::support::cases;
use crate::zone::SimulatedZone;
use crate::zone::batch;
use crate::zone::service;
use crate::zone::with_run_time;
use crate::zone::with_team;

const STEP: Duration = Duration::from_millis(500);

const MINUTE: Duration = Duration::from_secs(60);

fn set_weight(zone: &mut SimulatedZone, team: &str, weight: u32) {
    let policy = TeamPolicy {
        weight,
        allotment: Resources::MAX,
        ceiling: Resources::MAX,
        unknown: Resources::ZERO,
    };
    zone.sched.set_team(zone.now, team, policy);
}

/// While all teams have pending tasks, each must get its share by weight.
fn full_zone_is_divided_by_weight(weights: [u32; 2], expected: [u32; 2]) {
    let mut zone = SimulatedZone::new(4, &["bakers", "spicers"]);
    set_weight(&mut zone, "bakers", weights[0]);
    set_weight(&mut zone, "spicers", weights[1]);
    zone.submit(batch("many", 400, 4));
    zone.submit(with_team("spicers", batch("other", 400, 4)));
    zone.run(MINUTE * 4, STEP);
    assert_eq!(zone.cores_of("bakers"), expected[0]);
    assert_eq!(zone.cores_of("spicers"), expected[1]);
}

cases! { full_zone_is_divided_by_weight;
    full_zone_is_divided_at_equal_weights([1, 1], [64, 64]),
    full_zone_is_divided_three_to_one([3, 1], [96, 32]),
    full_zone_is_divided_one_to_seven([1, 7], [16, 112]),
}

/// A team may use the resources that other teams leave free.
#[test]
fn unused_shares_are_borrowed() {
    let mut zone = SimulatedZone::new(4, &["bakers", "spicers"]);
    zone.submit(batch("many", 400, 4));
    zone.submit(with_team("spicers", batch("other", 2, 4)));
    zone.run(MINUTE / 2, STEP);
    assert_eq!(zone.cores_of("bakers"), 120);
    assert_eq!(zone.cores_of("spicers"), 8);
}

/// Borrowed resources must be reclaimed by preemption within minutes, even if the borrower's tasks
/// run for hours.
#[test]
fn borrowed_resources_are_reclaimed() {
    let mut zone = SimulatedZone::new(4, &["bakers", "spicers"]);
    zone.submit(with_run_time(MINUTE * 600, batch("long", 64, 4)));
    zone.run(MINUTE, STEP);
    assert_eq!(zone.cores_of("bakers"), 128);
    zone.submit(with_team(
        "spicers",
        with_run_time(MINUTE * 600, batch("other", 64, 4)),
    ));
    zone.run(MINUTE * 3, STEP);
    assert_eq!(zone.cores_of("spicers"), 64);
    assert_eq!(zone.cores_of("bakers"), 64);
}

/// Guards against the starvation of a team below its share whose tasks are larger than those of
/// another team. The small tasks are not restartable and end one at a time, so new small ones could
/// always take the freed resources before a larger task fits.
#[test]
fn small_tasks_do_not_starve_larger_ones() {
    let mut zone = SimulatedZone::new(4, &["bakers", "spicers"]);
    zone.behaviour.lifetime = |_, start| {
        let time = match &*start.task.job {
            "small" => 40 + u64::from(start.task.index * 7 % 41),
            _ => 600,
        };
        Some((Duration::from_secs(time), TaskOutcome::Done))
    };
    let mut small = batch("small", 2_000, 4);
    small.restartable = false;
    zone.submit(small);
    zone.run(MINUTE * 3, STEP);
    zone.submit(with_team("spicers", batch("large", 20, 12)));
    zone.run(MINUTE * 5, STEP);
    assert!(zone.cores_of("spicers") >= 48);
}

#[test]
fn team_at_its_share_preempts_nothing() {
    let mut zone = SimulatedZone::new(4, &["bakers", "spicers"]);
    zone.submit(with_run_time(MINUTE * 600, batch("long", 64, 4)));
    zone.submit(with_team(
        "spicers",
        with_run_time(MINUTE * 600, batch("other", 64, 4)),
    ));
    zone.run(MINUTE * 5, STEP);
    assert!(
        zone.other_decisions.is_empty(),
        "{:?}",
        zone.other_decisions
    );
}

#[test]
fn allotment_is_not_exceeded() {
    let mut zone = SimulatedZone::new(4, &["bakers"]);
    zone.set_allotment("bakers", Resources::new(40_000, 1 << 20, 0, 1_000));
    zone.submit(batch("many", 400, 4));
    for _ in 0..100 {
        zone.run(STEP * 10, STEP);
        assert!(zone.cores_of("bakers") <= 40);
    }
    assert!(zone.ended.len() > 50);
}

/// A lowered allotment must take effect within five seconds, and must end the tasks that lose the
/// least work; tasks of services go last.
fn lowered_allotment_takes_effect(checkpoint: Option<Duration>) {
    let mut zone = SimulatedZone::new(4, &["bakers"]);
    zone.behaviour.checkpoint_time = checkpoint;
    zone.sched.set_service(zone.now, service("labels", 2, 4));
    zone.submit(with_run_time(MINUTE * 600, batch("old", 4, 4)));
    zone.run(MINUTE, STEP);
    zone.submit(with_run_time(MINUTE * 600, batch("new", 20, 4)));
    zone.run(MINUTE, STEP);
    assert_eq!(zone.cores_of("bakers"), 104);
    zone.set_allotment("bakers", Resources::new(32_000, 1 << 20, 0, 1_000));
    zone.run(Duration::from_secs(5), STEP);
    assert_eq!(zone.cores_of("bakers"), 32);
    assert_eq!(zone.count_tasks(|task| *task.start.task.job == *"old"), 4);
    assert_eq!(
        zone.count_tasks(|task| *task.start.task.job == *"labels"),
        2
    );
}

cases! { lowered_allotment_takes_effect;
    lowered_allotment_ends_tasks_by_checkpoint(Some(Duration::from_secs(1))),
    lowered_allotment_stops_tasks_that_ignore_checkpoints(None),
}

#[test]
fn allotment_lowered_for_one_second_ends_nothing() {
    let mut zone = SimulatedZone::new(4, &["bakers"]);
    zone.submit(with_run_time(MINUTE * 600, batch("many", 32, 4)));
    zone.run(MINUTE, STEP);
    zone.set_allotment("bakers", Resources::ZERO);
    zone.run(Duration::from_secs(1), STEP);
    zone.set_allotment("bakers", Resources::MAX);
    zone.run(MINUTE, STEP);
    assert_eq!(zone.cores_of("bakers"), 128);
    assert!(zone.other_decisions.is_empty());
}

/// A job with a deadline must complete in time, even behind a long queue of its own team and in a
/// zone that other teams keep full.
#[test]
fn overnight_job_meets_its_deadline() {
    let mut zone = SimulatedZone::new(4, &["bakers", "spicers"]);
    zone.submit(with_run_time(MINUTE * 10, batch("daytime", 2_000, 4)));
    zone.submit(with_team(
        "spicers",
        with_run_time(MINUTE * 10, batch("other", 2_000, 4)),
    ));
    zone.run(MINUTE, STEP);
    let overnight = JobSpec {
        deadline: Some(MINUTE * 100),
        ..with_run_time(MINUTE * 20, batch("overnight", 32, 4))
    };
    let submitted = zone.now;
    zone.submit(overnight);
    zone.run(MINUTE * 110, STEP);
    let end = zone
        .last_completion("overnight")
        .expect("the overnight job should complete");
    assert!(end <= submitted + MINUTE * 100, "{end:?}");
    let done = zone
        .ended
        .iter()
        .filter(|(_, end)| *end.task.job == *"overnight");
    assert!(done.count() >= 32);
}
