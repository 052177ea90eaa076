//! Progress of jobs, written to the table in transactions that follow one another: each expects
//! the version that the one before has left on the sequence row, so that none can take effect late.

use super::Lost;
use super::Placer;
use super::Release;
use super::book::Book;
use super::book::Job;
use super::book::JobKey;
use super::book::Place;
use super::book::StepRun;
use super::fleet::VmKey;
use crate::core::model::Now;
use crate::core::model::Rev;
use crate::core::workload::cx::Cx;
use crate::core::workload::event::CommitPurpose;
use crate::core::workload::event::ReadPurpose;
use crate::core::workload::rows::HEARTBEAT_KEY;
use crate::core::workload::rows::OccurrenceRow;
use crate::core::workload::rows::ProgressRow;
use crate::core::workload::rows::SEQUENCE_KEY;
use crate::core::workload::rows::STOPS_KEY;
use crate::core::workload::rows::TaskRow;
use crate::core::workload::rows::encode;
use crate::core::workload::rows::encode_bitmap;
use crate::core::workload::submission::StepIndex;
use crate::core::workload::table::CommitOutcome;
use crate::core::workload::table::HEARTBEATS;
use crate::core::workload::table::PROGRESS;
use crate::core::workload::table::Page;
use crate::core::workload::table::Range;
use crate::core::workload::table::RowId;
use crate::core::workload::table::Transaction;

/// Largest number of jobs in one transaction.
const MAX_JOBS: usize = 90;

/// Largest total size of the values in one transaction, in bytes.
const MAX_BYTES: usize = 600_000;

/// State of the writes.
#[derive(Debug)]
pub(super) struct Progress {
    /// Version of the sequence row.
    sequence: Rev,
    under_way: Option<Batch>,
    next_at: Now,
    /// Whether the last outcome has to be read first.
    unsettled: bool,
    /// VMs that the table names, or is about to, as having runs that are being stopped; `None` if
    /// that is not known.
    stops: Option<Vec<VmKey>>,
    /// Whether stops wait for the table to name their VMs.
    stops_wait: bool,
}

/// A transaction under way.
#[derive(Debug, Default)]
struct Batch {
    jobs: Vec<JobKey>,
    sent: Now,
    /// Whether it gives the role up.
    releases: bool,
    /// Last end of each VM whose consequences it holds.
    cursors: Vec<(VmKey, u64, u64)>,
    /// VMs that it names as having runs that are being stopped, if it names other ones.
    stops: Option<Vec<VmKey>>,
}

impl Progress {
    /// No write yet; the sequence row has the version that granted the role.
    pub fn new(sequence: Rev) -> Self {
        Self {
            sequence,
            under_way: None,
            next_at: Now::ZERO,
            unsettled: false,
            stops: None,
            stops_wait: false,
        }
    }

    /// VMs named as having runs that are being stopped.
    pub fn stops(&self) -> Option<&Vec<VmKey>> {
        self.stops.as_ref()
    }

    /// Stops wait for their VMs to be named.
    pub fn want_stops(&mut self) {
        self.stops_wait = true;
    }

    /// When the next write is due.
    pub fn wake_at(&self, book: &Book, beat_at: Now) -> Option<Now> {
        if self.under_way.is_some() {
            return None;
        }
        let wanted = self.unsettled || self.stops_wait || !book.marked().is_empty();
        let at = if wanted {
            self.next_at
        } else {
            beat_at.max(self.next_at)
        };
        Some(at)
    }
}

impl Placer {
    /// Writes the progress of jobs that have changed, when a write is due.
    pub(super) fn write_progress(&mut self, cx: &mut Cx) {
        if self.progress.under_way.is_some() || cx.now < self.progress.next_at {
            return;
        }
        if self.progress.unsettled {
            return self.read_sequence(cx);
        }
        let mut jobs: Vec<JobKey> = self.book.marked().iter().copied().collect();
        let cursors = self.cursors();
        let beats = cx.now >= self.beat_at;
        if jobs.is_empty() && cursors.is_empty() && !beats && !self.progress.stops_wait {
            return;
        }
        let part = &cx.options.part;
        let sequence = RowId::new(PROGRESS, part, SEQUENCE_KEY);
        let mut txn = Transaction {
            expect: vec![(sequence.clone(), self.progress.sequence)],
            put: vec![(sequence, encode(&self.owner.epoch))],
            remove: Vec::new(),
        };
        let mut bytes = 0;
        let mut taken = 0;
        for key in &jobs {
            let Some(job) = self.book.jobs.get(key) else {
                continue;
            };
            if taken >= MAX_JOBS || bytes >= MAX_BYTES {
                break;
            }
            let value = encode(&job.row());
            bytes += value.len();
            taken += 1;
            txn.put.push((RowId::new(PROGRESS, part, &job.id), value));
            self.book.unmark(*key);
        }
        if beats {
            self.beat_at = cx.now + cx.options.placer.beat_every;
            let row = RowId::new(HEARTBEATS, part, HEARTBEAT_KEY);
            txn.put.push((row, encode(&self.beat_row())));
        }
        let stops = self.stops_row(cx.now).map(|(keys, row)| {
            txn.put
                .push((RowId::new(PROGRESS, part, STOPS_KEY), encode(&row)));
            keys
        });
        if let Some(keys) = &stops {
            self.leave_out(keys);
            self.progress.stops = Some(keys.clone());
        }
        self.progress.stops_wait = false;
        let whole = taken == jobs.len();
        jobs.truncate(taken);
        self.progress.under_way = Some(Batch {
            sent: cx.now,
            releases: beats && self.release == Release::UnderWay,
            jobs,
            cursors: if whole { cursors } else { Vec::new() },
            stops,
        });
        self.progress.next_at = cx.now + cx.options.placer.progress_every;
        cx.commit(CommitPurpose::Progress, txn);
    }

    /// Takes the outcome of a write.
    pub(super) fn progress_written(&mut self, cx: &mut Cx, outcome: &CommitOutcome) -> Lost {
        let batch = self.progress.under_way.take()?;
        if let CommitOutcome::Done(version) = outcome {
            self.progress.sequence = *version;
            self.committed = batch.sent;
            if batch.releases {
                self.release = Release::Done;
            }
            if let Some(keys) = batch.stops {
                self.stops_written(cx, &keys);
            }
            for (key, born, end) in batch.cursors {
                if let Some(vm) = self.fleet.vms.get_mut(&key)
                    && vm.born == born
                {
                    vm.noted_end = vm.noted_end.max(end);
                    let gap = cx.now + cx.options.vms.hold_gap;
                    vm.hold.next_at = vm.hold.next_at.min(gap);
                }
            }
            return None;
        }
        for key in batch.jobs {
            self.book.mark(key);
        }
        if batch.stops.is_some() {
            self.progress.stops = None;
            self.progress.stops_wait = true;
        }
        self.progress.next_at = cx.now + cx.options.table.retry_delay;
        self.progress.unsettled = !matches!(outcome, CommitOutcome::Refused(_));
        None
    }

    /// Takes the sequence row after a write whose outcome was unknown or in conflict. Whatever has
    /// taken effect, all of it is written again.
    pub fn sequence_read(&mut self, cx: &mut Cx, page: Result<Page, Box<str>>) -> Lost {
        if !self.progress.unsettled {
            return None;
        }
        self.progress.under_way = None;
        self.progress.next_at = cx.now + cx.options.table.retry_delay;
        let Ok(page) = page else {
            return None;
        };
        let row = page.rows.first();
        let own = encode(&self.owner.epoch);
        match row {
            Some(row) if row.value.as_ref() == Some(&own) => {
                self.progress.sequence = row.version;
                self.progress.unsettled = false;
                self.progress.next_at = cx.now;
                None
            }
            _ => Some("another placer has written the sequence row".into()),
        }
    }

    /// The table answers again: a read of the sequence row that has no answer yet is not waited for.
    pub(super) fn table_regained(&mut self, cx: &mut Cx) {
        if self.progress.unsettled {
            self.read_sequence(cx);
        }
    }

    fn read_sequence(&mut self, cx: &mut Cx) {
        self.progress.under_way = Some(Batch::default());
        let timeout = cx.options.table.read_timeout;
        let range = Range::row(PROGRESS, &cx.options.part, SEQUENCE_KEY, timeout);
        cx.read(ReadPurpose::Sequence, range);
    }

    /// VMs with ends that are taken in and not yet noted.
    fn cursors(&self) -> Vec<(VmKey, u64, u64)> {
        let vms = self.fleet.vms.iter();
        vms.filter(|(_, vm)| vm.seen_end > vm.noted_end)
            .map(|(&key, vm)| (key, vm.born, vm.seen_end))
            .collect()
    }
}

impl Job {
    fn row(&self) -> ProgressRow {
        let ended = self.ended_at.is_some();
        let occurrences = self.occurrences.iter();
        let occurrences = occurrences.map(|(&k, steps)| OccurrenceRow {
            k,
            done: steps.iter().map(StepRun::done_bits).collect(),
            tasks: steps.iter().enumerate().flat_map(task_rows).collect(),
        });
        ProgressRow {
            state: self.state,
            team: self.team.clone(),
            through: self.through,
            occurrences: if ended {
                Vec::new()
            } else {
                occurrences.collect()
            },
        }
    }
}

impl StepRun {
    fn done_bits(&self) -> Box<str> {
        encode_bitmap(self.tasks.iter().map(|task| task.place == Place::Done))
    }
}

fn task_rows((ix, step): (usize, &StepRun)) -> Vec<TaskRow> {
    let histories = step.tasks.iter().enumerate().filter(|(_, task)| {
        task.place != Place::Done && (!task.failed.is_empty() || !task.checkpoint.is_empty())
    });
    histories
        .map(|(index, task)| TaskRow {
            step: StepIndex::try_from(ix).unwrap_or(StepIndex::MAX),
            index: u32::try_from(index).unwrap_or(u32::MAX),
            failed: task.failed.clone(),
            run: task.run,
            checkpoint: task.checkpoint.clone(),
        })
        .collect()
}
