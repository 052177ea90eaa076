//! VMs that fall silent, lose answers or start anew, and a table that is down.

use std::collections::BTreeSet;
use std::time::Duration;

use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::effect::Reply;

use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;
use crate::world::World;

fn started_on(world: &World) -> Box<str> {
    world.starts[0].3.clone()
}

#[test]
fn tasks_of_a_silent_vm_start_elsewhere_once_its_lease_has_lapsed() {
    let mut world = World::new(2, 2);
    let one = job(vec![step(1, 8_000, &[])]);
    assert_eq!(world.submit(0, ID, one), Reply::Accepted);
    world.run_for(1_000);
    let vm = started_on(&world);
    world.vms.get_mut(&vm).expect("a VM").connected = false;
    let cut_at = world.now;
    world.run_for(9_000);
    assert_eq!(world.starts.len(), 2);
    let (at, _, _, second) = &world.starts[1];
    assert_ne!(*second, vm);
    assert!(*at > cut_at + Duration::from_secs(2));
}

#[test]
fn a_run_done_behind_a_cut_leaves_no_second_one_and_no_third_sibling() {
    let mut world = World::new(2, 3);
    let mut pairs = step(14, 4_000, &[]);
    pairs.max_per_vm = 2;
    assert_eq!(world.submit(0, ID, job(vec![pairs])), Reply::Accepted);
    world.run_for(600);
    let vm = started_on(&world);
    world.vms.get_mut(&vm).expect("a VM").connected = false;
    world.run_for(7_800);
    // Its runs were done before their lease lapsed, and have been started a second time.
    assert_eq!(world.starts.iter().filter(|start| start.2 == 2).count(), 2);
    world.vms.get_mut(&vm).expect("a VM").connected = true;
    world.run_for(7_000);
    assert_eq!(world.state(0, ID), Some(JobState::Completed));
}

#[test]
fn a_start_without_an_answer_is_not_repeated_while_it_may_run() {
    let mut world = World::new(2, 2);
    world.mute_starts = world.vms.keys().cloned().collect();
    let one = job(vec![step(3, 2_500, &[])]);
    assert_eq!(world.submit(0, ID, one), Reply::Accepted);
    world.run_for(4_500);
    assert_eq!(world.state(1, ID), Some(JobState::Completed));
    assert_eq!(world.starts.len(), 3);
}

#[test]
fn tasks_of_a_vm_that_started_anew_start_again() {
    let mut world = World::new(2, 1);
    let one = job(vec![step(2, 1_500, &[])]);
    assert_eq!(world.submit(0, ID, one), Reply::Accepted);
    world.run_for(500);
    let vm = started_on(&world);
    world.vms.get_mut(&vm).expect("a VM").restart();
    world.run_for(5_000);
    assert_eq!(world.state(0, ID), Some(JobState::Completed));
    assert_eq!(world.starts.len(), 4);
}

#[test]
fn work_starts_soon_after_a_silent_table_answers_again() {
    let mut world = World::new(3, 2);
    let epoch = world.epoch();
    world.silent_until = world.now + Duration::from_millis(4_150);
    world.run_for(4_150);
    while world.submit(0, ID, job(vec![step(1, 300, &[])])) != Reply::Accepted {
        world.run_for(20);
    }
    world.run_for(100);
    let started = world.starts.first().expect("a start").0;
    let took = started.saturating_sub(world.silent_until);
    assert!(took < Duration::from_millis(500), "{took:?}");
    world.run_for(2_000);
    assert_eq!(world.epoch(), epoch, "the placer was not lost");
}

#[test]
fn the_placer_goes_on_while_the_table_is_down() {
    let mut world = World::new(3, 2);
    let chain = job(vec![step(2, 800, &[]), step(2, 800, &[0])]);
    assert_eq!(world.submit(0, ID, chain), Reply::Accepted);
    world.run_for(300);
    world.table_up = false;
    world.run_for(1_500);
    assert_eq!(world.starts.len(), 4);
    let refused = world.submit(1, "00000000000000a2", job(vec![step(1, 100, &[])]));
    assert!(matches!(refused, Reply::Unavailable(_)), "{refused:?}");
    world.table_up = true;
    world.run_for(2_500);
    assert_eq!(world.state(0, ID), Some(JobState::Completed));
    assert_eq!(world.starts.len(), 4);
}

#[test]
fn a_submission_whose_answer_was_lost_is_sent_again_and_found() {
    let mut world = World::new(2, 1);
    let one = job(vec![step(1, 300, &[])]);
    world.run_for(450);
    world.lost_commits = 2;
    let first = world.submit(0, ID, one.clone());
    let second = world.submit(1, ID, one);
    assert!(
        matches!(first, Reply::Accepted | Reply::Unknown),
        "{first:?}"
    );
    assert_eq!(second, Reply::Accepted);
    world.run_for(2_500);
    assert_eq!(world.state(1, ID), Some(JobState::Completed));
    assert_eq!(world.starts.len(), 1);
}

#[test]
fn submissions_that_a_busy_table_refused_are_sent_again() {
    let mut world = World::new(2, 1);
    world.busy_until = world.now + Duration::from_millis(700);
    let one = job(vec![step(1, 300, &[])]);
    assert_eq!(world.submit(0, ID, one), Reply::Accepted);
    assert!(world.now >= world.busy_until);
}

#[test]
fn a_submission_that_the_table_refuses_for_long_is_refused_and_never_runs() {
    let mut world = World::new(2, 1);
    world.busy_until = world.now + Duration::from_secs(3);
    let begun = world.now;
    let reply = world.submit(0, ID, job(vec![step(1, 300, &[])]));
    assert!(matches!(reply, Reply::Unavailable(_)), "{reply:?}");
    assert!(world.now < begun + Duration::from_millis(1_500));
    world.run_for(5_000);
    assert!(world.starts.is_empty());
}

#[test]
fn a_submission_that_may_have_taken_effect_is_never_said_not_to_have_run() {
    let mut world = World::new(2, 1);
    world.mute_until = world.now + Duration::from_secs(3);
    let one = job(vec![step(1, 300, &[])]);
    assert_eq!(world.submit(0, ID, one.clone()), Reply::Unknown);
    // Others of the part are refused unsent, which is certain.
    let next = world.submit(0, ID, one);
    assert!(matches!(next, Reply::Unavailable(_)), "{next:?}");
    world.run_for(6_000);
    assert_eq!(world.state(1, ID), Some(JobState::Completed));
}

#[test]
fn a_renewal_that_waited_for_an_end_makes_no_lease_longer() {
    let mut world = World::new(1, 2);
    let longest = ragwortstall::core::workload::options::VmOptions::default().lease;
    for _ in 0..100 {
        world.run_for(37);
        let latest = world.now + longest;
        for vm in world.vms.values() {
            let end = Duration::from_millis(vm.lease_end);
            assert!(
                end <= latest,
                "{} has a lease up to {end:?} at {:?}",
                vm.id,
                world.now
            );
        }
    }
}

#[test]
fn a_job_is_not_given_up_because_the_rows_of_the_large_vms_are_missing() {
    let mut world = World::new(1, 2);
    let large = world.vms.values_mut().next().expect("a VM");
    large.capacity.cpu_milli = 64_000;
    let id = large.id.clone();
    world.relist();
    world.run_for(2_500);
    world.unlist(&id);
    world.run_for(300);
    let mut wide = step(1, 200, &[]);
    wide.demand.cpu_milli = 40_000;
    assert_eq!(world.submit(0, ID, job(vec![wide])), Reply::Accepted);
    world.run_for(500);
    assert_eq!(world.state(0, ID), Some(JobState::Queued));
    world.relist();
    world.run_for(2_500);
    assert_eq!(world.state(0, ID), Some(JobState::Completed));
}

#[test]
fn a_read_that_fails_while_the_role_is_taken_or_held_is_logged() {
    let mut world = World::new(2, 1);
    world.silent_until = world.now + Duration::from_secs(5);
    world.run_for(6_000);
    let lines = world.logged.iter().map(serde_json::to_value);
    let lines = lines.map(|line| line.expect("a line"));
    let failed: Vec<_> = lines.filter(|line| line["kind"] == "read_failed").collect();
    let purposes: BTreeSet<_> = failed
        .iter()
        .filter_map(|line| line["purpose"].as_str())
        .collect();
    assert_eq!(purposes, BTreeSet::from(["Owner", "Sequence"]));
    assert!(failed.iter().all(|line| line["reason"] == "no answer"));
}
