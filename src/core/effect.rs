//! Effects that the reducer requests and the shell executes.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::event::Feed;
use super::event::PeerMessage;
use super::model::DaemonId;
use super::model::EndpointId;
use super::model::JobId;
use super::model::Rev;
use super::model::Ticket;
use super::model::Token;
use super::model::Txn;
use super::model::VmId;
use super::model::VmSync;
use super::timeline::TimelineEvent;

/// Effects of one step, in order.
pub type Effects = Vec<Effect>;

/// Output of the reducer, executed by the shell.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Answers a caller or operator.
    Answer {
        /// Identifies the connection that waits for the answer.
        ticket: Ticket,
        /// Answer to send.
        answer: Answer,
    },
    /// Forwards a request to an endpoint.
    Dispatch {
        /// Identifies the request.
        ticket: Ticket,
        /// Number of the attempt, from zero.
        attempt: u32,
        /// Endpoint to forward to.
        endpoint: EndpointId,
        /// Timeout of the attempt, from now.
        timeout: Duration,
        /// Number of idle connections to the endpoint that may stay open.
        max_idle: u32,
    },
    /// Reads the changes of a feed from the table.
    Poll {
        /// Feed to read.
        feed: Feed,
        /// Revision after which changes are read.
        after: Rev,
    },
    /// Reads the membership list.
    PollMembers,
    /// Commits a transaction.
    Commit {
        /// Identifies the transaction.
        token: Token,
        /// Transaction to commit.
        txn: Txn,
    },
    /// Sends a sync to a VM.
    SyncVm {
        /// VM that receives the sync.
        vm: VmId,
        /// Its address, `ip:port`.
        address: Box<str>,
        /// Message.
        sync: VmSync,
    },
    /// Sends a message to another daemon.
    Peer {
        /// Receiver.
        to: DaemonId,
        /// The receiver's address for daemons, `ip:port`.
        address: Box<str>,
        /// Message.
        message: PeerMessage,
    },
    /// Replies to another daemon's message.
    PeerReply {
        /// Identifies the connection that waits for the reply.
        ticket: Ticket,
        /// Reply.
        message: PeerMessage,
    },
    /// Appends an event to the timeline.
    Timeline(TimelineEvent),
    /// Reports that the graceful shutdown is complete, so that the process may exit.
    Drained,
}

/// Answer to a caller or operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Delivers the answer that the shell received in an attempt.
    Deliver {
        /// Number of the attempt.
        attempt: u32,
    },
    /// The work was not run and will not be run.
    NotRun {
        /// Cause.
        reason: Reason,
        /// Time after which a retry may succeed, if any.
        retry_after: Option<Duration>,
    },
    /// The work may have been run.
    Unknown {
        /// Cause.
        reason: Reason,
    },
    /// The job is stored in the table and will be run.
    Accepted {
        /// Identifier of the job.
        job: JobId,
    },
    /// A record write took effect.
    Written {
        /// New version of the record.
        version: Rev,
    },
    /// A record write was not based on the current version.
    Conflict {
        /// Current version, zero if the record does not exist.
        version: Rev,
        /// Current JSON text.
        value: Option<Box<str>>,
    },
    /// A record failed validation and was not written.
    Invalid {
        /// Violated rule, as a sentence for the operator.
        message: Box<str>,
    },
    /// Requested data as JSON text.
    Json(Box<str>),
    /// The requested item does not exist.
    NotFound,
}

/// Reason why work was not run or its outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The call needs a key and none was given, or the key is not valid for it.
    Unauthorized,
    /// The view of the keys is too old to verify the key, or a change of the key is in flight.
    KeyUnverifiable,
    /// The service, queue, team or job is not in this daemon's view.
    UnknownTarget,
    /// The record or job is malformed.
    Invalid,
    /// No VM of the cell is large enough for one of the tasks, no zone is large enough for the
    /// gang, or the job exceeds the team's limit.
    NeverFits,
    /// The queue is full, or too long for the request to be served before its deadline.
    Overloaded,
    /// The deadline passed before an endpoint accepted the request.
    DeadlineExceeded,
    /// No endpoint is left to try.
    NoEndpoint,
    /// The call needs the platform, which cannot be reached.
    PlatformUnavailable,
    /// A request with the same idempotency key was accepted before.
    DuplicateRequest,
    /// The exchange with the endpoint failed after the request was sent.
    EndpointBroke,
    /// Other entry VMs may not list this daemon as a member yet, and so might miss the write.
    PeersUnaware,
    /// The daemon is shutting down.
    Draining,
    /// The caller or its team cancelled the work.
    Cancelled,
    /// The work failed on several VMs on which no other work fails, or one of its tasks failed, or was
    /// lost with its VM, too often.
    FailsEverywhere,
}
