//! Takeovers by a placer to which the VMs list more ended runs than one report has room for.

use std::collections::BTreeMap;
use std::time::Duration;

use ragwortstall::core::model::Now;
use ragwortstall::core::workload::decision::Decision;
use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::task::TaskName;

use crate::harness::Harness;
use crate::jobs::ID;
use crate::jobs::job;
use crate::row_limits::large_cell;
use crate::row_limits::small_tasks;
use crate::support::cases;
use crate::vm::MAX_ENDED_PER_REPORT;

/// Number of tasks, of which a VM gets more than a report lists when they have ended.
const TASKS: u32 = 1_400;

/// Run time of a task, in milliseconds, within which all have started.
const RUN_MS: u64 = 2_500;

/// Returns a cell whose placer is lost while all tasks of a job run, which end before another daemon
/// takes over.
fn cell_after_the_loss_of_the_placer() -> Harness {
    let mut harness = large_cell(3);
    let submission = job(vec![small_tasks(TASKS, RUN_MS)]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(2_000);
    assert_eq!(harness.starts.len(), TASKS as usize);
    let runs: Vec<usize> = harness.vms.values().map(|vm| vm.runs.len()).collect();
    assert!(
        runs.iter().any(|runs| *runs > MAX_ENDED_PER_REPORT),
        "{runs:?}"
    );
    let placer = harness.placer().expect("a placer");
    harness.kill_host(placer);
    harness
}

/// Returns the number of starts of each task.
fn starts_by_task(harness: &Harness) -> BTreeMap<&TaskName, usize> {
    let mut counts = BTreeMap::new();
    for (_, task, ..) in &harness.starts {
        *counts.entry(task).or_insert(0) += 1;
    }
    counts
}

/// Runs the cell until its present placer is settled; returns that time.
fn settled_at(harness: &mut Harness) -> Now {
    for _ in 0..10_000 {
        let present = harness.epoch();
        let is_settled = |line: &Decision| matches!(line, Decision::Settled { epoch, .. } if Some(*epoch) == present);
        if harness.decisions.iter().any(is_settled) {
            return harness.now;
        }
        harness.run_for(1);
    }
    panic!("the placer does not settle");
}

/// Guards against a successor that takes the first, full list of ended runs for the whole one, and runs
/// the tasks again whose ends come with the lists that follow.
fn no_ended_task_runs_again(trouble: fn(&mut Harness)) {
    let mut harness = cell_after_the_loss_of_the_placer();
    trouble(&mut harness);
    harness.run_for(12_000);
    let placer = harness.placer().expect("a placer");
    assert_eq!(harness.state(placer, ID), Some(JobState::Completed));
    let most = starts_by_task(&harness).values().copied().max();
    assert_eq!(most, Some(1));
}

cases! {
    no_ended_task_runs_again;
    ends_beyond_a_full_report_run_once(|_| ()),
    ends_beyond_a_full_report_run_once_if_progress_cannot_be_stored_for_a_while(
        |harness| harness.progress_refused_until = harness.now + Duration::from_secs(5)
    ),
    ends_beyond_a_full_report_run_once_if_the_successor_is_lost_too(|harness| {
        harness.progress_refused_until = harness.now + Duration::from_secs(4);
        harness.run_for(3_000);
        let placer = harness.placer().expect("a successor");
        harness.kill(placer);
    }),
}

/// Guards against a placer that never settles as a VM was lost whose list was full: its tasks run again
/// once the lease is over.
#[test]
fn a_vm_that_is_lost_with_a_full_report_holds_the_placer_up_for_its_lease_only() {
    let mut harness = cell_after_the_loss_of_the_placer();
    harness.progress_silent_until = harness.now + Duration::from_secs(5);
    harness.run_for(3_000);
    let lost_at = harness.now;
    harness.vms.get_mut("vm-0").expect("a VM").connected = false;
    let waited = settled_at(&mut harness).saturating_sub(lost_at);
    assert!(waited < Duration::from_secs(5), "settled after {waited:?}");
    harness.run_for(8_000);
    let placer = harness.placer().expect("a placer");
    assert_eq!(harness.state(placer, ID), Some(JobState::Completed));
}
