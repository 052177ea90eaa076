//! Effects of the reducer, as data: requests, replies to callers, log lines and the exit.

use std::rc::Rc;
use std::time::Duration;

use super::decision::Decision;
use super::event::AdviceQuery;
use super::event::Call;
use super::event::CommitPurpose;
use super::event::ConnectionId;
use super::event::FeedCall;
use super::event::OrderId;
use super::event::ProbePurpose;
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

/// Effect of an event.
#[derive(Debug)]
pub enum Effect {
    /// Sends a request; each gets exactly one [`Answer`](super::event::Answer).
    Send(Request),
    /// Replies to a caller.
    Reply(Ticket, Reply),
    /// Writes a line to the log.
    Log(Decision),
    /// Ends the process after the drain.
    Exit,
}

/// Acknowledgement of the ended runs that a VM has reported.
///
/// The sequence numbers begin anew with each lifetime of the VM. It is therefore sent only on the
/// connection that carried the report: another one may reach a later lifetime, which would forget ends
/// that it has not reported yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Acknowledgement {
    /// Highest sequence number that is acknowledged.
    pub seq: u64,
    /// Connection on which it may be sent.
    pub connection: ConnectionId,
}

impl Acknowledgement {
    /// Returns the sequence number to send on a connection; zero acknowledges nothing.
    #[must_use]
    pub fn seq_on(ack: Option<Self>, connection: ConnectionId) -> u64 {
        let ack = ack.filter(|ack| ack.connection == connection);
        ack.map_or(0, |ack| ack.seq)
    }
}

/// Request to the table service, a VM, the advice service or another daemon.
#[derive(Debug)]
pub enum Request {
    /// Runs a transaction.
    Commit {
        /// Purpose, by which the answer is matched.
        purpose: CommitPurpose,
        /// Transaction.
        txn: Transaction,
        /// Timeout; without an answer by then the outcome is unknown.
        timeout: Duration,
    },
    /// Reads a range.
    Read {
        /// Purpose, by which the answer is matched.
        purpose: ReadPurpose,
        /// Range.
        range: Range,
    },
    /// Reads all rows of a followed table.
    ReadAll {
        /// Identifies the call.
        call: FeedCall,
        /// Longest time without progress.
        timeout: Duration,
    },
    /// Waits for changes of a followed table.
    Watch {
        /// Identifies the call.
        call: FeedCall,
        /// Version after which changes are returned.
        after: Rev,
        /// Longest time that the table service waits for a change.
        wait: Duration,
        /// Longest time without progress.
        timeout: Duration,
    },
    /// Renews the lease of a VM and reads its running tasks and ended runs.
    Renew {
        /// Identifies the renewal.
        renewal: RenewalId,
        /// Address of the VM.
        address: Box<str>,
        /// Epoch of the placer.
        epoch: Epoch,
        /// End of the lease on the VM's clock, in milliseconds; `None` to read the report without
        /// renewing the lease.
        deadline_ms: Option<u64>,
        /// Ended runs that are acknowledged; the VM stops listing these.
        ack: Option<Acknowledgement>,
        /// Longest time that the VM waits for a run to end before it answers.
        wait: Duration,
        /// Timeout of the request.
        timeout: Duration,
    },
    /// Asks a VM for a sign of life before a task is started there.
    Check {
        /// Identifies the start.
        order: OrderId,
        /// Address of the VM.
        address: Box<str>,
        /// Epoch of the placer.
        epoch: Epoch,
        /// Timeout of the request.
        timeout: Duration,
    },
    /// Starts a task.
    Start(Box<StartOrder>),
    /// Stops a run of a task.
    Stop {
        /// Identifies the order.
        order: OrderId,
        /// Address of the VM.
        address: Box<str>,
        /// Epoch of the placer.
        epoch: Epoch,
        /// Timeout of the request.
        timeout: Duration,
    },
    /// Changes the speed limit of a run.
    SetSpeed {
        /// Identifies the order.
        order: OrderId,
        /// Address of the VM.
        address: Box<str>,
        /// Epoch of the placer.
        epoch: Epoch,
        /// New speed limit, in percent of full speed.
        percent: u32,
        /// Timeout of the request.
        timeout: Duration,
    },
    /// Probes whether a daemon's process listens at its address.
    Probe {
        /// Purpose, by which the answer is matched.
        purpose: ProbePurpose,
        /// Address of the daemon.
        address: Box<str>,
        /// Timeout of the request.
        timeout: Duration,
    },
    /// Queries which VMs may run a step.
    Advise {
        /// Step and candidate VMs.
        query: AdviceQuery,
        /// Address of the daemon that sends the query to the advice service; `None` for this
        /// daemon.
        via: Option<Box<str>>,
        /// Timeout of the request.
        timeout: Duration,
    },
    /// Passes a client's call on to another daemon.
    Relay {
        /// Ticket by which the reply is matched to the call.
        ticket: Ticket,
        /// Call.
        call: Box<Call>,
        /// Address of the daemon.
        via: Box<str>,
        /// Timeout of the request.
        timeout: Duration,
    },
}

/// Order to start a task.
#[derive(Debug)]
pub struct StartOrder {
    /// Identifies the task, its run and the VM.
    pub order: OrderId,
    /// Address of the VM.
    pub address: Box<str>,
    /// Epoch of the placer.
    pub epoch: Epoch,
    /// Payload of the job.
    pub payload: Rc<str>,
    /// End of the lease on the VM's clock, in milliseconds.
    pub deadline_ms: u64,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: Checkpoint,
    /// Ticket from the advice service, if the step needs advice.
    pub ticket: Option<Box<str>>,
    /// Timeout of the request.
    pub timeout: Duration,
}

/// Reply to a caller.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The job is stored and will be run.
    Accepted,
    /// State of a job.
    State(JobState),
    /// Number of jobs of a queue that have not started.
    Waiting(u64),
    /// The job is cancelled.
    Cancelled,
    /// No queue has the requested host and path.
    NoQueue,
    /// No such job, or the caller may not see it.
    NoJob,
    /// The API key is missing or unknown.
    BadKey,
    /// The request is invalid, with the reason.
    Invalid(Box<str>),
    /// Queues do not support the HTTP method.
    MethodNotAllowed,
    /// Overload: the request has not taken effect and will not; it may be retried after the delay.
    Overloaded(Duration),
    /// Outage: the request has not taken effect and will not; it may be retried after the delay.
    Unavailable(Duration),
    /// The request may have taken effect; a repeat with the same id shows the outcome.
    Unknown,
}

/// State of a job, as shown to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task failed too often, or the job can never be run.
    Failed,
    /// The job was cancelled.
    Cancelled,
}

impl Request {
    /// Returns the label used in metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Commit { .. } => "commit",
            Self::Read { .. } => "read",
            Self::ReadAll { .. } => "read_all",
            Self::Watch { .. } => "watch",
            Self::Renew { .. } => "hold",
            Self::Check { .. } => "check",
            Self::Start(_) => "start",
            Self::Stop { .. } => "stop",
            Self::SetSpeed { .. } => "pace",
            Self::Probe { .. } => "reach",
            Self::Advise { .. } => "advise",
            Self::Relay { .. } => "relay",
        }
    }
}

impl Reply {
    /// Returns the label used in metrics.
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
