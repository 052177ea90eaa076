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

/// Renews the holder's lease on a VM, and carries starts, actions and acknowledgements.
///
/// The VM takes messages in the order of `(epoch, seq)` and refuses one that is not above the last.
/// It also refuses one that builds on a report older than the lease, so that a message held up on
/// its way can neither start a task nor prolong one at any later time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmSync {
    /// Process that holds or asks for the lease: its daemon, and when it was started.
    pub holder: DaemonId,
    /// Generation of the holder on this VM.
    pub epoch: Epoch,
    /// Number of this message within the epoch, from one.
    pub seq: u64,
    /// How long the VM accepts no other holder; zero gives the lease back.
    #[serde(with = "humantime_serde")]
    pub lease: Duration,
    /// How long tasks run on without a renewal before the VM stops them; zero leaves the end as it
    /// is. Only the placer prolongs tasks.
    #[serde(with = "humantime_serde")]
    pub task_lease: Duration,
    /// [`VmReport::clock`] of the last report under this epoch; `None` in a message that asks for
    /// the lease, which starts nothing.
    #[serde(default, with = "humantime_serde")]
    pub seen: Option<Duration>,
    /// Tasks to start. One that the VM runs, or whose end it still reports, is not started again.
    #[serde(default)]
    pub starts: Vec<StartTask>,
    /// Actions on running tasks.
    #[serde(default)]
    pub actions: Vec<TaskAction>,
    /// Ends that the holder has recorded; the VM forgets them.
    #[serde(default)]
    pub acks: Vec<TaskRef>,
}

/// A task to start on a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartTask {
    /// Which task.
    pub task: TaskRef,
    /// Team that it counts against.
    pub team: TeamId,
    /// Size to reserve.
    pub size: Resources,
    /// Declared run time, `None` for a service instance.
    #[serde(default, with = "humantime_serde")]
    pub run_time: Option<Duration>,
    /// Service whose requests the task answers.
    #[serde(default)]
    pub service: Option<ServiceId>,
}

/// What to do with a running task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ActionKind {
    /// End it now.
    Stop,
    /// Give it less processor time.
    Throttle,
    /// Save its state and end it.
    Checkpoint,
}

/// An action on a running task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskAction {
    /// Which task.
    pub task: TaskRef,
    /// What to do.
    pub kind: ActionKind,
}

/// A VM's answer to [`VmSync`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmSyncAnswer {
    /// The sender holds the lease; what the VM runs after this message.
    Granted(VmReport),
    /// The sender does not hold the lease, and nothing of its message took effect.
    Refused {
        /// Current or last holder.
        holder: DaemonId,
        /// Its epoch.
        epoch: Epoch,
        /// Time until another holder can be accepted.
        #[serde(with = "humantime_serde")]
        remaining: Duration,
    },
}

/// What a VM runs, and what ended on it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmReport {
    /// Reading of the VM's own clock.
    #[serde(default, with = "humantime_serde")]
    pub clock: Duration,
    /// Every task present.
    pub running: Vec<RunningTask>,
    /// Ends not yet acknowledged.
    pub ended: Vec<EndedTask>,
}
