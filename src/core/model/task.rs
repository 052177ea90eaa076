//! Tasks as run and reported by VMs.

use serde::Deserialize;
use serde::Serialize;

use super::JobId;
use super::Resources;
use super::TaskIndex;
use super::TeamId;

/// Identifies one start of a task.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskRef {
    /// Job.
    pub job: JobId,
    /// Position in the job.
    pub index: TaskIndex,
    /// Number of earlier starts of this task.
    pub attempt: u32,
}

/// State of a task on its VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Runs without throttling.
    Running,
    /// Runs with less CPU time than was reserved at its start.
    Throttled,
    /// Saves its state and then exits.
    Checkpointing,
}

/// A running task, as reported by its VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningTask {
    /// Task and attempt.
    pub task: TaskRef,
    /// Team that the task counts against.
    pub team: TeamId,
    /// Resources reserved at its start.
    pub size: Resources,
    /// Resource usage as last sampled by the VM, which lags behind the actual usage.
    pub used: Resources,
    /// State.
    pub state: TaskState,
}

/// Outcome of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskOutcome {
    /// Completed.
    Done,
    /// Failed without a request to stop.
    Failed,
    /// Stopped on request.
    Stopped,
    /// Stopped on request after saving its state.
    Checkpointed,
}

/// An ended task, reported by its VM until acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedTask {
    /// Task and attempt.
    pub task: TaskRef,
    /// Team that the task counted against.
    pub team: TeamId,
    /// Outcome.
    pub outcome: TaskOutcome,
}
