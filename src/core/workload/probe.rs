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
use super::event::ProbeResult;
use super::heartbeat::Heartbeat;
use crate::core::model::DaemonId;
use crate::core::model::Now;
use crate::core::model::Rev;

/// Number of heartbeat intervals after which the next heartbeat is late.
const LATE_INTERVALS: f64 = 1.5;

/// Average number of daemons that probe a holder, independent of their total number. It is limited
/// because the heartbeat may be late on account of the holder's load.
const MEAN_PROBERS: usize = 4;

const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// State of the probes of the holder's process.
#[derive(Debug, Default)]
pub(super) struct HolderProbe {
    /// Version of the heartbeat after which the last probe was sent, or was left to other daemons.
    checked: Rev,
    /// Version of the last heartbeat of a holder whose process has ended.
    last_of_ended: Rev,
}

impl HolderProbe {
    /// Probes the holder's process if its next heartbeat is late and this daemon is a prober.
    pub fn poll(
        &mut self,
        cx: &mut Cx,
        heartbeat: &Heartbeat,
        addresses: &FxHashMap<DaemonId, Box<str>>,
    ) {
        if self.checked == heartbeat.version || cx.now < late_at(cx, heartbeat) {
            return;
        }
        self.checked = heartbeat.version;
        if !is_prober(cx, heartbeat, addresses.len()) {
            return;
        }
        if let Some(address) = addresses.get(&heartbeat.row.owner.daemon) {
            cx.send(Request::Probe {
                heartbeat: heartbeat.version,
                address: address.clone(),
                timeout: PROBE_TIMEOUT,
            });
        }
    }

    /// Returns the time at which [`HolderProbe::poll`] is next due, if any.
    pub fn wake_at(&self, cx: &Cx, heartbeat: &Heartbeat) -> Option<Now> {
        (self.checked != heartbeat.version).then(|| late_at(cx, heartbeat))
    }

    /// Records the result of a probe; returns whether it shows that the holder's process has ended.
    pub fn record_result(&mut self, heartbeat: Rev, result: &ProbeResult) -> bool {
        let ended = matches!(result, ProbeResult::Refused);
        if ended {
            self.last_of_ended = heartbeat;
        }
        ended
    }

    /// Returns whether the process that sent this heartbeat, and no later one, has ended.
    pub fn has_ended(&self, heartbeat: &Heartbeat) -> bool {
        self.last_of_ended == heartbeat.version
    }
}

/// Returns whether this daemon is a prober after this heartbeat. The probers are selected by a hash
/// of the process and the heartbeat's version.
fn is_prober(cx: &Cx, heartbeat: &Heartbeat, daemons: usize) -> bool {
    let mut hasher = FxHasher::default();
    (cx.options.nonce, heartbeat.version).hash(&mut hasher);
    let daemons = u64::try_from(daemons).unwrap_or(u64::MAX).max(1);
    hasher.finish() % daemons < MEAN_PROBERS as u64
}

fn late_at(cx: &Cx, heartbeat: &Heartbeat) -> Now {
    heartbeat.received_at + cx.options.placer.heartbeat_interval.mul_f64(LATE_INTERVALS)
}
