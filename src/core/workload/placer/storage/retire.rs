//! Removal of jobs whose retention period has passed, one part of the table at a time.
//!
//! The job's own rows are removed first and its progress second, so that a later placer never loads
//! a job without its progress and runs it again.

use std::time::Duration;

use crate::core::model::Now;
use crate::core::workload::cx::Cx;
use crate::core::workload::event::PlacerWrite;
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::state::job_registry::Job;
use crate::core::workload::placer::state::job_registry::JobKey;
use crate::core::workload::rows::cancel_key;
use crate::core::workload::rows::job_part;
use crate::core::workload::rows::job_row;
use crate::core::workload::table::CommitOutcome;
use crate::core::workload::table::PROGRESS;
use crate::core::workload::table::RowId;
use crate::core::workload::table::Transaction;

/// Interval of checks for jobs to remove.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Largest number of jobs removed in one transaction; each has up to two rows in a part.
const MAX_JOBS: usize = 45;

/// State of the removal.
#[derive(Debug, Default)]
pub(in crate::core::workload::placer) struct RetireState {
    next_at: Now,
    stage: Stage,
}

/// Stage of the pending removal.
#[derive(Debug, Default)]
enum Stage {
    #[default]
    Idle,
    /// The rows of these jobs are being removed.
    Jobs(Vec<JobKey>),
    /// Their progress is being removed.
    Progress(Vec<JobKey>),
}

impl Placer {
    /// Starts to remove jobs whose retention period has passed.
    pub(in crate::core::workload::placer) fn retire_jobs(&mut self, cx: &mut Cx) {
        if cx.now < self.retire.next_at || !matches!(self.retire.stage, Stage::Idle) {
            return;
        }
        self.retire.next_at = cx.now + CHECK_INTERVAL;
        self.fail_unplaceable_jobs(cx);
        let retention = cx.options.placer.retention;
        // A read of a missing part in progress may contain rows from before their removal.
        let is_expired = |job: &Job| {
            job.ended_at
                .is_some_and(|ended| cx.now >= ended + retention)
                && !self.missing.has_part_of(&job.id)
        };
        let ended = || self.registry.jobs.iter().filter(|(_, job)| is_expired(job));
        let Some(part) = ended().next().map(|(_, job)| job_part(&job.id)) else {
            return;
        };
        let jobs = ended().filter(|(_, job)| job_part(&job.id) == part);
        let jobs: Vec<JobKey> = jobs.map(|(&key, _)| key).take(MAX_JOBS).collect();
        let rows = |job: &Job| {
            [
                job_row(&job.id, &job.id),
                job_row(&job.id, &cancel_key(&job.id)),
            ]
        };
        let list = jobs.iter().filter_map(|key| self.registry.jobs.get(key));
        let remove = list.flat_map(rows);
        let txn = Transaction {
            remove: remove.collect(),
            ..Transaction::default()
        };
        self.retire.stage = Stage::Jobs(jobs);
        cx.commit(self.purpose(PlacerWrite::Retire), txn);
    }

    /// Handles the outcome of a removal. A failed removal is started again at a later check.
    pub(in crate::core::workload::placer) fn handle_retire_outcome(
        &mut self,
        cx: &mut Cx,
        outcome: &CommitOutcome,
    ) {
        let stage = std::mem::take(&mut self.retire.stage);
        if !matches!(outcome, CommitOutcome::Done(_)) {
            return;
        }
        match stage {
            Stage::Idle => {}
            Stage::Jobs(jobs) => {
                let part = &cx.options.part;
                let list = jobs.iter().filter_map(|key| self.registry.jobs.get(key));
                let remove = list.map(|job| RowId::new(PROGRESS, part, &job.id));
                let txn = Transaction {
                    remove: remove.collect(),
                    ..Transaction::default()
                };
                self.retire.stage = Stage::Progress(jobs);
                cx.commit(self.purpose(PlacerWrite::Retire), txn);
            }
            Stage::Progress(jobs) => {
                for key in jobs {
                    self.registry.remove(key);
                }
            }
        }
    }
}
