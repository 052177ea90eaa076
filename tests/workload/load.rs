//! More work than room: who waits, and for whom.

use ragwortstall::core::workload::effect::Reply;

use crate::catalog::OTHER_KEY;
use crate::jobs::job;
use crate::jobs::step;
use crate::world::World;

/// VMs that are slow where some are.
const SLOW_VMS: [&str; 2] = ["vm-0", "vm-2"];

/// Id of a job of the other team.
const OTHER: &str = "00000000000000b1";

#[test]
fn a_team_that_floods_the_queue_does_not_hold_up_another() {
    let mut world = World::new(2, 2);
    for ix in 0..6 {
        let flood = job(vec![step(16, 2_000, &[])]);
        let id = format!("00000000000000a{ix}");
        assert_eq!(world.submit(0, &id, flood), Reply::Accepted);
    }
    let small = job(vec![step(8, 2_000, &[])]);
    let reply = world.submit_as(OTHER_KEY, 1, OTHER, small);
    assert_eq!(reply, Reply::Accepted);
    // The first room that becomes free is the other team's.
    world.run_for(2_600);
    let starts = world.starts.iter().filter(|start| &*start.1.job == OTHER);
    assert_eq!(starts.count(), 8);
}

#[test]
fn a_team_may_use_all_the_room_that_others_leave() {
    let mut world = World::new(2, 2);
    let small = job(vec![step(2, 60_000, &[])]);
    let reply = world.submit_as(OTHER_KEY, 1, OTHER, small);
    assert_eq!(reply, Reply::Accepted);
    let wide = job(vec![step(40, 60_000, &[])]);
    assert_eq!(world.submit(0, "00000000000000a0", wide), Reply::Accepted);
    world.run_for(500);
    assert_eq!(world.starts.len(), 32);
}

/// A cell of four VMs, two of which are slow, after some work.
fn cell_with_slow_vms() -> World {
    let mut world = World::new(2, 4);
    for vm in SLOW_VMS {
        let vm = world.vms.get_mut(vm).expect("a VM");
        vm.kind = "b";
        vm.slow = 2;
    }
    world.relist();
    world.run_for(100);
    for ix in 0..4 {
        let id = format!("00000000000000a{ix}");
        let work = job(vec![step(60, 400, &[])]);
        assert_eq!(world.submit(0, &id, work), Reply::Accepted);
        world.run_for(1_500);
    }
    world.starts.clear();
    world
}

#[test]
fn tasks_that_end_go_to_vms_that_are_not_slow() {
    let mut world = cell_with_slow_vms();
    let work = job(vec![step(20, 400, &[])]);
    assert_eq!(world.submit(0, OTHER, work), Reply::Accepted);
    world.run_for(300);
    let slow = |vm: &str| SLOW_VMS.contains(&vm);
    assert_eq!(world.starts.len(), 20);
    assert!(!world.starts.iter().any(|start| slow(&start.3)));
}

#[test]
fn slow_vms_are_used_when_the_others_are_full() {
    let mut world = cell_with_slow_vms();
    let work = job(vec![step(64, 400, &[])]);
    assert_eq!(world.submit(0, OTHER, work), Reply::Accepted);
    world.run_for(300);
    assert_eq!(world.starts.len(), 64);
}

#[test]
fn tasks_that_last_leave_the_other_vms_to_those_that_end() {
    let mut world = cell_with_slow_vms();
    let mut lasting = step(20, 400, &[]);
    lasting.traits.long_running = true;
    assert_eq!(world.submit(0, OTHER, job(vec![lasting])), Reply::Accepted);
    world.run_for(300);
    let slow = |vm: &str| SLOW_VMS.contains(&vm);
    assert_eq!(world.starts.len(), 20);
    assert!(world.starts.iter().all(|start| slow(&start.3)));
}
