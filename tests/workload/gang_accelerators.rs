//! VMs that are held for gangs that need accelerators.

use std::time::Duration;

use ragwortstall::core::workload::catalog::AdviceTiming;
use ragwortstall::core::workload::effect::Reply;

use crate::harness::Harness;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;

const ADVICE: AdviceTiming = AdviceTiming {
    base_latency: Duration::from_millis(560),
    latency_per_vm: Duration::from_millis(8),
    ticket_validity: Duration::from_secs(2),
};

/// Id of a job that keeps the accelerators of some VMs.
const KEEPER: &str = "00000000000000c1";

/// Id of a job that keeps CPU of the other VMs.
const CPU_KEEPER: &str = "00000000000000c2";

/// Guards against a gang that holds VMs by their free CPU, although it waits for accelerators: half of the VMs
/// have none free for long, the others have `cpu_used` used and are taken by short jobs one by one.
fn assert_gang_gets_accelerators(advice: Option<AdviceTiming>, cpu_used: u32, interval_ms: u64) {
    let mut harness = Harness::with_advice(16, 8, advice);
    for (ix, vm) in harness.vms.values_mut().enumerate() {
        vm.capacity.accel = 8;
        vm.kind = if ix < 4 { "a" } else { "b" };
    }
    harness.write_vm_rows();
    harness.run_for(200);
    let mut keeper = step(4, 600_000, &[]);
    keeper.demand.accel = 8;
    keeper.required_label = "a".into();
    keeper.max_per_vm = 1;
    assert_eq!(
        harness.submit(0, KEEPER, job(vec![keeper])),
        Reply::Accepted
    );
    let mut cpu = step(4, 600_000, &[]);
    cpu.demand.cpu_milli = cpu_used;
    cpu.required_label = "b".into();
    cpu.max_per_vm = 1;
    assert_eq!(
        harness.submit(0, CPU_KEEPER, job(vec![cpu])),
        Reply::Accepted
    );
    harness.run_for(4_000);
    assert_eq!(harness.starts.len(), 8, "the keepers run");
    for number in 0..200_u64 {
        let mut small = step(1, 300 + 37 * (number % 7), &[]);
        small.demand.cpu_milli = 100;
        small.demand.accel = 8;
        harness.send_submission(1, &format!("{number:016x}"), job(vec![small]));
        if number == 20 {
            let mut gang = step(4, 500, &[]);
            gang.demand.accel = 8;
            gang.traits.gang = true;
            harness.send_submission(0, ID, job(vec![gang]));
        }
        harness.run_for(interval_ms);
    }
    let members = harness.starts.iter().filter(|start| &*start.1.job == ID);
    assert_eq!(members.count(), 4, "the gang has not started in time");
}

#[test]
fn a_gang_holds_vms_with_free_accelerators_and_more_free_cpu() {
    assert_gang_gets_accelerators(None, 100, 110);
}

#[test]
fn a_gang_holds_vms_with_free_accelerators_and_less_free_cpu() {
    assert_gang_gets_accelerators(None, 6_000, 110);
}

#[test]
fn an_advised_gang_holds_vms_with_free_accelerators_and_less_free_cpu() {
    assert_gang_gets_accelerators(Some(ADVICE), 6_000, 110);
}

#[test]
fn an_advised_gang_holds_vms_with_free_accelerators_and_more_free_cpu() {
    assert_gang_gets_accelerators(Some(ADVICE), 100, 110);
}
