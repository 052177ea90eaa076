//! Parts of the jobs table that could not be read when the placer started, and what is known of
//! their jobs meanwhile.
//!
//! The same is kept for occurrences of known jobs that an earlier placer has begun and this one has
//! not, as the progress of the job has no room for them yet.
//!
//! The placer follows the jobs table from the lowest version that it has read, so each change since
//! then is received also for these parts. The rows of a part are registered once they are all read.
//! Until then the progress, the runs and the ended runs of its jobs are kept.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rustc_hash::FxHashMap;

use crate::core::model::JobId;
use crate::core::model::Now;
use crate::core::model::Resources;
use crate::core::model::TeamId;
use crate::core::workload::cx::Cx;
use crate::core::workload::cx::millis;
use crate::core::workload::decision::Decision;
use crate::core::workload::event::LoadSource;
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::state::fleet::VmKey;
use crate::core::workload::ranges::RangePage;
use crate::core::workload::ranges::RangeReader;
use crate::core::workload::rows::ProgressRow;
use crate::core::workload::rows::cancelled_job;
use crate::core::workload::rows::job_part;
use crate::core::workload::table::Page;
use crate::core::workload::table::TableRow;
use crate::core::workload::task::EndedTask;
use crate::core::workload::task::RunningTask;
use crate::core::workload::task::TaskName;

/// Demand that no cap allows.
const UNLIMITED: Resources = Resources::new(u32::MAX, u32::MAX, u32::MAX, u32::MAX);

/// Parts of the jobs table that are not read, and what is kept for their jobs.
#[derive(Debug)]
pub(in crate::core::workload::placer) struct MissingParts {
    reader: RangeReader,
    /// Rows read so far of each missing part.
    rows: BTreeMap<u8, Vec<TableRow>>,
    /// Removals and cancellations received for missing parts, by key. They may be newer than the
    /// rows read.
    changes: FxHashMap<Box<str>, TableRow>,
    progress: FxHashMap<JobId, ProgressRow>,
    /// Runs of unknown jobs and occurrences, as in the last report of each VM.
    running: BTreeMap<VmKey, Vec<RunningTask>>,
    /// Ended runs of unknown jobs and occurrences. They are not acknowledged, so that their VMs list
    /// them again.
    ended: BTreeMap<VmKey, Vec<UnreadEnd>>,
}

/// Ended run of a job whose part is missing, or of an occurrence that has not begun.
#[derive(Debug)]
struct UnreadEnd {
    /// Start of the lifetime in which the VM reported it.
    started_ms: u64,
    ended: EndedTask,
}

impl MissingParts {
    /// Creates the state from the reads that are left; takes the rows of their parts out of `jobs`.
    pub fn new(reader: RangeReader, jobs: &mut BTreeMap<u8, Vec<TableRow>>) -> Self {
        let parts = reader.missing_parts();
        let rows = parts.map(|part| (part, jobs.remove(&part).unwrap_or_default()));
        Self {
            rows: rows.collect(),
            reader,
            changes: FxHashMap::default(),
            progress: FxHashMap::default(),
            running: BTreeMap::new(),
            ended: BTreeMap::new(),
        }
    }

    /// Returns whether runs or ends are kept.
    pub fn has_runs(&self) -> bool {
        !self.running.is_empty() || !self.ended.is_empty()
    }

    /// Returns whether no part is missing.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns whether the part of a job is missing.
    pub fn has_part_of(&self, job: &str) -> bool {
        !self.is_empty() && self.rows.contains_key(&job_part(job))
    }

    /// Returns the runs of unknown jobs on each VM.
    pub fn running(&self) -> impl Iterator<Item = (VmKey, &[RunningTask])> {
        self.running.iter().map(|(&vm, rows)| (vm, &**rows))
    }

    /// Returns the kept progress of a job.
    pub fn progress(&self, job: &str) -> Option<&ProgressRow> {
        self.progress.get(job)
    }

    /// Keeps the progress of a job.
    pub fn keep_progress(&mut self, job: &str, row: ProgressRow) {
        self.progress.insert(job.into(), row);
    }

    /// Removes and returns the kept progress of a job.
    pub fn take_progress(&mut self, job: &str) -> Option<ProgressRow> {
        self.progress.remove(job)
    }

    /// Keeps a run that a VM reports.
    pub fn keep_run(&mut self, vm: VmKey, row: &RunningTask) {
        self.running.entry(vm).or_default().push(row.clone());
    }

    /// Drops the runs that a VM has reported.
    pub fn clear_runs(&mut self, vm: VmKey) {
        self.running.remove(&vm);
    }

    /// Keeps an ended run that a VM reports.
    pub fn keep_end(&mut self, vm: VmKey, started_ms: u64, ended: EndedTask) {
        let end = UnreadEnd { started_ms, ended };
        self.ended.entry(vm).or_default().push(end);
    }

    /// Returns the number of runs on a VM that may use resources that are not counted: those of
    /// unknown jobs, and one more if a full report does not list all because of ended runs that are
    /// not acknowledged.
    fn uncounted_runs(&self, vm: VmKey, report_is_complete: bool) -> usize {
        let listed = self.running.get(&vm).map_or(0, Vec::len);
        let is_cut_off = !report_is_complete && self.ended.contains_key(&vm);
        listed + usize::from(is_cut_off)
    }

    /// Returns the highest sequence number up to which the ended runs of a VM may be acknowledged,
    /// if it is limited.
    pub fn max_ack(&self, vm: VmKey, started_ms: u64) -> Option<u64> {
        let ends = self.ended.get(&vm)?.iter();
        let current = ends.filter(|end| end.started_ms == started_ms);
        current.map(|end| end.ended.seq.saturating_sub(1)).min()
    }

    /// Returns the time at which the next read is due, if any.
    pub fn wake_at(&self) -> Option<Now> {
        self.reader.wake_at()
    }

    /// Reads the missing parts again from their starts, after a gap in the changes received.
    pub fn restart(&mut self) {
        self.reader.restart();
        for rows in self.rows.values_mut() {
            rows.clear();
        }
    }

    /// Keeps a removal or a cancellation from the followed table if its part is missing.
    pub fn record_change(&mut self, row: &TableRow) {
        let cancelled = cancelled_job(&row.key);
        let is_kept = row.value.is_none() || cancelled.is_some();
        if is_kept && self.has_part_of(cancelled.unwrap_or(&row.key)) {
            self.changes.insert(row.key.clone(), row.clone());
        }
    }

    /// Returns whether a newer removal or cancellation than this row was received.
    fn is_outdated(&self, row: &TableRow) -> bool {
        let change = self.changes.get(&row.key);
        change.is_some_and(|change| change.version > row.version)
    }

    /// Removes and returns the changes to a part.
    fn take_changes(&mut self, part: u8) -> Vec<TableRow> {
        let is_of_part = |key: &str| job_part(cancelled_job(key).unwrap_or(key)) == part;
        let changes = self.changes.extract_if(|key, _| is_of_part(key));
        changes.map(|(_, row)| row).collect()
    }
}

impl Placer {
    /// Returns the number of parts of the jobs table that are not read.
    pub fn missing_part_count(&self) -> usize {
        self.missing.rows.len()
    }

    /// Returns whether a job is unknown because its part is missing.
    pub(in crate::core::workload::placer) fn is_unread(&self, job: &str) -> bool {
        self.missing.has_part_of(job) && self.registry.key(job).is_none()
    }

    /// Returns whether nothing is known yet of a task that a VM lists: its job's part is missing, or its
    /// occurrence cannot begin here yet.
    pub(in crate::core::workload::placer) fn is_unknown_yet(
        &mut self,
        now: Now,
        task: &TaskName,
    ) -> bool {
        self.is_unread(&task.job) || self.registry.awaits_occurrence(task, now)
    }

    /// Processes the kept runs and ends of the jobs and occurrences that are now known, if there are any
    /// that are not.
    pub(in crate::core::workload::placer) fn reconcile_kept_runs(&mut self, cx: &mut Cx) {
        if self.missing.has_runs() {
            self.reconcile_unread_runs(cx);
        }
    }

    /// Sends the reads of missing parts that are due.
    pub(in crate::core::workload::placer) fn read_missing_parts(&mut self, cx: &mut Cx) {
        let epoch = self.epoch();
        self.missing.reader.send_reads(cx, epoch);
    }

    /// Adds a page of a missing part; registers the jobs of the part after the last one.
    pub fn add_late_page(&mut self, cx: &mut Cx, source: LoadSource, page: Result<Page, Box<str>>) {
        let page = self.missing.reader.take_page(cx, source, page);
        if let (Some(RangePage { page, is_last }), LoadSource::Jobs(part)) = (page, source) {
            let rows = self.missing.rows.entry(part).or_default();
            rows.extend(page.rows);
            if is_last {
                self.add_late_part(cx, part);
            }
        }
        self.read_missing_parts(cx);
    }

    fn add_late_part(&mut self, cx: &mut Cx, part: u8) {
        let rows = self.missing.rows.remove(&part).unwrap_or_default();
        let row_count = rows.len();
        for row in rows {
            if !self.missing.is_outdated(&row) {
                self.register_job_row(cx, row);
            }
        }
        for row in self.missing.take_changes(part) {
            self.register_job_row(cx, row);
        }
        self.missing.progress.retain(|id, _| job_part(id) != part);
        self.reconcile_unread_runs(cx);
        self.schedule_round(cx.now);
        cx.log(Decision::PartLoaded {
            epoch: self.epoch(),
            part,
            rows: row_count,
            missing_parts: self.missing_part_count(),
            took_ms: millis(cx.now.saturating_sub(self.granted_at)),
        });
    }

    /// Processes the ended runs and the runs that were kept for jobs that are now known, before a
    /// round can start their tasks again. Runs of jobs that their part does not have are stopped.
    pub(in crate::core::workload::placer) fn reconcile_unread_runs(&mut self, cx: &mut Cx) {
        for (vm, ends) in std::mem::take(&mut self.missing.ended) {
            let (unread, known): (Vec<_>, Vec<_>) = ends
                .into_iter()
                .partition(|end| self.is_unknown_yet(cx.now, &end.ended.task));
            if !unread.is_empty() {
                self.missing.ended.insert(vm, unread);
            }
            let known = known.into_iter().map(|end| (vm, end.ended));
            self.pending_ended_tasks.extend(known);
        }
        self.process_ended_tasks(cx);
        self.record_kept_crashes(cx);
        for (key, rows) in std::mem::take(&mut self.missing.running) {
            for row in &rows {
                self.reconcile_run(cx, key, row);
            }
            self.update_uncounted_runs(key, true);
            let vm = self.fleet.vms.get(&key);
            if vm.is_some_and(|vm| vm.draining_since.is_some()) {
                self.evacuate_vm(cx, key);
            }
        }
    }

    /// Updates the number of runs on a VM whose resources are not counted.
    pub(in crate::core::workload::placer) fn update_uncounted_runs(
        &mut self,
        key: VmKey,
        report_is_complete: bool,
    ) {
        let uncounted_runs = self.missing.uncounted_runs(key, report_is_complete);
        if let Some(vm) = self.fleet.vms.get_mut(&key) {
            vm.uncounted_runs = uncounted_runs;
        }
    }

    /// Charges the caps of teams with the kept runs.
    ///
    /// The demands of those of known jobs are known.
    ///
    /// All of them together use at most what the runs of known jobs leave of their VM, so each team
    /// that owns one is charged with that; all teams are, where no progress tells the owner. Until
    /// the placer is settled, such runs may be on any VM, so no team with a cap may start a task.
    pub(in crate::core::workload::placer) fn count_unread_runs(&mut self, cx: &Cx) {
        if !self.missing.is_empty() && !self.settled {
            return self.usage.charge_all_teams(&UNLIMITED);
        }
        for (key, rows) in self.missing.running() {
            let Some(vm) = self.fleet.vms.get(&key) else {
                continue;
            };
            if vm.renewal.failures > 0 && vm.is_lease_expired(cx.now) {
                continue;
            }
            // The runs may have started before the VM shrank.
            let unused = if vm.capacity == Resources::ZERO {
                UNLIMITED
            } else {
                vm.full_capacity.minus(&vm.used)
            };
            let mut unread = Vec::new();
            for row in rows {
                let job = self.registry.key(&row.task.job);
                let Some(job) = job.and_then(|job| self.registry.jobs.get(&job)) else {
                    unread.push(row);
                    continue;
                };
                if let Some(step) = job.submission.steps.get(usize::from(row.task.step)) {
                    self.usage.add_inherited(job.team.as_ref(), &step.demand);
                }
            }
            let owners = unread
                .iter()
                .map(|row| self.missing.progress(&row.task.job));
            let owners: BTreeSet<Option<Option<&TeamId>>> = owners
                .map(|progress| progress.map(|progress| progress.team.as_ref()))
                .collect();
            for owner in owners {
                match owner {
                    Some(team) => self.usage.add_inherited(team, &unused),
                    None => self.usage.charge_all_teams(&unused),
                }
            }
        }
    }
}
