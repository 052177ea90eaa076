//! Status of a daemon, reported as metrics.

use std::collections::BTreeMap;
use std::time::Duration;

use super::catalog::QueueId;
use super::event::Feed;
use super::policy::advice_use::AdviceUse;
use super::policy::wait_reasons::WaitReason;
use crate::core::model::Epoch;
use crate::core::model::Resources;
use crate::core::model::TeamId;

/// Snapshot of a daemon's state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Status {
    /// Version of the active configuration; zero before the first.
    pub config_version: u64,
    /// Time since the configuration became active.
    pub config_age: Duration,
    /// Number of evacuated zones.
    pub evacuated_zones: usize,
    /// Age of the view of the evacuation requests; `None` before the first read.
    pub evacuation_view_age: Option<Duration>,
    /// Time since the last answer of the table; `None` before the first.
    pub table_age: Option<Duration>,
    /// Time since the last answer on each followed table; `None` before the first.
    pub feed_ages: Vec<(Feed, Option<Duration>)>,
    /// Epoch and age of the last heartbeat of a placer; `None` before the first.
    pub heartbeat: Option<(Epoch, Duration)>,
    /// Status of the placer; `None` if this daemon is not the placer.
    pub placer: Option<PlacerStatus>,
}

/// Work of a placer since the role was granted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacerWork {
    /// Placement rounds.
    pub rounds: u64,
    /// Steps that rounds have examined for VMs or advice.
    pub steps_examined: u64,
    /// Searches of the fleet for VMs on which a step fits.
    pub vm_scans: u64,
}

/// Snapshot of the placer's state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacerStatus {
    /// Epoch.
    pub epoch: Epoch,
    /// Number of known VMs.
    pub vms: u64,
    /// Work since the role was granted.
    pub work: PlacerWork,
    /// Number of runs that were stopped for urgent tasks since the role was granted.
    pub preempted_runs: u64,
    /// Number of VMs that accept new tasks.
    pub usable_vms: u64,
    /// Number of VMs that are suspect of being stalled.
    pub stalled_vms: u64,
    /// Total capacity of the usable VMs.
    pub capacity: Resources,
    /// Unreserved capacity of the usable VMs.
    pub free: Resources,
    /// Number of runs that are active or being started or stopped.
    pub runs: u64,
    /// Number of tasks that are ready to start, by queue and team; no team on a public queue.
    pub waiting: BTreeMap<(QueueId, Option<TeamId>), u64>,
    /// Time for which tasks have waited since the role was granted, summed over tasks, by queue and
    /// reason.
    pub wait_times: BTreeMap<(QueueId, WaitReason), Duration>,
    /// Use of the advice service since the role was granted.
    pub advice: AdviceUse,
    /// Published waits of new jobs, by queue and team.
    pub waits: BTreeMap<(QueueId, Option<TeamId>), Duration>,
}
