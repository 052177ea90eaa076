//! Lasting tasks whose run has ended or is lost, in a cell in which nothing else happens.

use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::event::FeedRow;

use crate::harness::Harness;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;
use crate::support::cases;

/// Time within which a lasting task runs again after its last run, in milliseconds.
const RESTART_MS: u64 = 6_000;

/// Time within which a lasting task whose VM is lost at a takeover runs again, in milliseconds.
const TAKEOVER_MS: u64 = 14_000;

/// Returns a cell that runs a lasting task, and the VM that runs it.
fn cell() -> (Harness, Box<str>) {
    let mut harness = Harness::new(3, 4);
    let mut spec = step(1, 500, &[]);
    spec.traits.long_running = true;
    assert_eq!(harness.submit(0, ID, job(vec![spec])), Reply::Accepted);
    harness.run_for(8_000);
    let vm = harness.starts.first().expect("a start").3.clone();
    (harness, vm)
}

/// Guards against a lasting task that stays on a draining VM, as the order to stop it was lost and is only
/// repeated once another task waits.
fn assert_moves(lost_stops: u32) {
    let (mut harness, vm) = cell();
    harness.lost_stops = lost_stops;
    harness.vms.get_mut(&vm).expect("a VM").draining = true;
    harness.write_vm_rows();
    harness.run_for(RESTART_MS);
    assert_eq!((harness.lost_stops, harness.starts.len()), (0, 2));
}

cases! {
    assert_moves;
    a_lasting_task_leaves_a_draining_vm(0),
    a_lasting_task_leaves_a_draining_vm_although_a_stop_is_lost(1),
    a_lasting_task_leaves_a_draining_vm_although_three_stops_are_lost(3),
}

/// Guards against a lasting task that stays assigned to a VM that is silent and has no row any more.
#[test]
fn a_lasting_task_runs_again_after_its_vm_is_unlisted_and_silent() {
    let (mut harness, vm) = cell();
    harness.silent_vms.insert(vm.clone());
    harness.table.version += 1;
    let row = FeedRow::VmRemoved(vm);
    harness.pending_vm_rows.push((harness.table.version, row));
    harness.run_for(RESTART_MS);
    assert_eq!(harness.starts.len(), 2);
}

/// Guards against a lasting task that the next placer takes for running on a VM that never answers it.
fn assert_outlives_takeover(silent_ms_before: u64) {
    let (mut harness, vm) = cell();
    harness.silent_vms.insert(vm);
    harness.run_for(silent_ms_before);
    let placer = harness.placer().expect("a placer");
    harness.kill(placer);
    harness.run_for(TAKEOVER_MS);
    assert_eq!(harness.starts.len(), 2);
}

cases! {
    assert_outlives_takeover;
    a_lasting_task_runs_again_after_its_vm_and_the_placer_are_lost_together(0),
    a_lasting_task_runs_again_after_its_vm_is_lost_before_the_placer(1_500),
    a_lasting_task_runs_again_after_the_placer_is_lost_as_the_lease_lapses(3_600),
}
