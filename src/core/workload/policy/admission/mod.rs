//! Admission of new jobs: how long a job would wait, and whether it could still be done in useful
//! time after that.
//!
//! The placer measures how much work starts and how much waits, and publishes the quotient as the
//! wait of each queue and team. The daemon that receives a job compares the wait with the time for
//! which the job is of use to its caller.

mod drain;
mod rule;
mod waits;

pub use drain::DrainMeter;
pub use drain::WINDOW;
pub use rule::ERROR_MARGIN;
pub use rule::MAX_RETRY_AFTER;
pub use rule::MIN_RETRY_AFTER;
pub use rule::Overload;
pub use rule::retry_after;
pub use waits::Backlog;
pub use waits::MIN_MEASURED;
pub use waits::Pair;
pub use waits::REPORTED_WAIT;
pub use waits::WaitEstimator;

use std::time::Duration;

use crate::core::model::Resources;

/// Returns the CPU work of tasks in core-milliseconds.
///
/// `factor` is the ratio of the actual to the declared run time, 1.0 if it is not known.
#[must_use]
pub fn core_millis(tasks: u32, demand: &Resources, estimate: Duration, factor: f64) -> f64 {
    let cores = f64::from(demand.cpu_milli) / 1_000.0;
    f64::from(tasks) * cores * estimate.as_secs_f64() * 1_000.0 * factor
}
