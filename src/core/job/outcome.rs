//! What rows that were read or written mean to callers, to the placer and to the timeline.

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
use crate::core::event::TxnEnd;
use crate::core::model::Now;
use crate::core::model::Row;
use crate::core::model::ZoneId;
use crate::core::timeline::TimelineEvent;

/// What is known of a job, for its submitter.
#[derive(Debug, Serialize)]
struct Status<'a> {
    job: &'a str,
    state: JobState,
    zone: &'a str,
    count: u32,
    done: u32,
    failed: u32,
    /// Known only to the placer of the owning zone.
    running: Option<usize>,
    reason: Option<Reason>,
}

impl Jobs {
    pub(super) fn describe(&self, id: &str) -> Option<Answer> {
        let job = self.view.get(id)?;
        let row = &job.row;
        let status = Status {
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

    /// Applies the rows that a transaction's end brought.
    pub(super) fn take_rows(&mut self, now: Now, end: &TxnEnd) -> Vec<JobChange> {
        match end {
            TxnEnd::Committed(rows) | TxnEnd::Conflict(rows) => self.apply(now, rows),
            TxnEnd::NotSent | TxnEnd::Unknown => Vec::new(),
        }
    }

    pub(super) fn accepted(&mut self, zone: &ZoneId, row: &Row, fx: &mut Effects) {
        if let Some(job) = row::job_of(&row.key) {
            let zone = zone.clone();
            fx.push(Effect::Note(TimelineEvent::JobAccepted { job, zone }));
        }
        self.news.push((zone.clone(), row.clone()));
    }

    /// Notes the jobs that a group commit brought to their end.
    pub(super) fn note_ended(&self, end: &TxnEnd, fx: &mut Effects) {
        let TxnEnd::Committed(rows) = end else {
            return;
        };
        for job in rows.iter().filter_map(|row| row::job_of(&row.key)) {
            let Some(known) = self.view.get(&job) else {
                continue;
            };
            if known.row.state != JobState::Active {
                let state = known.row.state.name().into();
                fx.push(Effect::Note(TimelineEvent::JobEnded { job, state }));
            }
        }
    }

    /// Tells what a changed row means to the placer.
    pub(super) fn changed(
        &mut self,
        now: Now,
        change: &view::Change,
        changes: &mut Vec<JobChange>,
    ) {
        let id = &change.job;
        for (vm, tasks) in self.progress.recorded(id, &self.view) {
            changes.push(JobChange::Recorded { vm, tasks });
        }
        let Some(job) = self.view.get(id) else {
            changes.push(JobChange::Cancelled(id.clone()));
            return;
        };
        if job.row.zone != self.zone {
            return;
        }
        if job.row.state != JobState::Active {
            if change.was_active {
                changes.push(JobChange::Cancelled(id.clone()));
            }
        } else if change.new_here {
            changes.extend(self.queued_job(now, id).map(JobChange::Queued));
        }
    }

    pub(super) fn forget_orphans(&mut self) -> Vec<JobChange> {
        let Some(read) = self.read else {
            return Vec::new();
        };
        let orphans = self.progress.orphans(read, &self.view);
        orphans
            .into_iter()
            .map(|(vm, task)| JobChange::Recorded {
                vm,
                tasks: vec![task],
            })
            .collect()
    }

    /// Answers the cancellations whose end is now known.
    pub(super) fn settle(&mut self, now: Now, fx: &mut Effects) {
        for (ticket, job, unreached) in self.progress.settled(now, &self.view) {
            let answer = if unreached {
                Answer::Unknown {
                    reason: Reason::PlatformUnavailable,
                }
            } else {
                self.describe(&job).unwrap_or(Answer::Missing)
            };
            fx.push(Effect::Answer { ticket, answer });
        }
    }
}
