//! Progress rows that the placer of an adjacent version writes or reads, as when daemons are replaced
//! one after the other.

use ragwortstall::core::workload::decision::Decision;
use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::event::Action;
use ragwortstall::core::workload::submission::Step;
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
use crate::jobs::step;
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

/// Runs of lost VMs, as the version before uncertain losses reads and writes them.
#[derive(Debug, Default, Serialize, Deserialize)]
struct FormerLost {
    vms: Vec<FormerLostVm>,
}

#[derive(Debug, Serialize, Deserialize)]
struct FormerLostVm {
    vm: String,
    machine: String,
    started_ms: u64,
    runs: Vec<(String, u64)>,
    #[serde(default)]
    has_more: bool,
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

/// Returns the row with the runs of lost VMs as the former version reads it.
fn former_lost(harness: &Harness) -> FormerLost {
    let rows = progress_rows(harness);
    let row = rows.iter().find(|row| &*row.key == "lost").expect("a row");
    serde_json::from_slice(row.value.as_deref().expect("a value")).expect("a readable row")
}

fn put_row(harness: &mut Harness, key: &str, value: &impl Serialize) {
    let value = serde_json::to_vec(value).expect("a value");
    let txn = Transaction {
        put: vec![(RowId::new(PROGRESS, PART, key), value)],
        ..Transaction::default()
    };
    assert!(matches!(harness.table.commit(&txn), CommitOutcome::Done(_)));
}

fn kill_all(harness: &mut Harness) {
    for daemon in 0..3 {
        harness.kill(daemon);
    }
}

/// Sends the start of a job's only task to a VM that is down. Returns the VM.
fn lose_first_start(harness: &mut Harness) -> Box<str> {
    let vms: Vec<Box<str>> = harness.vms.keys().cloned().collect();
    for vm in &vms {
        harness.crash_vm_silently(vm);
    }
    let submission = job(vec![step(1, 500, &[])]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(1_000);
    let placed = harness
        .decisions
        .iter()
        .find_map(|decision| match decision {
            Decision::Placed { vm, .. } => Some(vm.clone()),
            _ => None,
        });
    let target = placed.expect("a start");
    for vm in vms.iter().filter(|vm| **vm != target) {
        harness.bring_back(vm);
    }
    target
}

/// Guards against a placer of the former version that gives up a job for starts that this version could
/// not prove to have reached their VMs.
#[test]
fn the_former_version_counts_no_uncertain_losses() {
    let mut harness = Harness::new(3, 3);
    let target = lose_first_start(&mut harness);
    harness.run_for(3_000);
    // The run is lost with its VM, of which it is not known yet whether it has crashed.
    let rows = progress_rows(&harness);
    let row = rows.iter().find(|row| &*row.key == "lost").expect("a row");
    let value = String::from_utf8_lossy(row.value.as_deref().expect("a value"));
    assert!(value.contains(ID), "{value}");
    let lost = former_lost(&harness);
    let mut runs = lost.vms.iter().flat_map(|vm| &vm.runs);
    assert!(runs.all(|(_, run)| *run != 1), "{lost:?}");
    harness.lost_start_answers = harness.vms.keys().cloned().collect();
    harness.bring_back(&target);
    harness.run_for(20);
    let progress = former_progress(&harness);
    let crashed = progress.occurrences.iter().flat_map(|row| &row.tasks);
    assert!(crashed.into_iter().all(|task| task.crashed.is_empty()));
}

/// Guards against crashes that this version has proven and that the former version does not count.
#[test]
fn the_former_version_counts_proven_crashes() {
    let mut harness = Harness::new(3, 6);
    harness.crashes.tasks.insert(task(0));
    harness.lost_start_answers = harness.vms.keys().cloned().collect();
    let submission = job(vec![step(1, 500, &[])]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    while harness.crashes.log.len() < 3 {
        harness.run_for(1);
        assert!(harness.now < std::time::Duration::from_secs(40));
    }
    let progress = former_progress(&harness);
    let tasks: Vec<&FormerTask> = progress.occurrences[0].tasks.iter().collect();
    // The first of the starts was sent without a check.
    assert_eq!(tasks[0].crashed.len(), 1, "{tasks:?}");
}

/// Returns a stopped cell with a job whose only task, by the rows of the former version, may have
/// crashed three VMs, and has crashed as many others as said.
fn cell_after_former_version(crashed: Vec<u64>) -> Harness {
    cell_with_former_crashes(step(1, 60_000, &[]), crashed)
}

/// Returns such a cell with a task of this step.
fn cell_with_former_crashes(spec: Step, crashed: Vec<u64>) -> Harness {
    let mut harness = Harness::new(3, 6);
    let submission = job(vec![spec]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(500);
    kill_all(&mut harness);
    let progress = FormerProgress {
        state: "running".into(),
        team: Some("dairy".into()),
        through: 0,
        occurrences: vec![FormerOccurrence {
            k: 0,
            done: vec!["0".into()],
            tasks: vec![FormerTask {
                step: 0,
                index: 0,
                failed: Vec::new(),
                crashed,
                run: 4,
                checkpoint: String::new(),
            }],
        }],
    };
    put_row(&mut harness, ID, &progress);
    let lost = (0..3).map(|ix| FormerLostVm {
        vm: format!("vm-{ix}"),
        machine: format!("vm-{ix}"),
        started_ms: 1,
        runs: vec![(task(0).to_string(), 10 + ix)],
        has_more: false,
    });
    let lost = FormerLost {
        vms: lost.collect(),
    };
    put_row(&mut harness, "lost", &lost);
    for vm in harness.vms.values_mut() {
        vm.restart();
    }
    harness.write_vm_rows();
    harness
}

/// Guards against a job that is given up for starts of the former version, which may not have reached
/// their VMs.
#[test]
fn losses_that_the_former_version_has_stored_fail_no_job() {
    let mut harness = cell_after_former_version(Vec::new());
    restart(&mut harness);
    harness.run_for(60_000);
    assert_eq!(state(&mut harness), Some(JobState::Completed));
}

/// Guards against a task that crashes VM after VM because the crashes before an upgrade do not count.
#[test]
fn crashes_that_the_former_version_has_stored_count() {
    for crashed in [Vec::new(), vec![1, 2]] {
        let mut harness = cell_after_former_version(crashed);
        harness.crashes.tasks.insert(task(0));
        harness.lost_start_answers = harness.vms.keys().cloned().collect();
        harness.starts.clear();
        restart(&mut harness);
        harness.run_for(40_000);
        assert_eq!(state(&mut harness), Some(JobState::Failed));
        assert!(harness.starts.len() <= 2, "{:?}", harness.starts);
    }
}

/// Guards against a lasting job that is given up, or kept off all VMs, for the crashes that the former
/// version has stored.
#[test]
fn a_lasting_job_outlives_crashes_that_the_former_version_has_stored() {
    for crashed in [vec![1, 2, 3], (1..40).collect()] {
        let mut spec = step(1, 60_000, &[]);
        spec.traits.long_running = true;
        let mut harness = cell_with_former_crashes(spec, crashed);
        harness.starts.clear();
        restart(&mut harness);
        harness.run_for(14_000);
        assert_eq!(harness.starts.len(), 1);
        let vm = harness.starts[0].3.clone();
        harness.crash_vm(&vm);
        harness.run_for(8_000);
        assert_eq!(harness.starts.len(), 2);
        assert_eq!(state(&mut harness), Some(JobState::Running));
    }
}
