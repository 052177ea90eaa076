//! What the reducer wants done, as data.

use std::rc::Rc;
use std::time::Duration;

use super::decision::Decision;
use super::event::AdviceQuery;
use super::event::CommitPurpose;
use super::event::FeedCall;
use super::event::OrderId;
use super::event::ReadPurpose;
use super::event::RenewalId;
use super::table::Range;
use super::table::Transaction;
use super::task::Checkpoint;
use crate::core::model::Epoch;
use crate::core::model::Rev;
use crate::core::model::Ticket;

/// Effects of one event, in order.
pub type Effects = Vec<Effect>;

/// One effect.
#[derive(Debug)]
pub enum Effect {
    /// Ask an outside system; each request ends in one [`super::event::Answer`].
    Send(Request),
    /// Answer a caller.
    Reply(Ticket, Reply),
    /// Write a line to the log.
    Log(Decision),
    /// Leave the process: the drain has ended.
    Exit,
}

/// A request to an outside system.
#[derive(Debug)]
pub enum Request {
    /// Run a transaction.
    Commit {
        /// Why.
        purpose: CommitPurpose,
        /// What.
        txn: Transaction,
        /// Time after which the outcome is unknown.
        timeout: Duration,
    },
    /// Read a range.
    Read {
        /// Why.
        purpose: ReadPurpose,
        /// What.
        range: Range,
    },
    /// Read all of a followed table.
    ReadAll {
        /// Which call.
        call: FeedCall,
        /// Time after which it is given up.
        timeout: Duration,
    },
    /// Wait for changes of a followed table.
    Watch {
        /// Which call.
        call: FeedCall,
        /// Version after which changes are wanted.
        after: Rev,
        /// Longest wait.
        wait: Duration,
        /// Time after which it is given up.
        timeout: Duration,
    },
    /// Renew the lease of a VM and read what runs and what ended there.
    Renew {
        /// Which renewal.
        renewal: RenewalId,
        /// Address.
        address: Box<str>,
        /// Holder's epoch.
        epoch: Epoch,
        /// End of the lease on the VM's clock, in milliseconds; `None` to only look.
        deadline_ms: Option<u64>,
        /// Ends up to this number may be forgotten.
        ack: u64,
        /// Longest wait for an end.
        wait: Duration,
        /// Time after which it is given up.
        timeout: Duration,
    },
    /// Start a task.
    Start(Box<StartOrder>),
    /// Stop a run of a task.
    Stop {
        /// Which.
        order: OrderId,
        /// Address.
        address: Box<str>,
        /// Holder's epoch.
        epoch: Epoch,
        /// Time after which it is given up.
        timeout: Duration,
    },
    /// Change the speed of a task.
    Pace {
        /// Which.
        order: OrderId,
        /// Address.
        address: Box<str>,
        /// Holder's epoch.
        epoch: Epoch,
        /// New speed, in percent.
        percent: u32,
        /// Time after which it is given up.
        timeout: Duration,
    },
    /// Look whether a daemon's process listens at its address.
    Probe {
        /// Version of its last heartbeat.
        heartbeat: Rev,
        /// Address.
        address: Box<str>,
        /// Time after which it is given up.
        timeout: Duration,
    },
    /// Ask which VMs may run a step.
    Advise {
        /// Which step and VMs.
        query: AdviceQuery,
        /// Address of the daemon that is to ask, `None` for this one.
        via: Option<Box<str>>,
        /// Time after which it is given up.
        timeout: Duration,
    },
}

/// An order to start a task.
#[derive(Debug)]
pub struct StartOrder {
    /// Which task, where.
    pub order: OrderId,
    /// Address.
    pub address: Box<str>,
    /// Holder's epoch.
    pub epoch: Epoch,
    /// The job's payload.
    pub payload: Rc<str>,
    /// End of the lease on the VM's clock, in milliseconds.
    pub deadline_ms: u64,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: Checkpoint,
    /// Ticket of the advice service.
    pub ticket: Option<Box<str>>,
    /// Time after which it is given up.
    pub timeout: Duration,
}

/// Answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The job is stored and will run.
    Accepted,
    /// The state of a job.
    State(JobState),
    /// The number of a queue's jobs that wait.
    Waiting(u64),
    /// The job is cancelled.
    Cancelled,
    /// There is no such queue.
    NoQueue,
    /// There is no such job.
    NoJob,
    /// The key is unknown.
    BadKey,
    /// The request is faulty.
    Invalid(Box<str>),
    /// The queue does not take this method.
    MethodNotAllowed,
    /// Not done and never will be; come back after the delay.
    Overloaded(Duration),
    /// Not done and never will be; come back after the delay.
    Unavailable(Duration),
    /// It may have been done; asking again under the same id tells.
    Unknown,
}

/// State of a job, as callers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task failed too often, or the job can never run.
    Failed,
    /// It was cancelled.
    Cancelled,
}

impl Request {
    /// Name for metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Commit { .. } => "commit",
            Self::Read { .. } => "read",
            Self::ReadAll { .. } => "read_all",
            Self::Watch { .. } => "watch",
            Self::Renew { .. } => "hold",
            Self::Start(_) => "start",
            Self::Stop { .. } => "stop",
            Self::Pace { .. } => "pace",
            Self::Probe { .. } => "reach",
            Self::Advise { .. } => "advise",
        }
    }
}

impl Reply {
    /// Name for metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::State(_) => "state",
            Self::Waiting(_) => "waiting",
            Self::Cancelled => "cancelled",
            Self::NoQueue => "no_queue",
            Self::NoJob => "no_job",
            Self::BadKey => "bad_key",
            Self::Invalid(_) => "faulty",
            Self::MethodNotAllowed => "no_method",
            Self::Overloaded(_) => "overloaded",
            Self::Unavailable(_) => "unavailable",
            Self::Unknown => "unknown",
        }
    }
}
