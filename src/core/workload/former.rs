//! Former holder of the placer role, as a daemon that takes the role over knows it.

use super::cx::Cx;
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
    /// Latest time at which it may still renew leases.
    pub renews_until: Now,
    /// Whether it has released the role.
    pub released: bool,
}

impl Former {
    /// Returns the holder that the last heartbeat names.
    pub fn new(cx: &Cx, heartbeats: &HeartbeatMonitor) -> Self {
        let last = heartbeats.heartbeat();
        Self {
            daemon: last.map_or("".into(), |last| last.row.owner.daemon.clone()),
            renews_until: renews_until(cx, heartbeats),
            released: last.is_some_and(|last| last.row.released),
        }
    }
}

/// Returns the time until which the former holder may still renew leases: now if it is known to be
/// inactive, otherwise the end of the time for which a placer continues without the table.
fn renews_until(cx: &Cx, heartbeats: &HeartbeatMonitor) -> Now {
    match heartbeats.heartbeat() {
        None => cx.now + cx.options.placer.partition_grace,
        Some(last) if is_inactive(cx, &last.row) => cx.now,
        Some(last) => last.received_at + cx.options.placer.partition_grace,
    }
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
