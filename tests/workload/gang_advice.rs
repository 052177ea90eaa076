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

/// Time within which a wide gang learns which of many VMs may run it, and starts, in milliseconds.
const WIDE_GANG_WAIT_MS: u64 = 12_000;

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

/// Guards against a wide gang that waits for ever beside free VMs, of which one in `one_in` may run it: a
/// query names fewer VMs than it needs, or only those that are approved already.
fn assert_wide_gang_starts(vms: usize, one_in: usize, members: u32) {
    let mut harness = Harness::with_advice(8, vms, Some(ADVICE));
    let names: Vec<Box<str>> = harness.vms.keys().cloned().collect();
    let rejected = (0..).zip(names).filter(|(ix, _)| ix % one_in != 0);
    harness.unadvised_vms.extend(rejected.map(|(_, name)| name));
    harness.run_for(100);
    let reply = harness.submit(0, ID, job(vec![gang(members)]));
    assert_eq!(reply, Reply::Accepted);
    harness.run_for(WIDE_GANG_WAIT_MS);
    assert_eq!(
        harness.starts.len(),
        members as usize,
        "the gang has not started"
    );
}

cases! {
    assert_wide_gang_starts;
    a_gang_starts_on_as_many_vms_as_a_query_names(30, 1, 30),
    a_gang_starts_on_one_vm_more_than_a_query_names(31, 1, 31),
    a_gang_of_forty_starts_on_half_of_the_vms(80, 1, 40),
    a_gang_of_thirty_six_starts_where_every_other_vm_is_approved(80, 2, 36),
    a_gang_of_twenty_starts_where_one_vm_in_three_is_approved(80, 3, 20),
    a_gang_of_ninety_starts_on_ninety_vms(90, 1, 90),
    a_gang_starts_on_more_vms_than_the_service_takes_in_a_query(150, 1, 120),
}
