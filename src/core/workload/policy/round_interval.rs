//! Interval of placement rounds.
//!
//! A round looks at all waiting steps, so that it takes longer the more of them wait and the more VMs
//! there are. A placer that runs rounds at a fixed interval has no time left for renewals, heartbeats
//! and the ends of runs once a round takes as long as the interval.

use std::time::Duration;

/// Largest fraction of the time that rounds take, as a divisor. Most of the work of a placer is requests and
/// answers, without which rounds find nothing to do.
const ROUND_TIME_DIVISOR: u32 = 6;

/// Longest interval, so that one slow round, during which the process was paused, does not delay the
/// next for long.
const MAX_INTERVAL: Duration = Duration::from_millis(500);

/// Time that the last round took.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundTimer {
    /// Whether a round has begun whose time is not known yet.
    pending: bool,
    last: Duration,
}

impl RoundTimer {
    /// Records that a round begins.
    pub fn begin(&mut self) {
        self.pending = true;
    }

    /// Records the time that a step of the reducer took, if a round has begun in it.
    pub fn record_step(&mut self, time: Duration) {
        if self.pending {
            self.pending = false;
            self.last = time;
        }
    }

    /// Returns the least time from the start of the last round to that of the next.
    #[must_use]
    pub fn interval(&self, min_interval: Duration) -> Duration {
        round_interval(min_interval, self.last)
    }
}

/// Returns the least time between the starts of two rounds, if the last one took `round_time`.
#[must_use]
pub fn round_interval(min_interval: Duration, round_time: Duration) -> Duration {
    let interval = round_time * ROUND_TIME_DIVISOR;
    interval.min(MAX_INTERVAL).max(min_interval)
}
