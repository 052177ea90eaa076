//! Constraints that a job or the configuration puts on placement and access.

use std::time::Duration;

use ragwortstall::core::model::Resources;
use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::event::Action;
use ragwortstall::core::workload::submission::Schedule;

use crate::catalog::OTHER_KEY;
use crate::harness::Harness;
use crate::harness::START_TIME;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;

/// Id of a second job.
const OTHER: &str = "00000000000000a2";

/// Returns the number of starts on a VM.
fn starts_on(harness: &Harness, vm: &str) -> usize {
    let starts = harness.starts.iter().filter(|start| &*start.3 == vm);
    starts.count()
}

#[test]
fn a_required_label_is_respected_even_if_tasks_must_wait() {
    let mut harness = Harness::new(2, 3);
    harness.vms.get_mut("vm-1").expect("a VM").kind = "b";
    harness.write_vm_rows();
    harness.run_for(100);
    let mut labelled = step(20, 60_000, &[]);
    labelled.required_label = "b".into();
    assert_eq!(harness.submit(0, ID, job(vec![labelled])), Reply::Accepted);
    harness.run_for(1_000);
    assert_eq!(starts_on(&harness, "vm-1"), 16);
    assert_eq!(harness.starts.len(), 16);
}

#[test]
fn tasks_are_placed_on_their_preferred_rack_while_it_has_room() {
    let mut harness = Harness::new(2, 3);
    harness.vms.get_mut("vm-2").expect("a VM").rack = "r2";
    harness.write_vm_rows();
    harness.run_for(100);
    let mut near_data = step(20, 60_000, &[]);
    near_data.preferred_rack = "r2".into();
    assert_eq!(harness.submit(0, ID, job(vec![near_data])), Reply::Accepted);
    harness.run_for(1_000);
    assert_eq!(starts_on(&harness, "vm-2"), 16);
    assert_eq!(harness.starts.len(), 20);
}

#[test]
fn the_running_tasks_of_a_team_stay_within_its_cap() {
    let mut harness = Harness::new(2, 2);
    harness.cap = Resources::new(10_000, 0, 0, 0);
    for daemon in 0..2 {
        harness.kill(daemon);
        harness.restart(daemon);
    }
    harness.run_for(2_000);
    let wide = job(vec![step(16, 1_000, &[])]);
    assert_eq!(harness.submit(0, ID, wide), Reply::Accepted);
    harness.run_for(500);
    assert_eq!(harness.starts.len(), 10);
    harness.run_for(2_500);
    assert_eq!(harness.state(0, ID), Some(JobState::Completed));
}

#[test]
fn a_draining_vm_gets_no_new_tasks_and_its_long_running_tasks_move() {
    let mut harness = Harness::new(2, 2);
    let mut service = step(4, 60_000, &[]);
    service.traits.long_running = true;
    assert_eq!(harness.submit(0, ID, job(vec![service])), Reply::Accepted);
    harness.run_for(500);
    let draining = harness.starts[0].3.clone();
    assert_eq!(starts_on(&harness, &draining), 4);
    harness.vms.get_mut(&draining).expect("a VM").draining = true;
    harness.write_vm_rows();
    harness.run_for(2_500);
    assert_eq!(starts_on(&harness, &draining), 4);
    assert_eq!(harness.starts.len(), 8);
    let more = job(vec![step(30, 60_000, &[])]);
    assert_eq!(harness.submit(0, OTHER, more), Reply::Accepted);
    harness.run_for(500);
    assert_eq!(starts_on(&harness, &draining), 4);
}

#[test]
fn a_gang_starts_completely_or_not_at_all() {
    let mut harness = Harness::new(2, 2);
    let first = job(vec![step(16, 1_500, &[])]);
    assert_eq!(harness.submit(0, ID, first), Reply::Accepted);
    harness.run_for(300);
    let mut gang = step(20, 60_000, &[]);
    gang.traits.gang = true;
    assert_eq!(harness.submit(0, OTHER, job(vec![gang])), Reply::Accepted);
    harness.run_for(600);
    assert_eq!(harness.starts.len(), 16);
    harness.run_for(1_500);
    assert_eq!(harness.starts.len(), 36);
    let members = &harness.starts[16..];
    assert!(members.iter().all(|start| start.2 == members[0].2));
}

#[test]
fn each_occurrence_of_a_scheduled_job_runs_once_and_not_early() {
    let mut harness = Harness::new(2, 1);
    let mut scheduled = job(vec![step(2, 300, &[])]);
    let first = START_TIME + harness.now + Duration::from_secs(1);
    scheduled.schedule = Some(Schedule {
        first,
        interval: Duration::from_secs(2),
        occurrences: 3,
    });
    assert_eq!(harness.submit(0, ID, scheduled), Reply::Accepted);
    harness.run_for(6_500);
    assert_eq!(harness.state(0, ID), Some(JobState::Completed));
    assert_eq!(harness.starts.len(), 6);
    for (at, task, _, _) in &harness.starts {
        let due = first + Duration::from_secs(2) * task.occurrence;
        let early = due.saturating_sub(START_TIME + *at);
        assert!(early <= Duration::from_millis(50), "{task} {early:?} early");
    }
}

#[test]
fn a_team_cannot_see_the_jobs_of_another_team() {
    let mut harness = Harness::new(2, 1);
    let own = job(vec![step(1, 60_000, &[])]);
    assert_eq!(harness.submit(0, ID, own), Reply::Accepted);
    harness.run_for(300);
    assert_eq!(harness.call_as(OTHER_KEY, 1, ID, Action::Get), Reply::NoJob);
    assert_eq!(
        harness.call_as(OTHER_KEY, 1, ID, Action::Cancel),
        Reply::NoJob
    );
    assert_eq!(harness.state(1, ID), Some(JobState::Running));
    assert_eq!(
        harness.call_as("withdrawn", 1, ID, Action::Get),
        Reply::BadKey
    );
}
