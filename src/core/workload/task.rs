//! Identifiers of tasks and their runs, and the status of runs as reported by VMs.

use std::fmt;

use super::submission::OccurrenceIndex;
use super::submission::StepIndex;
use crate::core::model::JobId;
use crate::core::model::TaskIndex;

/// Number of a run of a task; each start of the task gets a higher one.
pub type RunNumber = u64;

/// Opaque position from which a task resumes; empty for none.
pub type Checkpoint = Box<str>;

/// Identifies a task within the cell.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskName {
    /// Job.
    pub job: JobId,
    /// Occurrence; zero for a job that runs once.
    pub occurrence: OccurrenceIndex,
    /// Step.
    pub step: StepIndex,
    /// Index of the task within its step.
    pub index: TaskIndex,
}

/// Run of a task that a VM reports as running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningTask {
    /// Task.
    pub task: TaskName,
    /// Run.
    pub run: RunNumber,
    /// Last checkpoint.
    pub checkpoint: Checkpoint,
    /// Speed limit, in percent of full speed.
    pub speed_percent: u32,
    /// Tail latency in milliseconds for a task with a latency target, CPU usage in millicores
    /// for any other task.
    pub measurement: u64,
}

/// Run of a task that a VM reports as ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedTask {
    /// Sequence number in the VM's list of ended runs, from one.
    pub seq: u64,
    /// Task.
    pub task: TaskName,
    /// Run.
    pub run: RunNumber,
    /// Outcome.
    pub outcome: RunOutcome,
    /// Last checkpoint.
    pub checkpoint: Checkpoint,
}

/// Outcome of a run of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// Completed successfully.
    Done,
    /// Failed because of the task itself or its VM.
    Failed,
    /// Stopped on request.
    Stopped,
    /// Killed because the lease expired.
    #[serde(rename = "lapsed")]
    LeaseExpired,
    /// Ended because another member of its gang ended.
    #[serde(rename = "broken")]
    GangMemberEnded,
    /// Timed out while waiting for the other members of its gang.
    #[serde(rename = "alone")]
    GangTimedOut,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}

impl TaskName {
    /// Parses a name in the format of its [`fmt::Display`] implementation. Returns `None` if it is
    /// malformed.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.rsplitn(4, '.');
        let index = parts.next()?.parse().ok()?;
        let step = parts.next()?.parse().ok()?;
        let occurrence = parts.next()?.parse().ok()?;
        let job = parts.next()?.into();
        Some(Self {
            job,
            occurrence,
            step,
            index,
        })
    }
}
