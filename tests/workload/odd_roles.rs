//! Rows and VMs that keep each daemon from the placer's role.

use ragwortstall::core::workload::table::HEARTBEATS;
use ragwortstall::core::workload::table::JOBS;
use ragwortstall::core::workload::table::RowId;
use ragwortstall::core::workload::table::Transaction;

use crate::harness::Harness;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;
use crate::support::cases;

/// Guards against an installation without a placer for good, as another writer has left an odd row under one of
/// the role's keys when the placer ended.
fn assert_role_is_taken(table: &'static str, key: &str) {
    let mut harness = Harness::new(4, 4);
    harness.run_for(1_000);
    let placer = harness.placer().expect("a placer");
    harness.kill(placer);
    harness.run_for(100);
    let txn = Transaction {
        put: vec![(RowId::new(table, "p0", key), b"\xffjunk".to_vec())],
        ..Transaction::default()
    };
    harness.table.commit(&txn);
    harness.run_for(30_000);
    assert!(harness.placer().is_some(), "no daemon takes the role");
}

cases! {
    assert_role_is_taken;
    the_role_is_taken_beside_an_odd_heartbeat(HEARTBEATS, "beat"),
    the_role_is_taken_beside_an_odd_owner(JOBS, "owner"),
}

/// Guards against an installation that places nothing for good, as one VM has accepted a fencing token far
/// above the placer's epoch.
#[test]
fn work_is_placed_beside_a_vm_with_a_high_fencing_token() {
    let mut harness = Harness::new(4, 4);
    harness.run_for(1_000);
    harness.vms.get_mut("vm-3").expect("a VM").epoch = 1_000_000;
    harness.run_for(20_000);
    let daemon = harness.placer().unwrap_or(0);
    harness.send_submission(daemon, ID, job(vec![step(2, 500, &[])]));
    harness.run_for(20_000);
    assert_eq!(harness.starts.len(), 2, "nothing is placed");
}
