//! VMs that stop answering between two renewals, as when their zone is cut off.

use ragwortstall::core::workload::decision::Decision;
use ragwortstall::core::workload::effect::Reply;

use crate::harness::Harness;
use crate::jobs::job;
use crate::jobs::step;

/// Returns the VMs on which tasks of a job were placed.
fn vms_of(harness: &Harness, job: &str) -> Vec<Box<str>> {
    let placed = harness
        .decisions
        .iter()
        .filter_map(|decision| match decision {
            Decision::Placed { id, vm, .. } if **id == *job => Some(vm.clone()),
            _ => None,
        });
    placed.collect()
}

/// Submits a job with a task on each of two VMs, of which the first no longer answers.
fn submit_over_both(harness: &mut Harness) {
    harness.silent_vms.insert("vm-0".into());
    let mut spread = step(2, 10_000, &[]);
    spread.max_per_vm = 1;
    let reply = harness.submit(0, "00000000000000aa", job(vec![spread]));
    assert_eq!(reply, Reply::Accepted);
    harness.run_for(400);
    assert_eq!(vms_of(harness, "00000000000000aa").len(), 2);
}

fn submit_small(harness: &mut Harness, id: &str) -> Vec<Box<str>> {
    let reply = harness.submit(0, id, job(vec![step(4, 1_000, &[])]));
    assert_eq!(reply, Reply::Accepted);
    harness.run_for(100);
    vms_of(harness, id)
}

/// Guards against tasks that are sent to a VM whose renewal is not overdue yet although a start has
/// gone unanswered there: their jobs would wait until the VM's lease has expired.
#[test]
fn a_vm_with_an_unanswered_start_gets_no_more_tasks() {
    let mut harness = Harness::new(2, 2);
    submit_over_both(&mut harness);
    let vms = submit_small(&mut harness, "00000000000000bb");
    assert_eq!(vms.len(), 4);
    assert!(vms.iter().all(|vm| &**vm == "vm-1"), "{vms:?}");
}

/// Guards against a VM that stays without tasks after it answers again.
#[test]
fn a_vm_that_answers_again_gets_tasks() {
    let mut harness = Harness::new(2, 2);
    submit_over_both(&mut harness);
    harness.silent_vms.clear();
    harness.run_for(6_000);
    harness.silent_vms.insert("vm-1".into());
    harness.run_for(3_000);
    let vms = submit_small(&mut harness, "00000000000000cc");
    assert_eq!(vms.len(), 4);
    assert!(vms.iter().all(|vm| &**vm == "vm-0"), "{vms:?}");
}
