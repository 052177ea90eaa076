//! Takeovers: placers that end, lose the connection to the table, or restart.

use std::time::Duration;

use ragwortstall::core::model::Resources;
use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::event::Action;
use ragwortstall::core::workload::task::TaskName;

use crate::harness::Harness;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;

/// Stop time below the interval between two reports of a VM.
const SHORT_STOP: Duration = Duration::from_millis(200);

/// Stop time almost as long as the interval between two reports of a VM.
const LONG_STOP: Duration = Duration::from_millis(900);

/// Id of a second job.
const OTHER: &str = "00000000000000a2";

#[test]
fn another_daemon_takes_over_and_adopts_running_tasks() {
    let mut harness = Harness::new(3, 2);
    let submission = job(vec![step(4, 5_000, &[]), step(1, 300, &[0])]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(500);
    let placer = harness.placer().expect("a placer");
    harness.kill(placer);
    harness.run_for(6_500);
    let next = harness.placer().expect("a new placer");
    assert_ne!(next, placer);
    assert_eq!(harness.state(next, ID), Some(JobState::Completed));
    assert_eq!(harness.starts.len(), 5);
}

#[test]
fn a_placer_cut_off_from_the_table_is_fenced() {
    let mut harness = Harness::new(3, 2);
    let submission = job(vec![step(4, 4_000, &[])]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(500);
    let placer = harness.placer().expect("a placer");
    harness.set_table_reachable(placer, false);
    harness.run_for(5_000);
    harness.set_table_reachable(placer, true);
    harness.run_for(3_000);
    assert_ne!(harness.placer(), Some(placer));
    assert_eq!(harness.state(placer, ID), Some(JobState::Completed));
    assert_eq!(harness.starts.len(), 4);
}

#[test]
fn failures_count_across_placers_whatever_the_order_of_their_ends() {
    let mut harness = Harness::new(3, 2);
    let name = TaskName {
        job: ID.into(),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    harness.remaining_failures.insert(name.clone(), 9);
    let submission = job(vec![step(1, 400, &[])]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(200);
    // Neither failure is stored in the table before the placer ends, and the next placer receives
    // the second one first.
    harness.table_up = false;
    let first = harness.starts[0].3.clone();
    harness.vms.get_mut(&first).expect("a VM").full = true;
    harness.run_for(700);
    assert_ne!(harness.starts[1].3, first);
    let placer = harness.placer().expect("a placer");
    harness.kill(placer);
    let vm = harness.vms.get_mut(&first).expect("a VM");
    vm.full = false;
    vm.connected = false;
    harness.table_up = true;
    harness.run_for(3_000);
    harness.vms.get_mut(&first).expect("a VM").connected = true;
    harness.run_for(3_000);
    let next = harness.placer().expect("a new placer");
    assert_eq!(harness.state(next, ID), Some(JobState::Failed));
    let runs = harness.starts.iter().filter(|start| start.1 == name);
    assert_eq!(runs.count(), 2);
}

#[test]
fn a_placer_that_restarts_at_once_claims_its_role_again() {
    let mut harness = Harness::new(2, 1);
    let submission = job(vec![step(2, 2_000, &[])]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(300);
    let placer = harness.placer().expect("a placer");
    harness.kill(placer);
    harness.run_for(100);
    harness.restart(placer);
    harness.run_for(400);
    assert_eq!(harness.placer(), Some(placer));
    harness.run_for(2_500);
    assert_eq!(harness.state(placer, ID), Some(JobState::Completed));
    assert_eq!(harness.starts.len(), 2);
}

#[test]
fn a_slow_table_does_not_cause_a_takeover() {
    let mut harness = Harness::new(3, 2);
    let epoch = harness.epoch();
    harness.table_latency = Duration::from_millis(350);
    harness.run_for(8_000);
    assert_eq!(harness.epoch(), epoch);
}

#[test]
fn tasks_that_may_run_on_an_unreachable_vm_count_against_the_cap_of_their_team() {
    let mut harness = Harness::new(2, 2);
    let placer = harness.placer().expect("a placer");
    let next = 1 - placer;
    // The next placer starts with a cap of 10 cores.
    harness.cap = Resources::new(10_000, 0, 0, 0);
    harness.kill(next);
    harness.restart(next);
    harness.run_for(300);
    let submission = job(vec![step(8, 20_000, &[])]);
    assert_eq!(harness.submit(placer, ID, submission), Reply::Accepted);
    harness.run_for(500);
    let vm = harness.starts[0].3.clone();
    harness.kill(placer);
    harness.vms.get_mut(&vm).expect("a VM").connected = false;
    harness.run_for(2_000);
    assert_eq!(harness.placer(), Some(next));
    let second = job(vec![step(8, 20_000, &[])]);
    assert_eq!(harness.submit(next, OTHER, second), Reply::Accepted);
    harness.run_for(600);
    // Eight tasks of the first job may still run, so only two of the second may start.
    assert_eq!(harness.starts.len(), 10);
}

#[test]
fn runs_being_stopped_at_a_takeover_keep_their_resources() {
    // The delay varies which orders the placer has sent and which rows it has written when it ends.
    for delay in 0..40 {
        kill_after_cancelling(delay, false, LONG_STOP);
    }
    kill_after_cancelling(30, true, LONG_STOP);
    kill_after_cancelling(5, false, SHORT_STOP);
    kill_after_cancelling(30, true, SHORT_STOP);
}

/// Cancels a job and kills the placer `millis` later. If `refused`, the table refuses the placer's
/// writes until then.
fn kill_after_cancelling(millis: u64, refused: bool, stop_time: Duration) {
    let mut harness = Harness::with_stop_time(2, 1, stop_time);
    let submission = job(vec![step(16, 60_000, &[])]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(300);
    let second = job(vec![step(16, 1_000, &[])]);
    assert_eq!(harness.submit(0, OTHER, second), Reply::Accepted);
    let placer = harness.placer().expect("a placer");
    assert_eq!(harness.call(0, ID, Action::Cancel), Reply::Cancelled);
    if refused {
        harness.commits_refused_until = harness.now + Duration::from_millis(millis);
    }
    harness.run_for(millis);
    harness.kill(placer);
    harness.run_for(20);
    harness.restart(placer);
    // The simulated VM asserts that the runs being stopped and the new ones fit its capacity.
    harness.run_for(4_000);
    assert_eq!(harness.starts.len(), 32);
}

#[test]
fn unexpected_runs_keep_their_resources_until_they_have_ended() {
    lose_stops_of_unexpected_runs(SHORT_STOP);
    lose_stops_of_unexpected_runs(LONG_STOP);
}

/// Cancels a job during a takeover and loses the stops that the new placer sends for its runs.
fn lose_stops_of_unexpected_runs(stop_time: Duration) {
    let mut harness = Harness::with_stop_time(2, 1, stop_time);
    let submission = job(vec![step(16, 60_000, &[])]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(300);
    let second = job(vec![step(16, 1_000, &[])]);
    assert_eq!(harness.submit(0, OTHER, second), Reply::Accepted);
    let placer = harness.placer().expect("a placer");
    harness.kill(placer);
    harness.lost_stops = 16;
    let reply = harness.call(1 - placer, ID, Action::Cancel);
    assert_eq!(reply, Reply::Cancelled);
    harness.run_for(7_000);
    assert_eq!(harness.starts.len(), 32);
}

#[test]
fn a_vm_that_was_lost_before_a_takeover_does_not_delay_the_new_placer() {
    let mut harness = Harness::new(2, 3);
    let submission = job(vec![step(6, 60_000, &[])]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(300);
    let lost = harness.starts[0].3.clone();
    harness.vms.get_mut(&lost).expect("a VM").connected = false;
    harness.run_for(6_000);
    let placer = harness.placer().expect("a placer");
    harness.kill(placer);
    let second = job(vec![step(1, 300, &[])]);
    let next = 1 - placer;
    assert_eq!(harness.submit(next, OTHER, second), Reply::Accepted);
    harness.run_for(2_500);
    assert_eq!(harness.state(next, OTHER), Some(JobState::Completed));
}

#[test]
fn a_vm_that_reconnects_gets_tasks_only_after_it_is_in_the_roster_again() {
    let mut harness = Harness::new(2, 2);
    let submission = job(vec![step(30, 60_000, &[])]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(300);
    let lost = harness.starts[0].3.clone();
    harness.vms.get_mut(&lost).expect("a VM").connected = false;
    harness.run_for(6_000);
    let started = harness.starts.len();
    harness.commits_refused_until = harness.now + Duration::from_millis(900);
    harness.vms.get_mut(&lost).expect("a VM").connected = true;
    harness.run_for(850);
    assert_eq!(harness.starts.len(), started);
    harness.run_for(1_000);
    assert!(harness.starts.len() > started);
}

#[test]
fn a_new_placer_uses_vms_at_once_where_nothing_was_being_stopped() {
    let mut harness = Harness::new(2, 2);
    let submission = job(vec![step(4, 60_000, &[])]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(500);
    let placer = harness.placer().expect("a placer");
    harness.kill(placer);
    let killed = harness.now;
    let second = job(vec![step(1, 300, &[])]);
    assert_eq!(harness.submit(1 - placer, OTHER, second), Reply::Accepted);
    harness.run_for(3_000);
    let first = harness.starts.iter().find(|start| &*start.1.job == OTHER);
    let took = first.expect("a start").0.saturating_sub(killed);
    assert!(took < Duration::from_millis(1_800), "{took:?}");
}

#[test]
fn a_placer_whose_process_has_ended_is_replaced_at_once() {
    let took = time_to_replace(Harness::kill);
    assert!(took < Duration::from_millis(700), "{took:?}");
}

#[test]
fn an_unreachable_placer_is_replaced_once_its_heartbeat_is_overdue() {
    let took = time_to_replace(Harness::kill_host);
    let expected = Duration::from_secs(1)..Duration::from_millis(1_800);
    assert!(expected.contains(&took), "{took:?}");
}

#[test]
fn few_of_many_daemons_probe_a_placer_whose_heartbeat_is_late() {
    let mut harness = Harness::new(40, 2);
    harness.probes = 0;
    let placer = harness.placer().expect("a placer");
    harness.kill_host(placer);
    harness.run_for(900);
    assert!(
        (1..=12).contains(&harness.probes),
        "{} probes",
        harness.probes
    );
}

/// Ends the placer with `end` and returns the time until there is a new one.
fn time_to_replace(end: fn(&mut Harness, usize)) -> Duration {
    let mut harness = Harness::new(3, 2);
    harness.run_for(500);
    let placer = harness.placer().expect("a placer");
    end(&mut harness, placer);
    let ended = harness.now;
    while harness.placer().is_none() {
        harness.run_for(10);
    }
    harness.now.saturating_sub(ended)
}

/// Guards against a claim in the first moment in which a table that has refused writes takes them
/// again, before the placer could send its heartbeat.
#[test]
fn a_placer_keeps_its_role_when_the_table_takes_writes_again() {
    for offset in 0..12 {
        let mut harness = Harness::new(10, 2);
        let epoch = harness.epoch();
        harness.commits_refused_until = harness.now + Duration::from_millis(4_000 + offset * 13);
        harness.run_for(6_000);
        assert_eq!(
            harness.epoch(),
            epoch,
            "refused for {offset} * 13 ms beyond 4 s"
        );
    }
}

/// Guards against a team that exceeds its cap at a takeover, as runs of its cancelled jobs, which are
/// being stopped, do not count.
#[test]
fn runs_of_cancelled_jobs_count_against_the_cap_until_they_have_ended() {
    let mut harness = Harness::with_stop_time(3, 2, LONG_STOP);
    harness.cap = Resources::new(2_000, 0, 0, 0);
    for daemon in 0..3 {
        harness.kill(daemon);
        harness.restart(daemon);
    }
    harness.run_for(3_000);
    let submission = job(vec![step(2, 60_000, &[])]);
    assert_eq!(harness.submit(0, ID, submission.clone()), Reply::Accepted);
    harness.run_for(500);
    assert_eq!(harness.submit(0, OTHER, submission), Reply::Accepted);
    harness.run_for(500);
    assert_eq!(harness.starts.len(), 2);
    let placer = harness.placer().expect("a placer");
    harness.kill(placer);
    let daemon = (placer + 1) % 3;
    let reply = harness.call(daemon, ID, Action::Cancel);
    assert_eq!(reply, Reply::Cancelled);
    for _ in 0..600 {
        harness.run_for(10);
        let running: usize = harness.vms.values().map(|vm| vm.runs.len()).sum();
        assert!(running <= 2, "{running} runs at {:?}", harness.now);
    }
    assert_eq!(harness.starts.len(), 4);
}
