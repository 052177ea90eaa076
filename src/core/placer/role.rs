//! State of the placer role on a daemon.
//!
//! Tasks of existing jobs may run on VMs that have not reported to a new placer yet. The new placer
//! therefore defers these jobs until it has read the table and knows which tasks run on every VM.
//! Jobs that were submitted later cannot have been started by another placer, and are placed at
//! once.

use rustc_hash::FxHashSet;

use crate::core::model::JobId;
use crate::core::model::Now;

/// State of the placer role on this daemon.
#[derive(Clone, Debug, Default)]
pub(super) enum Role {
    /// Another daemon may be the placer.
    #[default]
    Follower,
    /// Placer that does not know all tasks of its predecessors yet.
    Recovering(Recovery),
    /// Placer of all jobs of the zone.
    Ready,
}

/// Progress of a new placer in recovering the state of its predecessors.
#[derive(Clone, Debug)]
pub(super) struct Recovery {
    since: Now,
    /// Whether the table has been read since the role was taken.
    table_read: bool,
    /// Jobs submitted to the scheduler during recovery.
    submitted: FxHashSet<JobId>,
}

impl Role {
    /// Returns the role of a daemon that has just won the leases of more than half of the VMs.
    pub fn start_recovery(now: Now) -> Self {
        Self::Recovering(Recovery {
            since: now,
            table_read: false,
            submitted: FxHashSet::default(),
        })
    }

    /// Returns whether this daemon is the placer.
    pub fn is_placer(&self) -> bool {
        !matches!(self, Self::Follower)
    }

    /// Returns whether all tasks that predecessors started are known.
    pub fn is_ready(&self) -> bool {
        matches!(self, Self::Ready)
    }

    /// Returns whether a job that was just read for the first time may be submitted to the
    /// scheduler. Jobs admitted during recovery are remembered.
    pub fn admit(&mut self, job: &JobId) -> bool {
        match self {
            Self::Follower => false,
            Self::Recovering(recovery) => {
                if recovery.table_read {
                    recovery.submitted.insert(job.clone());
                }
                recovery.table_read
            }
            Self::Ready => true,
        }
    }

    /// Records that the table was read: every row committed before `sent` is known.
    pub fn record_table_read(&mut self, sent: Now) {
        if let Self::Recovering(recovery) = self {
            recovery.table_read |= sent >= recovery.since;
        }
    }

    /// Ends the recovery once the table was read and all tasks are known. Returns the jobs that
    /// were submitted during the recovery.
    pub fn try_complete(&mut self, all_tasks_known: bool) -> Option<FxHashSet<JobId>> {
        let Self::Recovering(recovery) = self else {
            return None;
        };
        if !(all_tasks_known && recovery.table_read) {
            return None;
        }
        let submitted = std::mem::take(&mut recovery.submitted);
        *self = Self::Ready;
        Some(submitted)
    }
}
