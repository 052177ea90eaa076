//! VMs whose capacity shrinks and grows while they run tasks.

use ragwortstall::core::model::Resources;
use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::effect::Reply;

use crate::harness::Harness;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;

/// Id of a second job.
const OTHER: &str = "00000000000000a2";

const FULL: Resources = Resources::new(16_000, 64_000, 0, u32::MAX);

const SHRUNK: Resources = Resources::new(4_000, 16_000, 0, u32::MAX);

/// Sets the capacity of all VMs and lets the placer learn of it.
fn resize_all(harness: &mut Harness, capacity: Resources) {
    for vm in harness.vms.values_mut() {
        vm.capacity = capacity;
    }
    harness.write_vm_rows();
    harness.run_for(20);
}

/// Guards against starts on VMs that have shrunk below what they run. The simulated VM asserts that
/// a start does not exceed its capacity.
#[test]
fn a_vm_that_has_shrunk_below_its_runs_gets_no_tasks() {
    let mut harness = Harness::new(2, 1);
    let submission = job(vec![step(10, 2_000, &[])]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(300);
    assert_eq!(harness.starts.len(), 10);
    resize_all(&mut harness, SHRUNK);
    let second = job(vec![step(6, 1_000, &[])]);
    assert_eq!(harness.submit(0, OTHER, second), Reply::Accepted);
    harness.run_for(1_000);
    assert_eq!(harness.starts.len(), 10);
    harness.run_for(1_500);
    assert_eq!(harness.starts.len(), 14);
    resize_all(&mut harness, FULL);
    harness.run_for(200);
    assert_eq!(harness.starts.len(), 16);
    harness.run_for(2_000);
    assert_eq!(harness.state(0, ID), Some(JobState::Completed));
    assert_eq!(harness.state(0, OTHER), Some(JobState::Completed));
}

/// Guards against jobs that fail as too large for any VM while the VMs are smaller for a time.
#[test]
fn a_job_waits_for_vms_that_have_shrunk_to_grow_again() {
    let mut harness = Harness::new(2, 2);
    resize_all(&mut harness, SHRUNK);
    let mut large = step(1, 500, &[]);
    large.demand.cpu_milli = 12_000;
    assert_eq!(harness.submit(0, ID, job(vec![large])), Reply::Accepted);
    harness.run_for(3_000);
    assert_eq!(harness.state(0, ID), Some(JobState::Queued));
    resize_all(&mut harness, FULL);
    harness.run_for(1_000);
    assert_eq!(harness.state(0, ID), Some(JobState::Completed));
}

/// Guards against a new placer that takes the capacity of shrunken VMs for all that they ever have.
#[test]
fn a_job_waits_for_vms_to_grow_again_after_a_takeover() {
    let mut harness = Harness::new(2, 2);
    resize_all(&mut harness, SHRUNK);
    let placer = harness.placer().expect("a placer");
    harness.kill(placer);
    harness.run_for(4_000);
    let next = harness.placer().expect("a new placer");
    let mut large = step(1, 500, &[]);
    large.demand.cpu_milli = 12_000;
    assert_eq!(harness.submit(next, ID, job(vec![large])), Reply::Accepted);
    harness.run_for(3_000);
    assert_eq!(harness.state(next, ID), Some(JobState::Queued));
    resize_all(&mut harness, FULL);
    harness.run_for(1_000);
    assert_eq!(harness.state(next, ID), Some(JobState::Completed));
}
