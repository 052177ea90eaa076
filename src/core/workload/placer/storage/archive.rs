//! Replacement of the rows of ended jobs by small rows without payload and steps, so that the time
//! of a takeover grows with the open jobs and not with all jobs of the retention period.
//!
//! A row is replaced only once the job's final state is stored as its progress, because a later
//! placer takes a job without steps for an ended one. Each transaction expects the versions of the
//! rows that the placer knows. A delayed transaction can therefore neither bring back a removed row
//! nor change a newer one.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use crate::core::model::Now;
use crate::core::model::Rev;
use crate::core::workload::cx::Cx;
use crate::core::workload::decision::Decision;
use crate::core::workload::effect::JobState;
use crate::core::workload::event::PlacerWrite;
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::state::job_registry::Job;
use crate::core::workload::placer::state::job_registry::JobKey;
use crate::core::workload::rows::JOB_PARTS;
use crate::core::workload::rows::JobRow;
use crate::core::workload::rows::encode;
use crate::core::workload::rows::job_part;
use crate::core::workload::rows::job_row;
use crate::core::workload::table::CommitOutcome;
use crate::core::workload::table::TableRow;
use crate::core::workload::table::Transaction;

/// Interval of checks for rows to replace.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time without new transactions after one that failed, as they matter less than the placer's other
/// writes.
const FAILURE_PAUSE: Duration = Duration::from_secs(3);

/// Maximum number of transactions in flight, each for another part, so that the many ended jobs
/// that a takeover may load do not fill the link.
const MAX_IN_FLIGHT: usize = 8;

/// Maximum number of jobs in one transaction.
const MAX_JOBS: usize = 20;

/// State of the replacement.
#[derive(Debug, Default)]
pub(in crate::core::workload::placer) struct ArchiveState {
    next_at: Now,
    /// Part from which the next check begins, so that all parts get their turn.
    next_part: u8,
    /// Jobs whose final state is stored and whose row is to be replaced.
    pending: BTreeSet<JobKey>,
    /// Jobs of the transactions in flight, by part.
    in_flight: BTreeMap<u8, Vec<JobKey>>,
    /// Jobs with a small row whose final state has not been found.
    without_state: BTreeSet<JobKey>,
}

impl Placer {
    /// Schedules the replacement of a job's row if the job has ended and its final state is stored.
    ///
    /// To be called after the job's progress was stored or loaded. Progress that has changed since
    /// then is still to be written.
    pub(in crate::core::workload::placer) fn archive_if_end_stored(&mut self, key: JobKey) {
        if self.registry.dirty_jobs().contains(key) {
            return;
        }
        let Some(job) = self.registry.jobs.get_mut(&key) else {
            return;
        };
        if job.ended_at.is_some() && !job.archived {
            job.payload = Rc::from("");
            self.archive.pending.insert(key);
        }
    }

    /// Sends the transactions that are due.
    pub(in crate::core::workload::placer) fn archive_jobs(&mut self, cx: &mut Cx) {
        if cx.now < self.archive.next_at {
            return;
        }
        self.archive.next_at = cx.now + CHECK_INTERVAL;
        self.log_missing_states(cx);
        let free = MAX_IN_FLIGHT.saturating_sub(self.archive.in_flight.len());
        for (part, jobs) in self.archive_batches().into_iter().take(free) {
            self.archive.next_part = (part + 1) % JOB_PARTS;
            self.send_archive_batch(cx, part, jobs);
        }
    }

    /// Registers the job of a small row, which has ended. Its final state is loaded with the
    /// progress. A row that keeps a job from being submitted is registered in the same way, so that it
    /// is removed after the retention period.
    ///
    /// For a known job, such as one whose row this placer has replaced, only records the row.
    pub(in crate::core::workload::placer) fn add_ended_job(
        &mut self,
        cx: &mut Cx,
        id: &str,
        version: Rev,
        row: JobRow,
    ) {
        if let Some(key) = self.registry.key(id) {
            return self.record_small_row(key, version);
        }
        let withdrawn = row.withdrawn;
        let mut job = self.new_job(cx, id, version, row);
        job.ended_at = Some(cx.now);
        if let Some(key) = self.registry.add(job) {
            self.registry.mark_ended(key);
            if !withdrawn {
                self.archive.without_state.insert(key);
            }
        }
    }

    /// Loads the state of a job with a small row. A state that is not final is left out, as the job
    /// has no steps to run.
    pub(in crate::core::workload::placer) fn load_final_state(
        &mut self,
        key: JobKey,
        state: JobState,
    ) {
        if !is_final(state) {
            return;
        }
        if let Some(job) = self.registry.jobs.get_mut(&key) {
            job.state = state;
            self.archive.without_state.remove(&key);
        }
    }

    /// Handles the outcome of a transaction.
    ///
    /// After a conflict, the jobs whose rows have changed are left to the next load or to the end of
    /// their retention period.
    pub(in crate::core::workload::placer) fn handle_archive_outcome(
        &mut self,
        cx: &Cx,
        part: u8,
        outcome: &CommitOutcome,
    ) {
        let Some(jobs) = self.archive.in_flight.remove(&part) else {
            return;
        };
        match outcome {
            CommitOutcome::Done(version) => {
                for key in jobs {
                    self.record_small_row(key, *version);
                }
            }
            CommitOutcome::Conflict(rows) => self.requeue_unchanged(&jobs, rows),
            // The jobs are left to the end of their retention period.
            CommitOutcome::Rejected(_) => {}
            CommitOutcome::Refused(_) | CommitOutcome::Unknown(_) => {
                self.archive.next_at = cx.now + FAILURE_PAUSE;
                let registry = &self.registry.jobs;
                let is_complete = |key: &JobKey| registry.get(key).is_some_and(|job| !job.archived);
                self.archive
                    .pending
                    .extend(jobs.into_iter().filter(is_complete));
            }
        }
    }

    /// Schedules the jobs of a transaction again whose rows have not changed, if another one's has.
    fn requeue_unchanged(&mut self, jobs: &[JobKey], rows: &[TableRow]) {
        let registry = &self.registry.jobs;
        let is_changed = |key: &JobKey| {
            registry.get(key).is_none_or(|job| {
                rows.iter()
                    .any(|row| row.key == job.id && row.version != job.version)
            })
        };
        let (changed, unchanged): (Vec<JobKey>, Vec<JobKey>) =
            jobs.iter().partition(|key| is_changed(key));
        if !changed.is_empty() {
            self.archive.pending.extend(unchanged);
        }
    }

    /// Records that the row of an ended job is a small one.
    fn record_small_row(&mut self, key: JobKey, version: Rev) {
        let Some(job) = self.registry.jobs.get_mut(&key) else {
            return;
        };
        if job.ended_at.is_some() {
            job.archived = true;
            job.version = job.version.max(version);
            self.archive.pending.remove(&key);
        }
    }

    /// Returns the jobs of the next transaction of each part without one in flight, from the next
    /// part on.
    fn archive_batches(&mut self) -> Vec<(u8, Vec<JobKey>)> {
        let jobs = &self.registry.jobs;
        self.archive.pending.retain(|key| jobs.contains_key(key));
        let first = self.archive.next_part;
        let mut batches: BTreeMap<u8, Vec<JobKey>> = BTreeMap::new();
        for key in &self.archive.pending {
            let part = job_part(&jobs[key].id);
            let distance = (part + JOB_PARTS - first) % JOB_PARTS;
            let batch = batches.entry(distance).or_default();
            if batch.len() < MAX_JOBS {
                batch.push(*key);
            }
        }
        let batches = batches.into_iter();
        batches
            .map(|(distance, batch)| ((first + distance) % JOB_PARTS, batch))
            .filter(|(part, _)| !self.archive.in_flight.contains_key(part))
            .collect()
    }

    fn send_archive_batch(&mut self, cx: &mut Cx, part: u8, jobs: Vec<JobKey>) {
        let mut txn = Transaction::default();
        for key in &jobs {
            self.archive.pending.remove(key);
            let Some(job) = self.registry.jobs.get(key) else {
                continue;
            };
            let row = job_row(&job.id, &job.id);
            txn.expect.push((row.clone(), job.version));
            txn.put.push((row, encode(&job.small_row())));
        }
        self.archive.in_flight.insert(part, jobs);
        cx.commit(self.purpose(PlacerWrite::Archive(part)), txn);
    }

    /// Logs the ended jobs whose final state was not found.
    fn log_missing_states(&mut self, cx: &mut Cx) {
        for key in std::mem::take(&mut self.archive.without_state) {
            if let Some(job) = self.registry.jobs.get(&key) {
                cx.log(Decision::FinalStateMissing { id: job.id.clone() });
            }
        }
    }
}

impl Job {
    /// Returns the small row of the job once it has ended.
    fn small_row(&self) -> JobRow {
        JobRow {
            queue: self.queue.name.clone(),
            service: self.service.clone(),
            team: self.team.clone(),
            at: self.accepted_at,
            job: None,
            terms: None,
            withdrawn: false,
        }
    }
}

/// Returns whether a job in this state has ended.
pub(in crate::core::workload::placer) fn is_final(state: JobState) -> bool {
    matches!(
        state,
        JobState::Completed | JobState::Failed | JobState::Cancelled
    )
}
