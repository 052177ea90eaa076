//! Events that the reducer processes.

use std::time::Duration;

use super::model::DaemonId;
use super::model::EndpointId;
use super::model::JobId;
use super::model::JobSpec;
use super::model::LoanId;
use super::model::Member;
use super::model::Now;
use super::model::RequestId;
use super::model::Rev;
use super::model::Row;
use super::model::ServiceId;
use super::model::Ticket;
use super::model::Token;
use super::model::VmId;
use super::model::VmSyncAnswer;
use super::model::ZoneId;

/// Input of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The timer fired.
    Tick,
    /// A caller or operator made a call.
    Call {
        /// Identifies the connection that waits for the answer.
        ticket: Ticket,
        /// The call.
        call: Call,
    },
    /// A caller closed its connection before the answer.
    CallerDisconnected {
        /// Identifies the closed connection.
        ticket: Ticket,
    },
    /// A platform call returned or failed.
    Platform(PlatformEvent),
    /// A sync to a VM was answered or failed.
    VmReplied {
        /// VM that the sync was sent to.
        vm: VmId,
        /// Clock reading before the sync was sent.
        sent: Now,
        /// The VM's answer, `None` if none arrived; the sync may have taken effect all the same.
        answer: Option<VmSyncAnswer>,
    },
    /// Another daemon sent a message.
    Peer {
        /// Sender.
        from: DaemonId,
        /// Identifies the connection that waits for the reply.
        ticket: Ticket,
        /// Message.
        message: PeerMessage,
    },
    /// A message to another daemon was answered or failed.
    PeerReplied {
        /// Daemon that the message was sent to.
        to: DaemonId,
        /// Clock reading before the message was sent.
        sent: Now,
        /// Message that was sent.
        message: PeerMessage,
        /// Reply, `None` if none arrived.
        reply: Option<PeerMessage>,
    },
    /// An attempt to serve a request ended.
    Attempt {
        /// Identifies the request.
        ticket: Ticket,
        /// Number of the attempt, from zero.
        attempt: u32,
        /// Result of the attempt.
        outcome: AttemptOutcome,
    },
    /// The process received a request for a graceful shutdown.
    Drain,
}

/// Call of a caller or operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Forwards a request to an instance of a service.
    Request(RequestHead),
    /// Submits a durable job.
    Submit {
        /// API key, absent for an open queue.
        key: Option<Box<str>>,
        /// Open queue to submit to, absent for the queue of the key's team.
        queue: Option<Box<str>>,
        /// Specification of the job.
        spec: JobSpec,
    },
    /// Cancels a job.
    Cancel {
        /// API key.
        key: Option<Box<str>>,
        /// Job to cancel.
        job: JobId,
    },
    /// Returns the status of a job.
    Status {
        /// API key.
        key: Option<Box<str>>,
        /// Job to look up.
        job: JobId,
    },
    /// Writes or withdraws a record; the shell has checked the operator's key.
    WriteRecord {
        /// Table key, `space/name`.
        key: Box<str>,
        /// Version that the write is based on, zero for a new record.
        expect: Rev,
        /// JSON text, `None` to withdraw.
        value: Option<Box<str>>,
    },
    /// Reads one record, or all records of a space (a key that ends in `/`).
    ReadRecord {
        /// Table key or space.
        key: Box<str>,
    },
    /// Returns the status of this daemon: leases, placer role, views and queues.
    Describe,
    /// Returns whether the load balancer may route callers to this daemon.
    Ready,
}

/// Head of a caller's request; the shell keeps the body.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestHead {
    /// Requested service.
    pub service: ServiceId,
    /// API key.
    pub key: Option<Box<str>>,
    /// Idempotency key, under which the caller may repeat the request.
    pub id: Option<RequestId>,
    /// Whether it is safe to run the request twice.
    pub idempotent: bool,
    /// Time that the caller waits for the answer, from now.
    pub timeout: Duration,
}

/// Result of an attempt to serve a request at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The complete answer was received; the shell keeps it for delivery.
    Complete,
    /// No byte of the request was sent.
    NotSent,
    /// The endpoint answered that it did not start the request.
    Declined,
    /// The request was sent, but no complete answer was received.
    Incomplete,
}

/// Results of calls to the platform.
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformEvent {
    /// All rows of the polled spaces that changed after the requested revision.
    Changes {
        /// Feed that was polled.
        feed: Feed,
        /// Clock reading before the poll was sent.
        sent: Now,
        /// Changed rows.
        rows: Vec<Row>,
        /// Revision that the answer reflects.
        rev: Rev,
    },
    /// The membership list.
    Members {
        /// Clock reading before the list was requested.
        sent: Now,
        /// All live and leaving members.
        members: Vec<Member>,
    },
    /// A poll of a feed or of the membership list failed.
    PollFailed {
        /// Feed that was polled, `None` for the membership list.
        feed: Option<Feed>,
    },
    /// A transaction ended.
    Txn {
        /// Identifies the transaction.
        token: Token,
        /// Result of the transaction.
        outcome: TxnOutcome,
    },
}

/// Set of table spaces that are polled together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Feed {
    /// Operators' records.
    Records,
    /// Jobs and allotments.
    Work,
}

/// Result of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum TxnOutcome {
    /// Every write took effect; the rows as written.
    Committed(Vec<Row>),
    /// No write took effect; the current rows.
    Conflict(Vec<Row>),
    /// The transaction was never sent, or the platform refused it unread.
    NotSent,
    /// No answer was received: the transaction may have taken effect, or may do so later.
    Unknown,
}

/// Messages between daemons, and their replies.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// Status of the sender; answered by a `Heartbeat`.
    Heartbeat(Heartbeat),
    /// Rows that the sender read or committed; answered by `Ack`.
    Rows(Vec<Row>),
    /// Record writes that the sender is about to commit; answered by `Ack`.
    Proposal(Vec<Row>),
    /// Requests all record rows above a revision; answered by `PulledRows`.
    PullRows {
        /// Revision up to which the sender has all records.
        after: Rev,
    },
    /// Record rows above the requested revision.
    PulledRows {
        /// All such rows that the sender has.
        rows: Vec<Row>,
        /// Digest of all record rows that the sender has.
        digest: u64,
    },
    /// Requests a loan of endpoint slots, or renews the loan `loan`; answered by `Lent`.
    Borrow {
        /// Endpoint whose slots are borrowed.
        endpoint: EndpointId,
        /// Identifier of the loan.
        loan: LoanId,
        /// Number of slots requested.
        slots: u32,
    },
    /// Grants a loan of slots.
    Lent {
        /// Endpoint whose slots are lent.
        endpoint: EndpointId,
        /// Identifier of the loan.
        loan: LoanId,
        /// Number of slots lent, zero if none are free.
        slots: u32,
        /// Duration of the loan, counted from when the request was sent.
        lease: Duration,
    },
    /// Returns all slots of a loan; answered by `Ack`.
    Return {
        /// Endpoint whose slots were lent.
        endpoint: EndpointId,
        /// Identifier of the loan.
        loan: LoanId,
    },
    /// Changed row of a job that the receiver's zone owns; answered by `Ack`.
    Job(Row),
    /// Acknowledges receipt.
    Ack,
}

/// Status of a daemon, as sent to its peers.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// Zone of the sender.
    pub zone: ZoneId,
    /// Zone that the sender is the placer of.
    pub placer: Option<ZoneId>,
    /// Revision up to which the sender has all records.
    pub rev: Rev,
    /// Age of the sender's view of the records: the view includes every change that was committed
    /// at least this long ago.
    pub table_age: Duration,
    /// Whether record writes of the sender, or of an earlier process of the same name, may be in
    /// flight with an outcome that the sender does not know.
    pub has_pending_writes: bool,
    /// Whether the sender is shutting down.
    pub draining: bool,
    /// Free CPU in the sender's zone in millicores, if the sender is the placer.
    pub free_cpu_milli: u32,
    /// Digest of the keys and versions of all record rows that the sender has.
    pub digest: u64,
    /// Whether the sender's last read of the table succeeded.
    pub table_reachable: bool,
}
