//! Order of steps in a placement round when the VMs lack room for all of them.
//!
//! In a burst, more jobs are queued than the VMs can run in time. With earliest-deadline-first
//! order alone, each job starts only when it is already late, and all callers are served late. Jobs
//! that can still meet their objective therefore go first, then jobs that are late but still
//! awaited by their callers, and last jobs that are long overdue, which run to completion all the
//! same.

use std::time::Duration;

use super::job_registry::Job;
use super::job_registry::JobKey;

/// A job that cannot complete within this many times its objective is overdue.
const OVERDUE_FACTOR: u32 = 3;

/// Whether a job can still meet its objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timeliness {
    /// The job can still complete within its objective.
    OnTime,
    /// The job can still complete within `OVERDUE_FACTOR` times its objective.
    Late,
    /// The job can no longer complete within `OVERDUE_FACTOR` times its objective.
    Overdue,
}

/// Sort key of a step in a placement round: priority of the queue, timeliness, deadline since the
/// Unix epoch, and job. Lower ranks go first.
pub(super) type Rank = (u32, Timeliness, Duration, JobKey);

impl Job {
    /// Returns the rank of the job's steps at a wall time since the Unix epoch.
    pub(super) fn rank(&self, key: JobKey, unix_time: Duration) -> Rank {
        let objective = self.objective();
        let timeliness = if self.submission.is_long_running() {
            Timeliness::OnTime
        } else {
            self.timeliness(objective, unix_time)
        };
        (
            self.queue.priority,
            timeliness,
            self.accepted_at + objective,
            key,
        )
    }

    fn timeliness(&self, objective: Duration, unix_time: Duration) -> Timeliness {
        let earliest_end = unix_time + self.remaining_time();
        if earliest_end <= self.accepted_at + objective {
            Timeliness::OnTime
        } else if earliest_end <= self.accepted_at + objective * OVERDUE_FACTOR {
            Timeliness::Late
        } else {
            Timeliness::Overdue
        }
    }

    /// Returns the estimated length of the critical path through the steps that are not done, in
    /// the first unfinished occurrence.
    fn remaining_time(&self) -> Duration {
        let Some((_, steps)) = self.occurrences.first_key_value() else {
            return Duration::ZERO;
        };
        let mut ends: Vec<u64> = Vec::with_capacity(steps.len());
        for (step, spec) in steps.iter().zip(&self.submission.steps) {
            let start = spec
                .after
                .iter()
                .filter_map(|&ix| ends.get(usize::from(ix)));
            let start = start.max().copied().unwrap_or(0);
            let run_time = if step.is_done() { 0 } else { spec.estimate_ms };
            ends.push(start + run_time);
        }
        Duration::from_millis(ends.into_iter().max().unwrap_or(0))
    }
}
