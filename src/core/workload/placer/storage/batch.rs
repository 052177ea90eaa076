//! A transaction with progress: its rows, within the limits of the table, and what it writes.

use crate::core::model::Now;
use crate::core::model::Rev;
use crate::core::workload::cx::Cx;
use crate::core::workload::placer::state::dirty_jobs::ChangeNumber;
use crate::core::workload::placer::state::fleet::VmKey;
use crate::core::workload::placer::state::job_registry::Job;
use crate::core::workload::placer::state::job_registry::JobKey;
use crate::core::workload::placer::storage::histories::HistoryChange;
use crate::core::workload::table::MAX_TRANSACTION_ENTRIES;
use crate::core::workload::table::PROGRESS;
use crate::core::workload::table::RowId;
use crate::core::workload::table::Transaction;

/// Number of entries left for the expected version, the sequence row and the placer's own rows.
const OWN_ENTRIES: usize = 6;

/// Maximum total size of the values of jobs, in bytes. With the placer's own rows, in base64, a
/// transaction stays below 1 MB.
const MAX_JOB_BYTES: usize = 400_000;

/// Contents of a transaction in flight.
#[derive(Debug, Default)]
pub(super) struct Batch {
    /// Jobs whose changes are all included, with the positions of these.
    pub jobs: Vec<(ChangeNumber, JobKey)>,
    /// Rows with histories.
    pub histories: Vec<(JobKey, HistoryChange)>,
    /// Keys of unused rows that are removed.
    pub removed: Vec<Box<str>>,
    pub sent: Now,
    /// Send time of the heartbeat, if the transaction writes it.
    pub heartbeat_sent: Option<Now>,
    /// Whether the transaction releases the role.
    pub releases_role: bool,
    /// VMs with runs being stopped, if the transaction changes them.
    pub stopping_vms: Option<Vec<VmKey>>,
    /// Whether the transaction writes the estimates.
    pub has_estimates: bool,
    /// Whether the transaction writes the runs of lost VMs.
    pub has_lost: bool,
}

/// How much of a job's progress a transaction includes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Included {
    All,
    /// The rest follows in the next transaction.
    Part,
    /// The job's row is larger than the table allows.
    TooLarge,
}

/// Collects the rows of a transaction.
pub(super) struct BatchBuilder {
    pub sent: Batch,
    txn: Transaction,
    part: Box<str>,
    max_value_bytes: usize,
    entries_left: usize,
    bytes_left: usize,
}

impl Batch {
    pub fn has_jobs(&self) -> bool {
        !self.jobs.is_empty() || !self.histories.is_empty()
    }

    /// Returns whether the transaction has rows of the placer beside the sequence row.
    pub fn has_own_rows(&self) -> bool {
        let optional = self.has_estimates || self.has_lost;
        self.heartbeat_sent.is_some() || self.stopping_vms.is_some() || optional
    }

    /// Returns the jobs of which the transaction writes anything.
    pub fn job_keys(&self) -> Vec<JobKey> {
        let complete = self.jobs.iter().map(|&(_, key)| key);
        let partial = self.histories.iter().map(|&(key, _)| key);
        let mut keys: Vec<JobKey> = complete.chain(partial).collect();
        keys.sort_unstable();
        keys.dedup();
        keys
    }
}

impl BatchBuilder {
    /// Returns an empty transaction that expects the version of a row.
    pub fn new(cx: &Cx, expected: (RowId, Rev)) -> Self {
        Self {
            sent: Batch {
                sent: cx.now,
                ..Batch::default()
            },
            txn: Transaction {
                expect: vec![expected],
                ..Transaction::default()
            },
            part: cx.options.part.clone(),
            max_value_bytes: cx.options.table.max_value_bytes,
            entries_left: MAX_TRANSACTION_ENTRIES - OWN_ENTRIES,
            bytes_left: MAX_JOB_BYTES,
        }
    }

    /// Adds one of the placer's own rows.
    pub fn put(&mut self, row: RowId, value: Vec<u8>) {
        self.txn.put.push((row, value));
    }

    /// Adds the progress of a job, the rows with histories first.
    pub fn add_job(&mut self, key: JobKey, number: ChangeNumber, job: &mut Job) -> Included {
        let value = job.progress_value(self.max_value_bytes);
        if value.len() > self.max_value_bytes {
            return Included::TooLarge;
        }
        if job.histories.is_split && job.ended_at.is_none() {
            for change in job.history_changes(self.max_value_bytes) {
                let bytes = change.value.as_ref().map_or(0, Vec::len);
                if !self.reserve(bytes) {
                    return Included::Part;
                }
                let row = RowId::new(PROGRESS, &self.part, &change.block.row_key(&job.id));
                match &change.value {
                    Some(value) => self.txn.put.push((row, value.clone())),
                    None => self.txn.remove.push(row),
                }
                job.histories.begin_write(change.block);
                self.sent.histories.push((key, change));
            }
        }
        if !self.reserve(value.len()) {
            return Included::Part;
        }
        let row = RowId::new(PROGRESS, &self.part, &job.id);
        self.txn.put.push((row, value));
        self.sent.jobs.push((number, key));
        Included::All
    }

    /// Adds the removal of unused rows, as many as there is room for, and takes them from the list.
    pub fn remove_rows(&mut self, keys: &mut Vec<Box<str>>) {
        let kept = keys.len().saturating_sub(self.entries_left);
        for key in keys.drain(kept..) {
            self.entries_left -= 1;
            self.txn.remove.push(RowId::new(PROGRESS, &self.part, &key));
            self.sent.removed.push(key);
        }
    }

    pub fn finish(self) -> (Batch, Transaction) {
        (self.sent, self.txn)
    }

    /// Takes room for a row; returns whether there is enough.
    fn reserve(&mut self, bytes: usize) -> bool {
        if self.entries_left == 0 || bytes > self.bytes_left {
            return false;
        }
        self.entries_left -= 1;
        self.bytes_left -= bytes;
        true
    }
}
