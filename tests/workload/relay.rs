//! Calls to a daemon that the table turns away while it serves the others.

use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::event::Action;

use crate::harness::Harness;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;

/// Returns a cell and a daemon that has noticed that it cannot reach the table.
fn cell_with_daemon_turned_away() -> (Harness, usize) {
    let mut harness = Harness::new(3, 2);
    let placer = harness.placer().expect("a placer");
    let daemon = (placer + 1) % 3;
    harness.set_table_reachable(daemon, false);
    harness.run_for(3_000);
    (harness, daemon)
}

/// Guards against callers that are refused while the cell is well, as their daemon cannot reach the
/// table.
#[test]
fn a_daemon_without_the_table_serves_its_callers_through_the_others() {
    let (mut harness, daemon) = cell_with_daemon_turned_away();
    let submission = job(vec![step(2, 60_000, &[])]);
    assert_eq!(harness.submit(daemon, ID, submission), Reply::Accepted);
    harness.run_for(500);
    assert_eq!(harness.state(daemon, ID), Some(JobState::Running));
    let waiting = harness.call(daemon, "", Action::Get);
    assert_eq!(waiting, Reply::Waiting(0));
    let cancelled = harness.call(daemon, ID, Action::Cancel);
    assert_eq!(cancelled, Reply::Cancelled);
}

/// Guards against calls that go round between daemons, none of which reaches the table.
#[test]
fn a_call_is_not_relayed_again_by_the_daemon_that_gets_it() {
    let mut harness = Harness::new(5, 2);
    harness.table_up = false;
    harness.run_for(3_000);
    let submission = job(vec![step(1, 100, &[])]);
    let reply = harness.submit(0, ID, submission.clone());
    assert!(matches!(reply, Reply::Unavailable(_)), "{reply:?}");
    assert!(harness.relays <= 3, "{} relays", harness.relays);
    let relays = harness.relays;
    let reply = harness.submit(0, ID, submission);
    assert!(matches!(reply, Reply::Unavailable(_)), "{reply:?}");
    assert_eq!(harness.relays, relays, "relayed right after it failed");
}

/// Guards against a caller that is told that its job has not run although a daemon has accepted it.
#[test]
fn a_submission_whose_relayed_replies_are_lost_is_unknown() {
    let (mut harness, daemon) = cell_with_daemon_turned_away();
    harness.lost_relay_replies = 1;
    let submission = job(vec![step(1, 100, &[])]);
    let reply = harness.submit(daemon, ID, submission.clone());
    assert_eq!(reply, Reply::Unknown);
    harness.run_for(2_000);
    assert_eq!(harness.submit(daemon, ID, submission), Reply::Accepted);
    harness.run_for(1_000);
    assert_eq!(harness.starts.len(), 1, "the job ran more than once");
}

/// Guards against a daemon that goes back to its older configuration once it has served a caller
/// with the newer one of another daemon.
#[test]
fn a_daemon_does_not_go_back_behind_the_configuration_of_a_relayed_call() {
    let (mut harness, daemon) = cell_with_daemon_turned_away();
    harness.config_version += 1;
    let others = [(daemon + 1) % 3, (daemon + 2) % 3];
    for other in others {
        harness.kill(other);
        harness.restart(other);
    }
    harness.run_for(3_000);
    assert_eq!(harness.call(daemon, "", Action::Get), Reply::Waiting(0));
    for other in others {
        harness.kill(other);
    }
    // After a call that cannot be relayed, the daemon handles the next ones itself for a while.
    for _ in 0..3 {
        let reply = harness.call_as("key-of-nobody", daemon, "", Action::Get);
        assert!(matches!(reply, Reply::Unavailable(_)), "{reply:?}");
    }
}
