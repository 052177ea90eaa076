//! Placement when there is more work than capacity: fair shares and slow VMs.

use std::time::Duration;

use ragwortstall::core::workload::catalog::AdviceTiming;
use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::submission::Step;

use crate::catalog::OTHER_KEY;
use crate::harness::Harness;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;

/// The slow VMs of [`harness_with_slow_vms`].
const SLOW_VMS: [&str; 2] = ["vm-0", "vm-2"];

/// Number of VMs of a cell with wide gangs.
const VMS: usize = 5;

/// Interval between small jobs, in milliseconds.
const SMALL_INTERVAL_MS: u64 = 75;

/// Time for which a gang may wait beside small tasks, in milliseconds.
const GANG_WAIT_MS: u64 = 6_000;

/// Number of gangs that fit on no number of VMs.
const WIDE_GANGS: u64 = 40;

const ADVICE: AdviceTiming = AdviceTiming {
    base_latency: Duration::from_millis(28),
    latency_per_vm: Duration::from_micros(400),
    ticket_validity: Duration::from_millis(2_500),
};

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

/// Guards against gangs that are too wide for the VMs and keep all room for the advice that they
/// wait for, so that no step behind them asks for any.
#[test]
fn gangs_that_fit_on_too_few_vms_do_not_keep_others_from_advice() {
    let mut harness = Harness::with_advice(4, VMS, Some(ADVICE));
    for number in 0..WIDE_GANGS {
        let id = format!("{number:016x}");
        let gang = whole_vm_step(u32::try_from(VMS).expect("few VMs") + 1);
        assert_eq!(harness.submit(0, &id, job(vec![gang])), Reply::Accepted);
    }
    harness.run_for(4_000);
    assert_eq!(harness.starts.len(), 0);
    let small = job(vec![whole_vm_step(1)]);
    assert_eq!(harness.submit(0, ID, small), Reply::Accepted);
    harness.run_for(5_000);
    assert_eq!(harness.state(0, ID), Some(JobState::Completed));
}

/// Guards against a gang that waits for ever as small tasks take the room of each VM that gets
/// free, although the VMs hold both.
fn assert_gang_starts_beside_small_tasks(advice: Option<AdviceTiming>) {
    let mut harness = Harness::with_advice(4, VMS, advice);
    for number in 0..GANG_WAIT_MS / SMALL_INTERVAL_MS {
        // Four VMs of five are busy with small tasks.
        let mut small = step(2, 600, &[]);
        small.demand.cpu_milli = 4_000;
        harness.send_submission(1, &format!("{number:016x}"), job(vec![small]));
        if number == 20 {
            let gang = job(vec![whole_vm_step(2)]);
            harness.send_submission(0, ID, gang);
        }
        harness.run_for(SMALL_INTERVAL_MS);
    }
    assert_eq!(harness.state(0, ID), Some(JobState::Completed));
}

#[test]
fn a_gang_gets_whole_vms_beside_small_tasks() {
    assert_gang_starts_beside_small_tasks(None);
}

#[test]
fn a_gang_gets_whole_vms_that_advice_allows_beside_small_tasks() {
    assert_gang_starts_beside_small_tasks(Some(ADVICE));
}

/// Returns a gang of `count` tasks, each of which takes a whole VM.
fn whole_vm_step(count: u32) -> Step {
    let mut gang = step(count, 500, &[]);
    gang.demand.cpu_milli = 16_000;
    gang.traits.gang = true;
    gang
}
