//! What the reducer hears: calls, answers of the outside systems, and the passing of time.

use std::rc::Rc;
use std::time::Duration;

use super::catalog::Catalog;
use super::submission::Submission;
use super::table::CommitOutcome;
use super::table::Page;
use super::table::TableRow;
use super::task::EndedTask;
use super::task::RunningTask;
use crate::core::model::DaemonId;
use crate::core::model::JobId;
use crate::core::model::Now;
use crate::core::model::RackId;
use crate::core::model::Resources;
use crate::core::model::Rev;
use crate::core::model::ServiceId;
use crate::core::model::Ticket;
use crate::core::model::VmId;
use crate::core::model::ZoneId;

/// One event.
#[derive(Debug)]
pub enum Event {
    /// Time has passed; carries the wall time since the Unix epoch.
    Tick {
        /// Wall time.
        unix_time: Duration,
    },
    /// A caller asks.
    Call {
        /// Names the caller's connection in the reply.
        ticket: Ticket,
        /// What is asked.
        call: Call,
    },
    /// An outside system answered.
    Answer(Answer),
    /// The daemon was told to stop.
    Drain,
}

/// What a caller asks, addressed by host and path.
#[derive(Debug)]
pub struct Call {
    /// Host name addressed.
    pub host: Box<str>,
    /// Path addressed.
    pub path: Box<str>,
    /// Key, if one was sent.
    pub key: Option<Box<str>>,
    /// What to do.
    pub action: Action,
}

/// What to do with the job or queue that a call addresses.
#[derive(Debug)]
pub enum Action {
    /// Submit a job; the error says why the body cannot be read.
    Submit(Result<Submission, Box<str>>),
    /// Look at a job, or at the queue itself.
    Get,
    /// Cancel a job.
    Cancel,
    /// Any other method.
    Unsupported,
}

/// An answer of an outside system.
#[derive(Debug)]
pub enum Answer {
    /// A transaction ended.
    Committed(CommitPurpose, CommitOutcome),
    /// A read ended; the error says why it failed.
    Read(ReadPurpose, Result<Page, Box<str>>),
    /// A watch or a whole read of a watched table ended.
    Feed(FeedCall, FeedAnswer),
    /// A renewal ended.
    Renewed(RenewalId, Result<RenewalReport, OrderError>),
    /// A start ended.
    Started(OrderId, Result<u64, StartError>),
    /// A stop ended.
    Stopped(OrderId, Result<u64, OrderError>),
    /// A change of speed ended.
    Paced(OrderId, Result<u64, OrderError>),
    /// A look whether a daemon's process is there ended.
    Probed(Rev, ProbeResult),
    /// A request for advice ended.
    Advised(AdviceQuery, Result<Vec<AdvisedVm>, Box<str>>),
}

/// What a transaction was for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitPurpose {
    /// Submissions to a part.
    Submissions(u8),
    /// A cancellation asked by a caller.
    Cancel(Ticket, JobId),
    /// Taking the placer's role.
    Take,
    /// Progress of jobs, and the placer's heartbeat.
    Progress,
    /// VMs that are to be used.
    Roster,
    /// This daemon's address.
    Address,
    /// Removal of jobs that ended long ago.
    Retire,
}

/// What a read is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadPurpose {
    /// The progress row of a job, for a caller.
    Status(Ticket, JobId),
    /// The rows of a job, for a caller who asked for its state.
    Existence(Ticket, JobId),
    /// The rows of a job, for a caller who cancels it.
    Cancel(Ticket, JobId),
    /// The placer's row, before the role is taken.
    Owner,
    /// The placer's row, after a commit without an answer.
    Settle,
    /// Rows of a table, when the role is taken over.
    Load(LoadSource),
    /// The sequence row, after a progress write without an answer.
    Sequence,
}

impl ReadPurpose {
    /// Whether a caller waits for it, whose answer tells and logs a failure.
    #[must_use]
    pub fn is_for_caller(&self) -> bool {
        matches!(
            self,
            Self::Status(..) | Self::Existence(..) | Self::Cancel(..)
        )
    }
}

/// What a new placer reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadSource {
    /// Jobs of one part.
    Jobs(u8),
    /// Progress.
    Progress,
    /// Roster.
    Roster,
}

/// A table that is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Feed {
    /// The operator's configuration and upkeep waves.
    Config,
    /// VMs.
    Vms,
    /// Jobs; followed by the placer.
    Jobs,
    /// Heartbeats and addresses.
    #[serde(rename = "pulse")]
    Heartbeats,
}

/// Which call about a followed table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FeedCall {
    /// Table.
    pub feed: Feed,
    /// When the call was sent.
    pub sent: Now,
}

/// How a read of a followed table ended.
#[derive(Debug)]
pub enum FeedAnswer {
    /// All rows, as of a version.
    Snapshot(Vec<FeedRow>, Rev),
    /// Changed rows up to a version.
    Changes(Vec<FeedRow>, Rev),
    /// The history since the last version is gone.
    HistoryGone,
    /// It failed.
    Failed(Box<str>),
}

/// A row of a followed table.
#[derive(Debug)]
pub enum FeedRow {
    /// A version of the configuration.
    Config(Box<Catalog>),
    /// A VM.
    Vm(VmRow),
    /// A VM's row was removed.
    VmRemoved(VmId),
    /// A row that could not be read, and why.
    Unreadable(Box<str>, Box<str>),
    /// A row of the system's own.
    Internal(TableRow),
    /// A row of no concern.
    Ignored,
}

/// What a VM says of itself in the table.
#[derive(Clone, Debug, PartialEq)]
pub struct VmRow {
    /// VM.
    pub id: VmId,
    /// Pool.
    pub service: ServiceId,
    /// Address for orders.
    pub address: Box<str>,
    /// Availability zone.
    pub zone: ZoneId,
    /// Whether it is leaving.
    pub draining: bool,
    /// Room for tasks.
    pub capacity: Resources,
    /// Labels that a step may require.
    pub labels: Vec<Box<str>>,
    /// Rack; empty when not told.
    pub rack: RackId,
    /// Start of this lifetime, in milliseconds since the Unix epoch; zero when not told.
    pub started_ms: u64,
    /// Machine that it runs on.
    pub machine: Box<str>,
}

/// Which renewal an answer belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RenewalId {
    /// VM.
    pub vm: VmId,
    /// Time at which it was sent.
    pub sent: Duration,
}

/// What a VM tells in answer to a renewal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RenewalReport {
    /// Start of its lifetime, in milliseconds since the Unix epoch; zero when not told.
    pub started_ms: u64,
    /// Its steady clock, in milliseconds.
    pub clock_ms: u64,
    /// Tasks that run.
    pub running: Vec<RunningTask>,
    /// Ends that were not yet acknowledged, oldest first.
    pub ended: Vec<EndedTask>,
}

/// Which start, stop or change of speed an answer belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderId {
    /// VM.
    pub vm: VmId,
    /// Task.
    pub task: super::task::TaskName,
    /// Which start.
    pub run: super::task::RunNumber,
    /// Time at which it was sent.
    pub sent: Duration,
}

/// Why an order was not carried out, or may not have been.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderError {
    /// The VM has seen a higher epoch.
    Fenced,
    /// The VM at the address is of another lifetime.
    WrongLifetime,
    /// The VM refused; it did nothing.
    Refused(Box<str>),
    /// Nothing was sent.
    NotSent(Box<str>),
    /// It may have been carried out, or may still be.
    NoAnswer(Box<str>),
}

/// Why a task was not started, or may not have been.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartError {
    /// A run as high was already ended there.
    OldRun,
    /// It came after its deadline.
    Late,
    /// The VM has no room.
    NoRoom,
    /// The ticket is not good.
    BadTicket,
    /// As for any order.
    Order(OrderError),
}

/// Which request for advice an answer belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceQuery {
    /// Job.
    pub job: JobId,
    /// Occurrence.
    pub occurrence: u32,
    /// Step.
    pub step: u16,
    /// Daemon that asked the service, `None` for this one.
    pub helper: Option<DaemonId>,
    /// VMs named.
    pub vms: Rc<[VmId]>,
    /// Time at which it was sent.
    pub sent: Duration,
}

/// A VM that may run a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdvisedVm {
    /// VM.
    pub vm: VmId,
    /// Ticket that a start there must carry.
    pub ticket: Box<str>,
}

/// Whether a process listens at an address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// It does.
    Listening,
    /// Its host refuses connections.
    Refused,
    /// No answer came, for this reason.
    NoAnswer(Box<str>),
}

impl Answer {
    /// Whether the request was carried out.
    #[must_use]
    pub fn is_success(&self) -> bool {
        match self {
            Self::Committed(_, outcome) => matches!(outcome, CommitOutcome::Done(_)),
            Self::Read(_, result) => result.is_ok(),
            Self::Feed(_, answer) => !matches!(answer, FeedAnswer::Failed(_)),
            Self::Renewed(_, result) => result.is_ok(),
            Self::Started(_, result) => result.is_ok(),
            Self::Stopped(_, result) | Self::Paced(_, result) => result.is_ok(),
            Self::Probed(_, reached) => matches!(reached, ProbeResult::Listening),
            Self::Advised(_, result) => result.is_ok(),
        }
    }
}
