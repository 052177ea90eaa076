//! Everything that a daemon does, as data.

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

/// Output of the reducer, carried out by the shell.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Answer a caller or operator.
    Answer {
        /// Connection that waits.
        ticket: Ticket,
        /// What to say.
        answer: Answer,
    },
    /// Send an attempt at a request to an endpoint.
    Dispatch {
        /// Request.
        ticket: Ticket,
        /// Attempt, from zero.
        attempt: u32,
        /// Where to.
        endpoint: EndpointId,
        /// When to give up, from now.
        patience: Duration,
        /// Connections to the endpoint that may stay open without a request.
        keep: u32,
    },
    /// Read what changed in the table.
    Poll {
        /// Which spaces.
        feed: Feed,
        /// Revision already known.
        after: Rev,
    },
    /// Read the membership list.
    Members,
    /// Commit a transaction.
    Commit {
        /// Names the transaction.
        token: Token,
        /// What to write.
        txn: Txn,
    },
    /// Send a message to a VM.
    Worker {
        /// Which VM.
        vm: VmId,
        /// Its address, `ip:port`.
        address: Box<str>,
        /// Message.
        sync: VmSync,
    },
    /// Send a message to another daemon.
    Peer {
        /// Receiver.
        to: DaemonId,
        /// Its address for daemons, `ip:port`.
        address: Box<str>,
        /// Message.
        message: PeerMessage,
    },
    /// Reply to another daemon's message.
    PeerReply {
        /// Connection that waits.
        ticket: Ticket,
        /// Reply.
        message: PeerMessage,
    },
    /// Note a change of state in the timeline.
    Note(TimelineEvent),
    /// Nothing is in flight any more; the process may exit.
    Drained,
}

/// Answer to a caller or operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Deliver the whole answer of an attempt, which the shell holds.
    Deliver {
        /// Attempt whose answer is delivered.
        attempt: u32,
    },
    /// The work did not run and will not.
    NotRun {
        /// Why.
        reason: Reason,
        /// When to come back, if that can help.
        retry_after: Option<Duration>,
    },
    /// The work may have run.
    Unknown {
        /// Why.
        reason: Reason,
    },
    /// The job is in the table and will be run.
    Accepted {
        /// Its identifier.
        job: JobId,
    },
    /// A record write took effect at this version.
    Written {
        /// New version.
        version: Rev,
    },
    /// A record write lost against another; the row as it is.
    Conflict {
        /// Current version, zero when the record does not exist.
        version: Rev,
        /// Current JSON text.
        value: Option<Box<str>>,
    },
    /// A record that breaks a rule was not written.
    Invalid {
        /// Which rule, as a sentence for the operator.
        message: Box<str>,
    },
    /// What was asked for, as JSON text.
    Json(Box<str>),
    /// What was asked for does not exist.
    Missing,
}

/// Why work was not run or its end is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// No key was presented where one is needed, or the key is not good.
    Unauthorized,
    /// Whether the key is still good cannot be told now.
    KeyUnverifiable,
    /// The service, queue, team or job is not known.
    UnknownTarget,
    /// The record or job is malformed.
    Invalid,
    /// No VM of the cell could ever hold one of the tasks, or the team's limit forbids the job.
    NeverFits,
    /// The queue is full for the caller's patience.
    Overloaded,
    /// The caller's patience ran out before an endpoint took the request.
    DeadlineExceeded,
    /// No endpoint is left to try.
    NoEndpoint,
    /// The platform cannot be reached and is needed for this.
    PlatformUnavailable,
    /// The request under this id was taken before.
    DuplicateRequest,
    /// The endpoint broke off after the request was sent.
    EndpointBroke,
    /// Other entry VMs do not yet know of this one, so that they could not hear of the write.
    PeersUnaware,
    /// The daemon is stopping.
    Draining,
    /// The caller or its team cancelled.
    Cancelled,
    /// The work failed on several VMs on which other work did not.
    FailsEverywhere,
}
