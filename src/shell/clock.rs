//! The daemon's clock: monotonic time since start, and wall-clock time for timestamps.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::core::model::Now;

/// Monotonic clock whose time is passed to the reducer.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Returns a clock that starts at zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the monotonic time since [`Clock::start`].
    #[must_use]
    pub fn now(&self) -> Now {
        self.origin.elapsed()
    }

    /// Returns the wall-clock time since the Unix epoch; zero if the system clock is set before it.
    #[must_use]
    pub fn unix_time() -> Duration {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
    }
}
