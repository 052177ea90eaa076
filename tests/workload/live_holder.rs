//! Placers that live, while a sign of it does not arrive.

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
