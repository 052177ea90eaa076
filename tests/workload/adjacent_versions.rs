//! Progress rows that the placer of an adjacent version writes or reads, as when daemons are replaced
//! one after the other.

use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::event::Action;
use ragwortstall::core::workload::table::CommitOutcome;
use ragwortstall::core::workload::table::JOBS;
use ragwortstall::core::workload::table::PROGRESS;
use ragwortstall::core::workload::table::RowId;
use ragwortstall::core::workload::table::TableRow;
use ragwortstall::core::workload::table::Transaction;
use serde::Deserialize;
use serde::Serialize;

use crate::harness::Harness;
use crate::jobs::ID;
use crate::jobs::job;
use crate::row_limits::large_cell;
use crate::row_limits::small_tasks;
use crate::row_limits::task;

/// Part of the placer's rows.
const PART: &str = "p0";

/// Number of tasks of the job, whose histories do not fit into one row.
const TASKS: u32 = 3_000;

/// Progress of a job, as the version before the rows with histories reads and writes it.
#[derive(Debug, Serialize, Deserialize)]
struct FormerProgress {
    state: String,
    team: Option<String>,
    #[serde(default)]
    through: u32,
    #[serde(default)]
    occurrences: Vec<FormerOccurrence>,
}

#[derive(Debug, Serialize, Deserialize)]
struct FormerOccurrence {
    k: u32,
    done: Vec<String>,
    #[serde(default)]
    tasks: Vec<FormerTask>,
}

#[derive(Debug, Serialize, Deserialize)]
struct FormerTask {
    step: u16,
    index: u32,
    #[serde(default)]
    failed: Vec<u64>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    crashed: Vec<u64>,
    run: u64,
    #[serde(default)]
    checkpoint: String,
}

/// Job, as the version before cancelled submissions reads it.
#[derive(Debug, Deserialize)]
struct FormerJob {
    queue: String,
    service: String,
    team: Option<String>,
    job: Option<serde_json::Value>,
}

fn progress_rows(harness: &Harness) -> Vec<TableRow> {
    let rows = harness.table.changes(PROGRESS, 0).into_iter();
    rows.filter(|row| row.value.is_some()).collect()
}

fn history_row_count(harness: &Harness) -> usize {
    let rows = progress_rows(harness);
    rows.iter().filter(|row| row.key.contains('/')).count()
}

/// Returns the job's row as the former version reads it.
fn former_progress(harness: &Harness) -> FormerProgress {
    let rows = progress_rows(harness);
    let row = rows.iter().find(|row| &*row.key == ID).expect("a row");
    serde_json::from_slice(row.value.as_deref().expect("a value")).expect("a readable row")
}

/// Runs a job whose first half of the tasks is done and whose second half has failed once; the last task
/// is about to fail again, for the last time. All daemons are down afterwards.
fn stopped_cell() -> Harness {
    let mut harness = large_cell(3);
    for index in TASKS / 2..TASKS {
        let failures = if index + 1 < TASKS { 1 } else { 2 };
        harness.remaining_failures.insert(task(index), failures);
    }
    let submission = job(vec![small_tasks(TASKS, 1_500)]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(2_600);
    for daemon in 0..3 {
        harness.kill(daemon);
    }
    assert!(history_row_count(&harness) > 0);
    harness
}

fn restart(harness: &mut Harness) {
    for daemon in 0..3 {
        harness.restart(daemon);
    }
    harness.run_for(6_000);
}

fn state(harness: &mut Harness) -> Option<JobState> {
    let placer = harness.placer().expect("a placer");
    harness.state(placer, ID)
}

/// Guards against a placer of the former version that runs tasks again that are done, or that cannot
/// read the row of a large job.
#[test]
fn the_former_version_reads_which_tasks_are_done_and_the_failures_that_fit() {
    let harness = stopped_cell();
    let progress = former_progress(&harness);
    let occurrence = &progress.occurrences[0];
    let ones = |digit: char| digit.to_digit(16).map_or(0, u32::count_ones);
    let done: u32 = occurrence.done[0].chars().map(ones).sum();
    assert_eq!(done, TASKS / 2);
    assert!(occurrence.tasks.len() > 100);
    let has_failed = |task: &FormerTask| task.index >= TASKS / 2 && !task.failed.is_empty();
    assert!(occurrence.tasks.iter().all(has_failed));
}

/// Guards against histories that count although the former version has written the job's row since.
#[test]
fn a_row_of_the_former_version_goes_before_older_histories() {
    let mut harness = stopped_cell();
    let mut progress = former_progress(&harness);
    // By this row, the last task has not failed yet.
    progress.occurrences[0].tasks.truncate(1);
    let row = RowId::new(PROGRESS, PART, ID);
    let value = serde_json::to_vec(&progress).expect("a value");
    let txn = Transaction {
        put: vec![(row, value)],
        ..Transaction::default()
    };
    assert!(matches!(harness.table.commit(&txn), CommitOutcome::Done(_)));
    restart(&mut harness);
    assert_eq!(state(&mut harness), Some(JobState::Completed));
    assert_eq!(history_row_count(&harness), 0);
}

/// Guards against failures that are lost at a takeover by the same version.
#[test]
fn the_histories_are_read_by_the_next_placer() {
    let mut harness = stopped_cell();
    restart(&mut harness);
    assert_eq!(state(&mut harness), Some(JobState::Failed));
    harness.run_for(2_000);
    assert_eq!(history_row_count(&harness), 0);
}

/// Guards against a daemon of the former version that cannot read the row of a job that was cancelled
/// before it was accepted, or that runs it.
#[test]
fn the_former_version_takes_a_job_cancelled_before_its_submission_for_an_ended_one() {
    let mut harness = Harness::new(2, 1);
    assert_eq!(harness.call(0, ID, Action::Cancel), Reply::NoJob);
    let rows = harness.table.changes(JOBS, 0);
    let value = |key: &str| rows.iter().find(|row| &*row.key == key)?.value.as_deref();
    let row: FormerJob = serde_json::from_slice(value(ID).expect("a row")).expect("a readable row");
    assert_eq!((&*row.queue, &*row.service), ("labels", "pool"));
    assert_eq!(row.team.as_deref(), Some("dairy"));
    assert_eq!(row.job, None);
    assert_eq!(value(&format!("{ID}/cancel")), Some(&b"{}"[..]));
}

/// Guards against a row of the former version that is too large to be written again.
#[test]
fn failures_of_a_lasting_task_in_a_row_of_the_former_version_are_dropped() {
    let mut harness = large_cell(3);
    let mut lasting = small_tasks(4, 500);
    lasting.traits.long_running = true;
    assert_eq!(harness.submit(0, ID, job(vec![lasting])), Reply::Accepted);
    harness.run_for(500);
    for daemon in 0..3 {
        harness.kill(daemon);
    }
    let mut progress = former_progress(&harness);
    progress.occurrences = vec![FormerOccurrence {
        k: 0,
        done: vec!["0".into()],
        tasks: vec![FormerTask {
            step: 0,
            index: 0,
            failed: (1..9_000).collect(),
            crashed: Vec::new(),
            run: 9_000,
            checkpoint: String::new(),
        }],
    }];
    let row = RowId::new(PROGRESS, PART, ID);
    let value = serde_json::to_vec(&progress).expect("a value");
    let txn = Transaction {
        put: vec![(row, value)],
        ..Transaction::default()
    };
    assert!(matches!(harness.table.commit(&txn), CommitOutcome::Done(_)));
    restart(&mut harness);
    let placer = harness.placer().expect("a placer");
    // The next run of a task fails, so that the row is written.
    harness.remaining_failures.insert(task(1), 1);
    let vm = harness.vms.values_mut().find(|vm| !vm.runs.is_empty());
    vm.expect("a VM with runs").restart();
    harness.write_vm_rows();
    harness.run_for(3_000);
    assert_eq!(harness.state(placer, ID), Some(JobState::Running));
    let bytes = harness.table.bytes(PROGRESS);
    assert!(bytes < 10_000, "{bytes}");
}
