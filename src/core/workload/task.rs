//! Names of tasks and of their starts, and what VMs say of them.

use std::fmt;

use super::submission::OccurrenceIndex;
use super::submission::StepIndex;
use crate::core::model::JobId;
use crate::core::model::TaskIndex;

/// Number of a start of a task; each start has a higher one.
pub type RunNumber = u64;

/// Opaque mark from which a task resumes; empty for none.
pub type Checkpoint = Box<str>;

/// Names a task across the cell.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskName {
    /// Job.
    pub job: JobId,
    /// Occurrence, zero for a job that runs once.
    pub occurrence: OccurrenceIndex,
    /// Step.
    pub step: StepIndex,
    /// Position in the step.
    pub index: TaskIndex,
}

/// A task that a VM lists as running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningTask {
    /// Task.
    pub task: TaskName,
    /// Which start.
    pub run: RunNumber,
    /// Last checkpoint.
    pub checkpoint: Checkpoint,
    /// Share of its speed at which it may work, in percent.
    pub speed_percent: u32,
    /// For a task that serves: tail latency in milliseconds. Otherwise: processor use in
    /// thousandths of a core.
    pub measurement: u64,
}

/// A task that a VM lists as ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedTask {
    /// Position in the VM's list of ends, from one.
    pub seq: u64,
    /// Task.
    pub task: TaskName,
    /// Which start.
    pub run: RunNumber,
    /// How it ended.
    pub outcome: RunOutcome,
    /// Last checkpoint.
    pub checkpoint: Checkpoint,
}

/// How a run of a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// Ran to its end.
    Done,
    /// Failed, by its own fault or the VM's.
    Failed,
    /// Stopped on request.
    Stopped,
    /// Killed when its lease expired.
    #[serde(rename = "lapsed")]
    LeaseExpired,
    /// Ended because another member of its gang did.
    #[serde(rename = "broken")]
    GangMemberEnded,
    /// Gave up waiting for the other members of its gang.
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
    /// Reads a name as [`fmt::Display`] writes it.
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
