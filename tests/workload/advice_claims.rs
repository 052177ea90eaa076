//! Queues with advice: steps that no VM with room may run, and the steps behind them.

use std::time::Duration;

use ragwortstall::core::workload::catalog::AdviceTiming;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::submission::Step;

use crate::harness::Harness;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;
use crate::support::cases;

const ADVICE: AdviceTiming = AdviceTiming {
    base_latency: Duration::from_millis(560),
    latency_per_vm: Duration::from_millis(8),
    ticket_validity: Duration::from_secs(2),
};

/// Id of the job whose tasks wait.
const BLOCKED_ID: &str = "0000000000000051";

/// Id of a job that fills the VMs of a kind.
const FILLING_ID: &str = "0000000000000050";

/// Number of tasks of the step that waits: they need more than the step may claim.
const MANY: u32 = 400;

fn lasting_step(count: u32) -> Step {
    let mut spec = step(count, 500, &[]);
    spec.traits.long_running = true;
    spec
}

fn submit(harness: &mut Harness, id: &str, spec: Step) {
    let reply = harness.submit(0, id, job(vec![spec]));
    assert_eq!(reply, Reply::Accepted, "{id}");
}

/// Submits a step that all VMs are rejected for.
fn block_by_rejections(harness: &mut Harness) {
    harness.unadvised_vms = harness.vms.keys().cloned().collect();
    submit(harness, BLOCKED_ID, lasting_step(MANY));
    harness.run_for(3_000);
    harness.unadvised_vms.clear();
}

/// Submits a step that has its tasks on all VMs that it may use.
fn block_by_limit_per_vm(harness: &mut Harness) {
    let mut spec = lasting_step(MANY);
    spec.max_per_vm = 1;
    submit(harness, BLOCKED_ID, spec);
    harness.run_for(3_000);
}

/// Submits a step that requires a kind of VM of which none has room.
fn block_by_label(harness: &mut Harness) {
    harness.vms.get_mut("vm-0").expect("a VM").kind = "b";
    harness.write_vm_rows();
    harness.run_for(100);
    let mut filling = lasting_step(16);
    filling.required_label = "b".into();
    submit(harness, FILLING_ID, filling);
    harness.run_for(3_000);
    let mut spec = lasting_step(MANY);
    spec.required_label = "b".into();
    submit(harness, BLOCKED_ID, spec);
    harness.run_for(1_000);
}

/// Guards against a lasting task that never asks for advice, beside VMs that are free, as a step before it
/// claims their room for good although it may use none of it.
fn assert_starts_behind(block: fn(&mut Harness)) {
    let mut harness = Harness::with_advice(8, 4, Some(ADVICE));
    block(&mut harness);
    submit(&mut harness, ID, lasting_step(2));
    harness.run_for(3_000);
    let starts = harness.starts.iter().filter(|start| &*start.1.job == ID);
    assert_eq!(starts.count(), 2);
}

cases! {
    assert_starts_behind;
    a_lasting_task_starts_behind_a_step_that_all_vms_are_rejected_for(block_by_rejections),
    a_lasting_task_starts_behind_a_step_at_its_limit_per_vm(block_by_limit_per_vm),
    a_lasting_task_starts_behind_a_step_whose_kind_of_vm_is_full(block_by_label),
}
