//! Writes of job progress to the table.
//!
//! Each transaction expects the version of the sequence row that its predecessor wrote, and writes
//! the row itself. A delayed transaction can therefore take effect neither after its successor nor
//! after another placer was granted the role, as the grant writes the row too.
//!
//! A transaction has a maximum number of rows and a maximum size. The jobs that have waited longest go
//! first; the rest follows in the next one. If the table rejects a transaction for its contents, the
//! jobs in it are written in smaller and smaller groups until the one is found that cannot be stored.

use crate::core::model::Now;
use crate::core::model::Rev;
use crate::core::workload::cx::Cx;
use crate::core::workload::decision::Decision;
use crate::core::workload::effect::JobState;
use crate::core::workload::event::PlacerWrite;
use crate::core::workload::event::ReadPurpose;
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::Release;
use crate::core::workload::placer::RoleLoss;
use crate::core::workload::placer::state::dirty_jobs::ChangeNumber;
use crate::core::workload::placer::state::fleet::VmKey;
use crate::core::workload::placer::state::job_registry::JobKey;
use crate::core::workload::placer::state::job_registry::JobRegistry;
use crate::core::workload::placer::storage::batch::Batch;
use crate::core::workload::placer::storage::batch::BatchBuilder;
use crate::core::workload::placer::storage::batch::Included;
use crate::core::workload::rows::HEARTBEAT_KEY;
use crate::core::workload::rows::SEQUENCE_KEY;
use crate::core::workload::rows::STOPS_KEY;
use crate::core::workload::rows::encode;
use crate::core::workload::table::CommitOutcome;
use crate::core::workload::table::HEARTBEATS;
use crate::core::workload::table::PROGRESS;
use crate::core::workload::table::Page;
use crate::core::workload::table::Range;
use crate::core::workload::table::RowId;

/// Maximum number of jobs in one transaction.
pub(super) const MAX_BATCH_JOBS: usize = 90;

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
    /// Ended runs that are acknowledged once all changes up to a position are stored.
    pending_acks: Option<PendingAcks>,
    /// Rows to remove, whose values do not count any more.
    unused_rows: Vec<Box<str>>,
    rejections: Rejections,
}

/// What follows from transactions that the table has rejected for their contents.
#[derive(Debug, Default)]
struct Rejections {
    /// Maximum number of jobs in the next transaction; the placer's own rows are then written without
    /// jobs. `None` for no limit.
    max_jobs: Option<usize>,
    /// Whether the last transaction had only the placer's own rows, so that the jobs are next.
    wrote_own_rows: bool,
    /// Whether the rows that the next placer can do without are left out, as they were rejected.
    skips_optional_rows: bool,
}

/// Ended runs whose effects are among the changes up to a position.
#[derive(Debug)]
struct PendingAcks {
    /// VM, start of its lifetime, and sequence number of its last ended run that is included.
    cursors: Vec<(VmKey, u64, u64)>,
    up_to: ChangeNumber,
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
            pending_acks: None,
            unused_rows: Vec::new(),
            rejections: Rejections::default(),
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

    /// Schedules the removal of a row.
    pub fn remove_later(&mut self, key: Box<str>) {
        self.unused_rows.push(key);
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
        self.note_pending_acks();
        self.remove_orphaned_histories();
        let own_rows_due = cx.now >= self.next_heartbeat_at || self.progress.stops_pending;
        let has_changes = !self.registry.dirty_jobs().is_empty();
        if !has_changes && self.progress.pending_acks.is_none() && !own_rows_due {
            return;
        }
        let sequence = RowId::new(PROGRESS, &cx.options.part, SEQUENCE_KEY);
        let expected = (sequence.clone(), self.progress.sequence);
        let mut batch = BatchBuilder::new(cx, expected);
        batch.put(sequence, encode(&self.owner.epoch));
        let rejections = &mut self.progress.rejections;
        let is_split = rejections.max_jobs.is_some();
        let only_own_rows = is_split && own_rows_due && !(has_changes && rejections.wrote_own_rows);
        rejections.wrote_own_rows = only_own_rows;
        if !only_own_rows {
            self.add_jobs(cx, &mut batch);
        }
        if !is_split || only_own_rows {
            self.add_own_rows(cx, &mut batch);
        }
        let (batch, txn) = batch.finish();
        self.progress.in_flight = Some(batch);
        self.progress.next_at = cx.now + cx.options.placer.progress_interval;
        cx.commit(self.purpose(PlacerWrite::Progress), txn);
    }

    /// Adds the progress of the jobs whose changes have waited longest, and removes unused rows.
    fn add_jobs(&mut self, cx: &mut Cx, batch: &mut BatchBuilder) {
        let max_jobs = self.progress.rejections.max_jobs.unwrap_or(MAX_BATCH_JOBS);
        for (number, key) in self.registry.dirty_jobs().first(max_jobs) {
            let Some(job) = self.registry.jobs.get_mut(&key) else {
                self.registry.clear_dirty(key);
                continue;
            };
            let was_split = job.histories.is_split;
            let included = batch.add_job(key, number, job);
            if job.histories.is_split && !was_split {
                let (id, tasks) = (job.id.clone(), job.task_count());
                cx.log(Decision::ProgressSplit { id, tasks });
            }
            match included {
                Included::All => self.registry.clear_dirty(key),
                Included::Part => break,
                Included::TooLarge => self.set_apart(cx, key, "its row is too large"),
            }
        }
        batch.remove_rows(&mut self.progress.unused_rows);
    }

    /// Adds the placer's own rows that are due: the heartbeat, the VMs with runs being stopped, the
    /// estimates and the runs of lost VMs.
    fn add_own_rows(&mut self, cx: &mut Cx, batch: &mut BatchBuilder) {
        let part = &cx.options.part;
        let heartbeat_due = cx.now >= self.next_heartbeat_at;
        if heartbeat_due {
            self.next_heartbeat_at = cx.now + cx.options.placer.heartbeat_interval;
            self.named_grace.send(self.renewal_grace(cx));
            let row = RowId::new(HEARTBEATS, part, HEARTBEAT_KEY);
            batch.put(row, self.heartbeat_value(cx));
            batch.sent.heartbeat_sent = Some(cx.now);
            batch.sent.releases_role = self.release == Release::InProgress;
        }
        if let Some((keys, row)) = self.stops_row(cx) {
            batch.put(RowId::new(PROGRESS, part, STOPS_KEY), row);
            self.clear_stop_records(&keys);
            self.progress.stopping_vms = Some(keys.clone());
            batch.sent.stopping_vms = Some(keys);
        }
        self.progress.stops_pending = false;
        if self.progress.rejections.skips_optional_rows {
            return;
        }
        if let Some((row, value)) = self.estimates_row_if_due(cx) {
            batch.put(row, value);
            batch.sent.has_estimates = true;
        }
        if heartbeat_due && let Some((row, value)) = self.lost_row_if_changed(cx) {
            batch.put(row, value);
            batch.sent.has_lost = true;
        }
    }

    /// Notes which ended runs can be acknowledged once the changes so far are stored.
    fn note_pending_acks(&mut self) {
        if self.progress.pending_acks.is_some() {
            return;
        }
        let cursors = self.ack_cursors();
        if !cursors.is_empty() {
            let up_to = self.registry.dirty_jobs().last_number();
            self.progress.pending_acks = Some(PendingAcks { cursors, up_to });
        }
    }

    /// Acknowledges ended runs if all their effects are stored.
    fn acknowledge_stored(&mut self, cx: &Cx) {
        let dirty = self.registry.dirty_jobs();
        let is_stored = |acks: &mut PendingAcks| dirty.is_clean_up_to(acks.up_to);
        let Some(acks) = self.progress.pending_acks.take_if(is_stored) else {
            return;
        };
        for (key, started_ms, seq) in acks.cursors {
            if let Some(vm) = self.fleet.vms.get_mut(&key)
                && vm.started_ms == started_ms
            {
                vm.stored_seq = vm.stored_seq.max(seq);
                let gap = cx.options.vms.renewal_gap;
                self.fleet.hasten_renewal(key, cx.now + gap);
            }
        }
    }

    /// Handles the outcome of a write. A write that was not committed is repeated, but for what the
    /// table rejects.
    pub(in crate::core::workload::placer) fn handle_progress_outcome(
        &mut self,
        cx: &mut Cx,
        outcome: &CommitOutcome,
    ) -> RoleLoss {
        let batch = self.progress.in_flight.take()?;
        if let CommitOutcome::Done(version) = outcome {
            self.record_stored(cx, batch, *version);
            return None;
        }
        for &(number, key) in &batch.jobs {
            self.registry.restore_dirty(key, number);
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
        self.progress.outcome_unknown = matches!(
            outcome,
            CommitOutcome::Conflict(_) | CommitOutcome::Unknown(_)
        );
        if let CommitOutcome::Rejected(reason) = outcome {
            self.progress.next_at = cx.now + cx.options.placer.progress_interval;
            self.split_rejected(cx, &batch, reason);
        } else {
            self.progress.unused_rows.extend(batch.removed);
        }
        None
    }

    fn record_stored(&mut self, cx: &mut Cx, batch: Batch, version: Rev) {
        self.progress.sequence = version;
        self.progress.late_heartbeat_at = None;
        self.last_commit_sent_at = batch.sent;
        if let Some(sent) = batch.heartbeat_sent {
            self.last_heartbeat_sent_at = sent;
            self.named_grace.confirm();
        }
        if batch.releases_role {
            self.release = Release::Done;
        }
        if let Some(max_jobs) = self
            .progress
            .rejections
            .max_jobs
            .filter(|_| batch.has_jobs())
        {
            let next = max_jobs * 2;
            self.progress.rejections.max_jobs = (next < MAX_BATCH_JOBS).then_some(next);
        }
        for (key, change) in batch.histories {
            if let Some(job) = self.registry.jobs.get_mut(&key) {
                job.histories.end_write(change);
            }
        }
        for (_, key) in batch.jobs {
            self.archive_if_end_stored(key);
            self.remove_histories_of_ended_job(key);
        }
        if let Some(keys) = batch.stopping_vms {
            self.handle_stops_written(cx, &keys);
        }
        self.acknowledge_stored(cx);
    }

    /// Schedules the removal of the rows with histories of a job whose final state is stored.
    fn remove_histories_of_ended_job(&mut self, key: JobKey) {
        let is_dirty = self.registry.dirty_jobs().contains(key);
        let job = self.registry.jobs.get_mut(&key);
        if let Some(job) = job.filter(|job| job.ended_at.is_some() && !is_dirty) {
            for block in job.histories.take_blocks() {
                self.progress.unused_rows.push(block.row_key(&job.id));
            }
        }
    }

    /// Handles a transaction that the table rejects for its contents: tries its jobs in smaller groups
    /// and apart from the placer's own rows. A job that is rejected alone fails, as its progress cannot
    /// be stored; its final state is small.
    fn split_rejected(&mut self, cx: &mut Cx, batch: &Batch, reason: &str) {
        let keys = batch.job_keys();
        match keys[..] {
            [] => self.progress.rejections.skips_optional_rows = true,
            _ if batch.has_own_rows() => self.progress.rejections.max_jobs = Some(keys.len()),
            [key] => self.set_apart(cx, key, reason),
            _ => self.progress.rejections.max_jobs = Some(keys.len() / 2),
        }
    }

    fn set_apart(&mut self, cx: &mut Cx, key: JobKey, reason: &str) {
        let Some(job) = self.registry.jobs.get(&key) else {
            return;
        };
        cx.log(Decision::ProgressRejected {
            id: job.id.clone(),
            reason: reason.into(),
        });
        if job.ended_at.is_some() {
            // Not even the final state can be stored.
            return self.registry.clear_dirty(key);
        }
        self.finish_job(cx, key, JobState::Failed, "its progress cannot be stored");
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
    /// form of [`PendingAcks::cursors`]. Those of jobs that are not loaded are not recorded.
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
