//! Settings of the router.

use std::time::Duration;

/// Settings of the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoutingOptions {
    /// Retries permitted, as a percentage of first attempts.
    pub retry_percent: u32,
    /// Maximum number of queued requests per service.
    pub queue_capacity: usize,
    /// Duration of a loan of slots.
    pub loan_duration: Duration,
    /// Time that a lender adds to the end of each loan, since clocks run at different speeds.
    pub loan_margin: Duration,
    /// Delay before an increase of a daemon's share takes effect. Longer than a loan with its
    /// margin and longer than the membership list's propagation delay.
    pub settle_time: Duration,
    /// Time for which the claim of a request id is retained.
    pub claim_retention: Duration,
    /// Wall-clock time at which the process started, since the Unix epoch.
    pub started_at: Duration,
    /// Random seed, unique to each start of the process.
    pub seed: u64,
}

impl RoutingOptions {
    /// Returns the defaults for a loan duration; margin and settle time are proportional to it.
    #[must_use]
    pub fn with_loan(loan: Duration) -> Self {
        Self {
            retry_percent: 10,
            queue_capacity: 512,
            loan_duration: loan,
            loan_margin: loan / 10,
            settle_time: loan * 2,
            claim_retention: Duration::from_secs(3_600),
            started_at: Duration::ZERO,
            seed: 0,
        }
    }
}

impl Default for RoutingOptions {
    fn default() -> Self {
        Self::with_loan(Duration::from_secs(2))
    }
}
