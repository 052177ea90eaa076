//! Messages between the lease holder and a worker VM.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::DaemonId;
use super::EndedTask;
use super::Epoch;
use super::Resources;
use super::RunningTask;
use super::ServiceId;
use super::TaskRef;
use super::TeamId;

/// Request to renew the holder's lease on a VM, with starts, actions and acknowledgements.
///
/// The VM refuses a message whose `(epoch, seq)` is not above that of the last one. It also refuses
/// a message based on a report whose age exceeds the duration of the lease, so that a delayed
/// message can never start a task or extend a task's lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmSync {
    /// Process that holds or requests the lease: its daemon and its start time.
    pub holder: DaemonId,
    /// Fencing epoch of the holder on this VM.
    pub epoch: Epoch,
    /// Sequence number of this message within the epoch, from one.
    pub seq: u64,
    /// Duration for which the VM accepts no other holder; zero releases the lease.
    #[serde(with = "humantime_serde")]
    pub lease: Duration,
    /// Duration after which the VM stops tasks unless their lease is renewed; zero leaves the
    /// current expiry unchanged. Only the placer renews it.
    #[serde(with = "humantime_serde")]
    pub task_lease: Duration,
    /// [`VmReport::clock`] of the last report received in this epoch; `None` in a message that
    /// requests the lease, which starts no tasks.
    #[serde(default, with = "humantime_serde")]
    pub seen: Option<Duration>,
    /// Tasks to start. The VM ignores those that it is running or still reports as ended.
    #[serde(default)]
    pub starts: Vec<StartTask>,
    /// Actions on running tasks.
    #[serde(default)]
    pub actions: Vec<TaskAction>,
    /// Ended tasks that the holder has recorded, so the VM no longer reports them.
    #[serde(default)]
    pub acks: Vec<TaskRef>,
}

/// A task to start on a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartTask {
    /// Task and attempt.
    pub task: TaskRef,
    /// Team that the task counts against.
    pub team: TeamId,
    /// Resources to reserve.
    pub size: Resources,
    /// Declared run time, `None` for a service instance.
    #[serde(default, with = "humantime_serde")]
    pub run_time: Option<Duration>,
    /// Service whose requests the task serves.
    #[serde(default)]
    pub service: Option<ServiceId>,
}

/// Kind of an action on a running task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ActionKind {
    /// Stop the task at once.
    Stop,
    /// Reduce the task's CPU time.
    Throttle,
    /// Save the task's state and stop it.
    Checkpoint,
}

/// An action on a running task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskAction {
    /// Task and attempt.
    pub task: TaskRef,
    /// Kind of action.
    pub kind: ActionKind,
}

/// A VM's answer to a [`VmSync`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmSyncAnswer {
    /// The sender holds the lease; contains the VM's report after applying the message.
    Granted(VmReport),
    /// The sender does not hold the lease, and its message had no effect.
    Refused {
        /// Current or last holder.
        holder: DaemonId,
        /// Epoch of that holder.
        epoch: Epoch,
        /// Time until the VM accepts another holder.
        #[serde(with = "humantime_serde")]
        remaining: Duration,
    },
}

/// Running and ended tasks of a VM.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmReport {
    /// Reading of the VM's own clock.
    #[serde(default, with = "humantime_serde")]
    pub clock: Duration,
    /// All running tasks.
    pub running: Vec<RunningTask>,
    /// Ended tasks not yet acknowledged.
    pub ended: Vec<EndedTask>,
}
