//! Failure attribution: VMs on which everything fails, and jobs that fail everywhere.

use std::time::Duration;

use ragwortstall::core::effect::Reason;
use ragwortstall::core::model::TaskOutcome;
use ragwortstall::core::sched::Decision;

use crate::zone::SimulatedZone;
use crate::zone::batch;
use crate::zone::with_run_time;

const STEP: Duration = Duration::from_millis(500);

const MINUTE: Duration = Duration::from_secs(60);

/// Returns the quarantined VMs and the length of each quarantine, in the order of the decisions.
fn quarantines(zone: &SimulatedZone) -> Vec<(Box<str>, Duration)> {
    let found = zone
        .other_decisions
        .iter()
        .filter_map(|(at, decision)| match decision {
            Decision::Quarantine { vm, until } => Some((vm.clone(), until.saturating_sub(*at))),
            _ => None,
        });
    found.collect()
}

fn is_job_failure(decision: &Decision) -> bool {
    matches!(decision, Decision::Fail { .. })
}

/// Returns the permanently failed jobs with their reasons, in the order of the decisions.
fn failed_jobs(zone: &SimulatedZone) -> Vec<(Box<str>, Reason)> {
    let found = zone
        .other_decisions
        .iter()
        .filter_map(|(_, decision)| match decision {
            Decision::Fail { job, reason } => Some((job.clone(), *reason)),
            _ => None,
        });
    found.collect()
}

/// A VM on which every task fails must be quarantined, twice as long each time, and its failures
/// must not fail any job.
#[test]
fn vm_on_which_everything_fails_is_quarantined() {
    let mut zone = SimulatedZone::new(6, &["bakers"]);
    zone.behaviour.lifetime = |vm, _| {
        if vm == "vm000" {
            Some((Duration::from_secs(1), TaskOutcome::Failed))
        } else {
            Some((Duration::from_secs(20), TaskOutcome::Done))
        }
    };
    for n in 0..600 {
        zone.submit(batch(&format!("job{n}"), 1, 8));
    }
    zone.run(MINUTE * 15, STEP);
    let found = quarantines(&zone);
    assert!(found.len() >= 2, "{found:?}");
    assert!(found.iter().all(|(vm, _)| **vm == *"vm000"));
    assert!(
        found.windows(2).all(|pair| pair[1].1 == pair[0].1 * 2),
        "{found:?}"
    );
    assert!(failed_jobs(&zone).is_empty());
    let done = zone
        .ended
        .iter()
        .filter(|(_, end)| end.outcome == TaskOutcome::Done);
    assert_eq!(done.count(), 600);
}

/// A job that fails on several VMs must be failed permanently, and must leave no VM in quarantine.
#[test]
fn job_that_fails_everywhere_is_failed_permanently() {
    let mut zone = SimulatedZone::new(6, &["bakers"]);
    zone.behaviour.lifetime = |_, start| {
        if start.task.job.starts_with("failing") {
            Some((Duration::from_secs(1), TaskOutcome::Failed))
        } else {
            Some((Duration::from_secs(20), TaskOutcome::Done))
        }
    };
    for n in 0..8 {
        zone.submit(batch(&format!("failing{n}"), 2, 4));
        zone.submit(batch(&format!("succeeding{n}"), 20, 4));
    }
    zone.run(MINUTE * 3, STEP);
    let mut failed = failed_jobs(&zone);
    failed.sort_by(|a, b| a.0.cmp(&b.0));
    let expected: Vec<_> = (0..8)
        .map(|n| (format!("failing{n}").into(), Reason::FailsEverywhere))
        .collect();
    assert_eq!(failed, expected);
    let last_failure_at = zone.other_decisions.last().expect("jobs should fail").0;
    assert!(last_failure_at < MINUTE * 2, "{last_failure_at:?}");
    let first_failure = zone
        .other_decisions
        .iter()
        .position(|(_, decision)| is_job_failure(decision));
    let before = &zone.other_decisions[..first_failure.expect("jobs should fail")];
    assert!(
        before.len() <= 1,
        "at most one of six VMs may be quarantined: {before:?}"
    );
    assert_eq!(zone.sched.footprint().jobs, 0);
    assert_eq!(zone.sched.free().cpu_milli, 6 * 32_000);
}

/// A quarantine must be lifted early when the jobs whose failures led to it are found faulty.
#[test]
fn permanent_failure_of_jobs_lifts_the_quarantine() {
    let mut zone = SimulatedZone::new(6, &["bakers"]);
    zone.behaviour.lifetime = |_, _| Some((Duration::from_secs(1), TaskOutcome::Failed));
    for n in 0..3 {
        zone.submit(batch(&format!("failing{n}"), 1, 4));
    }
    zone.run(MINUTE * 5 / 6, STEP);
    assert_eq!(quarantines(&zone), [("vm000".into(), MINUTE)]);
    assert_eq!(failed_jobs(&zone).len(), 3);
    assert_eq!(zone.sched.free().cpu_milli, 6 * 32_000);
}

/// A job must be failed permanently if one of its tasks always fails, even if the others succeed.
#[test]
fn job_with_one_failing_task_is_failed_permanently() {
    let mut zone = SimulatedZone::new(6, &["bakers"]);
    zone.behaviour.lifetime = |_, start| {
        let fails = start.task.index == 7;
        let outcome = if fails {
            TaskOutcome::Failed
        } else {
            TaskOutcome::Done
        };
        Some((Duration::from_secs(5), outcome))
    };
    zone.submit(batch("job", 10, 4));
    zone.run(MINUTE * 5, STEP);
    assert_eq!(
        failed_jobs(&zone),
        [("job".into(), Reason::FailsEverywhere)]
    );
}

#[test]
fn large_job_completes_despite_scattered_task_failures() {
    let mut zone = SimulatedZone::new(6, &["bakers"]);
    zone.behaviour.lifetime = |_, start| {
        let fails = start.task.index % 10 == 7 && start.task.attempt == 0;
        let outcome = if fails {
            TaskOutcome::Failed
        } else {
            TaskOutcome::Done
        };
        Some((Duration::from_secs(5), outcome))
    };
    zone.submit(batch("job", 100, 4));
    zone.run(MINUTE * 10, STEP);
    assert!(failed_jobs(&zone).is_empty());
    let done = zone
        .ended
        .iter()
        .filter(|(_, end)| end.outcome == TaskOutcome::Done);
    assert_eq!(done.count(), 100);
}

#[test]
fn failed_tasks_of_a_non_restartable_job_are_not_restarted() {
    let mut zone = SimulatedZone::new(6, &["bakers"]);
    zone.behaviour.lifetime = |_, _| Some((Duration::from_secs(1), TaskOutcome::Failed));
    let mut job = with_run_time(MINUTE, batch("job", 2, 4));
    job.restartable = false;
    zone.submit(job);
    zone.run(MINUTE, STEP);
    assert_eq!(zone.started.len(), 2);
}

/// Returns a zone that runs a task without an end.
fn zone_with_endless_task() -> SimulatedZone {
    let mut zone = SimulatedZone::new(4, &["bakers"]);
    zone.behaviour.lifetime = |_, _| None;
    zone.submit(batch("job", 1, 8));
    zone.run(STEP, STEP);
    zone
}

/// Removes the VM of the last start, after the task has run for `run_time`, and adds it again. Returns
/// false if the task does not start again within ten minutes.
fn lose_vm_of_last_task(zone: &mut SimulatedZone, run_time: Duration) -> bool {
    let starts = zone.started.len();
    let vm = zone.started[starts - 1].1.clone();
    zone.run(run_time, STEP);
    zone.remove_vm(&vm);
    zone.add_vm(&vm, 0);
    for _ in 0..10 {
        if zone.started.len() > starts {
            return true;
        }
        zone.run(MINUTE, STEP);
    }
    false
}

/// Guards against a task that takes VM after VM with it, as tasks that are lost with their VMs are not
/// counted.
#[test]
fn task_that_is_lost_with_its_vm_again_and_again_fails_its_job() {
    let mut zone = zone_with_endless_task();
    let mut losses = 1;
    while losses <= 20 && lose_vm_of_last_task(&mut zone, STEP) {
        losses += 1;
    }
    assert!(losses <= 6, "{losses} losses");
    let expected = (Box::from("job"), Reason::FailsEverywhere);
    assert_eq!(failed_jobs(&zone), [expected]);
}

/// Guards against a task that runs for long being failed for the usual losses of VMs.
#[test]
fn task_that_runs_for_long_is_not_failed_for_the_losses_of_its_vms() {
    let mut zone = zone_with_endless_task();
    for _ in 0..12 {
        assert!(lose_vm_of_last_task(&mut zone, MINUTE * 15));
    }
    assert!(failed_jobs(&zone).is_empty());
}
