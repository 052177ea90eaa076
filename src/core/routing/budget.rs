//! Retry budget: a token bucket filled by first attempts.

use std::time::Duration;

use crate::core::model::Now;

/// Cost of one retry, in thousandths of a token.
const RETRY_MILLITOKENS: u64 = 1_000;

/// Capacity of the bucket, in thousandths of a token.
const MAX_MILLITOKENS: u64 = 20 * RETRY_MILLITOKENS;

/// Thousandths of a token added by a first attempt, for each percent of retries allowed.
const MILLITOKENS_PER_PERCENT: u64 = 10;

/// Interval at which one token is added regardless of traffic, so that infrequent requests can be
/// retried.
const TOKEN_INTERVAL: Duration = Duration::from_secs(1);

/// Token bucket that limits the retries of one service.
#[derive(Clone, Debug)]
pub(super) struct RetryBudget {
    percent: u32,
    millitokens: u64,
    refilled_at: Now,
}

impl RetryBudget {
    /// Returns a full budget, or one that never permits a retry if `percent` is zero.
    pub fn new(now: Now, percent: u32) -> Self {
        let millitokens = if percent == 0 { 0 } else { MAX_MILLITOKENS };
        Self {
            percent,
            millitokens,
            refilled_at: now,
        }
    }

    /// Adds the tokens earned by a first attempt.
    pub fn deposit(&mut self) {
        self.add(u64::from(self.percent) * MILLITOKENS_PER_PERCENT);
    }

    /// Spends the tokens of one retry; returns false if there are too few.
    pub fn spend(&mut self) -> bool {
        if !self.permits_retry() {
            return false;
        }
        self.millitokens -= RETRY_MILLITOKENS;
        true
    }

    /// Returns whether one more retry is permitted.
    pub fn permits_retry(&self) -> bool {
        self.millitokens >= RETRY_MILLITOKENS
    }

    /// Adds a token if the refill interval has elapsed.
    pub fn tick(&mut self, now: Now) {
        if self.percent > 0 && now.saturating_sub(self.refilled_at) >= TOKEN_INTERVAL {
            self.refilled_at = now;
            self.add(RETRY_MILLITOKENS);
        }
    }

    fn add(&mut self, millitokens: u64) {
        self.millitokens = MAX_MILLITOKENS.min(self.millitokens + millitokens);
    }
}
