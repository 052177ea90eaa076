//! Gangs: all members start together, and gangs are neither starved, deadlocked nor delayed by
//! backfilled tasks.

use std::time::Duration;

use ragwortstall::core::model::JobSpec;
use ragwortstall::core::model::TaskOutcome;
use ragwortstall::core::sched::Decision;

use crate::support::cases;
use crate::zone::SimulatedZone;
use crate::zone::batch;
use crate::zone::gang;
use crate::zone::with_run_time;
use crate::zone::with_team;

const STEP: Duration = Duration::from_millis(500);

const MINUTE: Duration = Duration::from_secs(60);

/// Guards against a gang that starts some members and holds their resources while the others do not
/// fit.
#[test]
fn gang_starts_only_when_all_members_fit() {
    let mut zone = SimulatedZone::new(2, &["bakers"]);
    zone.submit(batch("small", 1, 1));
    assert_eq!(zone.decide().len(), 1);
    zone.submit(gang("gang", 4, 16));
    assert!(zone.decide().is_empty());
    zone.run(MINUTE * 2, STEP);
    let starts: Vec<Duration> = zone.started[1..].iter().map(|(at, _, _)| *at).collect();
    assert_eq!(starts.len(), 4);
    assert!(starts.iter().all(|at| *at == starts[0]));
}

/// Runs the zone for some minutes and submits another job like `small` every half minute, so that
/// small tasks are always pending.
fn run_with_pending_small_jobs(
    zone: &mut SimulatedZone,
    team: &str,
    small: &JobSpec,
    minutes: u32,
) {
    for n in 0..minutes * 2 {
        let id = format!("small-{team}-{n}");
        let spec = JobSpec {
            id: id.into(),
            ..small.clone()
        };
        zone.submit(with_team(team, spec));
        zone.run(MINUTE / 2, STEP);
    }
}

/// Guards against the starvation of a gang by small tasks that take all resources as they become
/// free. The gang's reservation prevents it.
fn gang_is_not_starved(team: &str) {
    let mut zone = SimulatedZone::new(4, &["bakers", "spicers"]);
    zone.submit(batch("first", 7, 16));
    zone.decide();
    let small = with_run_time(Duration::from_secs(50), batch("small", 8, 16));
    zone.submit(with_team(team, gang("gang", 8, 16)));
    run_with_pending_small_jobs(&mut zone, "bakers", &small, 15);
    let start = zone.first_start("gang").expect("the gang should start");
    assert!(start < MINUTE * 5, "{start:?}");
}

cases! { gang_is_not_starved;
    gang_is_not_starved_by_its_own_team("bakers"),
    gang_is_not_starved_by_another_team("spicers"),
}

/// Guards against a gang that waits for a backfilled task whose run time is declared far too short.
/// The task must be preempted once the gang's other resources are free.
#[test]
fn backfilled_task_does_not_delay_the_gang() {
    let mut zone = SimulatedZone::new(2, &["bakers"]);
    zone.behaviour.lifetime = |_, start| {
        let time = match &*start.task.job {
            "underdeclared" => MINUTE * 600,
            _ => start.run_time.unwrap_or_default(),
        };
        Some((time, TaskOutcome::Done))
    };
    zone.submit(with_run_time(MINUTE * 3, batch("long", 1, 32)));
    zone.decide();
    zone.submit(gang("gang", 4, 16));
    zone.decide();
    zone.submit(with_run_time(
        Duration::from_secs(20),
        batch("underdeclared", 1, 16),
    ));
    zone.run(MINUTE, STEP);
    assert!(
        zone.first_start("underdeclared").is_some(),
        "the task should be backfilled into the reservation"
    );
    zone.run(MINUTE * 4, STEP);
    let start = zone.first_start("gang").expect("the gang should start");
    assert!(start <= MINUTE * 3 + Duration::from_secs(3), "{start:?}");
}

/// Guards against gangs that each need most of the zone and block each other with partial
/// reservations. Only one gang may have a reservation at a time.
#[test]
fn gangs_do_not_deadlock() {
    let mut zone = SimulatedZone::new(4, &["bakers", "spicers"]);
    zone.submit(batch("first", 8, 16));
    zone.decide();
    for n in 0..4 {
        let team = ["bakers", "spicers"][n % 2];
        zone.submit(with_team(team, gang(&format!("gang{n}"), 6, 16)));
    }
    zone.run(MINUTE * 12, STEP);
    for n in 0..4 {
        assert!(
            zone.last_completion(&format!("gang{n}")).is_some(),
            "gang {n} should complete"
        );
    }
}

/// After the loss of one member, the others must be ended, and all members must start together
/// again.
#[test]
fn gang_that_loses_a_member_restarts_completely() {
    let mut zone = SimulatedZone::new(6, &["bakers"]);
    zone.submit(gang("gang", 4, 32));
    zone.decide();
    let vm = zone.started[0].1.clone();
    zone.remove_vm(&vm);
    zone.run(MINUTE / 2, STEP);
    let restarts = &zone.started[4..];
    assert_eq!(restarts.len(), 4);
    assert!(restarts.iter().all(|(at, _, _)| *at == restarts[0].0));
    assert!(restarts.iter().all(|(_, _, start)| start.task.attempt == 1));
}

fn is_start_of(decision: &Decision, job: &str) -> bool {
    matches!(decision, Decision::Start { start, .. } if *start.task.job == *job)
}

/// Guards against the starvation of a gang with more members than the decision limit of a round,
/// while urgent tasks use part of every round.
#[test]
fn gang_larger_than_the_round_limit_starts_in_one_round() {
    let mut zone = SimulatedZone::new(8, &["bakers", "spicers"]);
    zone.submit(with_team("spicers", gang("gang", 40, 2)));
    let mut rounds = Vec::new();
    for n in 0..20 {
        let urgent = batch(&format!("urgent{n}"), 4, 1);
        zone.submit(JobSpec {
            urgent: true,
            ..urgent
        });
        let decisions = zone.sched.decide(zone.now, 10);
        let gang_starts = decisions
            .iter()
            .filter(|decision| is_start_of(decision, "gang"));
        rounds.push(gang_starts.count());
    }
    assert_eq!(rounds[..3], [0, 40, 0]);
    assert_eq!(rounds.iter().sum::<usize>(), 40);
}

/// Guards against a gang that stays partly running forever after a new placer finds only some of
/// its members. They must be ended, so that all members can start together.
#[test]
fn partly_running_gang_found_by_a_new_placer_restarts() {
    let mut zone = SimulatedZone::new(3, &["bakers"]);
    zone.submit(gang("gang", 3, 32));
    zone.decide();
    let mut successor = SimulatedZone::new(0, &["bakers"]);
    successor.vms = zone.vms.clone();
    successor.vms.pop_first();
    for name in ["vm001", "vm002", "vm100"] {
        successor.add_vm(name, 9);
    }
    successor.submit(with_run_time(MINUTE * 30, gang("gang", 3, 32)));
    for tasks in successor.vms.values_mut() {
        for task in tasks {
            task.planned_end = None;
        }
    }
    successor.run(MINUTE * 3, STEP);
    assert_eq!(successor.started.len(), 3);
}
