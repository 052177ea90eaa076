//! Construction of a placer from the rows of the table, and registration of jobs.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::core::model::Now;
use crate::core::model::Resources;
use crate::core::model::Rev;
use crate::core::model::ServiceId;
use crate::core::workload::catalog::Queue;
use crate::core::workload::cx::Cx;
use crate::core::workload::decision::Decision;
use crate::core::workload::effect::JobState;
use crate::core::workload::former::Former;
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::Release;
use crate::core::workload::placer::orders::authority::Authority;
use crate::core::workload::placer::rounds::advice::AdviceForwarders;
use crate::core::workload::placer::state::fleet::Fleet;
use crate::core::workload::placer::state::job_registry::Job;
use crate::core::workload::placer::state::job_registry::JobKey;
use crate::core::workload::placer::state::job_registry::JobRegistry;
use crate::core::workload::placer::state::job_registry::Placement;
use crate::core::workload::placer::state::lost_vms::LostVms;
use crate::core::workload::placer::state::slowness::SlownessByKind;
use crate::core::workload::placer::state::stall::StallChecks;
use crate::core::workload::placer::state::usage::Usage;
use crate::core::workload::placer::storage::archive::ArchiveState;
use crate::core::workload::placer::storage::archive::is_final;
use crate::core::workload::placer::storage::estimates::EstimatesWriter;
use crate::core::workload::placer::storage::hand_over::HandOver;
use crate::core::workload::placer::storage::histories::LoadedHistories;
use crate::core::workload::placer::storage::histories::StoredHistories;
use crate::core::workload::placer::storage::job_progress::max_open_occurrences;
use crate::core::workload::placer::storage::lost::LostWriter;
use crate::core::workload::placer::storage::missing::MissingParts;
use crate::core::workload::placer::storage::progress::ProgressWriter;
use crate::core::workload::placer::storage::retire::RetireState;
use crate::core::workload::placer::storage::roster::RosterState;
use crate::core::workload::policy::admission::WaitEstimator;
use crate::core::workload::policy::advice_use::AdviceUse;
use crate::core::workload::policy::authority::NamedGrace;
use crate::core::workload::policy::estimates::RunTimeEstimates;
use crate::core::workload::policy::round_interval::RoundTimer;
use crate::core::workload::policy::wait_reasons::WaitTimes;
use crate::core::workload::ranges::RangeReader;
use crate::core::workload::rows::ESTIMATES_KEY;
use crate::core::workload::rows::JobRow;
use crate::core::workload::rows::LOST_KEY;
use crate::core::workload::rows::OccurrenceRow;
use crate::core::workload::rows::OwnerRow;
use crate::core::workload::rows::ProgressRow;
use crate::core::workload::rows::QueueTerms;
use crate::core::workload::rows::RosterRow;
use crate::core::workload::rows::SEQUENCE_KEY;
use crate::core::workload::rows::STOPS_KEY;
use crate::core::workload::rows::bit_is_set;
use crate::core::workload::rows::cancelled_job;
use crate::core::workload::rows::decode;
use crate::core::workload::status::PlacerWork;
use crate::core::workload::submission::Step;
use crate::core::workload::table::Page;
use crate::core::workload::table::TableRow;

/// Run numbers reserved for each epoch, so that no two placers assign the same number.
const RUNS_PER_EPOCH: u64 = 1_000;

/// Time after a takeover within which all VMs have been listed.
const VM_LISTING_GRACE: Duration = Duration::from_millis(1_800);

/// Terms of a queue that is not configured, for a job whose row does not have them: its tasks go last,
/// and a task that has failed waits for the configuration.
const UNKNOWN_TERMS: QueueTerms = QueueTerms {
    priority: u32::MAX,
    max_attempts: u32::MAX,
    stretch: 1.0,
    target: Duration::ZERO,
    advice: None,
};

/// Rows read from the table after the role was granted.
#[derive(Debug, Default)]
pub(in crate::core::workload) struct LoadedRows {
    /// Version from which changes to the jobs table are followed.
    pub version: Option<Rev>,
    /// Rows of jobs and cancellations, by part.
    pub jobs: BTreeMap<u8, Vec<TableRow>>,
    /// Rows of progress.
    pub progress: Vec<TableRow>,
    /// Rows of the VMs that may run tasks.
    pub roster: Vec<TableRow>,
    /// Start of the reads; changes since then may be missing.
    pub read_since: Now,
}

impl LoadedRows {
    /// Returns the number of rows.
    pub fn row_count(&self) -> usize {
        let jobs: usize = self.jobs.values().map(Vec::len).sum();
        jobs + self.progress.len() + self.roster.len()
    }

    /// Adds a page of a part of the jobs table.
    pub fn add_jobs(&mut self, part: u8, page: Page) {
        let version = self.version.get_or_insert(page.version);
        *version = page.version.min(*version);
        self.jobs.entry(part).or_default().extend(page.rows);
    }
}

/// A grant of the placer's role.
#[derive(Clone, Debug)]
pub(in crate::core::workload) struct RoleGrant {
    /// Holder and its epoch.
    pub owner: OwnerRow,
    /// Version of the owner row that records the grant.
    pub version: Rev,
    /// Former holder.
    pub former: Former,
}

impl Placer {
    /// Creates a placer from the rows that were read after the grant. `reader` has the reads of the
    /// job parts that are left.
    pub fn new(cx: &mut Cx, grant: RoleGrant, mut rows: LoadedRows, reader: RangeReader) -> Self {
        let RoleGrant {
            owner,
            version,
            former,
        } = grant;
        let mut placer = Self {
            owner,
            grant_version: version,
            granted_at: cx.now,
            jobs_known_at: rows.read_since,
            former_renews_until: former.renews_until,
            former_confirms: former.confirms,
            share_fenced_at: None,
            last_commit_sent_at: cx.now,
            last_heartbeat_sent_at: cx.now,
            named_grace: NamedGrace::new(),
            authority: Authority::Held,
            registry: JobRegistry::default(),
            fleet: Fleet::default(),
            lost_vms: LostVms::default(),
            lost_writer: LostWriter::default(),
            tasks_with_losses: Vec::new(),
            usage: Usage::default(),
            slowness: SlownessByKind::default(),
            estimates: RunTimeEstimates::default(),
            estimates_writer: EstimatesWriter::default(),
            stall_checks: StallChecks::new(cx.now),
            waits: WaitEstimator::default(),
            wait_times: WaitTimes::default(),
            round_timer: RoundTimer::default(),
            forwarders: AdviceForwarders::default(),
            progress: ProgressWriter::new(version),
            archive: ArchiveState::default(),
            retire: RetireState::default(),
            missing: MissingParts::new(reader, &mut rows.jobs),
            pending_ended_tasks: Vec::new(),
            next_heartbeat_at: Now::ZERO,
            next_lease_check_at: Now::ZERO,
            roster_change: None,
            settled: false,
            settling_logged: false,
            starts_suspended: false,
            next_round_at: Some(cx.now),
            last_round_at: Now::ZERO,
            work: PlacerWork::default(),
            advice_use: AdviceUse::default(),
            preempted_runs: 0,
            preempting_queues: Box::default(),
            release: Release::NotRequested,
            hand_over: HandOver::new(cx, former.released),
            loaded_histories: LoadedHistories::new(),
        };
        for row in rows.roster {
            placer.load_vm(cx, &row);
        }
        for row in rows.jobs.into_values().flatten() {
            placer.register_job_row(cx, row);
        }
        let histories = |row: &TableRow| placer.keep_history_row(row);
        let (_, progress): (Vec<_>, Vec<_>) = rows.progress.into_iter().partition(histories);
        for row in progress {
            placer.load_progress(cx, &row);
        }
        placer
    }

    /// Registers a job or applies a cancellation. Logs and skips rows that cannot be decoded.
    pub(in crate::core::workload::placer) fn register_job_row(
        &mut self,
        cx: &mut Cx,
        row: TableRow,
    ) {
        let Some(value) = row.value else {
            return;
        };
        if let Some(id) = cancelled_job(&row.key) {
            if let Some(key) = self.registry.key(id) {
                self.cancel_job(cx, key);
            }
            return;
        }
        match decode::<JobRow>(&value) {
            Ok(job) if job.job.is_none() => {
                self.add_ended_job(cx, &row.key, row.version, job);
                self.apply_kept_progress(cx, &row.key);
            }
            Ok(job) if job.has_valid_dependencies() => {
                self.add_job(cx, &row.key, row.version, job);
            }
            Ok(_) => cx.log(Decision::RowUnreadable {
                key: row.key,
                reason: "a step depends on one that does not precede it".into(),
            }),
            Err(reason) => cx.log(Decision::RowUnreadable {
                key: row.key,
                reason,
            }),
        }
    }

    fn add_job(&mut self, cx: &mut Cx, id: &str, version: Rev, row: JobRow) {
        let mut job = self.new_job(cx, id, version, row);
        job.begin_due_occurrences(cx.now, cx.unix_time, cx.options.placer.early_start);
        if let Some(key) = self.registry.add(job) {
            self.apply_kept_progress(cx, id);
            self.schedule_round(cx.now);
            self.fail_if_unplaceable(cx, key);
        }
    }

    /// Returns the job of a row, without steps if the row is the small one of an ended job.
    pub(in crate::core::workload::placer) fn new_job(
        &self,
        cx: &Cx,
        id: &str,
        version: Rev,
        row: JobRow,
    ) -> Job {
        let configured = cx.catalog.and_then(|catalog| catalog.queue(&row.queue));
        let has_terms = configured.is_some() || row.terms.is_some();
        let queue = configured
            .cloned()
            .unwrap_or_else(|| unconfigured_queue(&row));
        let run_floor = if version <= self.grant_version {
            (self.owner.epoch - 1) * RUNS_PER_EPOCH
        } else {
            0
        };
        let archived = row.job.is_none();
        let mut submission = row.job.unwrap_or_default();
        let payload = std::mem::take(&mut submission.payload);
        let max_value_bytes = cx.options.table.max_value_bytes;
        let max_open_occurrences = max_open_occurrences(&submission, max_value_bytes);
        Job {
            id: id.into(),
            queue,
            has_terms,
            team: row.team,
            service: row.service,
            version,
            archived,
            accepted_at: row.at,
            payload: Rc::from(payload),
            submission: Rc::new(submission),
            state: JobState::Queued,
            cancelled: false,
            first_unfinished: 0,
            begun: 0,
            occurrences: BTreeMap::new(),
            max_open_occurrences,
            histories: StoredHistories::default(),
            run_floor,
            ended_at: None,
        }
    }

    /// Fails a job that has not started if one of its tasks fits on no VM.
    fn fail_if_unplaceable(&mut self, cx: &mut Cx, key: JobKey) {
        if self.knows_all_vms(cx) {
            let largest = self.largest_capacities();
            self.fail_beyond(cx, key, &largest);
        }
    }

    /// Fails all unstarted jobs with a task that fits on no VM.
    pub(in crate::core::workload::placer) fn fail_unplaceable_jobs(&mut self, cx: &mut Cx) {
        if !self.knows_all_vms(cx) {
            return;
        }
        let largest = self.largest_capacities();
        let jobs = self.registry.active_jobs();
        let keys: Vec<JobKey> = jobs.map(|(key, _)| key).collect();
        for key in keys {
            self.fail_beyond(cx, key, &largest);
        }
    }

    /// Returns whether all VMs are known with their capacities: not within `VM_LISTING_GRACE` of the
    /// grant, while the placer is not settled, or while parts of the jobs table are missing.
    fn knows_all_vms(&self, cx: &Cx) -> bool {
        let mut vms = self.fleet.vms.values();
        cx.now >= self.granted_at + VM_LISTING_GRACE
            && self.settled
            && self.missing.is_empty()
            && vms.all(|vm| vm.capacity != Resources::ZERO)
    }

    /// Returns the largest capacities of the VMs of each service.
    ///
    /// Includes VMs without a row in the table, as they may be listed again soon, and the room of
    /// VMs that have shrunk, as they may grow again.
    fn largest_capacities(&self) -> FxHashMap<ServiceId, Resources> {
        let mut largest: FxHashMap<ServiceId, Resources> = FxHashMap::default();
        for vm in self.fleet.vms.values() {
            match largest.get_mut(&vm.service) {
                Some(max) => *max = max.max(&vm.full_capacity),
                None => {
                    largest.insert(vm.service.clone(), vm.full_capacity);
                }
            }
        }
        largest
    }

    /// Fails a job that has not started if one of its tasks exceeds the largest VM of its service.
    fn fail_beyond(&mut self, cx: &mut Cx, key: JobKey, largest: &FxHashMap<ServiceId, Resources>) {
        let job = self.registry.jobs.get(&key);
        let Some(job) = job.filter(|job| job.is_unstarted()) else {
            return;
        };
        let Some(largest) = largest.get(&job.queue.service) else {
            return;
        };
        let fits_nowhere = |step: &Step| !largest.holds(&step.reservation());
        if job.submission.steps.iter().any(fits_nowhere) {
            self.finish_job(cx, key, JobState::Failed, "a task fits on no VM");
        }
    }

    fn load_vm(&mut self, cx: &mut Cx, row: &TableRow) {
        let value = row.value.as_deref().unwrap_or_default();
        match decode::<RosterRow>(value) {
            Ok(entry) => {
                let key = self.fleet.get_or_add(&row.key, &entry.address, cx.now);
                if let Some(vm) = self.fleet.vms.get_mut(&key) {
                    vm.full_capacity = entry.capacity;
                    vm.registered_started_ms = entry.started_ms;
                    vm.roster_state = RosterState::Inherited(row.version);
                    // `load_stops_row` clears this if the former placer's row does not name the VM.
                    vm.inherits_stops = true;
                }
            }
            Err(reason) => cx.log(Decision::RowUnreadable {
                key: row.key.clone(),
                reason,
            }),
        }
    }

    fn load_progress(&mut self, cx: &mut Cx, row: &TableRow) {
        if &*row.key == SEQUENCE_KEY {
            return;
        }
        let value = row.value.as_deref().unwrap_or_default();
        if &*row.key == ESTIMATES_KEY {
            return self.load_estimates(cx, row);
        }
        if &*row.key == LOST_KEY {
            return self.load_lost_row(cx, row);
        }
        if &*row.key == STOPS_KEY {
            return match decode(value) {
                Ok(stops) => self.load_stops_row(&stops),
                Err(reason) => cx.log(Decision::RowUnreadable {
                    key: row.key.clone(),
                    reason,
                }),
            };
        }
        let progress = match decode::<ProgressRow>(value) {
            Ok(progress) => progress,
            Err(reason) => {
                return cx.log(Decision::RowUnreadable {
                    key: row.key.clone(),
                    reason,
                });
            }
        };
        if self.is_unread(&row.key) {
            return self.missing.keep_progress(&row.key, progress);
        }
        if let Some(key) = self.registry.key(&row.key) {
            self.apply_progress(cx, key, &progress);
        }
    }

    /// Applies the progress that was kept for a job while its part was missing.
    fn apply_kept_progress(&mut self, cx: &mut Cx, id: &str) {
        if let Some(key) = self.registry.key(id)
            && let Some(progress) = self.missing.take_progress(id)
        {
            self.apply_progress(cx, key, &progress);
        }
    }

    fn apply_progress(&mut self, cx: &mut Cx, key: JobKey, progress: &ProgressRow) {
        let Some(job) = self.registry.jobs.get_mut(&key) else {
            return;
        };
        if job.archived {
            return self.load_final_state(key, progress.state);
        }
        if !job.cancelled {
            job.state = progress.state;
        }
        job.first_unfinished = progress.through;
        job.begun = job.begun.max(progress.through);
        let first = job.first_unfinished;
        job.occurrences.retain(|&k, _| k >= first);
        for occurrence in &progress.occurrences {
            job.load_occurrence(occurrence, cx.now);
        }
        self.load_histories(cx, key, progress.has_histories);
        let Some(job) = self.registry.jobs.get_mut(&key) else {
            return;
        };
        job.drop_needless_failures();
        if is_final(job.state) {
            job.ended_at = Some(cx.now);
            self.registry.mark_ended(key);
            if is_final(progress.state) {
                self.archive_if_end_stored(key);
            }
        } else if job.remove_done_occurrences() {
            self.finish_job(cx, key, JobState::Completed, "");
        }
    }
}

impl Job {
    /// Drops the failures of tasks that run until their job is cancelled, which earlier versions stored
    /// without limit.
    fn drop_needless_failures(&mut self) {
        for steps in self.occurrences.values_mut() {
            let steps = steps.iter_mut().zip(&self.submission.steps);
            for (step, _) in steps.filter(|(_, spec)| spec.traits.long_running) {
                for task in &mut step.tasks {
                    task.failed = Vec::new();
                }
            }
        }
    }

    fn load_occurrence(&mut self, row: &OccurrenceRow, now: Now) {
        if !self.occurrences.contains_key(&row.k) {
            self.begin_occurrence(row.k, now);
            self.begun = self.begun.max(row.k + 1);
        }
        let Some(steps) = self.occurrences.get_mut(&row.k) else {
            return;
        };
        for (step, digits) in steps.iter_mut().zip(&row.done) {
            for (ix, task) in step.tasks.iter_mut().enumerate() {
                if bit_is_set(digits, ix) && task.placement == Placement::Waiting {
                    task.placement = Placement::Done;
                    step.done += 1;
                    step.waiting -= 1;
                }
            }
        }
        for history in &row.tasks {
            let step = steps.get_mut(usize::from(history.step));
            let Some(task) = step.and_then(|step| step.tasks.get_mut(history.index as usize))
            else {
                continue;
            };
            task.failed.clone_from(&history.failed);
            task.crashed.clone_from(&history.crashed);
            task.uncertain = history.uncertain;
            task.run = history.run;
            task.checkpoint.clone_from(&history.checkpoint);
        }
        self.mark_ready_steps(row.k, now);
    }
}

/// Returns a substitute for a queue that is not configured, so that its jobs can continue: with the terms
/// at the acceptance of the job. If these are not known, nothing final may be decided by it.
fn unconfigured_queue(row: &JobRow) -> Rc<Queue> {
    let terms = row.terms.clone().unwrap_or(UNKNOWN_TERMS);
    Rc::new(Queue {
        name: row.queue.clone(),
        host: "".into(),
        path_prefix: "".into(),
        service: row.service.clone(),
        priority: terms.priority,
        max_attempts: terms.max_attempts,
        stretch: terms.stretch,
        target: terms.target,
        advice: terms.advice,
        public: false,
    })
}
