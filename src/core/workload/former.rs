//! Former holder of the placer role, as a daemon that takes the role over knows it.

use std::time::Duration;

use super::cx::Cx;
use super::event::Feed;
use super::feeds::Feeds;
use super::heartbeat::HeartbeatMonitor;
use super::rows::HeartbeatRow;
use super::rows::OwnerRow;
use crate::core::model::DaemonId;
use crate::core::model::Now;

/// Former holder of the role.
#[derive(Clone, Debug)]
pub(super) struct Former {
    /// Daemon; empty if unknown.
    pub daemon: DaemonId,
    /// Latest time at which it, or a holder before it, may still renew leases by heartbeats alone.
    pub renews_until: Now,
    /// Age up to which answers of VMs allow one of them to renew leases after that; `None` if they are
    /// known to be inactive.
    pub confirms: Option<Duration>,
    /// Whether it has released the role.
    pub released: bool,
}

impl Former {
    /// Returns the holder that the last heartbeat names.
    pub fn new(cx: &Cx, feeds: &Feeds, heartbeats: &HeartbeatMonitor) -> Self {
        let last = heartbeats.heartbeat();
        Self {
            daemon: last.map_or("".into(), |last| last.row.owner.daemon.clone()),
            renews_until: renews_until(cx, feeds, heartbeats),
            confirms: confirms(cx, heartbeats),
            released: last.is_some_and(|last| last.row.released),
        }
    }

    /// Returns the time for which it, or a holder before it, may still renew leases.
    pub fn renews_for(&self, now: Now) -> Duration {
        self.renews_until.saturating_sub(now)
    }
}

/// Returns the time until which the former holder, or one before it, may still renew leases, as its
/// last heartbeat says. A holder that is known to be inactive renews none itself. While the table was
/// down for this daemon, the holder may have stored no heartbeat and have been cut off only at the
/// end.
fn renews_until(cx: &Cx, feeds: &Feeds, heartbeats: &HeartbeatMonitor) -> Now {
    let max = cx.options.max_renewal_grace();
    let Some(last) = heartbeats.heartbeat() else {
        return cx.now + max;
    };
    let earlier = last.received_at + Duration::from_millis(last.row.former_renews_ms);
    if is_inactive(cx, &last.row) {
        return earlier.max(cx.now);
    }
    let recovered_at = feeds.recovered_at(Feed::Heartbeats);
    let renews = last.row.renews_ms.map_or(max, Duration::from_millis);
    let own = last.received_at.max(recovered_at.unwrap_or(Now::ZERO)) + renews;
    own.max(earlier)
}

/// Returns the age up to which answers of VMs allow the former holder, or one before it, to renew
/// leases without the table; `None` if they are known to be inactive.
fn confirms(cx: &Cx, heartbeats: &HeartbeatMonitor) -> Option<Duration> {
    let longest = cx.options.longest_confirmation_age();
    let Some(last) = heartbeats.heartbeat() else {
        return Some(longest);
    };
    let is_settled = !last.row.loading && last.row.former_renews_ms == 0;
    if !is_settled {
        return Some(longest);
    }
    let is_inactive = is_inactive(cx, &last.row) || heartbeats.holder_has_ended();
    let own = last.row.confirms_ms.map_or(longest, Duration::from_millis);
    (!is_inactive).then_some(own)
}

/// Returns whether the sender of a heartbeat is known to be inactive: an earlier process of this
/// daemon, or a holder that has released the role.
pub(super) fn is_inactive(cx: &Cx, heartbeat: &HeartbeatRow) -> bool {
    is_earlier_process(cx, &heartbeat.owner) || heartbeat.released
}

/// Returns whether the holder is an earlier process of this daemon.
pub(super) fn is_earlier_process(cx: &Cx, owner: &OwnerRow) -> bool {
    owner.daemon == cx.options.daemon && owner.nonce != cx.options.nonce
}
