//! Progress of a job as the value of its row.

use crate::core::workload::placer::state::job_registry::Job;
use crate::core::workload::placer::state::job_registry::Placement;
use crate::core::workload::placer::state::job_registry::StepProgress;
use crate::core::workload::placer::state::job_registry::Task;
use crate::core::workload::rows::OccurrenceRow;
use crate::core::workload::rows::ProgressRow;
use crate::core::workload::rows::TaskRow;
use crate::core::workload::rows::encode;
use crate::core::workload::rows::encode_bitmap;
use crate::core::workload::submission::OccurrenceIndex;
use crate::core::workload::submission::StepIndex;
use crate::core::workload::submission::Submission;

/// Part of a row that the bitmaps of the open occurrences may take, as a divisor of its size.
const BITMAPS_DIVISOR: usize = 2;

/// Part of the row of a job whose histories have rows of their own that failures may take, as a divisor
/// of its size. Earlier versions read these only.
const FAILURES_DIVISOR: usize = 4;

/// Size of the history of a task without its lists, in bytes.
const TASK_ROW_BYTES: usize = 64;

/// Size of a run number in such a list, in bytes.
const RUN_BYTES: usize = 8;

/// Returns whether the progress of a job can be stored in rows of this size.
pub(in crate::core::workload) fn fits(submission: &Submission, max_bytes: usize) -> bool {
    submission.bitmap_bytes() <= max_bytes / BITMAPS_DIVISOR
}

/// Returns the number of occurrences of a job that may be open at the same time.
pub(in crate::core::workload::placer) fn max_open_occurrences(
    submission: &Submission,
    max_bytes: usize,
) -> OccurrenceIndex {
    let open = max_bytes / BITMAPS_DIVISOR / submission.bitmap_bytes();
    OccurrenceIndex::try_from(open)
        .unwrap_or(OccurrenceIndex::MAX)
        .max(1)
}

impl Job {
    /// Returns the value of the job's row, of at most `max_bytes` if the histories can be left out.
    pub fn progress_value(&mut self, max_bytes: usize) -> Vec<u8> {
        if self.ended_at.is_some() {
            return encode(&self.row(Vec::new(), false));
        }
        if !self.histories.is_split {
            let value = encode(&self.row(self.occurrence_rows(has_history), false));
            if value.len() <= max_bytes {
                return value;
            }
            self.histories.is_split = true;
        }
        let mut left = max_bytes / FAILURES_DIVISOR;
        let fits = |task: &Task| {
            let size = TASK_ROW_BYTES + (task.failed.len() + task.crashed.len()) * RUN_BYTES;
            let fits = has_losses(task) && size <= left;
            left -= if fits { size } else { 0 };
            fits
        };
        let mut occurrences = self.occurrence_rows(fits);
        for task in occurrences.iter_mut().flat_map(|row| &mut row.tasks) {
            task.checkpoint = "".into();
        }
        encode(&self.row(occurrences, true))
    }

    fn row(&self, occurrences: Vec<OccurrenceRow>, has_histories: bool) -> ProgressRow {
        ProgressRow {
            state: self.state,
            team: self.team.clone(),
            through: self.first_unfinished,
            occurrences,
            has_histories,
        }
    }

    /// Returns the open occurrences with the histories of the tasks that match.
    fn occurrence_rows(&self, mut matches: impl FnMut(&Task) -> bool) -> Vec<OccurrenceRow> {
        let occurrences = self.occurrences.iter();
        let rows = occurrences.map(|(&k, steps)| {
            let done = steps.iter().map(StepProgress::done_bits).collect();
            let mut tasks = Vec::new();
            for (ix, step) in steps.iter().enumerate() {
                step.add_task_rows(ix, &mut matches, &mut tasks);
            }
            OccurrenceRow { k, done, tasks }
        });
        rows.collect()
    }
}

impl StepProgress {
    fn done_bits(&self) -> Box<str> {
        encode_bitmap(
            self.tasks
                .iter()
                .map(|task| task.placement == Placement::Done),
        )
    }

    fn add_task_rows(
        &self,
        step: usize,
        mut matches: impl FnMut(&Task) -> bool,
        rows: &mut Vec<TaskRow>,
    ) {
        let tasks = self.tasks.iter().enumerate();
        let unfinished = tasks.filter(|(_, task)| task.placement != Placement::Done);
        for (index, task) in unfinished.filter(|(_, task)| matches(task)) {
            rows.push(TaskRow {
                step: StepIndex::try_from(step).unwrap_or(StepIndex::MAX),
                index: u32::try_from(index).unwrap_or(u32::MAX),
                failed: task.failed.clone(),
                crashed: task.crashed.clone(),
                uncertain: task.uncertain,
                run: task.run,
                checkpoint: task.checkpoint.clone(),
            });
        }
    }
}

/// Returns whether a task has failed or may have crashed VMs.
fn has_losses(task: &Task) -> bool {
    !task.failed.is_empty() || !task.crashed.is_empty() || task.uncertain.is_some()
}

fn has_history(task: &Task) -> bool {
    has_losses(task) || !task.checkpoint.is_empty()
}
