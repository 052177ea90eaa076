//! Order of steps in a placement round when the VMs lack room for all of them.
//!
//! In a burst, more jobs are queued than the VMs can run in time. With earliest-deadline-first
//! order alone, each job starts only when it is already late, and all callers are served late. Jobs
//! that can still meet their objective therefore go first, then jobs that are late but still
//! awaited by their callers, and last jobs that are long overdue, which run to completion all the
//! same.
//!
//! A job is of use only once its last task has ended. Among jobs of the same timeliness, those that
//! have begun go first: otherwise all are begun, and each waits for room for its last tasks behind
//! the first tasks of others.

use std::time::Duration;

use super::timeliness::Timeliness;

/// Sort key of a job's steps; lower ones go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Order {
    /// Priority of the queue.
    pub priority: u32,
    /// Whether the job can still be of use to its caller.
    pub timeliness: Timeliness,
    /// Whether no task of the job has started.
    pub unstarted: bool,
    /// Time by which the job is to complete, since the Unix epoch.
    pub deadline: Duration,
}
