//! What a daemon tells of itself for metrics.

use std::collections::BTreeMap;
use std::time::Duration;

use super::catalog::QueueId;
use crate::core::model::Epoch;
use crate::core::model::Resources;
use crate::core::model::TeamId;

/// State of a daemon at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Status {
    /// Version of the configuration in force; zero before the first.
    pub config_version: u64,
    /// Time since it was taken.
    pub config_age: Duration,
    /// Time since the table last answered; `None` before it first did.
    pub table_age: Option<Duration>,
    /// Epoch of the last heartbeat seen, and its age.
    pub heartbeat: Option<(Epoch, Duration)>,
    /// The placer, if this daemon is it.
    pub placer: Option<PlacerStatus>,
}

/// State of the placer at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacerStatus {
    /// Epoch.
    pub epoch: Epoch,
    /// VMs that it knows.
    pub vms: u64,
    /// VMs on which it may start tasks now.
    pub usable_vms: u64,
    /// Room of the usable VMs.
    pub capacity: Resources,
    /// Room there that no task takes.
    pub free: Resources,
    /// Tasks that run or are being started or stopped.
    pub runs: u64,
    /// Tasks that wait and could start, by queue and team; no team on a public queue.
    pub waiting: BTreeMap<(QueueId, Option<TeamId>), u64>,
}
