//! Decisions written to the log, one line each: those that concern a request and those that change
//! the state of the daemon.

use serde::Serialize;

use super::catalog::QueueId;
use super::effect::JobState;
use super::event::Feed;
use super::policy::timeliness::Timeliness;
use super::policy::wait_reasons::WaitReason;
use super::task::RunNumber;
use super::task::RunOutcome;
use crate::core::model::DaemonId;
use crate::core::model::Epoch;
use crate::core::model::JobId;
use crate::core::model::Rev;
use crate::core::model::TeamId;
use crate::core::model::VmId;
use crate::core::model::ZoneId;

/// Decision together with the inputs that led to it.
///
/// `id` is the identifier of the job, `vm` that of a VM, `run` the number of a task's run, `epoch`
/// the epoch of the placer and `config` the version of the configuration. Fields ending in `_ms`
/// are in milliseconds.
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
    /// A call was rejected without any effect.
    Refused {
        id: JobId,
        reason: Box<str>,
        config: u64,
        table_age_ms: Option<u64>,
    },
    /// A caller was told how many jobs of a queue wait, or that the number is not known.
    WaitingReported {
        queue: QueueId,
        waiting: Option<u64>,
        epoch: Option<Epoch>,
        loading: bool,
        beat_age_ms: Option<u64>,
    },
    /// The outcome of a call is unknown.
    Unsettled { id: JobId, reason: Box<str> },
    /// A job was cancelled.
    CancelTaken { id: JobId },
    /// The state of a job changed.
    JobState {
        id: JobId,
        state: JobState,
        reason: Box<str>,
        took_ms: u64,
        objective_ms: u64,
    },
    /// The start of a task was ordered. `crashes` is the number of VMs that have crashed under it.
    Placed {
        id: JobId,
        task: Box<str>,
        run: RunNumber,
        vm: VmId,
        epoch: Epoch,
        free_cpu_milli: u32,
        waited_ms: u64,
        crashes: usize,
    },
    /// Tasks of a step have waited for a while for the same reason.
    StepWaits {
        id: JobId,
        queue: QueueId,
        step: u16,
        tasks: u32,
        reason: WaitReason,
    },
    /// A gang has waited for a while.
    GangWaits {
        id: JobId,
        queue: QueueId,
        step: u16,
        tasks: u32,
        reason: WaitReason,
        timeliness: Timeliness,
        #[serde(flatten)]
        room: GangRoom,
        asked_ms: Option<u64>,
    },
    /// A start failed or may have failed.
    NotStarted {
        id: JobId,
        task: Box<str>,
        run: RunNumber,
        vm: VmId,
        reason: Box<str>,
    },
    /// The start of a run was sent again after its connection had broken.
    StartResent {
        id: JobId,
        task: Box<str>,
        run: RunNumber,
        vm: VmId,
        resends: u8,
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
    /// A run was dropped because its VM restarted or the lease expired. `age_ms` is the time from its
    /// start to the last answer of the VM.
    RunLost {
        id: JobId,
        task: Box<str>,
        run: RunNumber,
        vm: VmId,
        reason: &'static str,
        age_ms: u64,
    },
    /// The VM of a run has crashed. `crashes` is the number of crashes under runs of the task.
    RunCrashed {
        id: JobId,
        task: Box<str>,
        run: RunNumber,
        vm: VmId,
        crashes: usize,
    },
    /// The VM of a run has crashed, perhaps before the start reached it, which does not count as a crash
    /// under the run.
    StartUncertain {
        id: JobId,
        task: Box<str>,
        run: RunNumber,
        vm: VmId,
    },
    /// A run that was not started by this placer was found.
    RunAdopted {
        id: JobId,
        task: Box<str>,
        run: RunNumber,
        vm: VmId,
    },
    /// The stop of a run was ordered.
    StopOrdered {
        id: JobId,
        task: Box<str>,
        run: RunNumber,
        vm: VmId,
        reason: &'static str,
    },
    /// A change of the speed limit of a run was ordered.
    #[serde(rename = "paced")]
    SpeedChangeOrdered {
        id: JobId,
        task: Box<str>,
        vm: VmId,
        percent: u32,
        tail_ms: u64,
        target_ms: u64,
    },
    /// An advice query failed.
    AdviceFailed {
        id: JobId,
        step: u16,
        helper: Box<str>,
        reason: Box<str>,
    },
    /// A call could not be relayed through a daemon.
    RelayFailed {
        id: JobId,
        daemon: DaemonId,
        reason: Box<str>,
    },
    /// A configuration became active.
    ConfigTaken {
        version: u64,
        queues: usize,
        teams: usize,
    },
    /// A VM appeared or changed.
    VmSeen {
        vm: VmId,
        machine: Box<str>,
        draining: bool,
        born: u64,
        cpu_milli: u32,
    },
    /// The capacity of a VM changed. `used_cpu_milli` and `used_mem_mib` are reserved by its runs.
    VmResized {
        vm: VmId,
        cpu_milli: u32,
        mem_mib: u32,
        accel: u32,
        used_cpu_milli: u32,
        used_mem_mib: u32,
    },
    /// A VM has crashed with runs on it: it was lost without draining, and a later lifetime has
    /// begun on its machine.
    VmCrashed {
        vm: VmId,
        machine: Box<str>,
        born: u64,
        next_born: u64,
        runs: usize,
    },
    /// Another lifetime of a VM is taken for the present one, by its report or its row (`source`).
    VmRestarted {
        vm: VmId,
        born: u64,
        former_born: u64,
        source: &'static str,
    },
    /// Another lifetime of a VM is not taken for the present one: its report answers an earlier call, or
    /// a later report does not bear out its row (`source`).
    VmLifetimeIgnored {
        vm: VmId,
        born: u64,
        known_born: u64,
        source: &'static str,
    },
    /// A VM became unreachable or reachable again.
    VmContact {
        vm: VmId,
        reachable: bool,
        silent_ms: u64,
        reason: Box<str>,
    },
    /// A VM was removed from the fleet.
    VmGone { vm: VmId, reason: &'static str },
    /// The small row of an ended job was found without its final state. Nothing of the job is run.
    FinalStateMissing { id: JobId },
    /// The estimates of run times are not stored.
    EstimatesNotStored { reason: Box<str> },
    /// A job that does not exist was cancelled, and can no longer be submitted.
    SubmissionWithdrawn { id: JobId },
    /// The progress of a job does not fit into one row, so that the histories of its tasks get rows of
    /// their own.
    ProgressSplit { id: JobId, tasks: u64 },
    /// The table has rejected the progress of a job, which fails if it has not ended.
    ProgressRejected { id: JobId, reason: Box<str> },
    /// A table row could not be decoded.
    RowUnreadable { key: Box<str>, reason: Box<str> },
    /// This daemon is cut off together with its zone, or is so no longer.
    Isolation {
        cut_off: bool,
        lasted_ms: u64,
        reason: Box<str>,
    },
    /// The placer's process has ended, as its host refuses connections.
    HolderEnded {
        daemon: DaemonId,
        epoch: Epoch,
        beat_age_ms: u64,
    },
    /// This daemon acquired the placer role.
    RoleTaken {
        epoch: Epoch,
        former: DaemonId,
        beat_age_ms: u64,
    },
    /// The new placer is still loading its state.
    RoleLoading {
        epoch: Epoch,
        ranges_left: usize,
        rows: usize,
        failed_reads: u32,
        took_ms: u64,
    },
    /// The new placer has loaded its state, except for the parts of the jobs table that are missing.
    RoleReady {
        epoch: Epoch,
        jobs: usize,
        vms: usize,
        rows: usize,
        failed_reads: u32,
        missing_parts: usize,
        took_ms: u64,
    },
    /// This daemon lost or released the placer role.
    RoleLost { epoch: Epoch, reason: Box<str> },
    /// Tasks of older jobs wait until these VMs, which have not answered yet, are fenced or their
    /// leases have expired.
    Settling {
        epoch: Epoch,
        vms: Box<[VmId]>,
        latest_ms: u64,
    },
    /// The placer stops renewing leases, as the table does not answer and too few VMs confirm that it
    /// has not been replaced, or renews them again.
    RenewalAuthority {
        epoch: Epoch,
        held: bool,
        heartbeat_age_ms: u64,
    },
    /// All VMs of the former placer are fenced or their leases have expired.
    Settled { epoch: Epoch, took_ms: u64 },
    /// A followed table became unavailable or available again. `age_ms` is the time since its last
    /// answer, `failures` the number of calls that have failed since then.
    FeedState {
        feed: Feed,
        up: bool,
        version: Rev,
        age_ms: Option<u64>,
        failures: u32,
        reason: Box<str>,
    },
    /// A transaction failed.
    CommitFailed { purpose: Box<str>, reason: Box<str> },
    /// A read failed. For the placer role, it is retried, or the role is not acquired yet; before a
    /// refusal for overload, the submission is handled as without overload.
    ReadFailed { purpose: Box<str>, reason: Box<str> },
    /// A run was chosen to be stopped to make room for the job `claimant` of an urgent queue.
    /// `lost_core_ms` is the CPU time reserved since the start of the run.
    Preempted {
        id: JobId,
        task: Box<str>,
        run: RunNumber,
        vm: VmId,
        claimant: JobId,
        queue: QueueId,
        slack_ms: u64,
        lost_core_ms: u64,
    },
    /// Runs of queues other than these may be preempted, or none if there are none here.
    PreemptionChanged { urgent: Box<[QueueId]> },
    /// The evacuation of a zone was requested or withdrawn.
    ZoneEvacuation {
        zone: ZoneId,
        on: bool,
        view_age_ms: u64,
    },
    /// The evacuation of a zone was requested and the placer knows no VM in it.
    EvacuatedZoneEmpty { zone: ZoneId },
    /// The placer stopped starting tasks, or started to do so again, as its view of the evacuation
    /// requests is too old.
    StartsSuspended {
        suspended: bool,
        view_age_ms: Option<u64>,
        max_age_ms: u64,
    },
    /// A VM became suspect of being stalled: it answers, but its runs make no progress. It gets no
    /// new tasks for a while.
    VmStalled {
        vm: VmId,
        overdue: usize,
        oldest_ms: u64,
        expected_ms: u64,
    },
    /// A VM is no longer suspect of being stalled.
    VmRecovered {
        vm: VmId,
        suspect_ms: u64,
        reason: &'static str,
    },
    /// A submission was refused because its job could not be done in useful time. `age_ms` is the
    /// age of the estimate.
    #[serde(rename = "refused")]
    RefusedForOverload {
        id: JobId,
        queue: QueueId,
        team: Option<TeamId>,
        reason: Box<str>,
        config: u64,
        age_ms: u64,
        retry_after_ms: u64,
    },
    /// A part of the jobs table was read that the placer did not have when it started. `took_ms` is
    /// the time since then.
    PartLoaded {
        epoch: Epoch,
        part: u8,
        rows: usize,
        missing_parts: usize,
        took_ms: u64,
    },
    /// The daemon is stopping.
    Draining,
}

/// Room that a search has found for a gang, in task slots unless stated otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct GangRoom {
    /// On VMs that would have room once the runs that end by themselves have ended.
    pub usable: u32,
    /// Those of them that the advice has rejected.
    pub rejected: u32,
    /// Those of them that the advice has approved, whether or not a ticket is valid.
    pub approved: u32,
    /// On VMs that have room now.
    pub open: u32,
    /// Those of them that the advice has approved.
    pub open_approved: u32,
    /// Those of them with a valid ticket.
    pub ticketed: u32,
    /// Number of VMs that the round held for other gangs before.
    pub held_before: usize,
    /// Number of VMs that the round holds for the gang.
    pub held: usize,
}
