//! Outages of single parts of the table.

use std::collections::BTreeSet;
use std::time::Duration;

use ragwortstall::core::model::Resources;
use ragwortstall::core::workload::decision::Decision;
use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::table::CommitOutcome;
use ragwortstall::core::workload::table::HEARTBEATS;
use ragwortstall::core::workload::table::JOBS;
use ragwortstall::core::workload::table::Range;
use ragwortstall::core::workload::table::RowId;
use ragwortstall::core::workload::table::Transaction;

use crate::catalog::OTHER_KEY;
use crate::harness::Harness;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::part_number;
use crate::jobs::step;

/// Id of a job in another part than that of [`ID`].
const OTHER: &str = "00000000000000a2";

/// Time after the loss of a placer within which its successor places jobs, in milliseconds: the
/// time without a heartbeat, and the leases of the VMs.
const TAKEOVER_MS: u64 = 6_000;

/// Guards against a takeover that places no job while one part of the table cannot be read.
#[test]
fn a_takeover_places_the_jobs_that_it_can_read() {
    let mut harness = Harness::new(3, 2);
    let submission = job(vec![step(1, 1_000, &[]), step(1, 1_000, &[0])]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(500);
    let other = (part_number(ID) + 1) % 32;
    harness
        .unreadable_parts
        .insert(format!("jobs-{other}").into());
    let placer = harness.placer().expect("a placer");
    harness.kill(placer);
    harness.run_for(TAKEOVER_MS);
    assert_eq!(harness.starts.len(), 2, "the second step was not started");
}

/// Takes a job's part of the table out of reach and lets another daemon take over; returns the part.
fn take_over_without_part_of(harness: &mut Harness, id: &str) -> Box<str> {
    let part: Box<str> = format!("jobs-{}", part_number(id)).into();
    harness.unreadable_parts.insert(part.clone());
    replace_placer(harness);
    assert_eq!(missing_parts(harness), Some(1));
    part
}

/// Kills the placer and runs the cell until another daemon has replaced it.
fn replace_placer(harness: &mut Harness) {
    let former = harness.placer().expect("a placer");
    harness.decisions.clear();
    harness.kill(former);
    harness.run_for(2_500);
    let next = harness.placer().expect("a new placer");
    assert_ne!(next, former);
}

/// Returns the number of parts that the last load left out.
fn missing_parts(harness: &Harness) -> Option<usize> {
    let mut lines = harness.decisions.iter().rev();
    lines.find_map(|line| match line {
        Decision::RoleReady { missing_parts, .. } => Some(*missing_parts),
        _ => None,
    })
}

/// Returns the number of log lines about parts that were read late.
fn parts_loaded(harness: &Harness) -> usize {
    let is_loaded = |line: &&Decision| matches!(line, Decision::PartLoaded { .. });
    harness.decisions.iter().filter(is_loaded).count()
}

fn stops_ordered(harness: &Harness) -> usize {
    let is_stop = |line: &&Decision| matches!(line, Decision::StopOrdered { .. });
    harness.decisions.iter().filter(is_stop).count()
}

/// Returns the heartbeat row as text.
fn heartbeat(harness: &Harness) -> String {
    let range = Range::row(HEARTBEATS, "p0", "beat", Duration::from_secs(1));
    let page = harness.table.page(&range);
    let value = page.rows[0].value.clone().expect("a heartbeat");
    String::from_utf8(value).expect("JSON")
}

/// Stores or removes a row in the part of a job.
fn change_row(harness: &mut Harness, id: &str, key: &str, value: Option<&str>) {
    let row = RowId::new(JOBS, &format!("jobs-{}", part_number(id)), key);
    let mut txn = Transaction::default();
    match value {
        Some(value) => txn.put.push((row, value.into())),
        None => txn.remove.push(row),
    }
    assert!(matches!(harness.table.commit(&txn), CommitOutcome::Done(_)));
}

/// Guards against jobs of a late part that are never started, or that are started twice.
#[test]
fn a_job_of_a_late_part_starts_once_after_the_part_is_read() {
    let mut harness = Harness::new(3, 2);
    let first = job(vec![step(32, 1_000, &[])]);
    assert_eq!(harness.submit(0, OTHER, first), Reply::Accepted);
    harness.run_for(100);
    let waiting = job(vec![step(3, 500, &[])]);
    assert_eq!(harness.submit(0, ID, waiting), Reply::Accepted);
    let part = take_over_without_part_of(&mut harness, ID);
    harness.run_for(TAKEOVER_MS);
    assert_eq!(harness.starts.len(), 32);
    harness.unreadable_parts.remove(&part);
    harness.run_for(3_000);
    assert_eq!(harness.state(1, ID), Some(JobState::Completed));
    assert_eq!(harness.starts.len(), 35);
    assert_eq!(parts_loaded(&harness), 1);
}

/// Guards against a run that is stopped or started again because its job is in a missing part.
#[test]
fn a_run_of_a_job_in_a_missing_part_is_neither_stopped_nor_started_again() {
    let mut harness = Harness::new(3, 2);
    let submission = job(vec![step(1, 12_000, &[])]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(500);
    let busy = harness.starts[0].3.clone();
    let part = take_over_without_part_of(&mut harness, ID);
    let placer = harness.placer().expect("a placer");
    let next = job(vec![step(14, 300, &[])]);
    assert_eq!(harness.submit(placer, OTHER, next), Reply::Accepted);
    harness.run_for(3_000);
    // The size of the run is not known, so its VM gets no tasks.
    assert_eq!(harness.starts.len(), 15);
    assert!(harness.starts[1..].iter().all(|start| start.3 != busy));
    harness.unreadable_parts.remove(&part);
    harness.run_for(2_000);
    assert_eq!(harness.state(placer, ID), Some(JobState::Running));
    harness.run_for(6_000);
    assert_eq!(harness.state(placer, ID), Some(JobState::Completed));
    assert_eq!(harness.starts.len(), 15);
    assert_eq!(stops_ordered(&harness), 0);
}

/// Guards against the end of a run that is acknowledged, and so forgotten, before the part of its
/// job is read, also if the placer is lost meanwhile.
#[test]
fn the_end_of_a_run_of_a_job_in_a_missing_part_is_recorded_once_the_part_is_read() {
    for is_lost in [false, true] {
        let mut harness = Harness::new(3, 2);
        let submission = job(vec![step(1, 4_000, &[]), step(1, 300, &[0])]);
        assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
        harness.run_for(300);
        let part = take_over_without_part_of(&mut harness, ID);
        // Ends of known jobs on the same VM are recorded and acknowledged meanwhile.
        let other = job(vec![step(20, 600, &[]), step(20, 600, &[0])]);
        let placer = harness.placer().expect("a placer");
        assert_eq!(harness.submit(placer, OTHER, other), Reply::Accepted);
        harness.run_for(5_000);
        assert_eq!(harness.state(placer, OTHER), Some(JobState::Completed));
        if is_lost {
            replace_placer(&mut harness);
            assert_eq!(missing_parts(&harness), Some(1));
        }
        assert_eq!(harness.starts.len(), 41);
        harness.unreadable_parts.remove(&part);
        harness.run_for(3_000);
        let placer = harness.placer().expect("a placer");
        assert_eq!(harness.state(placer, ID), Some(JobState::Completed));
        assert_eq!(harness.starts.len(), 42);
    }
}

/// Guards against a task that is started again because its run is on a VM that has reported it
/// before a second takeover.
#[test]
fn a_placer_that_is_lost_while_a_part_is_missing_is_replaced() {
    let mut harness = Harness::new(3, 2);
    let submission = job(vec![step(2, 9_000, &[]), step(1, 300, &[0])]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(500);
    let part = take_over_without_part_of(&mut harness, ID);
    replace_placer(&mut harness);
    assert_eq!(missing_parts(&harness), Some(1));
    harness.unreadable_parts.remove(&part);
    harness.run_for(7_000);
    let placer = harness.placer().expect("a placer");
    assert_eq!(harness.state(placer, ID), Some(JobState::Completed));
    assert_eq!(harness.starts.len(), 3);
    assert_eq!(stops_ordered(&harness), 0);
}

/// Guards against a cancellation that is lost because its job is unknown when it is received.
#[test]
fn a_cancellation_in_a_missing_part_applies_once_the_part_is_read() {
    let mut harness = Harness::new(3, 2);
    let submission = job(vec![step(2, 60_000, &[])]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(500);
    let part = take_over_without_part_of(&mut harness, ID);
    change_row(&mut harness, ID, &format!("{ID}/cancel"), Some("{}"));
    harness.run_for(2_000);
    assert_eq!(stops_ordered(&harness), 0);
    harness.unreadable_parts.remove(&part);
    harness.run_for(4_000);
    let placer = harness.placer().expect("a placer");
    assert_eq!(harness.state(placer, ID), Some(JobState::Cancelled));
    assert!(harness.vms.values().all(|vm| vm.runs.is_empty()));
    assert_eq!(harness.starts.len(), 2);
}

/// Guards against rows of the first page of a part that are registered although they were removed
/// or cancelled before the other pages could be read.
#[test]
fn changes_between_two_pages_of_a_part_apply() {
    let mut harness = Harness::new(3, 2);
    for vm in harness.vms.values_mut() {
        vm.full = true;
    }
    let ids = (0_u64..).map(|number| format!("{number:016x}"));
    let ids: Vec<String> = ids.filter(|id| part_number(id) == 5).take(8).collect();
    for id in &ids {
        let submission = job(vec![step(1, 300, &[])]);
        assert_eq!(harness.submit(0, id, submission), Reply::Accepted);
    }
    let placer = harness.placer().expect("a placer");
    harness.reads.clear();
    harness.kill(placer);
    let is_read = |harness: &Harness| harness.reads.iter().any(|(part, _)| &**part == "jobs-5");
    while !is_read(&harness) {
        harness.run_for(1);
    }
    harness.unreadable_parts.insert("jobs-5".into());
    harness.run_for(2_000);
    assert_eq!(missing_parts(&harness), Some(1));
    change_row(&mut harness, &ids[0], &ids[0], None);
    change_row(
        &mut harness,
        &ids[1],
        &format!("{}/cancel", ids[1]),
        Some("{}"),
    );
    for vm in harness.vms.values_mut() {
        vm.full = false;
    }
    harness.run_for(1_000);
    assert_eq!(harness.starts.len(), 0);
    harness.unreadable_parts.clear();
    harness.run_for(4_000);
    let started = harness
        .starts
        .iter()
        .map(|start| String::from(&*start.1.job));
    let started: BTreeSet<String> = started.collect();
    assert!(started.iter().eq(&ids[2..]), "{started:?}");
    assert_eq!(harness.starts.len(), 6);
}

/// Guards against starts beyond a team's cap while runs of the team are not known by their size.
#[test]
fn the_cap_of_a_team_holds_while_a_part_is_missing() {
    let mut harness = Harness::new(3, 3);
    harness.cap = Resources::new(10_000, 0, 0, 0);
    for daemon in 0..3 {
        harness.kill(daemon);
        harness.restart(daemon);
    }
    harness.run_for(4_000);
    let submission = job(vec![step(8, 40_000, &[])]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(500);
    assert_eq!(harness.starts.len(), 8);
    let part = take_over_without_part_of(&mut harness, ID);
    let placer = harness.placer().expect("a placer");
    let second = job(vec![step(8, 20_000, &[])]);
    assert_eq!(
        harness.submit(placer, OTHER, second.clone()),
        Reply::Accepted
    );
    harness.run_for(2_000);
    // The eight runs may use all cores of their VM.
    assert_eq!(harness.starts.len(), 8);
    let third = "00000000000000a3";
    let reply = harness.submit_as(OTHER_KEY, placer, third, second);
    assert_eq!(reply, Reply::Accepted);
    harness.run_for(1_000);
    // The progress of the missing job names its team, so the other one is not affected.
    assert_eq!(harness.starts.len(), 16);
    harness.unreadable_parts.remove(&part);
    harness.run_for(2_000);
    assert_eq!(harness.starts.len(), 18);
}

/// Guards against a takeover that waits for ever, and a waiting count that leaves out the jobs of
/// the missing part.
#[test]
fn a_part_that_stays_unreadable_does_not_end_the_role() {
    let mut harness = Harness::new(3, 2);
    let submission = job(vec![step(1, 120_000, &[])]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(500);
    assert!(heartbeat(&harness).contains("\"waiting\":"));
    let part = take_over_without_part_of(&mut harness, ID);
    let epoch = harness.epoch();
    harness.run_for(60_000);
    assert_eq!(harness.epoch(), epoch);
    assert!(!heartbeat(&harness).contains("\"waiting\":"));
    harness.unreadable_parts.remove(&part);
    harness.run_for(2_000);
    assert!(heartbeat(&harness).contains("\"waiting\":"));
    assert_eq!(harness.starts.len(), 1);
}

/// Guards against a takeover that needs any part of the jobs table, and new jobs that wait for it.
#[test]
fn new_jobs_are_placed_while_all_parts_of_the_jobs_table_are_missing() {
    let mut harness = Harness::new(3, 2);
    let parts = (0..32).map(|part| format!("jobs-{part}").into());
    harness.unreadable_parts.extend(parts);
    let former = harness.placer().expect("a placer");
    harness.decisions.clear();
    harness.kill(former);
    harness.run_for(6_000);
    let placer = harness.placer().expect("a placer");
    assert_eq!(missing_parts(&harness), Some(32));
    let submission = job(vec![step(2, 300, &[]), step(1, 300, &[0])]);
    assert_eq!(harness.submit(placer, ID, submission), Reply::Accepted);
    harness.run_for(3_000);
    assert_eq!(harness.starts.len(), 3);
    harness.unreadable_parts.clear();
    harness.run_for(3_000);
    assert_eq!(parts_loaded(&harness), 32);
    assert_eq!(harness.state(placer, ID), Some(JobState::Completed));
    assert_eq!(harness.starts.len(), 3);
}

/// Guards against a table that fails for a moment and is loaded only in part.
#[test]
fn a_table_that_fails_for_a_moment_is_loaded_as_a_whole() {
    let mut harness = Harness::new(3, 2);
    let former = harness.placer().expect("a placer");
    harness.decisions.clear();
    harness.unreadable_parts.insert("jobs-3".into());
    harness.kill(former);
    while !harness.decisions.iter().any(is_failed_read) {
        harness.run_for(1);
    }
    harness.run_for(200);
    harness.unreadable_parts.clear();
    harness.run_for(1_000);
    assert_eq!(missing_parts(&harness), Some(0));
}

fn is_failed_read(line: &Decision) -> bool {
    matches!(line, Decision::ReadFailed { .. })
}

/// Guards against the loss of the recorded progress of jobs in a missing part, whose tasks would
/// start again.
#[test]
fn the_recorded_progress_of_a_job_in_a_missing_part_is_kept() {
    let mut harness = Harness::new(3, 2);
    let ended = job(vec![step(1, 200, &[])]);
    assert_eq!(harness.submit(0, ID, ended), Reply::Accepted);
    // This id is in the same part.
    let in_part = |id: &String| part_number(id) == part_number(ID);
    let mut ids = (0_u64..).map(|number| format!("{number:016x}"));
    let other = ids.find(in_part).expect("an id");
    let halfway = job(vec![step(1, 200, &[]), step(1, 6_000, &[0])]);
    assert_eq!(harness.submit(0, &other, halfway), Reply::Accepted);
    harness.run_for(500);
    assert_eq!(harness.starts.len(), 3);
    let part = take_over_without_part_of(&mut harness, ID);
    harness.unreadable_parts.remove(&part);
    harness.run_for(6_000);
    let placer = harness.placer().expect("a placer");
    assert_eq!(harness.state(placer, ID), Some(JobState::Completed));
    assert_eq!(harness.state(placer, &other), Some(JobState::Completed));
    assert_eq!(harness.starts.len(), 3);
}

/// Guards against the removal of an ended job while a part is read that may still contain it.
#[test]
fn an_ended_job_is_removed_only_after_its_part_is_read() {
    let mut harness = Harness::new(3, 2);
    let part = take_over_without_part_of(&mut harness, ID);
    let placer = harness.placer().expect("a placer");
    let submission = job(vec![step(1, 200, &[])]);
    assert_eq!(harness.submit(placer, ID, submission), Reply::Accepted);
    harness.run_for(160_000);
    let range = Range::row(JOBS, &part, ID, Duration::from_secs(1));
    assert_eq!(harness.table.page(&range).rows.len(), 1);
    harness.unreadable_parts.remove(&part);
    harness.run_for(4_000);
    assert_eq!(harness.table.page(&range).rows.len(), 0);
    assert_eq!(harness.starts.len(), 1);
}

/// Guards against a takeover that waits for the longest back-off in an outage of a third of the
/// table.
#[test]
fn a_takeover_without_a_third_of_the_parts_is_fast() {
    let mut harness = Harness::new(3, 2);
    let parts = (3..14).map(|part| format!("jobs-{part}").into());
    harness.unreadable_parts.extend(parts);
    replace_placer(&mut harness);
    assert_eq!(missing_parts(&harness), Some(11));
    let took = harness.decisions.iter().find_map(|line| match line {
        Decision::RoleReady { took_ms, .. } => Some(*took_ms),
        _ => None,
    });
    assert!(took.is_some_and(|millis| millis < 1_200), "{took:?} ms");
    harness.unreadable_parts.clear();
    harness.run_for(2_500);
    assert_eq!(parts_loaded(&harness), 11);
}

/// Guards against a task that is not moved away from a draining VM because its job was unknown when
/// the VM began to drain.
#[test]
fn a_task_of_a_late_part_moves_away_from_a_draining_vm() {
    let mut harness = Harness::new(3, 2);
    let mut movable = step(1, 20_000, &[]);
    movable.traits.checkpointing = true;
    assert_eq!(harness.submit(0, ID, job(vec![movable])), Reply::Accepted);
    harness.run_for(500);
    let from = harness.starts[0].3.clone();
    let part = take_over_without_part_of(&mut harness, ID);
    harness.vms.get_mut(&from).expect("a VM").draining = true;
    harness.write_vm_rows();
    harness.run_for(1_000);
    assert_eq!(harness.starts.len(), 1);
    harness.unreadable_parts.remove(&part);
    harness.run_for(4_000);
    assert_eq!(harness.starts.len(), 2);
    assert_ne!(harness.starts[1].3, from);
}

/// Guards against runs of unknown jobs that count as running after a restart of their VM.
#[test]
fn tasks_of_a_late_part_start_again_if_their_vm_has_restarted() {
    let mut harness = Harness::new(3, 2);
    let submission = job(vec![step(2, 8_000, &[])]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(500);
    let vm = harness.starts[0].3.clone();
    let part = take_over_without_part_of(&mut harness, ID);
    harness.vms.get_mut(&vm).expect("a VM").restart();
    harness.run_for(2_000);
    assert_eq!(harness.starts.len(), 2);
    harness.unreadable_parts.remove(&part);
    harness.run_for(1_500);
    assert_eq!(harness.starts.len(), 4);
    harness.run_for(8_500);
    let placer = harness.placer().expect("a placer");
    assert_eq!(harness.state(placer, ID), Some(JobState::Completed));
    assert_eq!(harness.starts.len(), 4);
}
