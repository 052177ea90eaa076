//! Times of the lease protocol, and the margins that follow from them.

use std::time::Duration;

/// Times of the lease protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseOptions {
    /// How long a VM accepts no other holder.
    pub lease: Duration,
    /// How long tasks run on without a renewal.
    pub task_lease: Duration,
    /// Time between renewals of one VM.
    pub renew_every: Duration,
    /// Bound on the drift of clocks, in parts in a million.
    pub drift_ppm: u32,
}

impl Default for LeaseOptions {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(6),
            task_lease: Duration::from_secs(60),
            renew_every: Duration::from_secs(2),
            drift_ppm: 10_000,
        }
    }
}

impl LeaseOptions {
    /// How much longer or shorter a period may be by another clock.
    #[must_use]
    pub fn drift_margin(&self, period: Duration) -> Duration {
        let million = 1_000_000;
        period * (2 * self.drift_ppm) / (million - self.drift_ppm.min(million / 2))
    }

    /// Time after a report by when its VM has stopped every task, if nothing newer reached it: a
    /// message that builds on the report is taken for one lease, and prolongs tasks by theirs.
    #[must_use]
    pub fn tasks_stop_after(&self) -> Duration {
        let period = self.lease + self.task_lease;
        period + self.drift_margin(period)
    }

    /// Time after which a sync without an answer is followed by another.
    #[must_use]
    pub fn retry_interval(&self) -> Duration {
        self.renew_every / 4
    }

    /// Time after which a candidate without a majority makes way for a rival.
    #[must_use]
    pub fn majority_timeout(&self) -> Duration {
        self.lease * 2
    }
}
