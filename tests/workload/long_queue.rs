//! Placement rounds with a long queue of waiting steps.

use std::time::Duration;

use ragwortstall::core::model::Resources;
use ragwortstall::core::workload::catalog::AdviceTiming;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::submission::Step;

use crate::harness::Harness;
use crate::jobs::job;
use crate::jobs::step;

/// Number of jobs that wait.
const JOBS: u64 = 600;

/// Time for which searches of the fleet are counted, in milliseconds.
const COUNTED_MS: u64 = 1_000;

/// Largest number of searches in that time: placement rounds are at least 20 ms apart, and each may
/// search once for each of the two daemons that can ask for advice, and once for each step whose
/// tickets are valid.
const MAX_SCANS: u64 = 400;

/// Daemons and VMs of a cell with a burst.
const DAEMONS: usize = 20;
const BUSY_VMS: u32 = 200;

/// Largest number of searches in the same time in a burst: in each round, each idle daemon may send a
/// query, for which the free room and that of runs that may be stopped are looked at.
const MAX_BURST_SCANS: u64 = 50 * (DAEMONS as u64 / 2 + 1);

/// Advice that is given at once.
const FAST_ADVICE: AdviceTiming = AdviceTiming {
    base_latency: Duration::from_millis(18),
    latency_per_vm: Duration::from_micros(260),
    ticket_validity: Duration::from_millis(2_500),
};

/// Advice that takes so long that only a few steps get it while searches are counted.
const SLOW_ADVICE: AdviceTiming = AdviceTiming {
    base_latency: Duration::from_millis(400),
    latency_per_vm: Duration::from_millis(5),
    ticket_validity: Duration::from_millis(2_500),
};

fn submit(harness: &mut Harness, count: u64) {
    for number in 0..count {
        let id = format!("{number:016x}");
        let submission = job(vec![step(1, 600_000, &[])]);
        assert_eq!(harness.submit(0, &id, submission), Reply::Accepted);
    }
}

/// Returns the number of searches of the fleet while the queue waits.
fn scans(harness: &mut Harness) -> u64 {
    let before = total_scans(harness);
    harness.run_for(COUNTED_MS);
    total_scans(harness) - before
}

fn total_scans(harness: &mut Harness) -> u64 {
    let placer = harness.placer().expect("a placer");
    harness.work(placer).vm_scans
}

/// Guards against a placer whose processor is busy with steps that cannot be placed, so that its
/// heartbeats come late and it is replaced by one with the same queue.
#[test]
fn steps_that_wait_for_advice_cost_no_searches_of_the_fleet() {
    let mut harness = Harness::with_advice(2, 100, Some(SLOW_ADVICE));
    submit(&mut harness, JOBS);
    let scans = scans(&mut harness);
    assert!(scans <= MAX_SCANS, "{scans} searches in {COUNTED_MS} ms");
}

/// Guards against the same where the VMs are full.
#[test]
fn steps_that_no_vm_has_room_for_cost_no_searches_of_the_fleet() {
    let mut harness = Harness::with_advice(2, 2, None);
    submit(&mut harness, JOBS);
    assert_eq!(harness.starts.len(), 32);
    let scans = scans(&mut harness);
    assert!(scans <= MAX_SCANS, "{scans} searches in {COUNTED_MS} ms");
}

/// Guards against the same in a burst of urgent jobs that have advice for VMs full of runs that may be
/// stopped, of which no more may be stopped at a time: each has a valid ticket, and free room is left
/// on many VMs, but too little on each.
#[test]
fn steps_with_tickets_for_full_vms_cost_no_searches_of_the_fleet() {
    let mut harness = Harness::with_advice(DAEMONS, BUSY_VMS as usize, Some(FAST_ADVICE));
    harness.batch_priority = Some(2);
    harness.restart_all();
    let mut batch = large_step(BUSY_VMS, 60_000);
    batch.traits.checkpointing = true;
    harness.send_batch(0, "00000000000000b0", job(vec![batch]));
    harness.run_for(4_000);
    assert_eq!(harness.starts.len(), BUSY_VMS as usize);
    for (number, daemon) in (0..JOBS).zip((0..DAEMONS).cycle()) {
        let submission = job(vec![large_step(2, 60_000)]);
        harness.send_submission(daemon, &format!("{number:016x}"), submission);
    }
    harness.run_for(500);
    let scans = scans(&mut harness);
    assert!(
        scans <= MAX_BURST_SCANS,
        "{scans} searches in {COUNTED_MS} ms"
    );
}

/// Returns a step whose tasks each take more than half of a VM.
fn large_step(count: u32, millis: u64) -> Step {
    Step {
        demand: Resources::new(9_000, 9_000, 0, 1),
        ..step(count, millis, &[])
    }
}
