//! Values of the system's own rows, as JSON. Unknown fields are ignored, so that daemons of
//! neighbouring versions share a table.

use std::time::Duration;

use rustc_hash::FxHashMap;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::catalog::QueueId;
use super::effect::JobState;
use super::submission::OccurrenceIndex;
use super::submission::StepIndex;
use super::submission::Submission;
use super::table::JOBS;
use super::table::RowId;
use super::task::Checkpoint;
use super::task::RunNumber;
use crate::core::model::DaemonId;
use crate::core::model::Epoch;
use crate::core::model::ServiceId;
use crate::core::model::TaskIndex;
use crate::core::model::TeamId;
use crate::core::model::VmId;

/// Result of reading a row's value.
pub(super) type Result<T, E = Box<str>> = std::result::Result<T, E>;

/// Number of parts that jobs are spread over, as each part takes its transactions one by one.
pub(super) const JOB_PARTS: u8 = 32;

/// What the name of a part that holds jobs begins with.
const JOBS_PART_PREFIX: &str = "jobs-";

/// Part that holds the daemons' addresses.
pub(super) const DAEMONS_PART: &str = "daemons";

/// Key of the row that names the placer of a part.
pub(super) const OWNER_KEY: &str = "owner";

/// Key of the row that orders the placer's writes of progress.
pub(super) const SEQUENCE_KEY: &str = "sequence";

/// Key of the row that names the VMs with runs that may be being stopped.
pub(super) const STOPS_KEY: &str = "stops";

/// Key of the placer's heartbeat.
pub(super) const HEARTBEAT_KEY: &str = "beat";

/// What the key of a cancelled job's row ends in.
const CANCEL_SUFFIX: &str = "/cancel";

/// An accepted job.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct JobRow {
    /// Queue.
    pub queue: QueueId,
    /// Pool of VMs at the time of submission.
    pub service: ServiceId,
    /// Team whose key came with it; `None` on a public queue.
    pub team: Option<TeamId>,
    /// Time of acceptance since the Unix epoch.
    pub at: Duration,
    /// The job itself.
    pub job: Submission,
}

/// A job's progress.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct ProgressRow {
    /// State shown to callers.
    pub state: JobState,
    /// Team that may ask.
    pub team: Option<TeamId>,
    /// Occurrences below this number are done.
    #[serde(default)]
    pub through: OccurrenceIndex,
    /// Occurrences that have begun and are not below `through`.
    #[serde(default)]
    pub occurrences: Vec<OccurrenceRow>,
}

/// Progress of one occurrence.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct OccurrenceRow {
    /// Which.
    pub k: OccurrenceIndex,
    /// For each step, the tasks that are done, as bits in hexadecimal digits.
    pub done: Vec<Box<str>>,
    /// Tasks that are not done and have a history.
    #[serde(default)]
    pub tasks: Vec<TaskRow>,
}

/// History of a task.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct TaskRow {
    /// Step.
    pub step: StepIndex,
    /// Position in the step.
    pub index: TaskIndex,
    /// Runs that failed.
    #[serde(default)]
    pub failed: Vec<RunNumber>,
    /// Highest run known to have ended.
    pub run: RunNumber,
    /// Checkpoint to resume from.
    #[serde(default)]
    pub checkpoint: Checkpoint,
}

/// The placer of a part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct OwnerRow {
    /// Epoch, one higher with each holder.
    pub epoch: Epoch,
    /// Daemon.
    pub daemon: DaemonId,
    /// Process of that daemon.
    pub nonce: u64,
}

/// The placer's heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct HeartbeatRow {
    /// Placer.
    pub owner: OwnerRow,
    /// Whether it has given the role up.
    #[serde(default)]
    pub released: bool,
    /// Whether it still reads what it needs and sends no further heartbeat before it has.
    #[serde(default)]
    pub loading: bool,
    /// For each queue, jobs of which no task has started.
    #[serde(default)]
    pub waiting: FxHashMap<QueueId, u64>,
}

/// VMs on which the placer may be stopping runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct StopsRow {
    /// Their ids.
    pub vms: Vec<VmId>,
}

/// A daemon's address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct AddressRow {
    /// Address for calls between daemons.
    pub peer: Box<str>,
}

/// A VM that the placer may have used.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RosterRow {
    /// Address for orders.
    pub address: Box<str>,
}

/// Writes a value.
pub(super) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("rows of this module serialize to JSON")
}

/// Reads a value.
pub(super) fn decode<T: DeserializeOwned>(value: &[u8]) -> Result<T> {
    serde_json::from_slice(value).map_err(|err| err.to_string().into())
}

/// Number of the part that holds a job.
pub(super) fn job_part(job: &str) -> u8 {
    let sum = job
        .bytes()
        .fold(0_u8, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte));
    sum % JOB_PARTS
}

/// Name of a part that holds jobs.
pub(super) fn job_part_name(part: u8) -> Box<str> {
    format!("{JOBS_PART_PREFIX}{part}").into()
}

/// Whether a part holds jobs.
pub(super) fn is_job_part(part: &str) -> bool {
    part.starts_with(JOBS_PART_PREFIX)
}

/// Identifies the row of a job, or the row that cancels it, in the part of the job.
pub(super) fn job_row(job: &str, key: &str) -> RowId {
    RowId::new(JOBS, &job_part_name(job_part(job)), key)
}

/// Key of the row that cancels a job.
pub(super) fn cancel_key(job: &str) -> Box<str> {
    format!("{job}{CANCEL_SUFFIX}").into()
}

/// The job that a row cancels, if it is such a row.
pub(super) fn cancelled_job(key: &str) -> Option<&str> {
    key.strip_suffix(CANCEL_SUFFIX)
}

/// Writes set positions as hexadecimal digits, four positions a digit, the first lowest.
pub(super) fn encode_bitmap(bits: impl Iterator<Item = bool>) -> Box<str> {
    let mut digits: Vec<u32> = Vec::new();
    for (ix, set) in bits.enumerate() {
        if ix % 4 == 0 {
            digits.push(0);
        }
        if set && let Some(last) = digits.last_mut() {
            *last |= 1 << (ix % 4);
        }
    }
    digits
        .into_iter()
        .filter_map(|digit| char::from_digit(digit, 16))
        .collect::<String>()
        .into()
}

/// Whether a position is set.
pub(super) fn bit_is_set(digits: &str, ix: usize) -> bool {
    let digit = digits.as_bytes().get(ix / 4).copied();
    let digit = digit.and_then(|digit| char::from(digit).to_digit(16));
    digit.is_some_and(|digit| digit >> (ix % 4) & 1 == 1)
}
