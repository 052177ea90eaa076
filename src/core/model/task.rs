//! Tasks as VMs run and report them.

use serde::Deserialize;
use serde::Serialize;

use super::JobId;
use super::Resources;
use super::TaskIndex;
use super::TeamId;

/// Names one start of one task of a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskRef {
    /// Job.
    pub job: JobId,
    /// Position in the job.
    pub index: TaskIndex,
    /// Number of earlier starts of this task.
    pub attempt: u32,
}

/// What a task does on its VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Runs as it was started.
    Running,
    /// Runs with less processor time than it was started with.
    Throttled,
    /// Saves its state and then ends.
    Checkpointing,
}

/// A task that a VM reports as present.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningTask {
    /// Which task.
    pub task: TaskRef,
    /// Team that it counts against.
    pub team: TeamId,
    /// Size it was started with.
    pub size: Resources,
    /// Usage as last sampled by the VM, with a lag.
    pub used: Resources,
    /// What it does.
    pub state: TaskState,
}

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskOutcome {
    /// Ran to its end.
    Done,
    /// Failed by itself.
    Failed,
    /// Stopped on request.
    Stopped,
    /// Stopped on request after saving its state.
    Checkpointed,
}

/// The end of a task, reported by its VM until acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedTask {
    /// Which task.
    pub task: TaskRef,
    /// Team that it counted against.
    pub team: TeamId,
    /// How it ended.
    pub outcome: TaskOutcome,
}
