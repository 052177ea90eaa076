//! Writes of job progress to the table.
//!
//! Each transaction expects the version of the sequence row that its predecessor wrote, and writes
//! the row itself. A delayed transaction can therefore take effect neither after its successor nor
//! after another placer was granted the role, as the grant writes the row too.

use crate::core::model::Now;
use crate::core::model::Rev;
use crate::core::workload::cx::Cx;
use crate::core::workload::event::PlacerWrite;
use crate::core::workload::event::ReadPurpose;
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::Release;
use crate::core::workload::placer::RoleLoss;
use crate::core::workload::placer::state::fleet::VmKey;
use crate::core::workload::placer::state::job_registry::Job;
use crate::core::workload::placer::state::job_registry::JobKey;
use crate::core::workload::placer::state::job_registry::JobRegistry;
use crate::core::workload::placer::state::job_registry::Placement;
use crate::core::workload::placer::state::job_registry::StepProgress;
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

/// Maximum number of jobs in one transaction.
const MAX_BATCH_JOBS: usize = 90;

/// Total size of job values, in bytes, from which on no further job is added to a transaction.
const MAX_BATCH_BYTES: usize = 600_000;

/// State of the progress writes.
#[derive(Debug)]
pub(in crate::core::workload::placer) struct ProgressWriter {
    /// Version of the sequence row that the next write expects.
    sequence: Rev,
    /// Transaction in flight; an empty batch while the sequence row is being read.
    in_flight: Option<Batch>,
    next_at: Now,
    /// Time of the first heartbeat of its own that was stored since the last stored write.
    late_heartbeat_at: Option<Now>,
    /// Whether the sequence row must be read before the next write, as the outcome of the last one
    /// is unknown or a conflict.
    outcome_unknown: bool,
    /// VMs with runs being stopped, as last written to the table or as in the write in flight;
    /// `None` if the contents of the table are unknown.
    stopping_vms: Option<Vec<VmKey>>,
    /// Whether stop orders wait for their VMs to be written to the table.
    stops_pending: bool,
}

/// A transaction in flight.
#[derive(Debug, Default)]
struct Batch {
    jobs: Vec<JobKey>,
    sent: Now,
    /// Send time of the heartbeat, if the transaction writes it.
    heartbeat_sent: Option<Now>,
    /// Whether the transaction releases the role.
    releases_role: bool,
    /// VM, start of its lifetime, and sequence number of its last ended run whose effects are
    /// included.
    ack_cursors: Vec<(VmKey, u64, u64)>,
    /// VMs with runs being stopped, if the transaction changes them.
    stopping_vms: Option<Vec<VmKey>>,
    /// Whether the transaction writes the estimates.
    has_estimates: bool,
    /// Whether the transaction writes the runs of lost VMs.
    has_lost: bool,
}

impl ProgressWriter {
    /// Creates the state before the first write. `sequence` is the version that granted the role,
    /// as the grant wrote the sequence row too.
    pub fn new(sequence: Rev) -> Self {
        Self {
            sequence,
            in_flight: None,
            next_at: Now::ZERO,
            late_heartbeat_at: None,
            outcome_unknown: false,
            stopping_vms: None,
            stops_pending: false,
        }
    }

    /// Returns the VMs with runs being stopped, as last written or in flight.
    pub fn stopping_vms(&self) -> Option<&Vec<VmKey>> {
        self.stopping_vms.as_ref()
    }

    /// Requests a write, so that pending stop orders can be sent.
    pub fn request_stops_write(&mut self) {
        self.stops_pending = true;
    }

    /// Records a stored heartbeat of its own; returns the time of the first one since the last
    /// stored write.
    pub fn record_late_heartbeat(&mut self, now: Now) -> Now {
        *self.late_heartbeat_at.get_or_insert(now)
    }

    /// Returns the time at which the write in flight was sent; zero for a read of the sequence row,
    /// which follows a write without an answer.
    pub fn in_flight_since(&self) -> Option<Now> {
        self.in_flight.as_ref().map(|batch| batch.sent)
    }

    /// Returns the time of the next write or read; `None` while one is in flight.
    pub fn wake_at(&self, registry: &JobRegistry, next_heartbeat_at: Now) -> Option<Now> {
        if self.in_flight.is_some() {
            return None;
        }
        let write_pending =
            self.outcome_unknown || self.stops_pending || !registry.dirty_jobs().is_empty();
        let at = if write_pending {
            self.next_at
        } else {
            next_heartbeat_at.max(self.next_at)
        };
        Some(at)
    }
}

impl Placer {
    /// Writes the progress of changed jobs if a write is due.
    ///
    /// The transaction also carries the heartbeat and the VMs with runs being stopped, if due. If
    /// the outcome of the last write is unknown, reads the sequence row instead.
    pub(in crate::core::workload::placer) fn write_progress(&mut self, cx: &mut Cx) {
        if self.progress.in_flight.is_some() || cx.now < self.progress.next_at {
            return;
        }
        if self.progress.outcome_unknown {
            return self.read_sequence(cx);
        }
        let mut jobs: Vec<JobKey> = self.registry.dirty_jobs().iter().copied().collect();
        let ack_cursors = self.ack_cursors();
        let heartbeat_due = cx.now >= self.next_heartbeat_at;
        if jobs.is_empty()
            && ack_cursors.is_empty()
            && !heartbeat_due
            && !self.progress.stops_pending
        {
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
        let mut included = 0;
        for key in &jobs {
            let Some(job) = self.registry.jobs.get(key) else {
                continue;
            };
            if included >= MAX_BATCH_JOBS || bytes >= MAX_BATCH_BYTES {
                break;
            }
            let value = encode(&job.row());
            bytes += value.len();
            included += 1;
            txn.put.push((RowId::new(PROGRESS, part, &job.id), value));
            self.registry.clear_dirty(*key);
        }
        if heartbeat_due {
            self.next_heartbeat_at = cx.now + cx.options.placer.heartbeat_interval;
            self.named_grace.send(self.renewal_grace(cx));
            let row = RowId::new(HEARTBEATS, part, HEARTBEAT_KEY);
            txn.put.push((row, encode(&self.heartbeat_row(cx))));
        }
        let stopping_vms = self.stops_row(cx.now).map(|(keys, row)| {
            txn.put
                .push((RowId::new(PROGRESS, part, STOPS_KEY), encode(&row)));
            keys
        });
        if let Some(keys) = &stopping_vms {
            self.clear_stop_records(keys);
            self.progress.stopping_vms = Some(keys.clone());
        }
        self.progress.stops_pending = false;
        let estimates = self.estimates_row_if_due(cx);
        let has_estimates = estimates.is_some();
        txn.put.extend(estimates);
        let lost = heartbeat_due
            .then(|| self.lost_row_if_changed(cx))
            .flatten();
        let has_lost = lost.is_some();
        txn.put.extend(lost);
        let all_included = included == jobs.len();
        jobs.truncate(included);
        self.progress.in_flight = Some(Batch {
            sent: cx.now,
            heartbeat_sent: heartbeat_due.then_some(cx.now),
            releases_role: heartbeat_due && self.release == Release::InProgress,
            jobs,
            // Ended runs are acknowledged only after all their effects are written.
            ack_cursors: if all_included {
                ack_cursors
            } else {
                Vec::new()
            },
            stopping_vms,
            has_estimates,
            has_lost,
        });
        self.progress.next_at = cx.now + cx.options.placer.progress_interval;
        cx.commit(self.purpose(PlacerWrite::Progress), txn);
    }

    /// Handles the outcome of a write. A write that was not committed is repeated.
    pub(in crate::core::workload::placer) fn handle_progress_outcome(
        &mut self,
        cx: &mut Cx,
        outcome: &CommitOutcome,
    ) -> RoleLoss {
        let batch = self.progress.in_flight.take()?;
        if let CommitOutcome::Done(version) = outcome {
            self.progress.sequence = *version;
            self.progress.late_heartbeat_at = None;
            self.last_commit_sent_at = batch.sent;
            if let Some(sent) = batch.heartbeat_sent {
                self.last_heartbeat_sent_at = sent;
                self.named_grace.confirm();
            }
            if batch.releases_role {
                self.release = Release::Done;
            }
            for key in batch.jobs {
                self.archive_if_end_stored(key);
            }
            if let Some(keys) = batch.stopping_vms {
                self.handle_stops_written(cx, &keys);
            }
            for (key, started_ms, seq) in batch.ack_cursors {
                if let Some(vm) = self.fleet.vms.get_mut(&key)
                    && vm.started_ms == started_ms
                {
                    vm.stored_seq = vm.stored_seq.max(seq);
                    let gap = cx.options.vms.renewal_gap;
                    self.fleet.hasten_renewal(key, cx.now + gap);
                }
            }
            return None;
        }
        for key in batch.jobs {
            self.registry.mark_dirty(key);
        }
        if batch.has_estimates {
            self.estimates_writer.mark_changed();
        }
        if batch.has_lost {
            self.lost_writer.mark_unknown();
        }
        if batch.stopping_vms.is_some() {
            self.progress.stopping_vms = None;
            self.progress.stops_pending = true;
        }
        self.progress.next_at = cx.now + cx.options.table.retry_delay;
        self.progress.outcome_unknown = !matches!(outcome, CommitOutcome::Refused(_));
        None
    }

    /// Handles the sequence row that was read after a write with an unknown outcome or a conflict.
    ///
    /// The whole write is repeated, whether or not it took effect. Returns a reason if another
    /// placer has written the row.
    pub fn handle_sequence_row(&mut self, cx: &mut Cx, page: Result<Page, Box<str>>) -> RoleLoss {
        if !self.progress.outcome_unknown {
            return None;
        }
        self.progress.in_flight = None;
        self.progress.next_at = cx.now + cx.options.table.retry_delay;
        let Ok(page) = page else {
            return None;
        };
        let row = page.rows.first();
        let own = encode(&self.owner.epoch);
        match row {
            Some(row) if row.value.as_ref() == Some(&own) => {
                self.progress.sequence = row.version;
                self.progress.outcome_unknown = false;
                self.progress.next_at = cx.now;
                None
            }
            _ => Some("another placer has written the sequence row".into()),
        }
    }

    /// Repeats an unanswered read of the sequence row once the table answers again.
    pub(in crate::core::workload::placer) fn handle_table_recovered(&mut self, cx: &mut Cx) {
        if self.progress.outcome_unknown {
            self.read_sequence(cx);
        }
    }

    fn read_sequence(&mut self, cx: &mut Cx) {
        self.progress.in_flight = Some(Batch::default());
        let timeout = cx.options.table.read_timeout;
        let range = Range::row(PROGRESS, &cx.options.part, SEQUENCE_KEY, timeout);
        cx.read(ReadPurpose::Sequence(self.owner.epoch), range);
    }

    /// Returns the VMs with ended runs that are processed but not yet recorded in the table, in the
    /// form of [`Batch::ack_cursors`]. Those of jobs that are not loaded are not recorded.
    fn ack_cursors(&self) -> Vec<(VmKey, u64, u64)> {
        let vms = self.fleet.vms.iter();
        let vms = vms.filter(|(_, vm)| vm.processed_seq > vm.stored_seq);
        let cursors = vms.map(|(&key, vm)| {
            let max = self.missing.max_ack(key, vm.started_ms);
            let seq = max.map_or(vm.processed_seq, |max| max.min(vm.processed_seq));
            (key, vm, seq)
        });
        cursors
            .filter(|(_, vm, seq)| *seq > vm.stored_seq)
            .map(|(key, vm, seq)| (key, vm.started_ms, seq))
            .collect()
    }
}

impl Job {
    fn row(&self) -> ProgressRow {
        let ended = self.ended_at.is_some();
        let occurrences = self.occurrences.iter();
        let occurrences = occurrences.map(|(&k, steps)| OccurrenceRow {
            k,
            done: steps.iter().map(StepProgress::done_bits).collect(),
            tasks: steps.iter().enumerate().flat_map(task_rows).collect(),
        });
        ProgressRow {
            state: self.state,
            team: self.team.clone(),
            through: self.first_unfinished,
            occurrences: if ended {
                Vec::new()
            } else {
                occurrences.collect()
            },
        }
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
}

fn task_rows((ix, step): (usize, &StepProgress)) -> Vec<TaskRow> {
    let with_history = step.tasks.iter().enumerate().filter(|(_, task)| {
        task.placement != Placement::Done
            && (!task.failed.is_empty() || !task.crashed.is_empty() || !task.checkpoint.is_empty())
    });
    with_history
        .map(|(index, task)| TaskRow {
            step: StepIndex::try_from(ix).unwrap_or(StepIndex::MAX),
            index: u32::try_from(index).unwrap_or(u32::MAX),
            failed: task.failed.clone(),
            crashed: task.crashed.clone(),
            run: task.run,
            checkpoint: task.checkpoint.clone(),
        })
        .collect()
}
