//! Cancel calls for jobs whose submission is performed late, or never arrives.

use ragwortstall::core::workload::decision::Decision;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::event::Action;
use ragwortstall::core::workload::submission::Submission;
use ragwortstall::core::workload::table::JOBS;

use crate::harness::Harness;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;
use crate::support::cases;

/// Time by which a late submission has taken effect, in milliseconds.
const LATE_MS: u64 = 7_000;

fn submission() -> Submission {
    job(vec![step(4, 10_000, &[])])
}

/// Returns a cell with a job whose submission has no answer and is performed late.
fn cell_with_late_submission() -> Harness {
    let mut harness = Harness::new(3, 2);
    harness.late_commits.submissions = 1;
    assert_eq!(harness.submit(0, ID, submission()), Reply::Unknown);
    harness
}

/// Asserts that a job does not run whose cancel call is answered before its submission takes effect.
/// `before` runs before the call, which goes to `daemon`.
fn assert_never_runs(daemon: usize, before: fn(&mut Harness)) {
    let mut harness = cell_with_late_submission();
    before(&mut harness);
    let reply = harness.call(daemon, ID, Action::Cancel);
    assert_eq!(reply, Reply::NoJob);
    harness.run_for(LATE_MS);
    assert!(harness.starts.is_empty());
    assert_eq!(harness.call(1, ID, Action::Get), Reply::NoJob);
}

// Guard against a cancel call that gets a final answer while the submission of its job may still take
// effect, so that the job runs on although its caller has cancelled it.
cases! {
    assert_never_runs;
    a_late_submission_that_was_cancelled_at_the_same_daemon_never_runs(0, |_| ()),
    a_late_submission_that_was_cancelled_at_another_daemon_never_runs(1, |_| ()),
    a_late_submission_never_runs_though_its_daemon_has_restarted(0, restart_first_daemon),
}

fn restart_first_daemon(harness: &mut Harness) {
    harness.kill(0);
    harness.restart(0);
    harness.run_for(1_000);
}

/// Guards against a job that a delayed repeat of its submission starts after its cancel call.
#[test]
fn a_repeat_of_the_submission_after_the_cancel_is_refused() {
    let mut harness = cell_with_late_submission();
    assert_eq!(harness.call(1, ID, Action::Cancel), Reply::NoJob);
    for daemon in 0..3 {
        let reply = harness.submit(daemon, ID, submission());
        assert!(matches!(reply, Reply::Unavailable(_)), "{reply:?}");
    }
    harness.run_for(LATE_MS);
    assert!(harness.starts.is_empty());
}

/// Guards against a cancel call that meets the submission in the table and gives up.
#[test]
fn a_submission_that_takes_effect_during_the_cancel_is_cancelled() {
    for delay in 3_700..3_800 {
        let mut harness = cell_with_late_submission();
        harness.run_for(delay);
        let reply = harness.call(1, ID, Action::Cancel);
        assert!(
            matches!(reply, Reply::NoJob | Reply::Cancelled),
            "{reply:?}"
        );
        harness.run_for(2_500);
        let running = harness.vms.values().any(|vm| vm.live_runs() > 0);
        assert!(!running, "after {delay} ms");
    }
}

/// Guards against a final answer to a status call while the submission may still take effect.
#[test]
fn the_state_of_a_job_in_doubt_is_not_told() {
    let mut harness = cell_with_late_submission();
    let reply = harness.call(0, ID, Action::Get);
    assert!(matches!(reply, Reply::Unavailable(_)), "{reply:?}");
    harness.run_for(60_000);
    let reply = harness.call(0, ID, Action::Get);
    assert!(matches!(reply, Reply::State(_)), "{reply:?}");
}

#[test]
fn a_job_that_nobody_has_submitted_is_not_shown_after_a_cancel_call() {
    let mut harness = Harness::new(2, 1);
    for daemon in 0..2 {
        assert_eq!(harness.call(daemon, ID, Action::Cancel), Reply::NoJob);
        assert_eq!(harness.call(daemon, ID, Action::Get), Reply::NoJob);
    }
    let is_missing = |line: &Decision| matches!(line, Decision::FinalStateMissing { .. });
    harness.run_for(1_000);
    assert!(!harness.decisions.iter().any(is_missing));
}

/// Guards against a table that fills with the ids of cancel calls for jobs that do not exist.
#[test]
fn cancel_calls_for_unknown_jobs_leave_a_bounded_trace() {
    let mut harness = Harness::new(1, 1);
    let mut refused = 0;
    for n in 0..600 {
        match harness.call(0, &format!("{n:016x}"), Action::Cancel) {
            Reply::NoJob => {}
            Reply::Unavailable(_) => refused += 1,
            reply => panic!("{reply:?}"),
        }
    }
    assert!(refused > 0);
    let jobs = |harness: &Harness| {
        let rows = harness.table.changes(JOBS, 0).into_iter();
        rows.filter(|row| row.value.is_some() && row.key.len() >= ID.len())
            .count()
    };
    assert!(jobs(&harness) > 0);
    harness.run_for(200_000);
    assert_eq!(jobs(&harness), 0);
    assert_eq!(harness.call(0, ID, Action::Cancel), Reply::NoJob);
}
