//! The order of steps in a round of placement, when there is more work than room.
//!
//! Pattern: a burst puts more jobs in the queue than the VMs can run in time. Ordered by due time
//! alone, each job starts just when it is already late, and all callers are served late. Jobs that
//! can still be done in time therefore go first, then those that are late but still awaited, and
//! last those that are long overdue, which end all the same.

use std::time::Duration;

use super::book::Job;
use super::book::JobKey;

/// A job is long overdue after this many times its objective.
const OVERDUE_FACTOR: u32 = 3;

/// How far a job is from being served as its caller expects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Prospect {
    /// It can still be done within its objective.
    InTime,
    /// It can still be done within three times its objective.
    Late,
    /// It is long overdue.
    Overdue,
}

/// Place of a step in the order of a round; the least goes first.
pub(super) type Rank = (u32, Prospect, Duration, JobKey);

impl Job {
    /// Rank of the job at a wall time.
    pub(super) fn rank(&self, key: JobKey, unix: Duration) -> Rank {
        let objective = self.objective();
        let prospect = if self.sub.is_long_running() {
            Prospect::InTime
        } else {
            self.prospect(objective, unix)
        };
        (self.queue.priority, prospect, self.at + objective, key)
    }

    fn prospect(&self, objective: Duration, unix: Duration) -> Prospect {
        let soonest = unix + self.remaining_chain();
        if soonest <= self.at + objective {
            Prospect::InTime
        } else if soonest <= self.at + objective * OVERDUE_FACTOR {
            Prospect::Late
        } else {
            Prospect::Overdue
        }
    }

    /// Least time that the steps still to be done take, by the estimates.
    fn remaining_chain(&self) -> Duration {
        let Some((_, steps)) = self.occurrences.first_key_value() else {
            return Duration::ZERO;
        };
        let mut ends: Vec<u64> = Vec::with_capacity(steps.len());
        for (run, spec) in steps.iter().zip(&self.sub.steps) {
            let start = spec
                .after
                .iter()
                .filter_map(|&ix| ends.get(usize::from(ix)));
            let start = start.max().copied().unwrap_or(0);
            let own = if run.is_done() { 0 } else { spec.estimate_ms };
            ends.push(start + own);
        }
        Duration::from_millis(ends.into_iter().max().unwrap_or(0))
    }
}
