//! Takeovers by a placer that has not begun all occurrences of a job that the former one has.

use std::collections::BTreeMap;
use std::time::Duration;

use ragwortstall::core::workload::decision::Decision;
use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::submission::Schedule;
use ragwortstall::core::workload::submission::Submission;
use ragwortstall::core::workload::task::TaskName;

use crate::harness::Harness;
use crate::harness::START_TIME;
use crate::jobs::ID;
use crate::jobs::job;
use crate::row_limits::large_cell;
use crate::row_limits::small_tasks;
use crate::support::cases;

/// Number of occurrences, several times as many as may be open at the same time.
const OCCURRENCES: u32 = 3_000;

/// Returns a job whose occurrences are all due.
fn overdue_job(millis: u64) -> Submission {
    let interval = Duration::from_secs(60);
    Submission {
        schedule: Some(Schedule {
            first: START_TIME.saturating_sub(interval * OCCURRENCES),
            interval,
            occurrences: OCCURRENCES,
        }),
        ..job(vec![small_tasks(1, millis)])
    }
}

fn cut_off_placer(harness: &mut Harness) {
    let placer = harness.placer().expect("a placer");
    harness.set_table_reachable(placer, false);
}

fn cut_off_placer_and_its_successor(harness: &mut Harness) {
    cut_off_placer(harness);
    harness.run_for(2_500);
    cut_off_placer(harness);
}

/// Guards against the same where the successor's clock is behind, so that occurrences that the former
/// placer has begun are not due for it.
#[test]
fn a_successor_whose_clock_is_behind_runs_no_task_again() {
    let mut harness = large_cell(3);
    let interval = Duration::from_millis(100);
    let submission = Submission {
        schedule: Some(Schedule {
            first: START_TIME + harness.now,
            interval,
            occurrences: 100,
        }),
        ..job(vec![small_tasks(1, 300)])
    };
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(2_000);
    let former = harness.placer().expect("a placer");
    for daemon in (0..3).filter(|daemon| *daemon != former) {
        harness.clock_lags.insert(daemon, Duration::from_secs(5));
    }
    cut_off_placer(&mut harness);
    harness.run_for(6_000);
    assert_ne!(harness.placer(), Some(former));
    assert_eq!(repeated(&harness), Vec::<&TaskName>::new());
    harness.run_for(15_000);
    let placer = harness.placer().expect("a placer");
    assert_eq!(harness.state(placer, ID), Some(JobState::Completed));
    assert_eq!(harness.starts.len(), 100);
}

/// Returns the tasks that were started more than once.
fn repeated(harness: &Harness) -> Vec<&TaskName> {
    let mut counts = BTreeMap::new();
    for (_, task, ..) in &harness.starts {
        *counts.entry(task).or_insert(0) += 1;
    }
    let repeated = counts.into_iter().filter(|(_, count)| *count > 1);
    repeated.map(|(task, _)| task).collect()
}

/// Guards against ends of occurrences that the placer has not begun and takes for those that are done:
/// it acknowledges them and runs the tasks again.
fn no_task_runs_again(millis: u64, trouble: fn(&mut Harness)) {
    let mut harness = large_cell(3);
    let submission = overdue_job(millis);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(1_000);
    trouble(&mut harness);
    harness.run_for(12_000);
    assert_eq!(repeated(&harness), Vec::<&TaskName>::new());
    let is_unknown = |line: &Decision| matches!(line, Decision::StopOrdered { reason, .. } if *reason == "job is unknown");
    assert!(!harness.decisions.iter().any(is_unknown));
    harness.run_for(20_000);
    let placer = harness.placer().expect("a placer");
    assert_eq!(harness.state(placer, ID), Some(JobState::Completed));
    assert_eq!(harness.starts.len(), OCCURRENCES as usize);
}

cases! {
    no_task_runs_again;
    ends_of_occurrences_that_the_placer_has_not_begun_are_kept(300, cut_off_placer),
    runs_of_occurrences_that_the_placer_has_not_begun_go_on(1_500, cut_off_placer),
    ends_of_occurrences_are_kept_over_two_takeovers(300, cut_off_placer_and_its_successor),
}
