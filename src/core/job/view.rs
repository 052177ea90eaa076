//! Local copy of the rows of the space `job/`.

use std::collections::BTreeMap;

use super::row;
use super::row::JobRow;
use super::row::JobState;
use crate::core::model::JobId;
use crate::core::model::Rev;
use crate::core::model::Row;

/// A job's row as last read, with its version.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub version: Rev,
    pub row: JobRow,
}

/// A change of the view by a newer row.
#[derive(Clone, Debug)]
pub(super) struct Change {
    pub job: JobId,
    /// Whether the job was active before the change.
    pub was_active: bool,
    /// Whether the job was unknown before, or was owned by another zone.
    pub is_new_in_zone: bool,
}

/// All jobs, by identifier, and the versions of withdrawn rows.
#[derive(Clone, Debug, Default)]
pub(super) struct View {
    jobs: BTreeMap<JobId, Job>,
    withdrawn: BTreeMap<JobId, Rev>,
}

impl View {
    /// Applies a row if it is newer than the view's, and returns the change. A row that cannot be
    /// parsed is treated as withdrawn.
    pub fn apply(&mut self, row: &Row) -> Option<Change> {
        let job = row::job_id_of(&row.key)?;
        if row.version <= self.version(&job) {
            return None;
        }
        let old = self.jobs.remove(&job);
        let was_active = old
            .as_ref()
            .is_some_and(|old| old.row.state == JobState::Active);
        let zone = old.map(|old| old.row.zone);
        let new = row
            .value
            .as_deref()
            .and_then(|text| JobRow::from_json(text).ok());
        let Some(new) = new else {
            self.withdrawn.insert(job.clone(), row.version);
            return Some(Change {
                job,
                was_active,
                is_new_in_zone: false,
            });
        };
        let is_new_in_zone = zone.as_ref() != Some(&new.zone);
        self.withdrawn.remove(&job);
        let version = row.version;
        self.jobs.insert(job.clone(), Job { version, row: new });
        Some(Change {
            job,
            was_active,
            is_new_in_zone,
        })
    }

    /// Returns a job whose row is in the table.
    pub fn get(&self, job: &str) -> Option<&Job> {
        self.jobs.get(job)
    }

    /// Returns whether the job's row was withdrawn.
    pub fn is_withdrawn(&self, job: &str) -> bool {
        self.withdrawn.contains_key(job)
    }

    /// Returns all jobs in the order of their identifiers.
    pub fn iter(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.jobs.iter()
    }

    /// Drops the oldest withdrawn rows so that at most `max` remain.
    pub fn prune_withdrawn(&mut self, max: usize) {
        let surplus = self.withdrawn.len().saturating_sub(max);
        if surplus == 0 {
            return;
        }
        let mut versions: Vec<Rev> = self.withdrawn.values().copied().collect();
        versions.sort_unstable();
        let oldest_kept = versions[surplus];
        self.withdrawn.retain(|_, version| *version >= oldest_kept);
    }

    fn version(&self, job: &str) -> Rev {
        let known = self.jobs.get(job).map(|job| job.version);
        known
            .or_else(|| self.withdrawn.get(job).copied())
            .unwrap_or(0)
    }
}
