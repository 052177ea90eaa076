//! Histories of the tasks of large jobs, in rows of their own.
//!
//! A row of the table has a maximum size. The progress of a job is one row while it fits. From then on
//! the job's row has the bitmaps of the tasks that are done, and the histories of the others are in
//! rows of [`BLOCK_TASKS`] tasks each. A row of histories is written before the job's row that relies
//! on it, and removed after the job's row that does not.
//!
//! Earlier versions ignore these rows. The job's row therefore also has as many failures as fit, and
//! an earlier version that writes it leaves out the field by which the other rows count.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::core::model::JobId;
use crate::core::model::TaskIndex;
use crate::core::workload::cx::Cx;
use crate::core::workload::decision::Decision;
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::state::job_registry::Job;
use crate::core::workload::placer::state::job_registry::JobKey;
use crate::core::workload::placer::state::job_registry::Placement;
use crate::core::workload::placer::state::job_registry::Task;
use crate::core::workload::rows::decode;
use crate::core::workload::rows::encode;
use crate::core::workload::submission::OccurrenceIndex;
use crate::core::workload::submission::StepIndex;
use crate::core::workload::table::TableRow;
use crate::core::workload::task::Checkpoint;
use crate::core::workload::task::RunNumber;

/// Number of tasks whose histories share a row.
const BLOCK_TASKS: usize = 64;

/// Longest checkpoint in such a row, in bytes. The work behind a longer one is repeated if the placer
/// and the VM are lost at the same time.
const MAX_CHECKPOINT_BYTES: usize = 512;

/// Number of failures and of crashes of a task that are kept if its row is too large otherwise.
const MIN_KEPT_RUNS: usize = 16;

/// Tasks of a step whose histories share a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::core::workload::placer) struct BlockKey {
    occurrence: OccurrenceIndex,
    step: StepIndex,
    /// Index of the first task divided by [`BLOCK_TASKS`].
    number: u32,
}

/// Value of a row with histories.
#[derive(Debug, Default, Serialize, Deserialize)]
struct HistoryRow {
    tasks: Vec<TaskHistory>,
    /// For some tasks, the last run whose VM has crashed, perhaps before the start reached it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    uncertain: Vec<(TaskIndex, RunNumber)>,
}

/// History of a task: its index, the highest run known to have ended, the failed runs, the runs under
/// which a VM crashed, and the checkpoint.
#[derive(Debug, Serialize, Deserialize)]
struct TaskHistory(
    TaskIndex,
    RunNumber,
    Vec<RunNumber>,
    Vec<RunNumber>,
    Checkpoint,
);

/// Rows of a job's histories.
#[derive(Debug, Default)]
pub(in crate::core::workload::placer) struct StoredHistories {
    /// Whether the job's progress does not fit into one row.
    pub is_split: bool,
    /// Values in the table; `None` if a write has no answer yet, or none that tells.
    rows: BTreeMap<BlockKey, Option<Vec<u8>>>,
}

/// Change of a row with histories.
#[derive(Debug)]
pub(in crate::core::workload::placer) struct HistoryChange {
    pub block: BlockKey,
    /// New value; `None` to remove the row.
    pub value: Option<Vec<u8>>,
}

/// Rows with histories that were loaded, by job, until the job is known.
pub(in crate::core::workload::placer) type LoadedHistories =
    BTreeMap<JobId, Vec<(BlockKey, Vec<u8>)>>;

impl BlockKey {
    /// Returns the key of the row for a job.
    pub fn row_key(self, job: &str) -> Box<str> {
        let Self {
            occurrence,
            step,
            number,
        } = self;
        format!("{job}/{occurrence}.{step}.{number}").into()
    }

    /// Returns the job and the block of a row; `None` if the key is not that of such a row.
    fn parse(key: &str) -> Option<(&str, Self)> {
        let (job, block) = key.split_once('/')?;
        let mut numbers = block.split('.');
        let block = Self {
            occurrence: numbers.next()?.parse().ok()?,
            step: numbers.next()?.parse().ok()?,
            number: numbers.next()?.parse().ok()?,
        };
        numbers.next().is_none().then_some((job, block))
    }
}

impl StoredHistories {
    /// Records that a change is being written.
    pub fn begin_write(&mut self, block: BlockKey) {
        self.rows.insert(block, None);
    }

    /// Records that a change was written.
    pub fn end_write(&mut self, change: HistoryChange) {
        match change.value {
            Some(value) => self.rows.insert(change.block, Some(value)),
            None => self.rows.remove(&change.block),
        };
    }

    /// Removes and returns the blocks that may have a row.
    pub fn take_blocks(&mut self) -> Vec<BlockKey> {
        std::mem::take(&mut self.rows).into_keys().collect()
    }
}

impl Job {
    /// Returns the changes of the rows with histories, with values of at most `max_bytes`.
    pub fn history_changes(&self, max_bytes: usize) -> Vec<HistoryChange> {
        let current = self.history_rows(max_bytes);
        let stored = &self.histories.rows;
        let unused = stored.keys().filter(|block| !current.contains_key(block));
        let mut changes: Vec<HistoryChange> = unused
            .map(|&block| HistoryChange { block, value: None })
            .collect();
        for (block, value) in current {
            let is_stored = stored
                .get(&block)
                .is_some_and(|row| row.as_ref() == Some(&value));
            if !is_stored {
                let value = Some(value);
                changes.push(HistoryChange { block, value });
            }
        }
        changes
    }

    fn history_rows(&self, max_bytes: usize) -> BTreeMap<BlockKey, Vec<u8>> {
        let mut rows = BTreeMap::new();
        for (&occurrence, steps) in &self.occurrences {
            for (step, progress) in steps.iter().enumerate() {
                for (number, tasks) in progress.tasks.chunks(BLOCK_TASKS).enumerate() {
                    let block = BlockKey {
                        occurrence,
                        step: StepIndex::try_from(step).unwrap_or(StepIndex::MAX),
                        number: u32::try_from(number).unwrap_or(u32::MAX),
                    };
                    let row = HistoryRow::new(number * BLOCK_TASKS, tasks);
                    if !row.is_empty() {
                        rows.insert(block, row.encode_within(max_bytes));
                    }
                }
            }
        }
        rows
    }

    /// Loads a row with histories. Returns the reason if it cannot be decoded.
    fn load_history_row(&mut self, block: BlockKey, value: Vec<u8>) -> Result<(), Box<str>> {
        let row: HistoryRow = decode(&value)?;
        let steps = self.occurrences.get_mut(&block.occurrence);
        let step = steps.and_then(|steps| steps.get_mut(usize::from(block.step)));
        if let Some(step) = step {
            for TaskHistory(index, run, failed, crashed, checkpoint) in row.tasks {
                if let Some(task) = step.tasks.get_mut(index as usize) {
                    task.run = task.run.max(run);
                    task.failed = failed;
                    task.crashed = crashed;
                    task.checkpoint = checkpoint;
                }
            }
            for (index, run) in row.uncertain {
                if let Some(task) = step.tasks.get_mut(index as usize) {
                    task.uncertain = Some(run);
                }
            }
        }
        self.histories.rows.insert(block, Some(value));
        Ok(())
    }
}

impl HistoryRow {
    fn new(first_index: usize, tasks: &[Task]) -> Self {
        let mut row = Self::default();
        for (ix, task) in tasks.iter().enumerate() {
            let index = TaskIndex::try_from(first_index + ix).unwrap_or(TaskIndex::MAX);
            row.tasks.extend(TaskHistory::new(index, task));
            let uncertain = task.uncertain.filter(|_| task.placement != Placement::Done);
            row.uncertain.extend(uncertain.map(|run| (index, run)));
        }
        row
    }

    fn is_empty(&self) -> bool {
        self.tasks.is_empty() && self.uncertain.is_empty()
    }

    /// Encodes the row in at most `max_bytes`, if need be without the checkpoints and the oldest runs.
    fn encode_within(mut self, max_bytes: usize) -> Vec<u8> {
        let value = encode(&self);
        if value.len() <= max_bytes {
            return value;
        }
        for TaskHistory(_, _, failed, crashed, checkpoint) in &mut self.tasks {
            *checkpoint = "".into();
            for runs in [failed, crashed] {
                let dropped = runs.len().saturating_sub(MIN_KEPT_RUNS);
                runs.drain(..dropped);
            }
        }
        encode(&self)
    }
}

impl TaskHistory {
    /// Returns the history of a task; `None` if there is none to be stored. The checkpoint of a task
    /// with a run is in the reports of its VM.
    fn new(index: TaskIndex, task: &Task) -> Option<Self> {
        let checkpoint = match task.placement {
            Placement::Done => return None,
            Placement::Waiting if task.checkpoint.len() <= MAX_CHECKPOINT_BYTES => {
                task.checkpoint.clone()
            }
            Placement::Waiting | Placement::Assigned(_) => "".into(),
        };
        if task.failed.is_empty() && task.crashed.is_empty() && checkpoint.is_empty() {
            return None;
        }
        let (failed, crashed) = (task.failed.clone(), task.crashed.clone());
        Some(Self(index, task.run, failed, crashed, checkpoint))
    }
}

impl Placer {
    /// Keeps a row with histories until its job is known. Returns whether it is one.
    pub(in crate::core::workload::placer) fn keep_history_row(&mut self, row: &TableRow) -> bool {
        let Some((job, block)) = BlockKey::parse(&row.key) else {
            return false;
        };
        let value = row.value.clone().unwrap_or_default();
        let rows = self.loaded_histories.entry(job.into()).or_default();
        rows.push((block, value));
        true
    }

    /// Loads the histories of a job whose progress says whether they count.
    pub(in crate::core::workload::placer) fn load_histories(
        &mut self,
        cx: &mut Cx,
        key: JobKey,
        is_split: bool,
    ) {
        let Some(job) = self.registry.jobs.get_mut(&key) else {
            return;
        };
        job.histories.is_split = is_split;
        let rows = self.loaded_histories.remove(&job.id).unwrap_or_default();
        for (block, value) in rows {
            if !is_split {
                self.progress.remove_later(block.row_key(&job.id));
            } else if let Err(reason) = job.load_history_row(block, value) {
                let key = block.row_key(&job.id);
                cx.log(Decision::RowUnreadable { key, reason });
            }
        }
    }

    /// Schedules the removal of the rows with histories that belong to no job, once all jobs are known.
    pub(in crate::core::workload::placer) fn remove_orphaned_histories(&mut self) {
        if self.loaded_histories.is_empty() || !self.missing.is_empty() {
            return;
        }
        for (job, rows) in std::mem::take(&mut self.loaded_histories) {
            for (block, _) in rows {
                self.progress.remove_later(block.row_key(&job));
            }
        }
    }
}
