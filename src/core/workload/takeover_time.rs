//! Time at which a follower may claim the placer role.

use std::time::Duration;

use super::cx::Cx;
use super::event::Feed;
use super::feeds::Feeds;
use super::former::is_earlier_process;
use super::heartbeat::HeartbeatMonitor;
use crate::core::model::Now;

/// Time that the holder has to send a heartbeat once the table answers again.
const RECOVERY_GRACE: Duration = Duration::from_millis(600);

/// The random delay of a takeover is at most `takeover_after` divided by this number. It lets one
/// daemon claim the role before the others try.
const JITTER_DIVISOR: u32 = 3;

/// Time beyond the longest delay of a fit daemon for which a daemon on a host that is not fit waits.
/// It covers the claim, which takes a read and a commit, and heartbeats received at different times.
const CLAIM_MARGIN: Duration = Duration::from_millis(200);

/// Returns the time at which a follower may start a takeover: at once if the holder is an earlier
/// process of this daemon; otherwise, and later by the delay for a lack of capacity:
/// - a random delay after the start if there is no heartbeat, or after the heartbeat is overdue;
/// - a short random delay after the holder has released the role, or at once if its process ended.
///
/// A daemon that defers to a fit host treats a holder whose process has ended, or was one of its
/// own, as one whose heartbeat is overdue, since fit daemons may not know more than that.
pub(super) fn due_at(cx: &Cx, feeds: &Feeds, heartbeats: &HeartbeatMonitor) -> Now {
    let delay = takeover_delay(cx, heartbeats);
    let Some(last) = heartbeats.heartbeat() else {
        return jitter(cx) + delay;
    };
    let defers = defers_to_fit_host(cx, heartbeats);
    if !defers && is_earlier_process(cx, &last.row.owner) {
        return last.received_at;
    }
    if last.row.released {
        return last.received_at + jitter(cx) / 4 + delay;
    }
    if !defers && let Some(ended_at) = heartbeats.holder_ended_at() {
        return ended_at + delay;
    }
    let recovered_at = feeds.recovered_at(Feed::Heartbeats).unwrap_or(Now::ZERO);
    let due =
        (last.received_at + cx.options.placer.takeover_after).max(recovered_at + RECOVERY_GRACE);
    due + jitter(cx) + delay
}

/// Returns the time at which a follower may start a takeover once the table takes writes again.
pub(super) fn after_recovery(cx: &Cx, heartbeats: &HeartbeatMonitor) -> Now {
    cx.now + RECOVERY_GRACE + jitter(cx) + takeover_delay(cx, heartbeats)
}

/// Returns the delay of a takeover for a lack of capacity. A daemon that defers to a fit host waits
/// longer than the random delay and the delay for capacity of any fit daemon together.
fn takeover_delay(cx: &Cx, heartbeats: &HeartbeatMonitor) -> Duration {
    let delay = heartbeats.hosts.takeover_delay(cx);
    if defers_to_fit_host(cx, heartbeats) {
        delay + max_jitter(cx) + CLAIM_MARGIN
    } else {
        delay
    }
}

fn defers_to_fit_host(cx: &Cx, heartbeats: &HeartbeatMonitor) -> bool {
    let last = heartbeats.heartbeat();
    let holder = last.map(|last| &last.row.owner.daemon);
    heartbeats.hosts.defers_to_fit_host(cx, holder)
}

/// Returns the random delay of this process before a takeover.
pub(super) fn jitter(cx: &Cx) -> Duration {
    let share = u32::try_from(cx.options.nonce % 1_000).unwrap_or(0);
    max_jitter(cx) * share / 1_000
}

fn max_jitter(cx: &Cx) -> Duration {
    cx.options.placer.takeover_after / JITTER_DIVISOR
}
