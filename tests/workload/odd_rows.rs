//! Rows that another writer has left among those of the VMs and in the cell's own tables.

use std::time::Duration;

use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::event::FeedRow;
use ragwortstall::core::workload::table::CommitOutcome;
use ragwortstall::core::workload::table::HEARTBEATS;
use ragwortstall::core::workload::table::JOBS;
use ragwortstall::core::workload::table::PROGRESS;
use ragwortstall::core::workload::table::ROSTER;
use ragwortstall::core::workload::table::RowId;
use ragwortstall::core::workload::table::Transaction;

use crate::harness::Harness;
use crate::harness::START_TIME;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::part_number;
use crate::jobs::step;
use crate::support::cases;

/// VM that gets the first tasks.
const FIRST_VM: &str = "vm-0";

/// Longest time that a row can have.
const LONGEST_TIME: &str = r#"{"secs":18446744073709551615,"nanos":999999999}"#;

/// Job that comes after the odd row.
const SECOND_ID: &str = "00000000000000b1";

fn submit(harness: &mut Harness, id: &str) {
    let submission = job(vec![step(2, 1_500, &[])]);
    assert_eq!(harness.submit(0, id, submission), Reply::Accepted);
    harness.run_for(60);
}

fn unreadable_row(_: &Harness) -> FeedRow {
    FeedRow::Unreadable(FIRST_VM.into(), "recursion limit exceeded".into())
}

/// Returns the VM's row with a start in the future.
fn future_row(harness: &Harness) -> FeedRow {
    let mut row = harness.vms[FIRST_VM].row();
    let start = START_TIME + Duration::from_secs(1_000_000);
    row.started_ms = u64::try_from(start.as_millis()).expect("a start");
    FeedRow::Vm(row)
}

/// Asserts that the runs on a VM go on whose row another writer has replaced, that it gets no new tasks
/// until it writes its row again, and that all others hold.
fn assert_vm_is_left_alone(odd_row: fn(&Harness) -> FeedRow) {
    let mut harness = Harness::new(2, 2);
    submit(&mut harness, ID);
    assert!(harness.starts.iter().all(|start| &*start.3 == FIRST_VM));
    harness.table.version += 1;
    let row = odd_row(&harness);
    let version = harness.table.version;
    harness.pending_vm_rows.push((version, row));
    harness.run_for(50);
    submit(&mut harness, SECOND_ID);
    assert_eq!(harness.starts.len(), 4);
    assert!(harness.starts[2..].iter().all(|start| &*start.3 == "vm-1"));
    harness.run_for(2_500);
    assert_eq!(harness.state(0, ID), Some(JobState::Completed));
    assert_eq!(harness.state(1, SECOND_ID), Some(JobState::Completed));
    harness.write_vm_rows();
    harness.run_for(50);
    submit(&mut harness, "00000000000000c1");
    assert_eq!(harness.starts.len(), 6);
    assert!(
        harness.starts[4..]
            .iter()
            .all(|start| &*start.3 == FIRST_VM)
    );
}

cases! {
    assert_vm_is_left_alone;
    a_vm_whose_row_cannot_be_read_gets_no_new_tasks(unreadable_row),
    a_vm_whose_row_has_a_start_in_the_future_gets_no_new_tasks(future_row),
}

fn put(harness: &mut Harness, table: &'static str, part: &str, key: &str, value: &str) {
    let txn = Transaction {
        put: vec![(RowId::new(table, part, key), value.into())],
        ..Transaction::default()
    };
    assert!(matches!(harness.table.commit(&txn), CommitOutcome::Done(_)));
}

/// Returns the row of a job with extreme numbers and these further fields.
fn extreme_job(fields: &str) -> String {
    let max = u64::MAX;
    format!(
        r#"{{"queue":"labels","service":"pool","team":"dairy","at":{LONGEST_TIME},"job":{{"payload":"","steps":[
        {{"count":1,"required_label":"none","estimate_ms":{max}}}]{fields}}}}}"#
    )
}

/// Guards against a process that ends, or a takeover that fails, by an odd row in one of the cell's own
/// tables.
#[test]
fn odd_rows_in_the_cells_own_tables_are_skipped() {
    let nested = "[".repeat(30_000);
    let schedule = format!(
        r#","schedule":{{"first":{LONGEST_TIME},"interval":{LONGEST_TIME},"times":4294967295}}"#
    );
    let extreme = [extreme_job(""), extreme_job(&schedule)];
    let mut harness = Harness::new(3, 2);
    for (n, value) in ["", "null", "{}", "1e999", &nested, &extreme[0], &extreme[1]]
        .iter()
        .enumerate()
    {
        let key = format!("{:016x}", 0xf00 + n);
        let part = format!("jobs-{}", part_number(&key));
        put(&mut harness, JOBS, &part, &key, value);
        put(&mut harness, PROGRESS, "p0", &key, value);
        put(&mut harness, PROGRESS, "p0", &format!("{key}/0.0.0"), value);
        put(&mut harness, ROSTER, "p0", &format!("vm-odd-{n}"), value);
        put(
            &mut harness,
            HEARTBEATS,
            "daemons",
            &format!("odd-{n}"),
            value,
        );
    }
    for id in [ID, SECOND_ID] {
        harness.run_for(500);
        let daemon = (0..3).find(|&daemon| harness.is_up(daemon));
        let daemon = daemon.expect("a daemon");
        let submission = job(vec![step(2, 500, &[])]);
        assert_eq!(harness.submit(daemon, id, submission), Reply::Accepted);
        harness.run_for(5_000);
        assert_eq!(harness.state(daemon, id), Some(JobState::Completed));
        let placer = harness.placer().expect("a placer");
        harness.kill(placer);
        harness.run_for(6_000);
    }
    assert!(harness.placer().is_some());
}

/// Guards against a placer that ends, and each that follows it, on the row of a job with a dependency that
/// does not exist.
#[test]
fn work_goes_on_beside_a_job_with_an_odd_dependency() {
    let mut harness = Harness::new(4, 4);
    let steps = vec![step(1, 1_500, &[]), step(1, 500, &[0])];
    assert_eq!(harness.submit(0, SECOND_ID, job(steps)), Reply::Accepted);
    harness.run_for(100);
    let rows = harness.table.changes(JOBS, 0);
    let row = rows.iter().find(|row| &*row.key == SECOND_ID);
    let row = row.expect("the job's row");
    let value = row.value.clone().expect("a value");
    let text = String::from_utf8(value).expect("text");
    let odd = text.replace(r#""after":[0]"#, r#""after":[9]"#);
    assert_ne!(odd, text);
    let txn = Transaction {
        put: vec![(RowId::new(JOBS, &row.part, SECOND_ID), odd.into_bytes())],
        ..Transaction::default()
    };
    harness.table.commit(&txn);
    harness.restart_all();
    harness.run_for(8_000);
    submit(&mut harness, ID);
    harness.run_for(4_000);
    assert_eq!(harness.state(0, ID), Some(JobState::Completed));
}
