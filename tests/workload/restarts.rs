//! VMs that restart under their ids and get orders before the placer knows of the new lifetime.

use std::time::Duration;

use ragwortstall::core::model::Now;
use ragwortstall::core::workload::decision::Decision;
use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::table::PROGRESS;
use ragwortstall::core::workload::task::TaskName;

use crate::harness::Harness;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;
use crate::support::cases;
use crate::vm::SimVm;

/// VM that gets the first tasks.
const FIRST_VM: &str = "vm-0";

/// Job that comes after a restart.
const SECOND_ID: &str = "00000000000000b1";

/// Number of tasks of a job.
const TASKS: u32 = 2;

/// Time within which the tasks of a restarted VM start again, once its row shows that.
const RESTART_TIME: Duration = Duration::from_millis(500);

fn first_vm(harness: &mut Harness) -> &mut SimVm {
    harness.vms.get_mut(FIRST_VM).expect("a VM")
}

/// Returns a cell whose first VM has just restarted silently, while the placer waits for the answer
/// of the former lifetime to its renewal.
fn cell_with_restarted_vm() -> Harness {
    let mut harness = Harness::new(2, 3);
    first_vm(&mut harness).restart();
    harness
}

/// Submits a job whose tasks take `millis` milliseconds and start on the first VM at once.
fn submit(harness: &mut Harness, millis: u64) {
    let submission = job(vec![step(TASKS, millis, &[])]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(60);
    assert_eq!(harness.starts.len(), TASKS as usize);
    assert!(harness.starts.iter().all(|start| &*start.3 == FIRST_VM));
}

fn assert_completed_after(harness: &mut Harness, starts: u32) {
    harness.run_for(12_000);
    assert_eq!(harness.state(0, ID), Some(JobState::Completed));
    assert_eq!(harness.starts.len(), starts as usize);
}

/// Asserts that runs of the new lifetime are kept when its row is read. `before` runs before the job
/// is submitted.
fn assert_runs_are_kept(millis: u64, before: fn(&mut Harness)) {
    let mut harness = cell_with_restarted_vm();
    before(&mut harness);
    submit(&mut harness, millis);
    harness.run_for(200);
    harness.write_vm_rows();
    assert_completed_after(&mut harness, TASKS);
    let is_crash = |decision: &Decision| matches!(decision, Decision::RunCrashed { .. });
    assert!(!harness.decisions.iter().any(is_crash));
}

fn lose_start_answers(harness: &mut Harness) {
    harness.lost_start_answers.insert(FIRST_VM.into());
}

// Guard against a run that a VM's new lifetime has begun, and that starts elsewhere as well once the
// VM's row shows that lifetime.
cases! {
    assert_runs_are_kept;
    a_confirmed_run_of_a_new_lifetime_is_kept(3_000, |_| ()),
    a_run_of_a_new_lifetime_that_ends_before_its_row_is_read_is_kept(100, |_| ()),
    an_unanswered_start_in_a_new_lifetime_is_kept(3_000, lose_start_answers),
    a_second_restart_before_the_first_one_is_known_changes_nothing(
        3_000,
        |harness| first_vm(harness).restart()
    ),
}

/// Guards against a task that waits for its lease although the VM has restarted since its run began.
#[test]
fn runs_of_the_former_lifetime_start_again_at_once() {
    let mut harness = Harness::new(2, 3);
    submit(&mut harness, 3_000);
    first_vm(&mut harness).restart();
    harness.run_for(100);
    let restarted_at = harness.now;
    harness.write_vm_rows();
    assert_completed_after(&mut harness, 2 * TASKS);
    let restarts = &harness.starts[TASKS as usize..];
    let is_soon = |at: Duration| at < restarted_at + RESTART_TIME;
    assert!(restarts.iter().all(|start| is_soon(start.0)));
}

/// Guards against a task that is never started again, as its VM was lost for good in a lifetime that
/// has never reported.
#[test]
fn a_run_in_a_lifetime_that_never_reports_starts_elsewhere_once_its_lease_is_over() {
    let mut harness = cell_with_restarted_vm();
    lose_start_answers(&mut harness);
    submit(&mut harness, 3_000);
    first_vm(&mut harness).connected = false;
    harness.write_vm_rows();
    assert_completed_after(&mut harness, 2 * TASKS);
}

/// Guards against a run that starts elsewhere while it may go on: the deadline of its start is on the
/// clock of the former lifetime, so that it holds the longest lease that a VM grants.
#[test]
fn a_run_in_a_lifetime_that_was_never_seen_starts_elsewhere_only_after_the_longest_lease() {
    let mut harness = cell_with_restarted_vm();
    submit(&mut harness, 10_000);
    first_vm(&mut harness).connected = false;
    harness.run_for(9_000);
    assert_eq!(harness.starts.len(), 2 * TASKS as usize);
}

/// Guards against a crash that is counted against a run although the VM has reported its end since.
#[test]
fn a_run_whose_lease_expired_in_a_new_lifetime_has_not_crashed_its_vm() {
    let mut harness = cell_with_restarted_vm();
    submit(&mut harness, 10_000);
    first_vm(&mut harness).connected = false;
    harness.run_for(9_000);
    first_vm(&mut harness).connected = true;
    harness.write_vm_rows();
    harness.run_for(3_000);
    let rows = harness.table.changes(PROGRESS, 0);
    let row = rows.iter().find(|row| &*row.key == ID).expect("a row");
    let value = row.value.as_deref().expect("a value");
    assert!(!String::from_utf8_lossy(value).contains("crashed"));
    harness.run_for(9_000);
    assert_eq!(harness.state(0, ID), Some(JobState::Completed));
    assert_eq!(harness.starts.len(), 2 * TASKS as usize);
}

/// Runs a job of short tasks on the first VM to its end, and acknowledges the ends.
fn run_first_job(harness: &mut Harness) {
    submit(harness, 100);
    harness.run_for(1_000);
    assert_eq!(harness.state(0, ID), Some(JobState::Completed));
}

/// Runs a second job on the first VM, which has just restarted, and asserts that its tasks run once.
fn assert_second_job_runs_once(mut harness: Harness) {
    let submission = job(vec![step(TASKS, 100, &[])]);
    assert_eq!(harness.submit(0, SECOND_ID, submission), Reply::Accepted);
    harness.run_for(6_000);
    assert_eq!(harness.state(0, SECOND_ID), Some(JobState::Completed));
    let is_second = |start: &&(Now, TaskName, u64, Box<str>)| &*start.1.job == SECOND_ID;
    let starts: Vec<_> = harness.starts.iter().filter(is_second).collect();
    assert_eq!(starts.len(), TASKS as usize);
    assert!(starts.iter().all(|start| &*start.3 == FIRST_VM));
}

/// Guards against ends of a VM's new lifetime that are acknowledged by the cursor of the former one
/// after a renewal without an answer, so that their tasks run again.
#[test]
fn a_renewal_after_an_unanswered_one_acknowledges_no_ends_of_a_new_lifetime() {
    let mut harness = Harness::new(2, 3);
    run_first_job(&mut harness);
    first_vm(&mut harness).restart();
    assert_second_job_runs_once(harness);
}

/// Guards against the same where no renewal fails: the VM restarts between two renewals, and the next
/// one goes over a new connection.
#[test]
fn a_renewal_over_a_new_connection_acknowledges_no_ends_of_a_new_lifetime() {
    let mut harness = Harness::new(2, 3);
    run_first_job(&mut harness);
    while harness.has_pending_renewal(FIRST_VM) {
        harness.run_for(1);
    }
    first_vm(&mut harness).restart();
    assert_second_job_runs_once(harness);
}
