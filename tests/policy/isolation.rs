//! Callers of a zone that is cut off: its daemons refuse them until the load balancer sends them to
//! other zones.

use std::time::Duration;

use ragwortstall::core::workload::event::ProbeResult;
use ragwortstall::core::workload::policy::isolation::is_cut_off;
use ragwortstall::core::workload::policy::isolation::retry_after;
use ragwortstall::core::workload::policy::isolation::suspicion_time;

use crate::support::cases;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which the load balancer sends new callers to other zones.
const REMOVAL_DELAY: Duration = Duration::from_secs(2);

/// Time that the probes of other zones take.
const PROBE_TIME: Duration = Duration::from_millis(300);

/// Number of times that a caller submits a job.
const TRIES: u32 = 4;

/// Rounds a delay up to whole seconds, as the header that carries it does.
fn whole_seconds(delay: Duration) -> Duration {
    Duration::from_secs(delay.as_secs() + u64::from(delay.subsec_nanos() > 0))
}

fn silent() -> ProbeResult {
    ProbeResult::NoAnswer("no answer".into())
}

fn check_is_cut_off(probes: &[ProbeResult], expected: bool) {
    assert_eq!(is_cut_off(probes), expected, "{probes:?}");
}

cases! {
    check_is_cut_off;
    a_daemon_that_reaches_no_other_zone_is_cut_off(&[silent(), silent()], true),
    a_cut_that_refuses_connections_is_a_cut(&[ProbeResult::Refused, ProbeResult::Refused], true),
    a_daemon_that_reaches_one_other_zone_is_not_cut_off(&[silent(), ProbeResult::Listening], false),
    a_daemon_that_knows_no_other_zone_is_not_cut_off(&[], false),
}

/// Guards against callers that use up their tries at the daemons of a cut zone, while other zones
/// would serve them. A caller who comes at any moment from the detection of the cut on is served at
/// the second try, and no later than the load balancer and the rounding of the delay require.
#[test]
fn callers_of_a_cut_zone_are_served_elsewhere_at_their_second_try() {
    let detected = suspicion_time(HEARTBEAT_INTERVAL) + PROBE_TIME;
    let removed = detected + REMOVAL_DELAY;
    for millis in (0..2_000).step_by(50) {
        let first_try = detected + Duration::from_millis(millis);
        let mut at = first_try;
        let mut tries = 1;
        while at < removed && tries < TRIES {
            at += whole_seconds(retry_after(
                Some(at.saturating_sub(detected)),
                REMOVAL_DELAY,
            ));
            tries += 1;
        }
        assert!(at >= removed, "all tries are used up at {at:?}");
        assert_eq!(tries, 2, "first try at {first_try:?}");
        assert!(
            at <= first_try + whole_seconds(REMOVAL_DELAY),
            "served at {at:?}"
        );
    }
}

/// Guards against callers that are kept away for long where nothing says that the daemon is cut off.
#[test]
fn callers_of_a_daemon_that_is_not_cut_off_may_return_soon() {
    assert_eq!(retry_after(None, REMOVAL_DELAY), Duration::from_millis(500));
}
