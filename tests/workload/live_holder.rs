//! Placers that live, while a sign of it does not arrive.

use std::time::Duration;

use ragwortstall::core::workload::decision::Decision;
use ragwortstall::core::workload::event::Feed;

use crate::harness::Harness;

/// Returns the takeovers since the decisions were cleared, as epoch and age of the last heartbeat.
fn takeovers(harness: &Harness) -> Vec<(u64, u64)> {
    let lines = harness.decisions.iter();
    lines
        .filter_map(|line| match line {
            Decision::RoleTaken {
                epoch, beat_age_ms, ..
            } => Some((*epoch, *beat_age_ms)),
            _ => None,
        })
        .collect()
}

/// Guards against the replacement of a placer whose heartbeats are in the table, by a daemon that
/// does not get the answers to its watches.
#[test]
fn a_daemon_that_hears_no_heartbeats_does_not_replace_a_live_placer() {
    for offset in 1..3 {
        let mut harness = Harness::new(3, 2);
        let placer = harness.placer().expect("a placer");
        let follower = (placer + offset) % 3;
        harness.decisions.clear();
        harness
            .lost_watch_answers
            .insert((follower, Feed::Heartbeats));
        harness.run_for(5_000);
        assert_eq!(
            takeovers(&harness),
            [],
            "the placer {placer} was replaced; daemon {follower} did not hear it"
        );
    }
}

/// Guards against the replacement of a placer whose write of progress is not answered, although the
/// table takes its other writes.
#[test]
fn a_placer_keeps_its_role_while_one_of_its_writes_gets_no_answer() {
    let mut harness = Harness::new(3, 2);
    harness.decisions.clear();
    for _ in 0..4 {
        harness.silent_progress_writes = 1;
        harness.run_for(4_000);
    }
    assert_eq!(takeovers(&harness), []);
}

/// Guards against a placer that sends heartbeats for ever while no daemon records what its tasks do.
#[test]
fn a_placer_that_cannot_store_progress_is_replaced() {
    let mut harness = Harness::new(3, 2);
    let placer = harness.placer().expect("a placer");
    harness.decisions.clear();
    harness.progress_silent_until = harness.now + Duration::from_secs(8);
    harness.run_for(8_000);
    assert!(
        !takeovers(&harness).is_empty(),
        "{placer} is still the placer"
    );
}

/// Guards against a load that begins anew because one heartbeat of it gets no answer.
#[test]
fn a_placer_that_loads_keeps_its_role_while_one_heartbeat_gets_no_answer() {
    let mut harness = Harness::new(3, 2);
    let placer = harness.placer().expect("a placer");
    harness.table_latency = Duration::from_millis(700);
    harness.decisions.clear();
    harness.silent_loading_heartbeats = 1;
    harness.kill_host(placer);
    harness.run_for(16_000);
    assert_eq!(takeovers(&harness).len(), 1, "{:?}", takeovers(&harness));
}
