//! Settings of the router.

use std::time::Duration;

/// Settings of the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoutingOptions {
    /// Retries allowed, as a percentage of first attempts.
    pub retry_percent: u32,
    /// Requests that may wait for each service.
    pub queue_capacity: usize,
    /// How long lent slots may be used.
    pub loan_duration: Duration,
    /// Time that a lender adds to each loan, for clocks that run at different speeds.
    pub loan_margin: Duration,
    /// Time before slots that the membership list assigns anew are used. Longer than a loan with
    /// its margin, and than the list lags.
    pub settle_time: Duration,
    /// How long a claimed request id is remembered.
    pub claim_retention: Duration,
    /// Wall time at which the process started, since the Unix epoch.
    pub started_at: Duration,
    /// Unique to this start of the process.
    pub seed: u64,
}

impl RoutingOptions {
    /// Returns the defaults, with a settle time and margin in proportion to the length of a loan.
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
