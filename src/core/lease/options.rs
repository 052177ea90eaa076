//! Timing of the lease protocol, and the bounds derived from it.

use std::time::Duration;

/// Timing of the lease protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseOptions {
    /// Duration of a lease, during which the VM accepts no other holder.
    pub lease: Duration,
    /// Time without a renewal after which a VM stops its tasks.
    pub task_lease: Duration,
    /// Interval between renewals of one VM's lease.
    pub renew_every: Duration,
    /// Bound on the drift rate of a clock, in parts per million.
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
    /// Returns the maximum difference between two clocks' measurements of `period`.
    #[must_use]
    pub fn drift_margin(&self, period: Duration) -> Duration {
        let million = 1_000_000;
        period * (2 * self.drift_ppm) / (million - self.drift_ppm.min(million / 2))
    }

    /// Returns the time after a VM's report by which all its tasks have stopped, unless the VM
    /// receives a message based on a newer report. The VM accepts messages based on a report for
    /// the duration of one lease, and the last of them extends its tasks by one task lease.
    #[must_use]
    pub fn tasks_stop_after(&self) -> Duration {
        let period = self.lease + self.task_lease;
        period + self.drift_margin(period)
    }

    /// Returns the delay before a sync is retried that was not answered.
    #[must_use]
    pub fn retry_interval(&self) -> Duration {
        self.renew_every / 4
    }

    /// Returns the time after which a candidate without a majority releases its leases if it has
    /// met a competing candidate.
    #[must_use]
    pub fn majority_timeout(&self) -> Duration {
        self.lease * 2
    }
}
