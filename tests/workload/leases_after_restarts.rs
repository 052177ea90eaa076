//! VMs that restart under their ids, get orders that were meant for the former lifetime, and are cut off
//! soon after.
//!
//! The deadline of such an order is far ahead on the new clock, so that the VM grants the longest lease to
//! all that runs there.

use std::time::Duration;

use ragwortstall::core::workload::decision::Decision;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::table::ROSTER;
use serde::Deserialize;

use crate::harness::Harness;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;
use crate::support::cases;
use crate::vm::SimVm;

/// VM that restarts.
const VM: &str = "vm-0";

/// Job whose tasks start on the VM after its restart is known.
const SECOND_ID: &str = "00000000000000b1";

/// Number of tasks of a job, for which a VM has room twice.
const TASKS: usize = 2;

/// Run time of a task, in milliseconds, which is longer than all leases.
const RUN_MS: u64 = 30_000;

fn vm(harness: &mut Harness) -> &mut SimVm {
    harness.vms.get_mut(VM).expect("a VM")
}

fn submit(harness: &mut Harness, id: &str) {
    let submission = job(vec![step(2, RUN_MS, &[])]);
    assert_eq!(harness.submit(0, id, submission), Reply::Accepted);
    harness.run_for(60);
}

/// Returns a cell whose first VM has restarted without the placer's knowledge, long after its first start.
fn cell_with_restarted_vm() -> Harness {
    let mut harness = Harness::new(3, 3);
    harness.run_for(10_000);
    vm(&mut harness).restart();
    harness
}

fn accept_starts(_: &mut Harness) {}

fn reject_starts(harness: &mut Harness) {
    vm(harness).full = true;
}

/// Sends starts with deadlines on the former clock to the VM, lets the placer know of the restart, and
/// starts the tasks of a second job there, in the lifetime that is known.
fn start_in_known_lifetime(prepare: fn(&mut Harness)) -> Harness {
    let mut harness = cell_with_restarted_vm();
    prepare(&mut harness);
    submit(&mut harness, ID);
    harness.write_vm_rows();
    harness.run_for(200);
    vm(&mut harness).full = false;
    // The other VMs take no tasks for now.
    for other in ["vm-1", "vm-2"] {
        harness.vms.get_mut(other).expect("a VM").draining = true;
    }
    harness.write_vm_rows();
    harness.run_for(100);
    submit(&mut harness, SECOND_ID);
    harness.run_for(700);
    let runs = vm(&mut harness).runs.keys();
    assert_eq!(runs.filter(|task| &*task.job == SECOND_ID).count(), TASKS);
    for other in ["vm-1", "vm-2"] {
        harness.vms.get_mut(other).expect("a VM").draining = false;
    }
    harness.write_vm_rows();
    harness.run_for(10);
    harness
}

fn starts_of(harness: &Harness, id: &str) -> usize {
    let starts = harness.starts.iter();
    starts.filter(|start| &*start.1.job == id).count()
}

/// Guards against a task that runs twice: its VM was cut off soon after a restart, and the placer counts
/// the lease that it has asked for, while the VM goes by a longer one from a start that was meant for the
/// former lifetime, accepted or not.
fn a_lease_from_a_former_clock_is_waited_for(prepare: fn(&mut Harness)) {
    let mut harness = start_in_known_lifetime(prepare);
    vm(&mut harness).connected = false;
    // The cell asserts that no task runs on two VMs.
    harness.run_for(12_000);
    assert_eq!(starts_of(&harness, SECOND_ID), 2 * TASKS);
}

cases! {
    a_lease_from_a_former_clock_is_waited_for;
    a_run_beside_one_that_was_meant_for_the_former_lifetime_starts_elsewhere_after_its_lease(accept_starts),
    a_run_beside_a_rejected_start_for_the_former_lifetime_starts_elsewhere_after_its_lease(reject_starts),
}

/// Guards against the same after a takeover: by the successor that reached the VM before it was cut off.
#[test]
fn a_successor_that_has_reached_the_vm_waits_for_a_lease_from_a_former_clock() {
    let mut harness = start_in_known_lifetime(accept_starts);
    let former = harness.placer().expect("a placer");
    harness.kill(former);
    while harness.placer().is_none() {
        harness.run_for(1);
    }
    harness.run_for(20);
    vm(&mut harness).connected = false;
    harness.run_for(12_000);
    assert_eq!(starts_of(&harness, SECOND_ID), 2 * TASKS);
}

/// Guards against the same after a takeover: by a successor that never reaches the VM.
#[test]
fn a_successor_that_does_not_reach_the_vm_waits_for_a_lease_from_a_former_clock() {
    let mut harness = cell_with_restarted_vm();
    submit(&mut harness, ID);
    let former = harness.placer().expect("a placer");
    harness.kill(former);
    vm(&mut harness).connected = false;
    harness.write_vm_rows();
    harness.run_for(14_000);
    assert_eq!(starts_of(&harness, ID), 2 * TASKS);
}

/// Guards against a wait for the longest lease where no order was meant for a former lifetime: the tasks
/// of a VM that was lost start elsewhere once the lease is over that was asked for.
#[test]
fn the_lease_of_a_vm_without_a_restart_is_not_waited_for_longer() {
    let mut harness = Harness::new(3, 3);
    harness.run_for(10_000);
    submit(&mut harness, ID);
    let on = harness.starts[0].3.clone();
    harness.run_for(500);
    harness.vms.get_mut(&on).expect("a VM").connected = false;
    harness.run_for(4_500);
    assert_eq!(starts_of(&harness, ID), 2 * TASKS);
}

/// Guards against a wait for the longest lease after a takeover, where the VM has not restarted since it
/// was added.
#[test]
fn a_successor_does_not_wait_longer_for_a_vm_that_is_new() {
    let mut harness = Harness::new(3, 3);
    let added = harness.add_vm_now("vm-9");
    harness.run_for(2_000);
    submit(&mut harness, ID);
    harness.run_for(500);
    let former = harness.placer().expect("a placer");
    harness.kill(former);
    harness.vms.get_mut(&added).expect("a VM").connected = false;
    harness.run_for(7_000);
    let is_settled = |line: &Decision| matches!(line, Decision::Settled { epoch: 2, took_ms } if *took_ms < 5_500);
    assert!(harness.decisions.iter().any(is_settled));
}

/// Row of the roster, as the version before the starts of lifetimes reads it.
#[derive(Debug, Deserialize)]
struct FormerRosterRow {
    address: String,
}

/// Guards against a placer of the former version that cannot read the roster.
#[test]
fn the_former_version_reads_a_row_of_the_roster() {
    let mut harness = Harness::new(2, 1);
    vm(&mut harness).restart();
    let rows = harness.table.changes(ROSTER, 0);
    let value = rows[0].value.as_deref().expect("a value");
    let row: FormerRosterRow = serde_json::from_slice(value).expect("a readable row");
    assert!(!row.address.is_empty());
    harness.run_for(
        Duration::from_secs(1)
            .as_millis()
            .try_into()
            .expect("short"),
    );
}

impl Harness {
    /// Adds a VM that has just started; returns its id.
    fn add_vm_now(&mut self, id: &str) -> Box<str> {
        let capacity = self.vms[VM].capacity;
        let mut vm = SimVm::new(id, capacity);
        vm.advance(self.now);
        vm.restart();
        self.vms.insert(id.into(), vm);
        self.write_vm_rows();
        id.into()
    }
}
