//! Ended jobs, whose rows are replaced by small ones without payload and steps.

use std::time::Duration;

use ragwortstall::core::workload::decision::Decision;
use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::event::Action;
use ragwortstall::core::workload::submission::Submission;
use ragwortstall::core::workload::table::CommitOutcome;
use ragwortstall::core::workload::table::JOBS;
use ragwortstall::core::workload::table::PROGRESS;
use ragwortstall::core::workload::table::RowId;
use ragwortstall::core::workload::table::Transaction;

use crate::catalog::OTHER_KEY;
use crate::harness::Harness;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;

/// Number of jobs of a test with many.
const COUNT: usize = 60;

/// Size of the payload, which each full row exceeds, in bytes.
const PAYLOAD_BYTES: usize = 4_000;

/// Time within which the rows of ended jobs are replaced, in milliseconds.
const ARCHIVE_MS: u64 = 2_000;

/// Time after which the rows of an ended job are removed, in milliseconds.
const RETIRE_MS: u64 = 155_000;

/// Returns a job of one task with the largest payload.
fn large_job(millis: u64) -> Submission {
    Submission {
        payload: "x".repeat(PAYLOAD_BYTES).into(),
        ..job(vec![step(1, millis, &[])])
    }
}

fn id(n: usize) -> String {
    format!("{n:016x}")
}

/// Returns a cell on which one job with a large payload has ended and whose row is small.
fn cell_with_archived_job() -> Harness {
    let mut harness = Harness::new(2, 2);
    assert_eq!(harness.submit(0, ID, large_job(300)), Reply::Accepted);
    assert!(is_full(&harness));
    harness.run_for(600 + ARCHIVE_MS);
    assert_eq!(harness.state(1, ID), Some(JobState::Completed));
    assert!(!is_full(&harness));
    harness
}

/// Returns whether the table has the full row of a job.
fn is_full(harness: &Harness) -> bool {
    harness.table.bytes(JOBS) > PAYLOAD_BYTES
}

fn has_progress(harness: &Harness) -> bool {
    let rows = harness.table.changes(PROGRESS, 0);
    rows.iter().any(|row| &*row.key == ID)
}

/// Kills the placer and runs the cell until another daemon has taken over.
fn replace_placer(harness: &mut Harness) -> usize {
    let placer = harness.placer().expect("a placer");
    harness.kill(placer);
    harness.run_for(3_000);
    harness.placer().expect("a new placer")
}

/// Returns the number of times at which a placer has ended a job.
fn ends(harness: &Harness) -> usize {
    let is_end = |decision: &&Decision| {
        let Decision::JobState { state, .. } = decision else {
            return false;
        };
        !matches!(state, JobState::Queued | JobState::Running)
    };
    harness.decisions.iter().filter(is_end).count()
}

fn has_missing_state(harness: &Harness) -> bool {
    let is_missing = |decision: &Decision| matches!(decision, Decision::FinalStateMissing { .. });
    harness.decisions.iter().any(is_missing)
}

#[test]
fn rows_of_ended_jobs_shrink_and_the_next_placer_runs_nothing_again() {
    let mut harness = Harness::new(3, 4);
    for n in 0..COUNT {
        let reply = harness.submit(n % 3, &id(n), large_job(1_500));
        assert_eq!(reply, Reply::Accepted);
    }
    let full = harness.table.bytes(JOBS);
    assert!(full > COUNT * PAYLOAD_BYTES);
    harness.run_for(2_000 + ARCHIVE_MS);
    assert_eq!(ends(&harness), COUNT);
    let small = harness.table.bytes(JOBS);
    assert!(small * 100 < full * 15, "{small} of {full} bytes");
    let next = replace_placer(&mut harness);
    for n in 0..COUNT {
        assert_eq!(harness.state(next, &id(n)), Some(JobState::Completed));
    }
    assert_eq!(harness.call(next, "", Action::Get), Reply::Waiting(0));
    let waiting = harness.status(next).placer.expect("a placer").waiting;
    assert!(waiting.is_empty(), "{waiting:?}");
    assert_eq!(harness.starts.len(), COUNT);
    assert_eq!(ends(&harness), COUNT);
    assert!(!has_missing_state(&harness));
}

#[test]
fn rows_are_replaced_as_fast_as_jobs_end() {
    let mut harness = Harness::new(3, 4);
    for n in 0..300 {
        let reply = harness.submit(n % 3, &id(n), large_job(300));
        assert_eq!(reply, Reply::Accepted);
        harness.run_for(25);
        let bytes = harness.table.bytes(JOBS);
        assert!(bytes < 100 * PAYLOAD_BYTES, "{bytes} after {n} jobs");
    }
    harness.run_for(ARCHIVE_MS);
    assert_eq!(ends(&harness), 300);
    assert!(harness.table.bytes(JOBS) < 300 * PAYLOAD_BYTES / 10);
}

#[test]
fn a_small_row_is_removed_after_the_retention_by_the_next_placer_too() {
    let mut harness = cell_with_archived_job();
    let next = replace_placer(&mut harness);
    harness.run_for(RETIRE_MS);
    assert_eq!(harness.state(next, ID), None);
    let removed = harness.table.changes(JOBS, 0).into_iter();
    let removed = removed.filter(|row| &*row.key == ID && row.value.is_none());
    assert_eq!(removed.count(), 1);
}

#[test]
fn a_repeated_submission_of_an_ended_job_runs_nothing() {
    let mut harness = cell_with_archived_job();
    repeat_submission(&mut harness);
    replace_placer(&mut harness);
    repeat_submission(&mut harness);
}

/// Submits an ended job again through the placer's daemon.
fn repeat_submission(harness: &mut Harness) {
    let placer = harness.placer().expect("a placer");
    assert_eq!(harness.submit(placer, ID, large_job(300)), Reply::Accepted);
    harness.run_for(ARCHIVE_MS);
    assert!(!is_full(harness));
    assert_eq!(harness.starts.len(), 1);
    assert_eq!(harness.state(placer, ID), Some(JobState::Completed));
}

#[test]
fn a_cancel_of_an_ended_job_is_answered_as_before() {
    let mut harness = cell_with_archived_job();
    let other = harness.call_as(OTHER_KEY, 1, ID, Action::Cancel);
    assert_eq!(other, Reply::NoJob);
    for _ in 0..2 {
        assert_eq!(harness.call(1, ID, Action::Cancel), Reply::Cancelled);
    }
    harness.run_for(500);
    assert_eq!(harness.state(1, ID), Some(JobState::Completed));
    let next = replace_placer(&mut harness);
    assert_eq!(harness.state(next, ID), Some(JobState::Completed));
    assert_eq!(harness.call(next, ID, Action::Cancel), Reply::Cancelled);
    assert_eq!(ends(&harness), 1);
}

#[test]
fn a_cancel_during_the_replacement_is_answered_as_before() {
    let mut harness = Harness::new(2, 2);
    assert_eq!(harness.submit(0, ID, large_job(300)), Reply::Accepted);
    while ends(&harness) == 0 {
        harness.run_for(1);
    }
    harness.run_for(20);
    // The row that the call reads is replaced before the answer arrives.
    assert!(is_full(&harness));
    harness.table_latency = Duration::from_millis(260);
    let version = harness.table.version;
    assert_eq!(harness.call(1, ID, Action::Cancel), Reply::Cancelled);
    let replaced = harness.table.changes(JOBS, version).into_iter();
    let replaced = replaced.filter(|row| &*row.key == ID && row.value.is_some());
    assert_eq!(replaced.count(), 1);
}

#[test]
fn a_delayed_replacement_does_not_bring_back_a_removed_row() {
    let mut harness = Harness::new(2, 2);
    harness.hold_archives = true;
    assert_eq!(harness.submit(0, ID, large_job(300)), Reply::Accepted);
    harness.run_for(ARCHIVE_MS);
    let delayed = harness
        .held_archives
        .first()
        .expect("a transaction")
        .clone();
    harness.run_for(RETIRE_MS);
    let empty = harness.table.bytes(JOBS);
    assert!(empty < PAYLOAD_BYTES);
    let outcome = harness.table.commit(&delayed);
    assert!(matches!(outcome, CommitOutcome::Conflict(_)), "{outcome:?}");
    assert_eq!(harness.table.bytes(JOBS), empty);
    // Nor does it change a later job with the same id.
    assert_eq!(harness.submit(0, ID, large_job(60_000)), Reply::Accepted);
    let outcome = harness.table.commit(&delayed);
    assert!(matches!(outcome, CommitOutcome::Conflict(_)), "{outcome:?}");
    assert!(is_full(&harness));
}

#[test]
fn full_rows_of_ended_jobs_are_replaced_by_the_next_placer() {
    let mut harness = Harness::new(2, 2);
    harness.hold_archives = true;
    assert_eq!(harness.submit(0, ID, large_job(300)), Reply::Accepted);
    harness.run_for(ARCHIVE_MS);
    assert!(is_full(&harness));
    let placer = harness.placer().expect("a placer");
    harness.kill(placer);
    harness.hold_archives = false;
    harness.run_for(1_500 + ARCHIVE_MS);
    assert!(!is_full(&harness));
    // The transaction of the former placer arrives now.
    let delayed = harness
        .held_archives
        .first()
        .expect("a transaction")
        .clone();
    let outcome = harness.table.commit(&delayed);
    assert!(matches!(outcome, CommitOutcome::Conflict(_)), "{outcome:?}");
    assert_eq!(harness.state(1 - placer, ID), Some(JobState::Completed));
    assert_eq!(harness.starts.len(), 1);
}

#[test]
fn a_replacement_whose_answer_was_lost_is_found() {
    let mut harness = Harness::new(1, 2);
    assert_eq!(harness.submit(0, ID, large_job(300)), Reply::Accepted);
    while ends(&harness) == 0 {
        harness.run_for(1);
    }
    harness.run_for(30);
    harness.commit_answers_lost_until = harness.now + Duration::from_millis(400);
    harness.run_for(5_000);
    assert!(!is_full(&harness));
    assert_eq!(harness.state(0, ID), Some(JobState::Completed));
    let reply = harness.submit(0, &id(1), large_job(300));
    assert_eq!(reply, Reply::Accepted);
    harness.run_for(600 + ARCHIVE_MS);
    assert!(!is_full(&harness));
}

#[test]
fn a_job_keeps_its_row_until_its_final_state_is_stored() {
    end_before_progress_is_stored(Duration::ZERO);
    // A write of progress from before the job's end is answered after it.
    end_before_progress_is_stored(Duration::from_millis(100));
}

/// Ends a job while the table refuses the placer's writes of progress, and kills the placer.
fn end_before_progress_is_stored(table_latency: Duration) {
    let mut harness = Harness::new(2, 2);
    harness.table_latency = table_latency;
    assert_eq!(harness.submit(0, ID, large_job(500)), Reply::Accepted);
    while !has_progress(&harness) {
        harness.run_for(1);
    }
    assert_eq!(ends(&harness), 0);
    harness.progress_refused_until = harness.now + Duration::from_secs(1);
    harness.run_for(900);
    assert_eq!(ends(&harness), 1);
    assert!(is_full(&harness));
    harness.table_latency = Duration::ZERO;
    let next = replace_placer(&mut harness);
    harness.run_for(ARCHIVE_MS);
    assert_eq!(harness.state(next, ID), Some(JobState::Completed));
    assert_eq!(ends(&harness), 2);
    assert_eq!(harness.starts.len(), 1);
    assert!(!has_missing_state(&harness));
    assert!(!is_full(&harness));
}

#[test]
fn a_small_row_without_a_final_state_is_logged_and_not_run() {
    let mut harness = cell_with_archived_job();
    let progress = Transaction {
        remove: vec![RowId::new(PROGRESS, "p0", ID)],
        ..Transaction::default()
    };
    harness.table.commit(&progress);
    let next = replace_placer(&mut harness);
    assert!(has_missing_state(&harness));
    assert_eq!(harness.starts.len(), 1);
    assert_eq!(ends(&harness), 1);
    assert_eq!(harness.call(next, "", Action::Get), Reply::Waiting(0));
    harness.run_for(RETIRE_MS);
    assert_eq!(harness.state(next, ID), None);
}

#[test]
fn rows_of_cancelled_and_failed_jobs_shrink_while_their_runs_end() {
    let mut harness = Harness::new(2, 2);
    assert_eq!(harness.submit(0, ID, large_job(60_000)), Reply::Accepted);
    let mut wide = large_job(100);
    wide.steps[0].demand.cpu_milli = 17_000;
    assert_eq!(harness.submit(1, &id(1), wide), Reply::Accepted);
    harness.run_for(300);
    assert_eq!(harness.call(1, ID, Action::Cancel), Reply::Cancelled);
    harness.run_for(ARCHIVE_MS);
    assert!(!is_full(&harness));
    let next = replace_placer(&mut harness);
    assert_eq!(harness.state(next, ID), Some(JobState::Cancelled));
    assert_eq!(harness.state(next, &id(1)), Some(JobState::Failed));
    assert_eq!(harness.starts.len(), 1);
    assert_eq!(ends(&harness), 2);
}
