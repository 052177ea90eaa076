//! Jobs whose progress or submission is large, on a table that limits rows and transactions.

use std::time::Duration;

use ragwortstall::core::model::Resources;
use ragwortstall::core::model::Ticket;
use ragwortstall::core::workload::decision::Decision;
use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::event::Action;
use ragwortstall::core::workload::submission::Schedule;
use ragwortstall::core::workload::submission::Step;
use ragwortstall::core::workload::submission::Submission;
use ragwortstall::core::workload::task::TaskName;

use crate::harness::Harness;
use crate::harness::START_TIME;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::part_number;
use crate::jobs::step;
use crate::support::cases;
use crate::vm::SimVm;

/// Small job beside a large one.
const SMALL_ID: &str = "00000000000000b1";

/// Returns a cell with room for thousands of small tasks.
pub(crate) fn large_cell(daemons: usize) -> Harness {
    let mut harness = Harness::new(daemons, 4);
    for vm in harness.vms.values_mut() {
        vm.capacity = Resources::new(128_000, 512_000, 0, u32::MAX);
    }
    harness.write_vm_rows();
    harness.run_for(100);
    harness
}

/// Returns a step of `count` tasks of 10 millicores each.
pub(crate) fn small_tasks(count: u32, millis: u64) -> Step {
    let mut step = step(count, millis, &[]);
    step.demand = Resources::new(10, 10, 0, 1);
    step
}

fn lasting_job() -> Submission {
    let mut lasting = step(4, 3_600_000, &[]);
    lasting.traits.long_running = true;
    job(vec![lasting])
}

pub(crate) fn task(index: u32) -> TaskName {
    TaskName {
        job: ID.into(),
        occurrence: 0,
        step: 0,
        index,
    }
}

fn live_runs_of(harness: &Harness, id: &str) -> usize {
    let runs = harness.vms.values().flat_map(|vm| vm.runs.keys());
    runs.filter(|task| &*task.job == id).count()
}

/// Returns a job of tasks that save checkpoints, of which all but one last long.
fn checkpointing_job() -> Submission {
    let mut long = small_tasks(1_200, 60_000);
    long.traits.checkpointing = true;
    job(vec![long, small_tasks(1, 3_500)])
}

/// Returns a job that is due many times at once.
fn overdue_job() -> Submission {
    let mut overdue = job(vec![small_tasks(1, 300)]);
    overdue.schedule = Some(Schedule {
        first: START_TIME.saturating_sub(Duration::from_secs(300_000)),
        interval: Duration::from_secs(60),
        occurrences: 5_000,
    });
    overdue
}

/// Asserts that a small job can be cancelled while a large one runs, and that the table refuses nothing.
fn assert_small_job_is_cancelled(large: fn() -> Submission) {
    let mut harness = large_cell(3);
    assert_eq!(harness.submit(0, SMALL_ID, lasting_job()), Reply::Accepted);
    harness.run_for(300);
    assert_eq!(harness.submit(0, ID, large()), Reply::Accepted);
    let epoch = harness.epoch();
    harness.run_for(5_000);
    assert_eq!(harness.call(1, SMALL_ID, Action::Cancel), Reply::Cancelled);
    harness.run_for(3_000);
    assert_eq!(live_runs_of(&harness, SMALL_ID), 0);
    assert_eq!(harness.epoch(), epoch);
    assert!(harness.table.rejected.is_empty());
}

// Guard against a job whose progress exceeds a row of the table, so that no progress is stored any
// more, and no other job can be cancelled.
cases! {
    assert_small_job_is_cancelled;
    a_job_of_many_tasks_with_checkpoints_holds_nothing_up(checkpointing_job),
    a_job_that_is_due_many_times_at_once_holds_nothing_up(overdue_job),
}

/// Guards against the same by a lasting job whose tasks fail again and again.
#[test]
fn a_lasting_job_whose_tasks_fail_for_long_holds_nothing_up() {
    let mut harness = large_cell(3);
    let mut failing = small_tasks(48, 20);
    failing.traits.long_running = true;
    for index in 0..48 {
        harness.remaining_failures.insert(task(index), u32::MAX);
    }
    assert_eq!(harness.submit(0, ID, job(vec![failing])), Reply::Accepted);
    harness.run_for(10_000);
    let bytes = harness.table.bytes("progress");
    assert!(
        bytes < 10_000,
        "{bytes} bytes after {} starts",
        harness.starts.len()
    );
}

/// Guards against a task that is started too often after a takeover, as the failures of a large job
/// were not all stored.
#[test]
fn failures_of_a_job_of_many_tasks_survive_takeovers() {
    let mut harness = large_cell(3);
    let tasks = 1_500;
    for index in 0..tasks {
        // The last task uses up its attempts.
        let failures = if index + 1 < tasks { 1 } else { 2 };
        harness.remaining_failures.insert(task(index), failures);
    }
    let submission = job(vec![small_tasks(tasks, 1_500)]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(2_600);
    assert_eq!(harness.starts.len(), 2 * tasks as usize);
    let placer = harness.placer().expect("a placer");
    harness.kill(placer);
    harness.run_for(6_000);
    let placer = harness.placer().expect("a placer");
    assert_eq!(harness.state(placer, ID), Some(JobState::Failed));
    let last = harness
        .starts
        .iter()
        .filter(|start| start.1 == task(tasks - 1));
    assert_eq!(last.count(), 2);
    assert!(harness.table.rejected.is_empty());
}

/// Guards against a caller who repeats a job that the table rejects, so that the jobs of other callers
/// are refused with it.
#[test]
fn a_submission_that_is_too_large_to_store_is_refused_at_once() {
    let mut harness = Harness::new(1, 2);
    let mut large = job(vec![step(1, 300, &[])]);
    large.steps[0].image = "x".repeat(60_000).into();
    let large = harness.send_submission(0, ID, large);
    let small = harness.send_submission(0, SMALL_ID, job(vec![step(1, 300, &[])]));
    harness.run_for(200);
    let large = harness.reply(large);
    assert!(matches!(large, Some(Reply::Invalid(_))), "{large:?}");
    assert_eq!(harness.reply(small), Some(Reply::Accepted));
}

/// Guards against a transaction of submissions that is too large as a whole.
#[test]
fn large_submissions_that_arrive_together_are_all_accepted() {
    let mut harness = Harness::new(1, 2);
    let ids: Vec<String> = (0..4_000).map(|n| format!("{n:016x}")).collect();
    let ids = ids.iter().filter(|id| part_number(id) == 7);
    let mut large = job(vec![step(1, 300, &[])]);
    large.steps[0].image = "x".repeat(30_000).into();
    let tickets: Vec<Ticket> = ids
        .take(40)
        .map(|id| harness.send_submission(0, id, large.clone()))
        .collect();
    harness.run_for(1_000);
    for ticket in tickets {
        assert_eq!(harness.reply(ticket), Some(Reply::Accepted));
    }
    assert!(harness.table.rejected.is_empty());
}

/// Guards against a row that the table always rejects and that holds up the heartbeat, the stops and the
/// progress of other jobs.
#[test]
fn a_job_whose_progress_is_rejected_holds_nothing_up() {
    let mut harness = large_cell(3);
    assert_eq!(harness.submit(0, SMALL_ID, lasting_job()), Reply::Accepted);
    harness.run_for(300);
    let epoch = harness.epoch();
    let mut rejected = small_tasks(20, 3_600_000);
    rejected.traits.long_running = true;
    assert_eq!(harness.submit(0, ID, job(vec![rejected])), Reply::Accepted);
    harness.table.rejected_keys.insert(ID.into());
    let others: Vec<String> = (0..200).map(|n| format!("{n:015x}f")).collect();
    for id in &others {
        harness.send_submission(1, id, job(vec![step(1, 300, &[])]));
    }
    harness.run_for(3_000);
    assert_eq!(harness.call(1, SMALL_ID, Action::Cancel), Reply::Cancelled);
    harness.run_for(3_000);
    assert_eq!(live_runs_of(&harness, SMALL_ID), 0);
    assert_eq!(harness.epoch(), epoch);
    for id in &others {
        assert_eq!(harness.state(1, id), Some(JobState::Completed));
    }
    assert_eq!(live_runs_of(&harness, ID), 0);
    let is_rejection =
        |line: &Decision| matches!(line, Decision::ProgressRejected { id, .. } if &**id == ID);
    assert!(harness.decisions.iter().any(is_rejection));
}

/// Guards against a batch of submissions that is repeated as it is although one of them is rejected.
#[test]
fn a_rejected_submission_does_not_hold_up_those_beside_it() {
    let mut harness = Harness::new(1, 2);
    harness.table.rejected_keys.insert(ID.into());
    let same_part = (0..4_000)
        .map(|n| format!("{n:016x}"))
        .filter(|id| part_number(id) == part_number(ID));
    let others: Vec<String> = same_part.filter(|id| id != ID).take(10).collect();
    let rejected = harness.send_submission(0, ID, job(vec![step(1, 300, &[])]));
    let others = others.iter();
    let others: Vec<Ticket> = others
        .map(|id| harness.send_submission(0, id, job(vec![step(1, 300, &[])])))
        .collect();
    harness.run_for(500);
    let reply = harness.reply(rejected);
    assert!(matches!(reply, Some(Reply::Invalid(_))), "{reply:?}");
    for ticket in others {
        assert_eq!(harness.reply(ticket), Some(Reply::Accepted));
    }
}

/// Guards against acknowledgements that wait until a burst of changes is over.
#[test]
fn ended_runs_are_acknowledged_while_jobs_keep_changing() {
    let mut harness = large_cell(3);
    for n in 0..600 {
        let id = format!("{n:015x}e");
        let chain = job(vec![small_tasks(4, 200), small_tasks(4, 200)]);
        harness.send_submission(n % 3, &id, chain);
        harness.run_for(5);
        if n > 200 {
            let oldest = harness.vms.values().filter_map(SimVm::oldest_ended_at);
            let age = oldest.map(|at| harness.now.saturating_sub(at)).max();
            assert!(age < Some(Duration::from_secs(1)), "{age:?}");
        }
    }
}

/// Guards against a job that fails as the table rejects a row beside its progress.
#[test]
fn a_rejected_row_of_the_placer_fails_no_job() {
    let mut harness = large_cell(3);
    let epoch = harness.epoch();
    harness.table.rejected_keys.insert("estimates".into());
    let ids: Vec<String> = (0..30).map(|n| format!("{n:015x}d")).collect();
    for id in &ids {
        let reply = harness.submit(1, id, job(vec![step(1, 300, &[])]));
        assert_eq!(reply, Reply::Accepted);
        harness.run_for(500);
    }
    assert_eq!(harness.epoch(), epoch);
    assert!(!harness.table.rejected.is_empty());
    for id in &ids {
        assert_eq!(harness.state(1, id), Some(JobState::Completed));
    }
}
