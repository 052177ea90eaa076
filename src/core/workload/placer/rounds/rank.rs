//! Order of the steps of jobs in a placement round.

use std::time::Duration;

use crate::core::workload::placer::state::job_registry::Job;
use crate::core::workload::placer::state::job_registry::JobKey;
use crate::core::workload::policy::order::Order;
use crate::core::workload::policy::timeliness::Timeliness;

/// Sort key of a step in a placement round. Lower ranks go first.
pub(in crate::core::workload::placer) type Rank = (Order, JobKey);

impl Job {
    /// Returns the rank of the job's steps at a wall time since the Unix epoch.
    pub(in crate::core::workload::placer) fn rank(&self, key: JobKey, unix_time: Duration) -> Rank {
        let deadline = self.accepted_at.saturating_add(self.objective());
        let order = Order {
            priority: self.queue.priority,
            timeliness: self.timeliness(unix_time),
            unstarted: self.is_unstarted(),
            deadline,
        };
        (order, key)
    }

    /// Returns whether the job can still be of use to its caller, at a wall time since the Unix epoch.
    pub(in crate::core::workload::placer) fn timeliness(&self, unix_time: Duration) -> Timeliness {
        if self.submission.is_long_running() {
            return Timeliness::OnTime;
        }
        let age = unix_time.saturating_sub(self.accepted_at);
        Timeliness::new(age, self.remaining_time(), self.objective())
    }

    /// Returns by how much the job can end before its objective, at a wall time since the Unix epoch.
    pub(in crate::core::workload::placer) fn slack(&self, unix_time: Duration) -> Duration {
        let age = unix_time.saturating_sub(self.accepted_at);
        self.objective()
            .saturating_sub(age.saturating_add(self.remaining_time()))
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
