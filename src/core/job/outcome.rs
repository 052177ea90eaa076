//! Effects of committed and received rows on callers, the placer and the timeline.

use std::collections::BTreeSet;

use serde::Serialize;

use super::JobChange;
use super::JobState;
use super::Jobs;
use super::row;
use super::view;
use crate::core::effect::Answer;
use crate::core::effect::Effect;
use crate::core::effect::Effects;
use crate::core::effect::Reason;
use crate::core::event::TxnOutcome;
use crate::core::model::Now;
use crate::core::model::Row;
use crate::core::model::ZoneId;
use crate::core::timeline::TimelineEvent;

/// Status of a job, as answered to its submitter.
#[derive(Debug, Serialize)]
struct JobStatus<'a> {
    job: &'a str,
    state: JobState,
    zone: &'a str,
    count: u32,
    done: u32,
    failed: u32,
    /// Number of running tasks, known only to the placer of the owning zone.
    running: Option<usize>,
    reason: Option<Reason>,
}

impl Jobs {
    pub(super) fn status_answer(&self, id: &str) -> Option<Answer> {
        let job = self.view.get(id)?;
        let row = &job.row;
        let status = JobStatus {
            job: id,
            state: row.state,
            zone: &row.zone,
            count: row.spec.count,
            done: row.done.len(),
            failed: row.failed.len(),
            running: self.running.get(id).map(BTreeSet::len),
            reason: row.reason,
        };
        let text = serde_json::to_string(&status).ok()?;
        Some(Answer::Json(text.into()))
    }

    /// Applies the rows returned with the outcome of a transaction.
    pub(super) fn apply_txn_rows(&mut self, now: Now, outcome: &TxnOutcome) -> Vec<JobChange> {
        match outcome {
            TxnOutcome::Committed(rows) | TxnOutcome::Conflict(rows) => self.apply(now, rows),
            TxnOutcome::NotSent | TxnOutcome::Unknown => Vec::new(),
        }
    }

    /// Adds a timeline event for an accepted job, and keeps its row for the placer of its zone.
    pub(super) fn record_accepted(&mut self, zone: &ZoneId, row: &Row, fx: &mut Effects) {
        if let Some(job) = row::job_id_of(&row.key) {
            let zone = zone.clone();
            fx.push(Effect::Timeline(TimelineEvent::JobAccepted { job, zone }));
        }
        self.committed_rows.push((zone.clone(), row.clone()));
    }

    /// Adds a timeline event for each job that a group commit ended.
    pub(super) fn record_ended_jobs(&self, outcome: &TxnOutcome, fx: &mut Effects) {
        let TxnOutcome::Committed(rows) = outcome else {
            return;
        };
        for job in rows.iter().filter_map(|row| row::job_id_of(&row.key)) {
            let Some(known) = self.view.get(&job) else {
                continue;
            };
            if known.row.state != JobState::Active {
                let state = known.row.state.name().into();
                fx.push(Effect::Timeline(TimelineEvent::JobEnded { job, state }));
            }
        }
    }

    /// Adds the changes that the placer has to act on after a row of the view changed.
    pub(super) fn collect_changes(
        &mut self,
        now: Now,
        change: &view::Change,
        changes: &mut Vec<JobChange>,
    ) {
        let id = &change.job;
        for (vm, tasks) in self.progress.take_recorded(id, &self.view) {
            changes.push(JobChange::Recorded { vm, tasks });
        }
        let Some(job) = self.view.get(id) else {
            changes.push(JobChange::Ended(id.clone()));
            return;
        };
        if job.row.zone != self.zone {
            return;
        }
        if job.row.state != JobState::Active {
            if change.was_active {
                changes.push(JobChange::Ended(id.clone()));
            }
        } else if change.is_new_in_zone {
            changes.extend(self.queued_job(now, id).map(JobChange::Queued));
        }
    }

    /// Removes the ended tasks of jobs that have no row, and lets the VMs drop their reports.
    pub(super) fn remove_orphaned_ends(&mut self) -> Vec<JobChange> {
        let Some(table_read_at) = self.table_read_at else {
            return Vec::new();
        };
        let orphans = self.progress.take_orphaned_ends(table_read_at, &self.view);
        orphans
            .into_iter()
            .map(|(vm, task)| JobChange::Recorded {
                vm,
                tasks: vec![task],
            })
            .collect()
    }

    /// Answers the cancellations that have finished or timed out.
    pub(super) fn answer_cancellations(&mut self, now: Now, fx: &mut Effects) {
        for (ticket, job, timed_out) in self.progress.take_finished_cancellations(now, &self.view) {
            let answer = if timed_out {
                Answer::Unknown {
                    reason: Reason::PlatformUnavailable,
                }
            } else {
                self.status_answer(&job).unwrap_or(Answer::NotFound)
            };
            fx.push(Effect::Answer { ticket, answer });
        }
    }
}
