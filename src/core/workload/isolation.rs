//! Finds out whether this daemon is cut off together with its zone, so that its callers are better
//! served by other zones.
//!
//! While the table does not answer, one daemon in each other zone is probed. If one listens, the
//! table is slow, down or turns this daemon away: other zones would serve no better, or calls can be
//! relayed.

use std::time::Duration;

use super::cx::Cx;
use super::cx::millis;
use super::decision::Decision;
use super::effect::Request;
use super::event::ProbePurpose;
use super::event::ProbeResult;
use super::heartbeat::HeartbeatMonitor;
use super::options::Options;
use super::policy::isolation;
use crate::core::model::Now;

/// Interval between two rounds of probes. It exceeds their timeout.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Whether this daemon is cut off.
#[derive(Debug, Default)]
pub(super) struct IsolationMonitor {
    /// Send time of the last probes.
    sent_at: Now,
    /// Number of those that are not answered.
    pending: usize,
    /// Results of the others.
    results: Vec<ProbeResult>,
    /// Number of rounds of probes, which selects the daemon of each zone.
    rounds: usize,
    next_at: Now,
    cut_off_since: Option<Now>,
}

impl IsolationMonitor {
    /// Returns whether this daemon is cut off.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off_since.is_some()
    }

    /// Returns the delay before a retry that is suggested to callers who cannot be served now.
    pub fn retry_after(&self, now: Now, options: &Options) -> Duration {
        let since = self.cut_off_since.map(|since| now.saturating_sub(since));
        isolation::retry_after(since, options.removal_delay)
    }

    /// Probes daemons of other zones if that is due; ends the isolation once the table answers.
    pub fn poll(&mut self, cx: &mut Cx, heartbeats: &HeartbeatMonitor) {
        let Some(suspect_at) = suspect_at(cx) else {
            return;
        };
        if cx.now < suspect_at {
            return self.end(cx, "the table answers");
        }
        if cx.now < self.next_at {
            return;
        }
        self.next_at = cx.now + PROBE_INTERVAL;
        let addresses = heartbeats.addresses_in_other_zones(&cx.options.zone, self.rounds);
        self.rounds += 1;
        self.sent_at = cx.now;
        self.pending = addresses.len();
        self.results.clear();
        for address in addresses {
            cx.send(Request::Probe {
                purpose: ProbePurpose::OtherZone(cx.now),
                address,
                timeout: PROBE_TIMEOUT,
            });
        }
    }

    /// Returns the time at which [`IsolationMonitor::poll`] is next due, if any.
    pub fn wake_at(&self, cx: &Cx) -> Option<Now> {
        Some(suspect_at(cx)?.max(self.next_at))
    }

    /// Handles the result of a probe that was sent at `sent`.
    pub fn handle_probe_result(&mut self, cx: &mut Cx, sent: Now, result: ProbeResult) {
        if sent != self.sent_at || self.pending == 0 {
            return;
        }
        self.pending -= 1;
        self.results.push(result);
        if self.pending > 0 {
            return;
        }
        if !isolation::is_cut_off(&self.results) {
            return self.end(cx, "a daemon of another zone answers");
        }
        let is_silent = suspect_at(cx).is_some_and(|at| cx.now >= at);
        if is_silent && self.cut_off_since.is_none() {
            self.cut_off_since = Some(cx.now);
            cx.log(Decision::Isolation {
                cut_off: true,
                lasted_ms: 0,
                reason: "no daemon of another zone answers".into(),
            });
        }
    }

    fn end(&mut self, cx: &mut Cx, reason: &str) {
        if let Some(since) = self.cut_off_since.take() {
            cx.log(Decision::Isolation {
                cut_off: false,
                lasted_ms: millis(cx.now.saturating_sub(since)),
                reason: reason.into(),
            });
        }
    }
}

/// Returns the time from which on the table counts as silent; `None` before its first answer.
fn suspect_at(cx: &Cx) -> Option<Now> {
    let silence = isolation::suspicion_time(cx.options.placer.heartbeat_interval);
    Some(cx.table_answered_at? + silence)
}
