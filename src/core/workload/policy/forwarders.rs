//! Division of the daemons that forward advice queries between queues.
//!
//! A query of a batch queue may take many times as long as one of an urgent queue, and cannot be
//! recalled. Without a reserve, batch work in a burst occupies all daemons, and urgent work waits
//! for its advice although the VMs have room. A reserve that urgent work does not use makes batch
//! work wait beside idle daemons, so it follows the number of urgent queries in flight lately.

use std::time::Duration;

use crate::core::model::Now;

/// Largest part of the forwarders that is reserved for queues of the highest priority, as a divisor.
const MAX_RESERVED_DIVISOR: usize = 4;

/// Forwarders kept free beyond those that urgent queries have occupied at the same time.
const SPARE: usize = 1;

/// Time after which the largest number of urgent queries in flight counts half.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Number of urgent queries in flight, and the largest lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct UrgentQueries {
    in_flight: usize,
    peak: usize,
    peak_at: Now,
}

impl UrgentQueries {
    /// Records that a query was sent.
    pub fn start(&mut self, now: Now) {
        self.in_flight += 1;
        if self.in_flight >= self.recent_peak(now) {
            self.peak = self.in_flight;
            self.peak_at = now;
        }
    }

    /// Records that a query has ended.
    pub fn finish(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns the largest number of queries in flight lately.
    #[must_use]
    pub fn recent_peak(&self, now: Now) -> usize {
        let age = now.saturating_sub(self.peak_at);
        let half_lives = age.as_millis() / HALF_LIFE.as_millis();
        let shift = u32::try_from(half_lives).unwrap_or(u32::MAX);
        self.in_flight
            .max(self.peak.checked_shr(shift).unwrap_or(0))
    }
}

/// Returns the number of forwarders, of all `forwarders`, that queries of any queue may occupy at the
/// same time, if `urgent` urgent queries were in flight lately.
#[must_use]
pub fn shared_forwarders(forwarders: usize, urgent: usize) -> usize {
    let reserved = (urgent + SPARE).min(forwarders / MAX_RESERVED_DIVISOR);
    (forwarders - reserved).max(1)
}
