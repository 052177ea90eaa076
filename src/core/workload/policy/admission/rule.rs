//! Rule by which a new job is refused, and the delay after which its caller may retry.

use std::time::Duration;

use crate::core::workload::policy::timeliness::OVERDUE_FACTOR;

/// Factor by which an estimated wait may be too long. Estimates are divided by it, so that no job is
/// refused that could be served.
pub const ERROR_MARGIN: f64 = 1.5;

/// Shortest delay that is suggested to a refused caller.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Longest delay that is suggested to a refused caller.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Largest part of the delay by which callers are spread.
const SPREAD: f64 = 0.25;

/// Overload that a new job meets: it would wait until its result is of no use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overload {
    /// Estimated wait.
    pub wait: Duration,
    /// Longest wait after which the job could still be done in useful time.
    pub useful_within: Duration,
}

impl Overload {
    /// Returns the overload if a job would wait too long, or `None` if it could be done in useful
    /// time.
    #[must_use]
    pub fn check(wait: Duration, critical_path: Duration, objective: Duration) -> Option<Self> {
        let useful = objective.saturating_mul(OVERDUE_FACTOR);
        let useful_within = useful.saturating_sub(critical_path);
        let likely_wait = wait.div_f64(ERROR_MARGIN);
        let is_useful = likely_wait.saturating_add(critical_path) <= useful;
        (!is_useful).then_some(Self {
            wait,
            useful_within,
        })
    }

    /// Returns the time until the wait has become useful if no more work arrives.
    #[must_use]
    pub fn excess(&self) -> Duration {
        let wait = self.wait.as_secs_f64();
        let useful = self.useful_within.as_secs_f64() * ERROR_MARGIN;
        Duration::try_from_secs_f64((wait - useful).max(0.0)).unwrap_or(Duration::MAX)
    }
}

/// Returns the delay after which the caller of a refused job may retry.
///
/// A hash of the job's id spreads the callers, so that those refused together return one after
/// another.
#[must_use]
pub fn retry_after(overload: &Overload, id: &str) -> Duration {
    let max = MAX_RETRY_AFTER.div_f64(1.0 + SPREAD);
    let base = overload.excess().clamp(MIN_RETRY_AFTER, max);
    base.mul_f64(1.0 + SPREAD * spread_of(id))
        .min(MAX_RETRY_AFTER)
}

/// Returns a number from zero to one that depends on the id only: its 32-bit FNV-1a hash.
fn spread_of(id: &str) -> f64 {
    let hash = id.bytes().fold(0x811c_9dc5_u32, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    });
    f64::from(hash) / f64::from(u32::MAX)
}
