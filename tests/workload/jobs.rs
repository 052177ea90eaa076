//! Jobs on a cell without faults.

use ragwortstall::core::model::Resources;
use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::event::Action;
use ragwortstall::core::workload::submission::Step;
use ragwortstall::core::workload::submission::Submission;

use crate::harness::Harness;
use crate::support::cases;

/// Id of a job.
pub(crate) const ID: &str = "00000000000000a1";

/// Returns a step of `count` tasks that use one core for `millis` milliseconds each.
pub(crate) fn step(count: u32, millis: u64, after: &[u16]) -> Step {
    Step {
        count,
        demand: Resources::new(1_000, 1_000, 0, 1),
        estimate_ms: millis,
        after: after.to_vec(),
        ..Step::default()
    }
}

/// Returns a job of these steps.
pub(crate) fn job(steps: Vec<Step>) -> Submission {
    Submission {
        payload: "recipe".into(),
        steps,
        schedule: None,
    }
}

/// Returns the number of the part of the table that stores a job.
pub(crate) fn part_number(id: &str) -> u8 {
    let add = |hash: u8, byte: u8| hash.wrapping_mul(31).wrapping_add(byte);
    id.bytes().fold(0, add) % 32
}

#[test]
fn a_job_of_two_steps_completes() {
    let mut harness = Harness::new(3, 2);
    let steps = vec![step(4, 500, &[]), step(3, 500, &[0])];
    assert_eq!(harness.submit(0, ID, job(steps)), Reply::Accepted);
    harness.run_for(300);
    assert_eq!(harness.state(1, ID), Some(JobState::Running));
    harness.run_for(1_500);
    assert_eq!(harness.state(2, ID), Some(JobState::Completed));
    assert_eq!(harness.starts.len(), 7);
    let last_of_first = harness.starts[3].0;
    let first_of_second = harness.starts[4].0;
    assert!(first_of_second >= last_of_first + std::time::Duration::from_millis(500));
}

#[test]
fn a_repeated_submission_with_the_same_id_creates_one_job() {
    let mut harness = Harness::new(2, 1);
    let submission = job(vec![step(2, 300, &[])]);
    assert_eq!(harness.submit(0, ID, submission.clone()), Reply::Accepted);
    assert_eq!(harness.submit(1, ID, submission), Reply::Accepted);
    harness.run_for(1_500);
    assert_eq!(harness.starts.len(), 2);
}

#[test]
fn a_cancelled_job_frees_its_resources_only_when_its_runs_have_ended() {
    let mut harness = Harness::new(2, 1);
    let wide = job(vec![step(13, 60_000, &[])]);
    assert_eq!(harness.submit(0, ID, wide), Reply::Accepted);
    // The VM answers renewals when these tasks end, while the runs are being stopped.
    let steps = vec![step(1, 550, &[]), step(1, 700, &[]), step(1, 850, &[])];
    assert_eq!(
        harness.submit(0, "00000000000000a3", job(steps)),
        Reply::Accepted
    );
    harness.run_for(300);
    assert_eq!(harness.call(1, ID, Action::Cancel), Reply::Cancelled);
    // The simulated VM asserts that runs being stopped still count against its capacity.
    let next = job(vec![step(16, 300, &[])]);
    assert_eq!(harness.submit(0, "00000000000000a2", next), Reply::Accepted);
    harness.run_for(2_500);
    assert_eq!(harness.state(1, ID), Some(JobState::Cancelled));
    assert_eq!(
        harness.state(0, "00000000000000a2"),
        Some(JobState::Completed)
    );
}

#[test]
fn a_task_that_fails_too_often_fails_its_job() {
    let mut harness = Harness::new(2, 2);
    let name = ragwortstall::core::workload::task::TaskName {
        job: ID.into(),
        occurrence: 0,
        step: 0,
        index: 1,
    };
    harness.remaining_failures.insert(name.clone(), 9);
    let submission = job(vec![step(2, 200, &[])]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(2_000);
    assert_eq!(harness.state(1, ID), Some(JobState::Failed));
    let runs = harness.starts.iter().filter(|start| start.1 == name);
    assert_eq!(runs.count(), 2);
}

#[test]
fn a_job_that_fits_on_no_vm_fails_at_once() {
    let mut harness = Harness::new(2, 2);
    let mut large = step(1, 200, &[]);
    large.demand.cpu_milli = 17_000;
    let large = job(vec![large]);
    assert_eq!(harness.submit(0, ID, large), Reply::Accepted);
    harness.run_for(300);
    assert_eq!(harness.state(1, ID), Some(JobState::Failed));
    assert!(harness.starts.is_empty());
}

fn assert_refused(change: fn(&mut Submission)) {
    let mut harness = Harness::new(1, 1);
    let mut submission = job(vec![step(1, 100, &[]), step(1, 100, &[0])]);
    change(&mut submission);
    let reply = harness.submit(0, ID, submission);
    assert!(matches!(reply, Reply::Invalid(_)), "{reply:?}");
    harness.run_for(500);
    assert!(harness.starts.is_empty());
}

cases! {
    assert_refused;
    a_step_that_refers_forwards_is_refused(|job| job.steps[0].after = vec![1]),
    a_step_that_refers_to_itself_is_refused(|job| job.steps[1].after = vec![1]),
    a_step_without_tasks_is_refused(|job| job.steps[0].count = 0),
    a_job_without_steps_is_refused(|job| job.steps.clear()),
    a_payload_that_is_too_long_is_refused(|job| job.payload = "x".repeat(4_001).into()),
}
