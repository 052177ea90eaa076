//! Whether a job can still be of use to its caller.

use std::time::Duration;

use serde::Serialize;

/// Multiple of its objective within which a job must be able to complete so as not to be overdue.
pub const OVERDUE_FACTOR: u32 = 3;

/// Whether a job can still meet its objective. An earlier variant goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Timeliness {
    /// The job can still complete within its objective.
    OnTime,
    /// The job can still complete within [`OVERDUE_FACTOR`] times its objective.
    Late,
    /// The job can no longer complete within [`OVERDUE_FACTOR`] times its objective.
    Overdue,
}

impl Timeliness {
    /// Returns the timeliness of a job of this age whose remaining steps take at least `remaining`.
    #[must_use]
    pub fn new(age: Duration, remaining: Duration, objective: Duration) -> Self {
        let earliest_end = age.saturating_add(remaining);
        if earliest_end <= objective {
            Self::OnTime
        } else if earliest_end <= objective.saturating_mul(OVERDUE_FACTOR) {
            Self::Late
        } else {
            Self::Overdue
        }
    }
}
