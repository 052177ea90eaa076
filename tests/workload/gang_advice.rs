//! Gangs on a queue with advice: all members need a valid ticket at the same time.

use std::time::Duration;

use ragwortstall::core::workload::catalog::AdviceTiming;
use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::submission::Step;

use crate::harness::Harness;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;
use crate::support::cases;

/// Time from one VM of the cell to the next that gets usable, in milliseconds. It is about as long as
/// a query, so that each VM is asked about by itself.
const VM_INTERVAL_MS: u64 = 500;

/// Time within which a gang starts once all VMs are usable, in milliseconds: two queries, and the
/// rounds between.
const GANG_WAIT_MS: u64 = 1_600;

/// Answers take so long that tickets which are renewed one after the other expire before there are
/// four of them.
const ADVICE: AdviceTiming = AdviceTiming {
    base_latency: Duration::from_millis(560),
    latency_per_vm: Duration::from_millis(8),
    ticket_validity: Duration::from_secs(2),
};

/// Returns a gang of `count` tasks, each of which takes a whole VM.
fn gang(count: u32) -> Step {
    let mut gang = step(count, 500, &[]);
    gang.demand.cpu_milli = 16_000;
    gang.traits.gang = true;
    gang
}

/// Guards against a gang that waits for ever beside free VMs that may run it: their tickets were
/// given one by one, and each query renews only the one that has expired.
fn assert_gang_starts(members: u32) {
    let vms = usize::try_from(members).expect("few members");
    let mut harness = Harness::with_advice(8, vms, Some(ADVICE));
    let names: Vec<Box<str>> = harness.vms.keys().cloned().collect();
    for vm in harness.vms.values_mut() {
        vm.draining = true;
    }
    harness.write_vm_rows();
    harness.run_for(100);
    let reply = harness.submit(0, ID, job(vec![gang(members)]));
    assert_eq!(reply, Reply::Accepted);
    for name in &names {
        harness.vms.get_mut(name).expect("a VM").draining = false;
        harness.write_vm_rows();
        harness.run_for(VM_INTERVAL_MS);
    }
    harness.run_for(GANG_WAIT_MS);
    assert_eq!(harness.starts.len(), vms, "the gang has not started");
    harness.run_for(1_000);
    assert_eq!(harness.state(0, ID), Some(JobState::Completed));
}

cases! {
    assert_gang_starts;
    a_gang_of_three_starts_on_vms_approved_one_by_one(3),
    a_gang_of_four_starts_on_vms_approved_one_by_one(4),
    a_gang_of_twelve_starts_on_vms_approved_one_by_one(12),
}
