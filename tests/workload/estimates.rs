//! Estimates of run times across a takeover.

use ragwortstall::core::workload::decision::Decision;
use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::table::PROGRESS;
use ragwortstall::core::workload::table::RowId;
use ragwortstall::core::workload::table::TableRow;
use ragwortstall::core::workload::table::Transaction;

use crate::harness::Harness;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;
use crate::stall::hang_vm;
use crate::stall::learn_run_times;
use crate::stall::stalls;
use crate::support::cases;

/// Key of the row with the estimates.
const KEY: &str = "estimates";

/// Returns the stored estimates.
fn stored(harness: &Harness) -> Option<TableRow> {
    let mut rows = harness.table.changes(PROGRESS, 0).into_iter();
    rows.find(|row| &*row.key == KEY)
}

/// Replaces the placer by the other daemon. While there is none, stores `value` as the estimates, if
/// any.
fn take_over(harness: &mut Harness, value: Option<&str>) {
    let placer = harness.placer().expect("a placer");
    harness.kill(placer);
    if let Some(value) = value {
        let row = RowId::new(PROGRESS, "p0", KEY);
        harness.table.commit(&Transaction {
            put: vec![(row, value.into())],
            ..Transaction::default()
        });
    }
    harness.run_for(50);
    harness.restart(placer);
    harness.run_for(2_500);
    assert!(harness.placer().is_some());
}

/// Guards against a new placer that has to learn the run times again before it can find a stalled
/// VM.
#[test]
fn estimates_survive_a_takeover() {
    let mut harness = Harness::new(2, 4);
    learn_run_times(&mut harness);
    harness.run_for(5_500);
    take_over(&mut harness, None);
    hang_vm(&mut harness, &job(vec![step(5, 500, &[])]));
    harness.run_for(3_000);
    assert_eq!(stalls(&harness).len(), 1);
}

/// Guards against a takeover that fails, or a placer that takes nonsense for estimates, after
/// another version has written the row.
fn assert_ignored(value: &str) {
    let mut harness = Harness::new(2, 4);
    take_over(&mut harness, Some(value));
    let unreadable = harness.decisions.iter().filter(
        |decision| matches!(decision, Decision::RowUnreadable { key, .. } if &**key == KEY),
    );
    assert_eq!(unreadable.count(), 1);
    let submission = job(vec![step(4, 300, &[])]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(1_500);
    assert_eq!(harness.state(0, ID), Some(JobState::Completed));
    let row = stored(&harness).expect("a new row");
    assert_ne!(row.value.expect("a value"), value.as_bytes());
}

cases! {
    assert_ignored;
    a_truncated_row_is_ignored(r#"{"form":1,"queues":{"#),
    an_empty_row_is_ignored(""),
    a_row_of_another_form_is_ignored(r#"{"form":2,"queues":{},"kinds":{}}"#),
    a_row_with_too_few_buckets_is_ignored(r#"{"form":1,"queues":{"labels":[1,2]},"kinds":{}}"#),
    a_row_without_a_form_is_ignored(r#"{"queues":{},"kinds":{}}"#),
    a_row_with_negative_counts_is_ignored(r#"{"form":1,"queues":{"labels":[-1]},"kinds":{}}"#),
}

/// Guards against counts that overflow or that outweigh all later runs.
#[test]
fn a_row_with_huge_counts_is_ignored() {
    let counts = vec![u32::MAX.to_string(); 40].join(",");
    assert_ignored(&format!(
        r#"{{"form":1,"queues":{{"labels":[{counts}]}},"kinds":{{}}}}"#
    ));
}

/// Guards against a row that grows with queues that were configured once.
#[test]
fn queues_that_are_not_configured_are_dropped() {
    let mut harness = Harness::new(2, 4);
    let counts = ["1"; 40].join(",");
    let value = format!(r#"{{"form":1,"queues":{{"former":[{counts}]}},"kinds":{{}}}}"#);
    take_over(&mut harness, Some(&value));
    learn_run_times(&mut harness);
    let row = stored(&harness).expect("a row");
    let text = String::from_utf8(row.value.expect("a value")).expect("JSON");
    assert!(
        text.contains("labels") && !text.contains("former"),
        "{text}"
    );
}

/// Guards against a write of the estimates with each write of progress.
#[test]
fn estimates_are_written_every_five_seconds_at_most() {
    let mut harness = Harness::new(2, 4);
    let mut versions = std::collections::BTreeSet::new();
    for ix in 0..50 {
        let id = format!("00000000000001{ix:02}");
        let submission = job(vec![step(4, 100, &[])]);
        assert_eq!(harness.submit(0, &id, submission), Reply::Accepted);
        harness.run_for(200);
        versions.extend(stored(&harness).map(|row| row.version));
    }
    assert!((2..=3).contains(&versions.len()), "{versions:?}");
}

/// Guards against tasks on slow VMs after a takeover, until the new placer has learned which VM kinds
/// are slow.
#[test]
fn a_new_placer_avoids_slow_vm_kinds() {
    let mut harness = Harness::new(2, 4);
    let slow: [Box<str>; 2] = ["vm-0".into(), "vm-1".into()];
    for id in &slow {
        let vm = harness.vms.get_mut(id).expect("a VM");
        vm.slowdown = 3;
        vm.kind = "slow";
    }
    harness.write_vm_rows();
    for ix in 0..12 {
        let id = format!("00000000000001{ix:02}");
        let submission = job(vec![step(60, 200, &[])]);
        assert_eq!(harness.submit(0, &id, submission), Reply::Accepted);
        harness.run_for(1_000);
    }
    take_over(&mut harness, None);
    let started = harness.starts.len();
    let submission = job(vec![step(8, 200, &[])]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(500);
    let starts = harness.starts[started..].iter();
    let on_slow = starts.filter(|start| slow.contains(&start.3)).count();
    assert_eq!((harness.starts.len() - started, on_slow), (8, 0));
}
