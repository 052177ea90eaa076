//! Decisions, as the log tells them: one line for each that touches a request or changes what the
//! daemon believes.

use serde::Serialize;

use super::catalog::QueueId;
use super::effect::JobState;
use super::event::Feed;
use super::task::RunNumber;
use super::task::RunOutcome;
use crate::core::model::DaemonId;
use crate::core::model::Epoch;
use crate::core::model::JobId;
use crate::core::model::Rev;
use crate::core::model::TeamId;
use crate::core::model::VmId;

/// A decision with the inputs that decided it.
///
/// `id` is the job, `vm` a VM, `run` the number of a task's start, `epoch` that of the placer and
/// `config` the version of the configuration; fields that end in `_ms` are milliseconds.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Decision {
    /// A job was stored.
    Accepted {
        id: JobId,
        queue: QueueId,
        team: Option<TeamId>,
        config: u64,
        repeat: bool,
    },
    /// A call was turned down; nothing was done for it.
    Refused {
        id: JobId,
        reason: Box<str>,
        config: u64,
        table_age_ms: u64,
    },
    /// The outcome of a call is not known.
    Unsettled { id: JobId, reason: Box<str> },
    /// A job was cancelled.
    CancelTaken { id: JobId },
    /// A job reached a state.
    JobState {
        id: JobId,
        state: JobState,
        reason: Box<str>,
        took_ms: u64,
        objective_ms: u64,
    },
    /// A start was ordered.
    Placed {
        id: JobId,
        task: Box<str>,
        run: RunNumber,
        vm: VmId,
        epoch: Epoch,
        free_cpu_milli: u32,
        waited_ms: u64,
    },
    /// A start did not succeed, or may not have.
    NotStarted {
        id: JobId,
        task: Box<str>,
        run: RunNumber,
        vm: VmId,
        reason: Box<str>,
    },
    /// A run ended.
    Ended {
        id: JobId,
        task: Box<str>,
        run: RunNumber,
        vm: VmId,
        end: RunOutcome,
        failures: usize,
    },
    /// A run is lost with its VM or its lease.
    RunLost {
        id: JobId,
        task: Box<str>,
        run: RunNumber,
        vm: VmId,
        reason: &'static str,
    },
    /// A run that this placer did not start was found.
    RunAdopted {
        id: JobId,
        task: Box<str>,
        run: RunNumber,
        vm: VmId,
    },
    /// A stop was ordered.
    StopOrdered {
        id: JobId,
        task: Box<str>,
        run: RunNumber,
        vm: VmId,
        reason: &'static str,
    },
    /// The speed of a task was changed.
    Paced {
        id: JobId,
        task: Box<str>,
        vm: VmId,
        percent: u32,
        tail_ms: u64,
        target_ms: u64,
    },
    /// Advice failed.
    AdviceFailed {
        id: JobId,
        step: u16,
        helper: Box<str>,
        reason: Box<str>,
    },
    /// A configuration is in force.
    ConfigTaken {
        version: u64,
        queues: usize,
        teams: usize,
    },
    /// A VM appeared or changed.
    VmSeen {
        vm: VmId,
        draining: bool,
        born: u64,
        cpu_milli: u32,
    },
    /// A VM stopped or resumed answering.
    VmContact {
        vm: VmId,
        reachable: bool,
        silent_ms: u64,
        reason: Box<str>,
    },
    /// A VM is taken to be gone.
    VmGone { vm: VmId, reason: &'static str },
    /// A row of the platform could not be read.
    RowUnreadable { key: Box<str>, reason: Box<str> },
    /// The placer's process has ended: its host refuses connections.
    HolderEnded {
        daemon: DaemonId,
        epoch: Epoch,
        beat_age_ms: u64,
    },
    /// The placer's role was taken.
    RoleTaken {
        epoch: Epoch,
        former: DaemonId,
        beat_age_ms: u64,
    },
    /// The new placer has read all it needs.
    RoleReady {
        epoch: Epoch,
        jobs: usize,
        vms: usize,
        took_ms: u64,
    },
    /// The placer's role was lost or given up.
    RoleLost { epoch: Epoch, reason: Box<str> },
    /// Tasks of older jobs wait for these VMs, of which nothing was heard yet.
    Settling {
        epoch: Epoch,
        vms: Box<[VmId]>,
        latest_ms: u64,
    },
    /// All VMs of the former placer are fenced or their leases have lapsed.
    Settled { epoch: Epoch, took_ms: u64 },
    /// A followed table was lost or regained.
    FeedState {
        feed: Feed,
        up: bool,
        version: Rev,
        reason: Box<str>,
    },
    /// A transaction failed.
    CommitFailed { purpose: Box<str>, reason: Box<str> },
    /// A read for the placer's role failed; it is repeated, or the role is not taken yet.
    ReadFailed { purpose: Box<str>, reason: Box<str> },
    /// The daemon is stopping.
    Draining,
}
