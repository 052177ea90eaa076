//! Interval of placement rounds on a fleet, or with a queue, that a round takes long to look at.

use std::time::Duration;

use ragwortstall::core::workload::policy::round_interval::round_interval;

const MIN_INTERVAL: Duration = Duration::from_millis(20);

/// Guards against rounds that take so much of a placer's time that renewals, heartbeats and the answers
/// that it waits for are late.
#[test]
fn rounds_take_at_most_a_sixth_of_the_time() {
    for millis in [1, 7, 30, 80] {
        let round_time = Duration::from_millis(millis);
        let interval = round_interval(MIN_INTERVAL, round_time);
        assert!(interval >= MIN_INTERVAL && interval >= round_time * 6);
    }
}

/// Guards against the same for rounds that take so long that the longest interval applies.
#[test]
fn long_rounds_take_at_most_a_third_of_the_time() {
    for millis in [90, 160] {
        let round_time = Duration::from_millis(millis);
        let interval = round_interval(MIN_INTERVAL, round_time);
        assert!(interval >= round_time * 3);
    }
}

/// Guards against short rounds that wait longer than they need to.
#[test]
fn short_rounds_keep_the_configured_interval() {
    let interval = round_interval(MIN_INTERVAL, Duration::from_millis(2));
    assert_eq!(interval, MIN_INTERVAL);
}

/// Guards against a placer that starts nothing for many seconds after it was paused during a round.
#[test]
fn a_round_in_which_the_process_was_paused_delays_the_next_for_half_a_second_at_most() {
    let interval = round_interval(MIN_INTERVAL, Duration::from_secs(9));
    assert_eq!(interval, Duration::from_millis(500));
}
