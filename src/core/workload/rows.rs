//! Values of the rows in ragwortstall's own tables, as JSON. Unknown fields are ignored, so that
//! daemons of adjacent versions can share a table.

use std::time::Duration;

use rustc_hash::FxHashMap;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::capacity::HostCapacity;
use super::catalog::AdviceTiming;
use super::catalog::Queue;
use super::catalog::QueueId;
use super::cx::millis;
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
use crate::core::model::Resources;
use crate::core::model::ServiceId;
use crate::core::model::TaskIndex;
use crate::core::model::TeamId;
use crate::core::model::VmId;
use crate::core::model::ZoneId;

/// Result of decoding a row's value.
pub(super) type Result<T, E = Box<str>> = std::result::Result<T, E>;

/// Number of parts that jobs are distributed over, because each part runs its transactions one by
/// one.
pub(super) const JOB_PARTS: u8 = 32;

/// Prefix of the names of the parts that store jobs.
const JOBS_PART_PREFIX: &str = "jobs-";

/// Part that stores the daemons' addresses.
pub(super) const DAEMONS_PART: &str = "daemons";

/// Key of the owner row, which names the placer of a part.
pub(super) const OWNER_KEY: &str = "owner";

/// Key of the sequence row, which every progress write expects and updates, so that the writes take
/// effect in order and only for the current placer.
pub(super) const SEQUENCE_KEY: &str = "sequence";

/// Key of the row that lists the VMs on which the placer may be stopping runs.
pub(super) const STOPS_KEY: &str = "stops";

/// Key of the row with the runs under which a VM may crash or has crashed.
pub(super) const LOST_KEY: &str = "lost";

/// Key of the row with the placer's estimates of run times.
pub(super) const ESTIMATES_KEY: &str = "estimates";

/// Key of the placer's heartbeat.
pub(super) const HEARTBEAT_KEY: &str = "beat";

/// Prefix of the key of a row that a daemon writes to find out whether the table takes writes.
pub(super) const PROBE_KEY_PREFIX: &str = "probe-";

/// Suffix of the key of a row that cancels a job.
const CANCEL_SUFFIX: &str = "/cancel";

/// Accepted job.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct JobRow {
    /// Queue.
    pub queue: QueueId,
    /// Pool of VMs at the time of submission.
    pub service: ServiceId,
    /// Team whose API key was sent with the job; `None` without a valid key, on public queues.
    pub team: Option<TeamId>,
    /// Time of acceptance since the Unix epoch.
    pub at: Duration,
    /// Submitted job; `None` once the job has ended and its final state is stored in its progress
    /// row.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub job: Option<Submission>,
    /// Terms of the queue when the job was accepted; `None` from an earlier version, and for a job that
    /// has ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub terms: Option<QueueTerms>,
    /// Whether the job was cancelled before it was accepted, so that there is none: the row keeps a late
    /// submission from taking effect. Earlier versions take it for the row of an ended job.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub withdrawn: bool,
}

/// Terms of a queue, which count for a job while the configuration does not have the queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct QueueTerms {
    /// Priority; zero is the highest.
    pub priority: u32,
    /// Number of failed runs of a task after which its job fails.
    pub max_attempts: u32,
    /// Factor of the latency objective.
    pub stretch: f64,
    /// Constant part of the latency objective.
    pub target: Duration,
    /// Timing of the advice service; `None` if the queue does not use it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advice: Option<AdviceTiming>,
}

/// Progress of a job.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct ProgressRow {
    /// State shown to callers.
    pub state: JobState,
    /// Team that may query the job.
    pub team: Option<TeamId>,
    /// Occurrences below this number are done.
    #[serde(default)]
    pub through: OccurrenceIndex,
    /// Occurrences from `through` on that have begun.
    #[serde(default)]
    pub occurrences: Vec<OccurrenceRow>,
    /// Whether the histories of the tasks are in rows of their own, and those here are not complete.
    /// Earlier versions leave it out.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub has_histories: bool,
}

/// Progress of an occurrence.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct OccurrenceRow {
    /// Number of the occurrence.
    pub k: OccurrenceIndex,
    /// For each step, the bitmap of the tasks that are done, in hexadecimal digits.
    pub done: Vec<Box<str>>,
    /// Tasks that are not done but have failed runs or a checkpoint.
    #[serde(default)]
    pub tasks: Vec<TaskRow>,
}

/// Run history of a task.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct TaskRow {
    /// Step.
    pub step: StepIndex,
    /// Position in the step.
    pub index: TaskIndex,
    /// Numbers of the failed runs.
    #[serde(default)]
    pub failed: Vec<RunNumber>,
    /// Numbers of the runs under which the VM crashed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashed: Vec<RunNumber>,
    /// Last run whose VM has crashed, perhaps before the start reached it. Earlier versions leave it
    /// out, and have such runs among the crashed ones.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub uncertain: Option<RunNumber>,
    /// Highest run known to have ended.
    pub run: RunNumber,
    /// Checkpoint to resume from.
    #[serde(default)]
    pub checkpoint: Checkpoint,
}

/// Runs whose VM may have crashed, or whose task has crashed VMs before.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct LostRow {
    /// VMs with such runs.
    pub vms: Vec<LostVmRow>,
}

/// VM with runs whose VM may have crashed, or whose task has crashed VMs before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct LostVmRow {
    /// Id.
    pub vm: VmId,
    /// Host machine; empty if unknown.
    pub machine: Box<str>,
    /// Start of the VM's lifetime, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Name of the task and number of each run whose start has reached the VM. In a row of an earlier
    /// version, of each run.
    pub runs: Vec<(Box<str>, RunNumber)>,
    /// The same of the runs whose starts may not have reached the VM; `None` from an earlier version,
    /// which ignores them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub uncertain_runs: Option<Vec<(Box<str>, RunNumber)>>,
    /// Whether the VM has other runs, which are not listed, that may have caused a crash.
    #[serde(default)]
    pub has_more: bool,
}

/// Owner row: the placer of a part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct OwnerRow {
    /// Epoch, which increases by one with each holder.
    pub epoch: Epoch,
    /// Daemon of the holder.
    pub daemon: DaemonId,
    /// Nonce of the daemon's process, which distinguishes it from earlier ones.
    pub nonce: u64,
}

/// Heartbeat of the placer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct HeartbeatRow {
    /// Placer that sent it.
    pub owner: OwnerRow,
    /// Whether the placer has released the role.
    #[serde(default)]
    pub released: bool,
    /// Whether the placer is still loading its rows.
    #[serde(default)]
    pub loading: bool,
    /// Number of jobs without a started task, by queue; `None` if it is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub waiting: Option<FxHashMap<QueueId, u64>>,
    /// Age of that number when the heartbeat was written, in milliseconds.
    #[serde(default)]
    pub waiting_age_ms: u64,
    /// Estimated waits of new jobs, for the queues and teams whose wait is worth reporting.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub waits: Vec<WaitRow>,
    /// Time in milliseconds for which the placer may renew leases after this heartbeat without
    /// storing another one; `None` from an earlier version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub renews_ms: Option<u64>,
    /// Age in milliseconds up to which answers of VMs allow the placer to renew leases after that time;
    /// `None` from an earlier version, which renews them unless many VMs are silent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub confirms_ms: Option<u64>,
    /// Time in milliseconds for which earlier placers may renew leases after this heartbeat without
    /// answers of VMs; zero once no run of theirs can be unknown.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub former_renews_ms: u64,
}

/// Returns whether a number is zero, for serde.
#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// Estimated wait of a new job of a queue and team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct WaitRow {
    /// Queue.
    pub queue: QueueId,
    /// Team; `None` for jobs without a key, on public queues.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamId>,
    /// Wait in milliseconds.
    pub wait_ms: u64,
}

/// VMs on which the placer may be stopping runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct StopsRow {
    /// Ids of the VMs.
    pub vms: Vec<VmId>,
    /// Whether there are more than fit, so that it may be stopping runs on any VM.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub has_more: bool,
}

/// Address of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct AddressRow {
    /// Address for calls between daemons.
    pub peer: Box<str>,
    /// Availability zone; `None` from an earlier version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<ZoneId>,
    /// Capacity of the daemon's host.
    #[serde(default)]
    pub capacity: HostCapacity,
}

/// VM on which the placer may have started tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RosterRow {
    /// Address to which orders are sent.
    pub address: Box<str>,
    /// Largest capacity that the VM had before it was added; zero if unknown. It may shrink for a
    /// time.
    #[serde(default)]
    pub capacity: Resources,
    /// Start of the lifetime in which the VM was added, in milliseconds since the Unix epoch; zero if
    /// unknown, and in rows of an earlier version.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub started_ms: u64,
}

impl QueueTerms {
    /// Returns the terms of a queue.
    pub fn of(queue: &Queue) -> Self {
        Self {
            priority: queue.priority,
            max_attempts: queue.max_attempts,
            stretch: queue.stretch,
            target: queue.target,
            advice: queue.advice,
        }
    }
}

impl HeartbeatRow {
    /// Returns a heartbeat of a placer that loads its rows and renews no lease yet. When it has
    /// loaded them, it may renew leases for at most `renews`. Earlier placers may do so for at most
    /// `former_renews`, or longer by answers of VMs.
    pub fn loading(owner: OwnerRow, renews: Duration, former_renews: Duration) -> Self {
        Self {
            owner,
            released: false,
            loading: true,
            waiting: None,
            waiting_age_ms: 0,
            waits: Vec::new(),
            renews_ms: Some(millis(renews)),
            confirms_ms: None,
            former_renews_ms: millis(former_renews),
        }
    }

    /// Returns the number of jobs of a queue without a started task, and its age when the heartbeat
    /// was written; `None` if it is not known. The row has no entry for a queue where none waits.
    pub fn waiting_jobs(&self, queue: &str) -> Option<(u64, Duration)> {
        // A loading placer of an earlier version writes an empty list.
        let counts = self.waiting.as_ref().filter(|_| !self.loading)?;
        let count = counts.get(queue).copied().unwrap_or(0);
        Some((count, Duration::from_millis(self.waiting_age_ms)))
    }

    /// Returns the estimated wait of a new job of a queue and team; `None` if it is short or not
    /// known.
    pub fn wait(&self, queue: &str, team: Option<&TeamId>) -> Option<Duration> {
        let is_pair = |row: &&WaitRow| &*row.queue == queue && row.team.as_ref() == team;
        let row = self.waits.iter().find(is_pair)?;
        Some(Duration::from_millis(row.wait_ms))
    }
}

impl JobRow {
    /// Returns whether each step of the job depends on earlier steps only.
    pub fn has_valid_dependencies(&self) -> bool {
        let job = self.job.as_ref();
        job.is_none_or(Submission::has_valid_dependencies)
    }
}

/// Encodes a value as JSON.
pub(super) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("rows of this module serialize to JSON")
}

/// Encodes a row with a list in at most `max_bytes`; `truncate` shortens the list of a row to a length
/// and marks the row.
pub(super) fn encode_within<T: Serialize>(
    row: &mut T,
    len: usize,
    max_bytes: usize,
    truncate: impl Fn(&mut T, usize),
) -> Vec<u8> {
    let mut value = encode(row);
    let mut len = len;
    while value.len() > max_bytes && len > 0 {
        // The entries are of about the same size.
        len = (len * max_bytes / value.len()).min(len - 1);
        truncate(row, len);
        value = encode(row);
    }
    value
}

/// Decodes a value from JSON; the error is the parser's message.
pub(super) fn decode<T: DeserializeOwned>(value: &[u8]) -> Result<T> {
    serde_json::from_slice(value).map_err(|err| err.to_string().into())
}

/// Returns the number of the part that stores a job, a hash of the job's id.
pub(super) fn job_part(job: &str) -> u8 {
    let hash = job
        .bytes()
        .fold(0_u8, |hash, byte| hash.wrapping_mul(31).wrapping_add(byte));
    hash % JOB_PARTS
}

/// Returns the name of a part that stores jobs.
pub(super) fn job_part_name(part: u8) -> Box<str> {
    format!("{JOBS_PART_PREFIX}{part}").into()
}

/// Returns whether a part stores jobs.
pub(super) fn is_job_part(part: &str) -> bool {
    part.starts_with(JOBS_PART_PREFIX)
}

/// Returns the id of a row in the part of a job: the job's row or the row that cancels it.
pub(super) fn job_row(job: &str, key: &str) -> RowId {
    RowId::new(JOBS, &job_part_name(job_part(job)), key)
}

/// Returns the key of the row that cancels a job.
pub(super) fn cancel_key(job: &str) -> Box<str> {
    format!("{job}{CANCEL_SUFFIX}").into()
}

/// Returns the job that a row cancels, if the key is that of a cancellation.
pub(super) fn cancelled_job(key: &str) -> Option<&str> {
    key.strip_suffix(CANCEL_SUFFIX)
}

/// Encodes a bitmap as hexadecimal digits, with four bits a digit, the first in the lowest bit.
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

/// Returns whether a bit of an encoded bitmap is set.
pub(super) fn bit_is_set(digits: &str, ix: usize) -> bool {
    let digit = digits.as_bytes().get(ix / 4).copied();
    let digit = digit.and_then(|digit| char::from(digit).to_digit(16));
    digit.is_some_and(|digit| digit >> (ix % 4) & 1 == 1)
}
