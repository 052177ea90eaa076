//! Form of the row `job/{id}`.

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

/// Space of the rows.
pub(super) const SPACE: &str = "job/";

/// Schema version that this daemon writes.
const SCHEMA: u32 = 1;

/// How far a job has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Tasks wait or run.
    Active,
    /// Every task ran to its end.
    Done,
    /// Given up, or some task failed for good.
    Failed,
    /// Ended by its submitter.
    Cancelled,
}

impl JobState {
    /// Name in answers and in the timeline.
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

/// A job as the table keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct JobRow {
    pub schema: u32,
    pub spec: JobSpec,
    /// Zone whose placer runs the job.
    pub zone: ZoneId,
    /// Number of times that the job changed its zone.
    #[serde(default)]
    pub epoch: Epoch,
    pub state: JobState,
    /// Tasks that ran to their end.
    #[serde(default)]
    pub done: TaskIndexSet,
    /// Tasks that failed and are not started again.
    #[serde(default)]
    pub failed: TaskIndexSet,
    /// Starts that ended without their task being done or failed, for tasks with any.
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
    /// A job that was just submitted.
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

    /// Reads a row's text; the error is a sentence for the operator.
    pub fn read(text: &str) -> Result<Self> {
        serde_json::from_str(text).map_err(|err| err.to_string().into())
    }

    /// The row's text.
    pub fn text(&self) -> Option<Box<str>> {
        serde_json::to_string(self).ok().map(Into::into)
    }

    /// Whether the row is the submission of `spec`, also when it has got on since.
    pub fn is_submission_of(&self, spec: &JobSpec) -> bool {
        self.spec == *spec
    }

    /// Whether the row holds the end of a task.
    pub fn holds(&self, end: &EndedTask) -> bool {
        let index = end.task.index;
        self.state != JobState::Active
            || self.done.contains(index)
            || self.failed.contains(index)
            || (!self.ends_task(end) && self.attempt(index) > end.task.attempt)
    }

    /// Adds the end of a task, and ends the job with its last task.
    pub fn add(&mut self, end: &EndedTask) {
        if self.holds(end) {
            return;
        }
        let index = end.task.index;
        if end.outcome == TaskOutcome::Done {
            self.done.insert(index);
        } else if self.ends_task(end) {
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

    /// Tasks that are neither done nor failed.
    pub fn pending(&self) -> Vec<PendingTask> {
        if self.state != JobState::Active {
            return Vec::new();
        }
        (0..self.spec.count)
            .filter(|index| !self.done.contains(*index) && !self.failed.contains(*index))
            .map(|index| PendingTask {
                index,
                attempt: self.attempt(index),
            })
            .collect()
    }

    fn attempt(&self, index: TaskIndex) -> u32 {
        self.attempts.get(&index).copied().unwrap_or(0)
    }

    fn ends_task(&self, end: &EndedTask) -> bool {
        end.outcome == TaskOutcome::Done || !self.spec.restartable
    }
}

/// Key of a job's row.
pub(super) fn key(job: &str) -> RowKey {
    format!("{SPACE}{job}").into()
}

/// Job of a row's key.
pub(super) fn job_of(key: &str) -> Option<JobId> {
    key.strip_prefix(SPACE).map(Into::into)
}
