//! Handing the role over: an idle placer on a host that is too small for the role releases it, so
//! that a daemon on a fitter host claims it.

use std::time::Duration;

use super::Placer;
use super::Release;
use super::RoleLoss;
use crate::core::workload::cx::Cx;
use crate::core::workload::heartbeat::HeartbeatMonitor;

/// Minimum time for which the role is held before it is handed over.
const MIN_TENURE: Duration = Duration::from_secs(2);

/// The same if the fitter hosts were known at the takeover: they did not claim the role then, and
/// may still be unable to.
const RETRY_TENURE: Duration = Duration::from_secs(30);

/// Time before the grant from which on a host that was announced may have been unknown at the
/// takeover, or too new to claim.
const NEW_HOST_TIME: Duration = Duration::from_secs(3);

impl Placer {
    /// Starts to hand the role over if that is due. Returns the reason of the loss of the role once
    /// the release is committed.
    pub(super) fn poll_hand_over(
        &mut self,
        cx: &mut Cx,
        heartbeats: &HeartbeatMonitor,
    ) -> RoleLoss {
        if self.release == Release::NotRequested && self.hand_over_is_due(cx, heartbeats) {
            self.hands_over = true;
            self.release(cx);
        }
        let done = self.hands_over && self.release == Release::Done;
        done.then(|| "handed over to a host with more capacity".into())
    }

    fn hand_over_is_due(&self, cx: &Cx, heartbeats: &HeartbeatMonitor) -> bool {
        if cx.now < self.granted_at + MIN_TENURE || !self.is_idle() {
            return false;
        }
        let Some(announced_at) = heartbeats.hosts.fitter_announced_at(cx) else {
            return false;
        };
        let is_new = announced_at + NEW_HOST_TIME >= self.granted_at;
        is_new || cx.now >= self.granted_at + RETRY_TENURE
    }

    /// Returns whether there is nothing that the next placer would have to take over: no active
    /// job, no run, no progress to be written, and no VM of an earlier placer to be fenced.
    fn is_idle(&self) -> bool {
        self.settled
            && self.registry.active_jobs().next().is_none()
            && self.registry.dirty_jobs().is_empty()
            && self.pending_ended_tasks.is_empty()
            && self.fleet.vms.values().all(|vm| vm.runs.is_empty())
    }
}
