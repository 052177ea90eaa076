//! Schema of the row `job/{id}`.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Result;
use super::index_set::TaskIndexSet;
use crate::core::effect::Reason;
use crate::core::model::EndedTask;
use crate::core::model::Epoch;
use crate::core::model::JobId;
use crate::core::model::JobSpec;
use crate::core::model::RowKey;
use crate::core::model::TaskIndex;
use crate::core::model::TaskOutcome;
use crate::core::model::ZoneId;
use crate::core::sched::PendingTask;

/// Key prefix of the rows.
pub(super) const SPACE: &str = "job/";

/// Schema version that this daemon writes.
const SCHEMA: u32 = 1;

/// State of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Some task is waiting or running.
    Active,
    /// Every task completed.
    Done,
    /// The scheduler gave the job up, or some task failed and is not restarted.
    Failed,
    /// The submitter cancelled the job.
    Cancelled,
}

impl JobState {
    /// Returns the name used in answers and in the timeline.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Active => "active",
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }
}

/// A job as stored in the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct JobRow {
    pub schema: u32,
    pub spec: JobSpec,
    /// Zone whose placer schedules the job.
    pub zone: ZoneId,
    /// Number of times that the job was moved to another zone; always zero in rows that this build
    /// creates, since it moves no jobs.
    #[serde(default)]
    pub epoch: Epoch,
    pub state: JobState,
    /// Tasks that completed.
    #[serde(default)]
    pub done: TaskIndexSet,
    /// Tasks that failed and are not restarted.
    #[serde(default)]
    pub failed: TaskIndexSet,
    /// Number of starts that ended with the task neither done nor failed, for tasks with any.
    #[serde(default)]
    pub attempts: BTreeMap<TaskIndex, u32>,
    #[serde(default)]
    pub reason: Option<Reason>,
    /// Wall time of the submission, since the Unix epoch.
    #[serde(with = "humantime_serde")]
    pub submitted: Duration,
    /// Wall time of the job's end, since the Unix epoch.
    #[serde(default, with = "humantime_serde")]
    pub ended: Option<Duration>,
}

impl JobRow {
    /// Returns the row of a newly submitted job.
    pub fn new(spec: JobSpec, zone: ZoneId, submitted: Duration) -> Self {
        Self {
            schema: SCHEMA,
            spec,
            zone,
            epoch: 0,
            state: JobState::Active,
            done: TaskIndexSet::default(),
            failed: TaskIndexSet::default(),
            attempts: BTreeMap::new(),
            reason: None,
            submitted,
            ended: None,
        }
    }

    /// Parses a row; the error is a message for the operator.
    pub fn from_json(text: &str) -> Result<Self> {
        serde_json::from_str(text).map_err(|err| err.to_string().into())
    }

    /// Returns the row as JSON text.
    pub fn to_json(&self) -> Option<Box<str>> {
        serde_json::to_string(self).ok().map(Into::into)
    }

    /// Returns whether the row was created from `spec`, whatever progress it has made since.
    pub fn is_submission_of(&self, spec: &JobSpec) -> bool {
        self.spec == *spec
    }

    /// Returns whether the row already reflects the end of a task.
    pub fn has_recorded(&self, end: &EndedTask) -> bool {
        let index = end.task.index;
        self.state != JobState::Active
            || self.done.contains(index)
            || self.failed.contains(index)
            || (!self.is_final(end) && self.next_attempt(index) > end.task.attempt)
    }

    /// Records the end of a task, and ends the job if no task is left.
    pub fn record_end(&mut self, end: &EndedTask) {
        if self.has_recorded(end) {
            return;
        }
        let index = end.task.index;
        if end.outcome == TaskOutcome::Done {
            self.done.insert(index);
        } else if self.is_final(end) {
            self.failed.insert(index);
        } else {
            self.attempts.insert(index, end.task.attempt + 1);
        }
        if self.done.len() + self.failed.len() >= self.spec.count {
            self.state = if self.failed.is_empty() {
                JobState::Done
            } else {
                JobState::Failed
            };
            self.attempts.clear();
        }
    }

    /// Returns the tasks that are neither done nor failed.
    pub fn pending(&self) -> Vec<PendingTask> {
        if self.state != JobState::Active {
            return Vec::new();
        }
        (0..self.spec.count)
            .filter(|index| !self.done.contains(*index) && !self.failed.contains(*index))
            .map(|index| PendingTask {
                index,
                attempt: self.next_attempt(index),
            })
            .collect()
    }

    /// Returns the attempt number of the next start of a task.
    fn next_attempt(&self, index: TaskIndex) -> u32 {
        self.attempts.get(&index).copied().unwrap_or(0)
    }

    /// Returns whether the task is not started again after this end.
    fn is_final(&self, end: &EndedTask) -> bool {
        end.outcome == TaskOutcome::Done || !self.spec.restartable
    }
}

/// Returns the key of a job's row.
pub(super) fn key(job: &str) -> RowKey {
    format!("{SPACE}{job}").into()
}

/// Returns the job identifier in a row's key, `None` for keys of other spaces.
pub(super) fn job_id_of(key: &str) -> Option<JobId> {
    key.strip_prefix(SPACE).map(Into::into)
}
