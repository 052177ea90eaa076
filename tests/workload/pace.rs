//! Speed of filler tasks on VMs with latency-sensitive tasks.

use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::submission::Step;

use crate::harness::Harness;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;

/// Tail latency target of the serving task, in milliseconds.
const TARGET_MS: u64 = 100;

/// Returns a cell whose VM runs a serving task and a filler.
fn shared_vm() -> Harness {
    let mut harness = Harness::new(1, 1);
    let mut serving = step(1, 0, &[]);
    serving.traits.long_running = true;
    serving.target_ms = TARGET_MS;
    let mut filler: Step = step(1, 60_000, &[]);
    filler.traits.filler = true;
    assert_eq!(harness.submit(0, ID, job(vec![serving])), Reply::Accepted);
    let filler = job(vec![filler]);
    assert_eq!(
        harness.submit(0, "00000000000000a2", filler),
        Reply::Accepted
    );
    harness.run_for(1_000);
    assert_eq!(harness.starts.len(), 2);
    harness
}

fn set_tail_latency(harness: &mut Harness, millis: u64) {
    for vm in harness.vms.values_mut() {
        vm.tail_latency_ms = millis;
    }
}

#[test]
fn a_filler_is_paused_soon_after_the_tail_latency_exceeds_its_target() {
    let mut harness = shared_vm();
    assert!(harness.speed_orders.is_empty());
    set_tail_latency(&mut harness, TARGET_MS * 2);
    harness.run_for(1_500);
    assert_eq!(harness.speed_orders.last().map(|order| order.1), Some(0));
}

#[test]
fn a_filler_is_slowed_down_before_the_tail_latency_reaches_its_target() {
    let mut harness = shared_vm();
    set_tail_latency(&mut harness, TARGET_MS * 9 / 10);
    harness.run_for(1_200);
    assert_eq!(harness.speed_orders.first().map(|order| order.1), Some(50));
}

#[test]
fn a_filler_is_sped_up_in_steps_when_the_tail_latency_is_low() {
    let mut harness = shared_vm();
    set_tail_latency(&mut harness, TARGET_MS * 2);
    harness.run_for(1_500);
    set_tail_latency(&mut harness, TARGET_MS / 2);
    harness.run_for(4_000);
    let speeds: Vec<u32> = harness.speed_orders.iter().map(|order| order.1).collect();
    assert_eq!(speeds[..3], [0, 20, 40]);
}
