//! Measurement of the rate at which work is started.

use std::collections::VecDeque;
use std::time::Duration;

use crate::core::model::Now;

/// Longest time over which the rate is measured.
pub const WINDOW: Duration = Duration::from_secs(5);

/// Time that one bucket covers, in milliseconds.
const BUCKET_MS: u128 = 250;

/// Meter of started work, with one sum for each interval of [`BUCKET_MS`].
#[derive(Clone, Debug, Default)]
pub struct DrainMeter {
    /// Number of the interval since time zero, and work in core-milliseconds.
    buckets: VecDeque<(u128, f64)>,
}

impl DrainMeter {
    /// Records work that was started.
    pub fn record(&mut self, now: Now, core_millis: f64) {
        self.trim(now);
        let number = bucket(now);
        match self.buckets.back_mut() {
            Some((last, sum)) if *last == number => *sum += core_millis,
            _ => self.buckets.push_back((number, core_millis)),
        }
    }

    /// Returns the mean rate in core-milliseconds per millisecond since a time, but over no more
    /// than [`WINDOW`].
    #[must_use]
    pub fn rate(&self, since: Now, now: Now) -> f64 {
        let first = bucket(since.max(now.saturating_sub(WINDOW)));
        let recent = self.buckets.iter().filter(|(number, _)| *number >= first);
        let work: f64 = recent.map(|(_, sum)| sum).sum();
        let start = BUCKET_MS * first;
        let elapsed = now.as_millis().saturating_sub(start).max(BUCKET_MS);
        #[allow(clippy::cast_precision_loss)]
        let elapsed = elapsed as f64;
        work / elapsed
    }

    /// Returns whether no work was started within [`WINDOW`].
    #[must_use]
    pub fn is_idle(&self, now: Now) -> bool {
        let oldest = bucket(now.saturating_sub(WINDOW));
        self.buckets
            .back()
            .is_none_or(|(number, _)| *number < oldest)
    }

    fn trim(&mut self, now: Now) {
        let oldest = bucket(now.saturating_sub(WINDOW));
        while self
            .buckets
            .front()
            .is_some_and(|(number, _)| *number < oldest)
        {
            self.buckets.pop_front();
        }
    }
}

fn bucket(at: Now) -> u128 {
    at.as_millis() / BUCKET_MS
}
