//! Placement when there is more work than capacity: fair shares and slow VMs.

use ragwortstall::core::workload::effect::Reply;

use crate::catalog::OTHER_KEY;
use crate::harness::Harness;
use crate::jobs::job;
use crate::jobs::step;

/// The slow VMs of [`harness_with_slow_vms`].
const SLOW_VMS: [&str; 2] = ["vm-0", "vm-2"];

/// Id of a job of the other team, or of the job submitted last.
const OTHER: &str = "00000000000000b1";

#[test]
fn a_team_that_floods_the_queue_does_not_delay_another_team() {
    let mut harness = Harness::new(2, 2);
    for ix in 0..6 {
        let flood = job(vec![step(16, 2_000, &[])]);
        let id = format!("00000000000000a{ix}");
        assert_eq!(harness.submit(0, &id, flood), Reply::Accepted);
    }
    let small = job(vec![step(8, 2_000, &[])]);
    let reply = harness.submit_as(OTHER_KEY, 1, OTHER, small);
    assert_eq!(reply, Reply::Accepted);
    // The capacity that becomes free first goes to the other team.
    harness.run_for(2_600);
    let starts = harness.starts.iter().filter(|start| &*start.1.job == OTHER);
    assert_eq!(starts.count(), 8);
}

#[test]
fn a_team_may_use_all_resources_that_others_leave_free() {
    let mut harness = Harness::new(2, 2);
    let small = job(vec![step(2, 60_000, &[])]);
    let reply = harness.submit_as(OTHER_KEY, 1, OTHER, small);
    assert_eq!(reply, Reply::Accepted);
    let wide = job(vec![step(40, 60_000, &[])]);
    assert_eq!(harness.submit(0, "00000000000000a0", wide), Reply::Accepted);
    harness.run_for(500);
    assert_eq!(harness.starts.len(), 32);
}

/// Returns a cell of four VMs, two of them slow, after enough work to learn their speeds.
fn harness_with_slow_vms() -> Harness {
    let mut harness = Harness::new(2, 4);
    for vm in SLOW_VMS {
        let vm = harness.vms.get_mut(vm).expect("a VM");
        vm.kind = "b";
        vm.slowdown = 2;
    }
    harness.write_vm_rows();
    harness.run_for(100);
    for ix in 0..4 {
        let id = format!("00000000000000a{ix}");
        let work = job(vec![step(60, 400, &[])]);
        assert_eq!(harness.submit(0, &id, work), Reply::Accepted);
        harness.run_for(1_500);
    }
    harness.starts.clear();
    harness
}

#[test]
fn finite_tasks_are_placed_on_vms_that_are_not_slow() {
    let mut harness = harness_with_slow_vms();
    let work = job(vec![step(20, 400, &[])]);
    assert_eq!(harness.submit(0, OTHER, work), Reply::Accepted);
    harness.run_for(300);
    let is_slow = |vm: &str| SLOW_VMS.contains(&vm);
    assert_eq!(harness.starts.len(), 20);
    assert!(!harness.starts.iter().any(|start| is_slow(&start.3)));
}

#[test]
fn slow_vms_are_used_when_the_others_are_full() {
    let mut harness = harness_with_slow_vms();
    let work = job(vec![step(64, 400, &[])]);
    assert_eq!(harness.submit(0, OTHER, work), Reply::Accepted);
    harness.run_for(300);
    assert_eq!(harness.starts.len(), 64);
}

#[test]
fn long_running_tasks_are_placed_on_slow_vms() {
    let mut harness = harness_with_slow_vms();
    let mut service = step(20, 400, &[]);
    service.traits.long_running = true;
    assert_eq!(
        harness.submit(0, OTHER, job(vec![service])),
        Reply::Accepted
    );
    harness.run_for(300);
    let is_slow = |vm: &str| SLOW_VMS.contains(&vm);
    assert_eq!(harness.starts.len(), 20);
    assert!(harness.starts.iter().all(|start| is_slow(&start.3)));
}
