//! Age of the placer's view of the evacuation requests, and the bound on starts in evacuated zones.

use std::time::Duration;

use ragwortstall::core::model::Now;
use ragwortstall::core::workload::decision::Decision;
use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::event::Feed;

use crate::evacuation::ZONE;
use crate::evacuation::evacuate;
use crate::evacuation::starts_in;
use crate::evacuation::two_zones;
use crate::harness::Harness;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;

/// Bound on starts in an evacuated zone.
const BOUND: Duration = Duration::from_secs(5);

/// Time from one start of a lane of tasks to the next, in milliseconds.
const TASK_MS: u64 = 400;

/// Returns a cell of two zones with more tasks than it runs within `millis`.
fn busy_cell(daemons: usize, bound: Option<Duration>, millis: u64) -> Harness {
    let mut harness = two_zones(daemons);
    if let Some(bound) = bound {
        harness.set_evacuation_bound(bound);
    }
    let rounds = u32::try_from(millis / TASK_MS).expect("a short run");
    let submission = job(vec![step(64 * rounds, TASK_MS, &[])]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(500);
    harness
}

fn starts_since(harness: &Harness, since: Now) -> usize {
    let starts = harness.starts.iter();
    starts.filter(|start| start.0 >= since).count()
}

fn suspensions(harness: &Harness) -> Vec<bool> {
    let lines = harness.decisions.iter();
    let suspensions = lines.filter_map(|line| match line {
        Decision::StartsSuspended { suspended, .. } => Some(*suspended),
        _ => None,
    });
    suspensions.collect()
}

/// Stops the answers to the placer's watches of the operator's table and requests an evacuation.
/// Returns the time of the request.
fn request_unseen(harness: &mut Harness) -> Now {
    let placer = harness.placer().expect("a placer");
    harness.lost_watch_answers.insert((placer, Feed::Config));
    harness.request_evacuation(ZONE);
    harness.now
}

#[test]
fn starts_are_suspended_while_the_view_is_too_old_and_resume_with_the_table() {
    let mut harness = busy_cell(2, Some(BOUND), 20_000);
    let requested = request_unseen(&mut harness);
    harness.run_for(10_000);
    assert_eq!(starts_in(&harness, ZONE, requested + BOUND), 0);
    assert_eq!(starts_since(&harness, requested + BOUND), 0);
    assert_eq!(suspensions(&harness), [true]);
    harness.lost_watch_answers.clear();
    harness.run_for(2_000);
    assert_eq!(suspensions(&harness), [true, false]);
    assert!(starts_since(&harness, requested + BOUND) > 0);
    assert_eq!(starts_in(&harness, ZONE, requested + BOUND), 0);
}

/// Guards against an order that a paused process sends late, after it decided on the start in time:
/// the VM rejects it by its deadline.
#[test]
fn vms_reject_starts_that_arrive_after_the_bound() {
    let mut harness = busy_cell(2, Some(BOUND), 20_000);
    let requested = request_unseen(&mut harness);
    let bound_ms = u64::try_from((requested + BOUND).as_millis()).expect("a short run");
    for _ in 0..6_000 {
        harness.run_for(1);
        let runs = harness.vms.values().flat_map(|vm| vm.runs.values());
        assert!(runs.into_iter().all(|run| run.deadline_ms < bound_ms));
    }
}

/// Guards against suspended starts where no bound is set.
#[test]
fn the_age_of_the_view_does_not_matter_without_a_bound() {
    let mut harness = busy_cell(2, None, 20_000);
    let requested = request_unseen(&mut harness);
    harness.run_for(10_000);
    assert!(starts_since(&harness, requested + BOUND) > 0);
    assert!(suspensions(&harness).is_empty());
}

/// Guards against starts that are suspended although the operator's table is quiet: its watches
/// are then answered without rows.
#[test]
fn a_quiet_table_suspends_no_starts() {
    for bound in [1_700, 5_000] {
        let mut harness = busy_cell(1, Some(Duration::from_millis(bound)), 8_000);
        harness.run_for(8_000);
        assert!(suspensions(&harness).is_empty(), "bound {bound} ms");
    }
}

/// Guards against a daemon that wakes and takes a stale answer, sent before the request, for the
/// current state of the table.
#[test]
fn a_daemon_paused_over_the_request_starts_nothing_in_the_zone_too_late() {
    for paused_ms in (200..9_000).step_by(400) {
        let mut harness = busy_cell(1, Some(BOUND), 20_000);
        // Rounds take place before the first watch after the pause is answered.
        harness.table_latency = Duration::from_millis(150);
        harness.run_for(500);
        harness.pause(0, paused_ms + 1_300);
        harness.run_for(1_300);
        harness.request_evacuation(ZONE);
        let requested = harness.now;
        harness.run_for(paused_ms + 8_000);
        let late = starts_in(&harness, ZONE, requested + BOUND);
        assert_eq!(late, 0, "paused for {paused_ms} ms after the request");
        let resumed = requested + Duration::from_millis(paused_ms + 3_000);
        assert!(starts_since(&harness, resumed) > 0, "paused {paused_ms} ms");
    }
}

#[test]
fn an_evacuation_lasts_while_the_table_is_silent() {
    let mut harness = busy_cell(2, None, 20_000);
    let since = evacuate(&mut harness);
    harness.table_silent_until = harness.now + Duration::from_secs(6);
    harness.run_for(6_000);
    assert!(starts_since(&harness, since) > 0);
    assert_eq!(starts_in(&harness, ZONE, since), 0);
    harness.run_for(3_000);
    assert_eq!(starts_in(&harness, ZONE, since), 0);
}

#[test]
fn a_silent_table_suspends_starts_with_a_bound() {
    let mut harness = busy_cell(2, Some(BOUND), 8_000);
    harness.table_silent_until = harness.now + Duration::from_secs(9);
    let since = harness.now + BOUND;
    harness.run_for(9_000);
    assert_eq!(starts_since(&harness, since), 0);
    harness.run_for(20_000);
    assert_eq!(harness.state(1, ID), Some(JobState::Completed));
}

/// Guards against a takeover whose placer relies on a view from before the request.
#[test]
fn a_takeover_with_an_old_view_starts_nothing_in_the_zone_too_late() {
    let mut harness = busy_cell(2, Some(BOUND), 20_000);
    let placer = harness.placer().expect("a placer");
    harness
        .lost_watch_answers
        .insert((1 - placer, Feed::Config));
    harness.request_evacuation(ZONE);
    let requested = harness.now;
    harness.run_for(1_000);
    harness.kill(placer);
    harness.run_for(12_000);
    assert_eq!(harness.placer(), Some(1 - placer));
    assert_eq!(starts_in(&harness, ZONE, requested + BOUND), 0);
    harness.lost_watch_answers.clear();
    harness.run_for(2_000);
    assert_eq!(starts_in(&harness, ZONE, requested + BOUND), 0);
}
