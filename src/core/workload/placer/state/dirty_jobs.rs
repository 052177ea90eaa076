//! Jobs whose progress has changed since it was last written to the table, in the order of the changes.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;

use crate::core::workload::placer::state::job_registry::JobKey;

/// Position of a change among all changes of jobs that had none to be written.
pub(in crate::core::workload::placer) type ChangeNumber = u64;

/// Changed jobs. Those that have waited longest are written first, so that a job that changes again
/// and again holds up no other.
#[derive(Debug, Default)]
pub(in crate::core::workload::placer) struct DirtyJobs {
    order: BTreeMap<ChangeNumber, JobKey>,
    numbers: FxHashMap<JobKey, ChangeNumber>,
    last: ChangeNumber,
}

impl DirtyJobs {
    /// Adds a job. Does nothing if it is known.
    pub fn insert(&mut self, key: JobKey) {
        if !self.contains(key) {
            self.last += 1;
            self.restore(key, self.last);
        }
    }

    /// Adds a job again whose write has failed, at its former position.
    pub fn restore(&mut self, key: JobKey, number: ChangeNumber) {
        if let Some(later) = self.numbers.insert(key, number) {
            self.order.remove(&later);
        }
        self.order.insert(number, key);
    }

    /// Removes a job.
    pub fn remove(&mut self, key: JobKey) {
        if let Some(number) = self.numbers.remove(&key) {
            self.order.remove(&number);
        }
    }

    pub fn contains(&self, key: JobKey) -> bool {
        self.numbers.contains_key(&key)
    }

    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns the first `limit` jobs with their positions.
    pub fn first(&self, limit: usize) -> Vec<(ChangeNumber, JobKey)> {
        let first = self.order.iter().take(limit);
        first.map(|(&number, &key)| (number, key)).collect()
    }

    /// Returns the position of the last change so far.
    pub fn last_number(&self) -> ChangeNumber {
        self.last
    }

    /// Returns whether no change up to a position is left.
    pub fn is_clean_up_to(&self, number: ChangeNumber) -> bool {
        let first = self.order.first_key_value();
        first.is_none_or(|(&first, _)| first > number)
    }
}
