//! Probe of the placer's process, sent at most once after each heartbeat, if the next one is late.
//!
//! A process that has ended is detected at once, as its host refuses connections. A process that is
//! partitioned or suspended gives no answer; it is detected only by the time without a heartbeat.

use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use rustc_hash::FxHashMap;
use rustc_hash::FxHasher;

use super::cx::Cx;
use super::effect::Request;
use super::event::ProbePurpose;
use super::event::ProbeResult;
use super::heartbeat::Heartbeat;
use super::hosts::Hosts;
use crate::core::model::DaemonId;
use crate::core::model::Now;
use crate::core::model::Rev;

/// Number of heartbeat intervals after which the next heartbeat is late.
const LATE_INTERVALS: f64 = 1.5;

/// Average number of daemons that probe a holder, independent of their total number: this many with
/// hosts fit for the placer, which take over at once, and this many others. It is limited so as not
/// to overload the holder, whose load may be the reason for the late heartbeat.
const MEAN_PROBERS: usize = 4;

const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// State of the probes of the holder's process.
#[derive(Debug, Default)]
pub(super) struct HolderProbe {
    /// Version of the last heartbeat after which this daemon sent a probe or left it to other
    /// daemons.
    checked_version: Rev,
    /// Version of the last heartbeat of a holder whose process has ended.
    ended_version: Rev,
    /// Time at which that was found.
    ended_at: Now,
}

impl HolderProbe {
    /// Probes the holder's process if its next heartbeat is late and this daemon is a prober.
    pub fn poll(
        &mut self,
        cx: &mut Cx,
        heartbeat: &Heartbeat,
        addresses: &FxHashMap<DaemonId, Box<str>>,
        hosts: &Hosts,
    ) {
        if self.checked_version == heartbeat.version || cx.now < late_at(cx, heartbeat) {
            return;
        }
        self.checked_version = heartbeat.version;
        if !is_prober(cx, heartbeat, hosts.peer_count(cx)) {
            return;
        }
        if let Some(address) = addresses.get(&heartbeat.row.owner.daemon) {
            cx.send(Request::Probe {
                purpose: ProbePurpose::Holder(heartbeat.version),
                address: address.clone(),
                timeout: PROBE_TIMEOUT,
            });
        }
    }

    /// Returns the time at which [`HolderProbe::poll`] is next due, if any.
    pub fn wake_at(&self, cx: &Cx, heartbeat: &Heartbeat) -> Option<Now> {
        (self.checked_version != heartbeat.version).then(|| late_at(cx, heartbeat))
    }

    /// Records the result of a probe; returns whether it shows that the holder's process has ended.
    pub fn record_result(&mut self, now: Now, heartbeat: Rev, result: &ProbeResult) -> bool {
        let ended = matches!(result, ProbeResult::Refused);
        if ended && self.ended_version != heartbeat {
            self.ended_version = heartbeat;
            self.ended_at = now;
        }
        ended
    }

    /// Returns the time at which the process that sent this heartbeat, and no later one, was found
    /// to have ended.
    pub fn ended_at(&self, heartbeat: &Heartbeat) -> Option<Now> {
        (self.ended_version == heartbeat.version).then_some(self.ended_at)
    }
}

/// Returns whether this daemon is a prober after this heartbeat. The probers are selected by a hash
/// of the process and the heartbeat's version; `daemons` is the number to select from.
fn is_prober(cx: &Cx, heartbeat: &Heartbeat, daemons: usize) -> bool {
    let mut hasher = FxHasher::default();
    (cx.options.nonce, heartbeat.version).hash(&mut hasher);
    let daemons = u64::try_from(daemons).unwrap_or(u64::MAX).max(1);
    hasher.finish() % daemons < MEAN_PROBERS as u64
}

fn late_at(cx: &Cx, heartbeat: &Heartbeat) -> Now {
    heartbeat.received_at + cx.options.placer.heartbeat_interval.mul_f64(LATE_INTERVALS)
}
