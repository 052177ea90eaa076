//! What a job or the configuration asks of a placement, and what keeps a task from it.

use std::time::Duration;

use ragwortstall::core::model::Resources;
use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::event::Action;
use ragwortstall::core::workload::submission::Schedule;

use crate::catalog::OTHER_KEY;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;
use crate::world::EPOCH;
use crate::world::World;

/// Id of a second job.
const OTHER: &str = "00000000000000a2";

/// Number of a job's starts on a VM.
fn starts_on(world: &World, vm: &str) -> usize {
    let starts = world.starts.iter().filter(|start| &*start.3 == vm);
    starts.count()
}

#[test]
fn a_label_that_is_required_is_kept_to_even_if_tasks_must_wait() {
    let mut world = World::new(2, 3);
    world.vms.get_mut("vm-1").expect("a VM").kind = "b";
    world.relist();
    world.run_for(100);
    let mut labelled = step(20, 60_000, &[]);
    labelled.required_label = "b".into();
    assert_eq!(world.submit(0, ID, job(vec![labelled])), Reply::Accepted);
    world.run_for(1_000);
    assert_eq!(starts_on(&world, "vm-1"), 16);
    assert_eq!(world.starts.len(), 16);
}

#[test]
fn tasks_go_to_the_rack_of_their_data_while_it_has_room() {
    let mut world = World::new(2, 3);
    world.vms.get_mut("vm-2").expect("a VM").rack = "r2";
    world.relist();
    world.run_for(100);
    let mut near = step(20, 60_000, &[]);
    near.preferred_rack = "r2".into();
    assert_eq!(world.submit(0, ID, job(vec![near])), Reply::Accepted);
    world.run_for(1_000);
    assert_eq!(starts_on(&world, "vm-2"), 16);
    assert_eq!(world.starts.len(), 20);
}

#[test]
fn a_team_has_no_more_running_than_its_cap() {
    let mut world = World::new(2, 2);
    world.cap = Resources::new(10_000, 0, 0, 0);
    for daemon in 0..2 {
        world.kill(daemon);
        world.revive(daemon);
    }
    world.run_for(2_000);
    let wide = job(vec![step(16, 1_000, &[])]);
    assert_eq!(world.submit(0, ID, wide), Reply::Accepted);
    world.run_for(500);
    assert_eq!(world.starts.len(), 10);
    world.run_for(2_500);
    assert_eq!(world.state(0, ID), Some(JobState::Completed));
}

#[test]
fn a_vm_that_is_leaving_gets_nothing_new_and_lasting_tasks_move() {
    let mut world = World::new(2, 2);
    let mut lasting = step(4, 60_000, &[]);
    lasting.traits.long_running = true;
    assert_eq!(world.submit(0, ID, job(vec![lasting])), Reply::Accepted);
    world.run_for(500);
    let leaving = world.starts[0].3.clone();
    assert_eq!(starts_on(&world, &leaving), 4);
    world.vms.get_mut(&leaving).expect("a VM").draining = true;
    world.relist();
    world.run_for(2_500);
    assert_eq!(starts_on(&world, &leaving), 4);
    assert_eq!(world.starts.len(), 8);
    let more = job(vec![step(30, 60_000, &[])]);
    assert_eq!(world.submit(0, OTHER, more), Reply::Accepted);
    world.run_for(500);
    assert_eq!(starts_on(&world, &leaving), 4);
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut world = World::new(2, 2);
    let first = job(vec![step(16, 1_500, &[])]);
    assert_eq!(world.submit(0, ID, first), Reply::Accepted);
    world.run_for(300);
    let mut gang = step(20, 60_000, &[]);
    gang.traits.gang = true;
    assert_eq!(world.submit(0, OTHER, job(vec![gang])), Reply::Accepted);
    world.run_for(600);
    assert_eq!(world.starts.len(), 16);
    world.run_for(1_500);
    assert_eq!(world.starts.len(), 36);
    let members = &world.starts[16..];
    assert!(members.iter().all(|start| start.2 == members[0].2));
}

#[test]
fn each_time_of_a_timed_job_runs_once_and_not_early() {
    let mut world = World::new(2, 1);
    let mut timed = job(vec![step(2, 300, &[])]);
    let first = EPOCH + world.now + Duration::from_secs(1);
    timed.schedule = Some(Schedule {
        first,
        interval: Duration::from_secs(2),
        occurrences: 3,
    });
    assert_eq!(world.submit(0, ID, timed), Reply::Accepted);
    world.run_for(6_500);
    assert_eq!(world.state(0, ID), Some(JobState::Completed));
    assert_eq!(world.starts.len(), 6);
    for (at, task, _, _) in &world.starts {
        let due = first + Duration::from_secs(2) * task.occurrence;
        let early = due.saturating_sub(EPOCH + *at);
        assert!(early <= Duration::from_millis(50), "{task} {early:?} early");
    }
}

#[test]
fn another_team_sees_no_job_that_is_not_its_own() {
    let mut world = World::new(2, 1);
    let own = job(vec![step(1, 60_000, &[])]);
    assert_eq!(world.submit(0, ID, own), Reply::Accepted);
    world.run_for(300);
    assert_eq!(world.call_as(OTHER_KEY, 1, ID, Action::Get), Reply::NoJob);
    assert_eq!(
        world.call_as(OTHER_KEY, 1, ID, Action::Cancel),
        Reply::NoJob
    );
    assert_eq!(world.state(1, ID), Some(JobState::Running));
    assert_eq!(
        world.call_as("withdrawn", 1, ID, Action::Get),
        Reply::BadKey
    );
}
