//! The daemon's clock: monotonic time since start, and wall time for stamps.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::core::model::Now;

/// Source of the time handed to the reducer.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Monotonic time since [`Clock::start`].
    #[must_use]
    pub fn now(&self) -> Now {
        self.origin.elapsed()
    }

    /// Wall time since the Unix epoch.
    #[must_use]
    pub fn unix_time() -> Duration {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
    }
}
