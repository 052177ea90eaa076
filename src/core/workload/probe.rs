//! Whether the placer's process is still there, asked once when its heartbeat is late.
//!
//! A process that has ended is known at once, as its host refuses connections; one that is cut off
//! or stands still gives no answer, and only the time without a heartbeat tells.

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

/// A heartbeat is late after this many intervals.
const LATE_BEATS: f64 = 1.5;

/// Daemons that ask for a holder, on average, however many there are: it may be late because it has
/// much to do.
const ASKERS: usize = 4;

/// Time for the answer.
const REACH_TIMEOUT: Duration = Duration::from_millis(300);

/// What was asked, and what is known.
#[derive(Debug, Default)]
pub(super) struct HolderProbe {
    /// Version of the heartbeat after which the holder was last asked for.
    asked: Rev,
    /// Version of the last heartbeat of a holder that has ended.
    last_of_ended: Rev,
}

impl HolderProbe {
    /// Asks for the holder if its heartbeat is late.
    pub fn poll(&mut self, cx: &mut Cx, beat: &Heartbeat, daemons: &FxHashMap<DaemonId, Box<str>>) {
        if self.asked == beat.version || cx.now < late_at(cx, beat) {
            return;
        }
        self.asked = beat.version;
        if !is_asker(cx, beat, daemons.len()) {
            return;
        }
        if let Some(address) = daemons.get(&beat.row.owner.daemon) {
            cx.send(Request::Probe {
                heartbeat: beat.version,
                address: address.clone(),
                timeout: REACH_TIMEOUT,
            });
        }
    }

    /// When it next needs the time.
    pub fn wake_at(&self, cx: &Cx, beat: &Heartbeat) -> Option<Now> {
        (self.asked != beat.version).then(|| late_at(cx, beat))
    }

    /// Takes the answer; true if the holder is newly known to have ended.
    pub fn answered(&mut self, beat: Rev, reached: &ProbeResult) -> bool {
        let ended = matches!(reached, ProbeResult::Refused);
        if ended {
            self.last_of_ended = beat;
        }
        ended
    }

    /// Whether the process that sent a heartbeat, and no later one, has ended.
    pub fn has_ended(&self, beat: &Heartbeat) -> bool {
        self.last_of_ended == beat.version
    }
}

/// Whether this daemon is one of those that ask after a heartbeat.
fn is_asker(cx: &Cx, beat: &Heartbeat, daemons: usize) -> bool {
    let mut hasher = FxHasher::default();
    (cx.options.nonce, beat.version).hash(&mut hasher);
    let others = u64::try_from(daemons).unwrap_or(u64::MAX).max(1);
    hasher.finish() % others < ASKERS as u64
}

fn late_at(cx: &Cx, beat: &Heartbeat) -> Now {
    beat.received_at + cx.options.placer.beat_every.mul_f64(LATE_BEATS)
}
