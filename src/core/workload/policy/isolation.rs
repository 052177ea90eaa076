//! When a daemon takes itself for cut off with its zone, and when its callers may return.

use std::time::Duration;

use crate::core::workload::event::ProbeResult;

/// Number of heartbeat intervals without an answer of the table after which daemons of other zones are
/// probed. The table answers a watch with each heartbeat of the placer, so that two are missing.
const SILENT_INTERVALS: u32 = 3;

/// Shortest delay before a retry that is suggested to callers who cannot be served.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Returns the time without an answer of the table after which a daemon finds out whether it is cut
/// off.
#[must_use]
pub fn suspicion_time(heartbeat_interval: Duration) -> Duration {
    heartbeat_interval * SILENT_INTERVALS
}

/// Returns whether the probes of daemons in other zones show a cut, while the table does not answer.
///
/// A refused connection shows none of their processes, and a cut may refuse connections too. Without
/// daemons in other zones, nothing is known.
#[must_use]
pub fn is_cut_off(probes: &[ProbeResult]) -> bool {
    !probes.is_empty() && !probes.contains(&ProbeResult::Listening)
}

/// Returns the delay before a retry that is suggested to a caller of a daemon that has been cut off
/// for `cut_off_for`: the time until the load balancer, after `removal_delay`, sends the caller to
/// another zone. A caller who returns before uses up a retry in vain.
#[must_use]
pub fn retry_after(cut_off_for: Option<Duration>, removal_delay: Duration) -> Duration {
    let left = cut_off_for.map(|since| removal_delay.saturating_sub(since));
    left.unwrap_or_default().max(MIN_RETRY_AFTER)
}
