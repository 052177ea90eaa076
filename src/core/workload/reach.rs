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
use super::event::Reached;
use super::pulse::Beat;
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
pub(super) struct Reach {
    /// Version of the heartbeat after which the holder was last asked for.
    asked: Rev,
    /// Version of the last heartbeat of a holder that has ended.
    last_of_ended: Rev,
}

impl Reach {
    /// Asks for the holder if its heartbeat is late.
    pub fn poll(&mut self, cx: &mut Cx, beat: &Beat, daemons: &FxHashMap<DaemonId, Box<str>>) {
        if self.asked == beat.version || cx.now < late_at(cx, beat) {
            return;
        }
        self.asked = beat.version;
        if !is_asker(cx, beat, daemons.len()) {
            return;
        }
        if let Some(address) = daemons.get(&beat.row.owner.daemon) {
            cx.ask(Request::Reach {
                beat: beat.version,
                address: address.clone(),
                timeout: REACH_TIMEOUT,
            });
        }
    }

    /// When it next needs the time.
    pub fn wake_at(&self, cx: &Cx, beat: &Beat) -> Option<Now> {
        (self.asked != beat.version).then(|| late_at(cx, beat))
    }

    /// Takes the answer; true if the holder is newly known to have ended.
    pub fn answered(&mut self, beat: Rev, reached: &Reached) -> bool {
        let ended = matches!(reached, Reached::Refused);
        if ended {
            self.last_of_ended = beat;
        }
        ended
    }

    /// Whether the process that sent a heartbeat, and no later one, has ended.
    pub fn has_ended(&self, beat: &Beat) -> bool {
        self.last_of_ended == beat.version
    }
}

/// Whether this daemon is one of those that ask after a heartbeat.
fn is_asker(cx: &Cx, beat: &Beat, daemons: usize) -> bool {
    let mut hasher = FxHasher::default();
    (cx.options.nonce, beat.version).hash(&mut hasher);
    let others = u64::try_from(daemons).unwrap_or(u64::MAX).max(1);
    hasher.finish() % others < ASKERS as u64
}

fn late_at(cx: &Cx, beat: &Beat) -> Now {
    beat.seen + cx.options.placer.heartbeat_interval.mul_f64(LATE_BEATS)
}
