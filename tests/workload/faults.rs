//! Faults of VMs and of the table: lost connections, lost answers, restarts and outages.

use std::collections::BTreeSet;
use std::time::Duration;

use ragwortstall::core::workload::decision::Decision;
use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::effect::Reply;

use crate::harness::Harness;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;

fn first_started_vm(harness: &Harness) -> Box<str> {
    harness.starts[0].3.clone()
}

#[test]
fn tasks_of_an_unreachable_vm_start_elsewhere_after_its_lease_has_expired() {
    let mut harness = Harness::new(2, 2);
    let submission = job(vec![step(1, 8_000, &[])]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(1_000);
    let vm = first_started_vm(&harness);
    harness.vms.get_mut(&vm).expect("a VM").connected = false;
    let cut_at = harness.now;
    harness.run_for(9_000);
    assert_eq!(harness.starts.len(), 2);
    let (at, _, _, second) = &harness.starts[1];
    assert_ne!(*second, vm);
    assert!(*at > cut_at + Duration::from_secs(2));
}

#[test]
fn runs_completed_during_a_partition_cause_no_duplicates_and_no_third_sibling() {
    let mut harness = Harness::new(2, 3);
    let mut pairs = step(14, 4_000, &[]);
    pairs.max_per_vm = 2;
    assert_eq!(harness.submit(0, ID, job(vec![pairs])), Reply::Accepted);
    harness.run_for(600);
    let vm = first_started_vm(&harness);
    harness.vms.get_mut(&vm).expect("a VM").connected = false;
    harness.run_for(7_800);
    // The runs on this VM completed before its lease expired, but the placer could not learn of it
    // and has started their tasks a second time.
    assert_eq!(
        harness.starts.iter().filter(|start| start.2 == 2).count(),
        2
    );
    harness.vms.get_mut(&vm).expect("a VM").connected = true;
    harness.run_for(7_000);
    assert_eq!(harness.state(0, ID), Some(JobState::Completed));
}

/// Guards against a run that stays counted for ever, and is told to stop again and again, as the task
/// was done by an earlier run and its occurrence is no longer known.
#[test]
fn a_run_whose_task_is_done_by_an_earlier_one_leaves_no_trace() {
    let mut harness = Harness::new(2, 2);
    let submission = job(vec![step(1, 3_000, &[])]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(600);
    let vm = first_started_vm(&harness);
    harness.vms.get_mut(&vm).expect("a VM").connected = false;
    while harness.starts.len() < 2 {
        harness.run_for(100);
    }
    harness.run_for(500);
    harness.vms.get_mut(&vm).expect("a VM").connected = true;
    harness.run_for(5_000);
    assert_eq!(harness.state(0, ID), Some(JobState::Completed));
    let placer = harness.placer().expect("a placer");
    let status = harness.status(placer).placer.expect("a placer");
    assert_eq!(status.runs, 0);
    assert_eq!(status.free, status.capacity);
    let is_stop = |decision: &&Decision| matches!(decision, Decision::StopOrdered { .. });
    assert_eq!(harness.decisions.iter().filter(is_stop).count(), 1);
}

#[test]
fn a_start_without_an_answer_is_not_repeated_while_it_may_run() {
    let mut harness = Harness::new(2, 2);
    harness.lost_start_answers = harness.vms.keys().cloned().collect();
    let submission = job(vec![step(3, 2_500, &[])]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(4_500);
    assert_eq!(harness.state(1, ID), Some(JobState::Completed));
    assert_eq!(harness.starts.len(), 3);
}

#[test]
fn tasks_of_a_restarted_vm_start_again() {
    let mut harness = Harness::new(2, 1);
    let submission = job(vec![step(2, 1_500, &[])]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(500);
    let vm = first_started_vm(&harness);
    harness.vms.get_mut(&vm).expect("a VM").restart();
    harness.run_for(5_000);
    assert_eq!(harness.state(0, ID), Some(JobState::Completed));
    assert_eq!(harness.starts.len(), 4);
}

#[test]
fn a_task_starts_soon_after_a_silent_table_answers_again() {
    let mut harness = Harness::new(3, 2);
    let epoch = harness.epoch();
    harness.table_silent_until = harness.now + Duration::from_millis(4_150);
    harness.run_for(4_150);
    while harness.submit(0, ID, job(vec![step(1, 300, &[])])) != Reply::Accepted {
        harness.run_for(20);
    }
    harness.run_for(100);
    let started = harness.starts.first().expect("a start").0;
    let took = started.saturating_sub(harness.table_silent_until);
    assert!(took < Duration::from_millis(500), "{took:?}");
    harness.run_for(2_000);
    assert_eq!(harness.epoch(), epoch, "the role changed hands");
}

#[test]
fn the_placer_keeps_starting_tasks_while_the_table_is_down() {
    let mut harness = Harness::new(3, 2);
    let chain = job(vec![step(2, 800, &[]), step(2, 800, &[0])]);
    assert_eq!(harness.submit(0, ID, chain), Reply::Accepted);
    harness.run_for(300);
    harness.table_up = false;
    harness.run_for(1_500);
    assert_eq!(harness.starts.len(), 4);
    let refused = harness.submit(1, "00000000000000a2", job(vec![step(1, 100, &[])]));
    assert!(matches!(refused, Reply::Unavailable(_)), "{refused:?}");
    harness.table_up = true;
    harness.run_for(2_500);
    assert_eq!(harness.state(0, ID), Some(JobState::Completed));
    assert_eq!(harness.starts.len(), 4);
}

#[test]
fn a_submission_whose_answer_was_lost_is_retried_and_found() {
    let mut harness = Harness::new(2, 1);
    let submission = job(vec![step(1, 300, &[])]);
    harness.run_for(450);
    harness.lost_commit_answers = 2;
    let first = harness.submit(0, ID, submission.clone());
    let second = harness.submit(1, ID, submission);
    assert!(
        matches!(first, Reply::Accepted | Reply::Unknown),
        "{first:?}"
    );
    assert_eq!(second, Reply::Accepted);
    harness.run_for(2_500);
    assert_eq!(harness.state(1, ID), Some(JobState::Completed));
    assert_eq!(harness.starts.len(), 1);
}

#[test]
fn submissions_that_a_busy_table_refused_are_retried() {
    let mut harness = Harness::new(2, 1);
    harness.commits_refused_until = harness.now + Duration::from_millis(700);
    let submission = job(vec![step(1, 300, &[])]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    assert!(harness.now >= harness.commits_refused_until);
}

#[test]
fn a_submission_that_the_table_refuses_for_long_is_refused_and_never_runs() {
    let mut harness = Harness::new(2, 1);
    harness.commits_refused_until = harness.now + Duration::from_secs(3);
    let begun = harness.now;
    let reply = harness.submit(0, ID, job(vec![step(1, 300, &[])]));
    assert!(matches!(reply, Reply::Unavailable(_)), "{reply:?}");
    assert!(harness.now < begun + Duration::from_millis(1_500));
    harness.run_for(5_000);
    assert!(harness.starts.is_empty());
}

#[test]
fn a_submission_that_may_be_stored_is_never_reported_as_refused() {
    let mut harness = Harness::new(2, 1);
    harness.commit_answers_lost_until = harness.now + Duration::from_secs(3);
    let submission = job(vec![step(1, 300, &[])]);
    assert_eq!(harness.submit(0, ID, submission.clone()), Reply::Unknown);
    // Later submissions to the same part are refused without being sent, so they are certainly not
    // stored.
    let next = harness.submit(0, ID, submission);
    assert!(matches!(next, Reply::Unavailable(_)), "{next:?}");
    harness.run_for(6_000);
    assert_eq!(harness.state(1, ID), Some(JobState::Completed));
}

#[test]
fn a_renewal_with_a_delayed_answer_does_not_extend_the_lease() {
    let mut harness = Harness::new(1, 2);
    let longest = ragwortstall::core::workload::options::VmOptions::default().lease;
    for _ in 0..100 {
        harness.run_for(37);
        let latest = harness.now + longest;
        for vm in harness.vms.values() {
            let end = Duration::from_millis(vm.lease_end_ms);
            assert!(
                end <= latest,
                "{} has a lease up to {end:?} at {:?}",
                vm.id,
                harness.now
            );
        }
    }
}

#[test]
fn a_job_does_not_fail_while_the_rows_of_the_large_vms_are_missing() {
    let mut harness = Harness::new(1, 2);
    let large = harness.vms.values_mut().next().expect("a VM");
    large.capacity.cpu_milli = 64_000;
    let id = large.id.clone();
    harness.write_vm_rows();
    harness.run_for(2_500);
    harness.remove_vm_row(&id);
    harness.run_for(300);
    let mut wide = step(1, 200, &[]);
    wide.demand.cpu_milli = 40_000;
    assert_eq!(harness.submit(0, ID, job(vec![wide])), Reply::Accepted);
    harness.run_for(500);
    assert_eq!(harness.state(0, ID), Some(JobState::Queued));
    harness.write_vm_rows();
    harness.run_for(2_500);
    assert_eq!(harness.state(0, ID), Some(JobState::Completed));
}

#[test]
fn a_read_that_fails_while_the_role_is_claimed_or_held_is_logged() {
    let mut harness = Harness::new(2, 1);
    harness.table_silent_until = harness.now + Duration::from_secs(5);
    harness.run_for(6_000);
    let lines = harness.decisions.iter().map(serde_json::to_value);
    let lines = lines.map(|line| line.expect("a line"));
    let failed: Vec<_> = lines.filter(|line| line["kind"] == "read_failed").collect();
    let purposes: BTreeSet<_> = failed
        .iter()
        .filter_map(|line| line["purpose"].as_str())
        .collect();
    assert_eq!(purposes, BTreeSet::from(["Owner", "Sequence(1)"]));
    assert!(failed.iter().all(|line| line["reason"] == "no answer"));
}

/// Guards against a start that reaches a VM just after its restart and counts as lost with its
/// former lifetime, so that the task is started a second time.
#[test]
fn a_start_in_flight_to_a_vm_that_restarts_does_not_run_twice() {
    for delay in 0..40 {
        let mut harness = Harness::new(2, 2);
        harness.send_submission(0, ID, job(vec![step(17, 1_500, &[])]));
        harness.run_for(delay);
        harness.vms.get_mut("vm-0").expect("a VM").restart();
        // The harness asserts that no task runs twice.
        harness.run_for(8_000);
        let state = harness.state(0, ID);
        assert_eq!(state, Some(JobState::Completed), "restart after {delay} ms");
    }
}
