//! What a new placer reads from the table, and how jobs enter its book.

use std::rc::Rc;
use std::time::Duration;

use super::Placer;
use super::Release;
use super::advice::Helpers;
use super::book::Book;
use super::book::Job;
use super::book::JobKey;
use super::book::Place;
use super::fleet::Fleet;
use super::progress::Progress;
use super::retire::Retire;
use super::roster::Roster;
use super::speed::Speeds;
use super::usage::Usage;
use crate::core::model::Now;
use crate::core::model::Resources;
use crate::core::model::Rev;
use crate::core::workload::catalog::Queue;
use crate::core::workload::cx::Cx;
use crate::core::workload::decision::Decision;
use crate::core::workload::effect::JobState;
use crate::core::workload::rows::JobRow;
use crate::core::workload::rows::OccurrenceRow;
use crate::core::workload::rows::OwnerRow;
use crate::core::workload::rows::ProgressRow;
use crate::core::workload::rows::RosterRow;
use crate::core::workload::rows::SEQUENCE_KEY;
use crate::core::workload::rows::STOPS_KEY;
use crate::core::workload::rows::bit_is_set;
use crate::core::workload::rows::cancelled_job;
use crate::core::workload::rows::decode;
use crate::core::workload::submission::Step;
use crate::core::workload::table::TableRow;

/// Numbers of runs set apart for each epoch, so that none is used by two placers.
const RUNS_PER_EPOCH: u64 = 1_000;

/// Time after a takeover in which all VMs have been listed.
const LISTING_TIME: Duration = Duration::from_millis(1_800);

/// Rows of the table when the role was taken.
#[derive(Debug, Default)]
pub(in crate::core::workload) struct Loaded {
    /// Version from which changes of the jobs are followed.
    pub version: Option<Rev>,
    /// Jobs and cancellations.
    pub jobs: Vec<TableRow>,
    /// Progress.
    pub progress: Vec<TableRow>,
    /// VMs that may run tasks.
    pub roster: Vec<TableRow>,
}

/// The role as it was granted.
#[derive(Debug)]
pub(in crate::core::workload) struct Term {
    /// Holder and epoch.
    pub owner: OwnerRow,
    /// Version of the owner row.
    pub version: Rev,
    /// Up to when a former placer may still renew leases.
    pub former_until: Now,
}

impl Placer {
    /// A placer that has read its rows.
    pub fn new(cx: &mut Cx, term: Term, loaded: Loaded) -> Self {
        let Term {
            owner,
            version,
            former_until,
        } = term;
        let mut placer = Self {
            owner,
            version,
            taken_at: cx.now,
            former_until,
            committed: cx.now,
            book: Book::default(),
            fleet: Fleet::default(),
            usage: Usage::default(),
            speeds: Speeds::default(),
            helpers: Helpers::default(),
            progress: Progress::new(version),
            retire: Retire::default(),
            pending_ends: Vec::new(),
            beat_at: Now::ZERO,
            leases_at: Now::ZERO,
            registering: None,
            settled: false,
            settling_logged: false,
            round_at: Some(cx.now),
            rounded: Now::ZERO,
            release: Release::Not,
        };
        for row in loaded.roster {
            placer.load_vm(cx, &row);
        }
        for row in loaded.jobs {
            placer.add_job_row(cx, row);
        }
        for row in loaded.progress {
            placer.load_progress(cx, &row);
        }
        placer
    }

    /// Takes a job or the cancellation of one.
    pub(super) fn add_job_row(&mut self, cx: &mut Cx, row: TableRow) {
        let Some(value) = row.value else {
            return;
        };
        if let Some(id) = cancelled_job(&row.key) {
            if let Some(key) = self.book.key(id) {
                self.cancel(cx, key);
            }
            return;
        }
        match decode::<JobRow>(&value) {
            Ok(job) => self.add_job(cx, &row.key, row.version, job),
            Err(reason) => cx.log(Decision::RowUnreadable {
                key: row.key,
                reason,
            }),
        }
    }

    fn add_job(&mut self, cx: &mut Cx, id: &str, version: Rev, row: JobRow) {
        let known = cx.catalog.and_then(|catalog| catalog.queue(&row.queue));
        let queue = known.cloned().unwrap_or_else(|| removed_queue(&row));
        let floor = if version <= self.version {
            (self.owner.epoch - 1) * RUNS_PER_EPOCH
        } else {
            0
        };
        let mut job = Job {
            id: id.into(),
            queue,
            team: row.team,
            version,
            at: row.at,
            payload: Rc::from(&*row.job.payload),
            sub: Rc::new(row.job),
            state: JobState::Queued,
            cancelled: false,
            through: 0,
            begun: 0,
            occurrences: std::collections::BTreeMap::new(),
            run_floor: floor,
            ended_at: None,
        };
        job.begin_due(cx.now, cx.unix_time, cx.options.placer.early);
        if let Some(key) = self.book.add(job) {
            self.want_round(cx.now);
            self.fail_hopeless(cx, key);
        }
    }

    /// Ends a job of which a task fits on no VM at all, once all VMs are known.
    pub(super) fn fail_hopeless(&mut self, cx: &mut Cx, key: JobKey) {
        let Some(job) = self.book.jobs.get(&key).filter(|job| job.is_untouched()) else {
            return;
        };
        let vms = self.fleet.vms.values();
        let unknown = vms.clone().any(|vm| vm.capacity == Resources::ZERO);
        let early = cx.now < self.taken_at + LISTING_TIME;
        if unknown || early || !self.settled {
            return;
        }
        // VMs whose rows are missing count as well: they may be back soon.
        let largest = vms
            .filter(|vm| vm.service == job.queue.service)
            .fold(Resources::ZERO, |most, vm| most.max(&vm.capacity));
        let hopeless = |step: &Step| !largest.holds(&step.room());
        if largest != Resources::ZERO && job.sub.steps.iter().any(hopeless) {
            self.finish_job(cx, key, JobState::Failed, "a task fits on no VM");
        }
    }

    /// Looks again at the jobs that have not started.
    pub(super) fn fail_all_hopeless(&mut self, cx: &mut Cx) {
        let untouched = self.book.open_jobs().filter(|(_, job)| job.is_untouched());
        let keys: Vec<JobKey> = untouched.map(|(key, _)| key).collect();
        for key in keys {
            self.fail_hopeless(cx, key);
        }
    }

    fn load_vm(&mut self, cx: &mut Cx, row: &TableRow) {
        let value = row.value.as_deref().unwrap_or_default();
        match decode::<RosterRow>(value) {
            Ok(known) => {
                let key = self.fleet.add(&row.key, &known.address, cx.now);
                if let Some(vm) = self.fleet.vms.get_mut(&key) {
                    vm.roster = Roster::Inherited(row.version);
                    // Unless the former placer's row tells otherwise.
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
        if &*row.key == STOPS_KEY {
            return match decode(value) {
                Ok(stops) => self.load_stops(&stops),
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
        let Some(key) = self.book.key(&row.key) else {
            return;
        };
        let Some(job) = self.book.jobs.get_mut(&key) else {
            return;
        };
        if !job.cancelled {
            job.state = progress.state;
        }
        job.through = progress.through;
        job.begun = job.begun.max(progress.through);
        let through = job.through;
        job.occurrences.retain(|&k, _| k >= through);
        for occurrence in &progress.occurrences {
            job.load_occurrence(occurrence, cx.now);
        }
        if matches!(
            job.state,
            JobState::Completed | JobState::Failed | JobState::Cancelled
        ) {
            job.ended_at = Some(cx.now);
            self.book.close(key);
        } else if job.fold() {
            self.finish_job(cx, key, JobState::Completed, "");
        }
    }
}

impl Job {
    fn load_occurrence(&mut self, row: &OccurrenceRow, now: Now) {
        if !self.occurrences.contains_key(&row.k) {
            self.begin(row.k, now);
            self.begun = self.begun.max(row.k + 1);
        }
        let Some(steps) = self.occurrences.get_mut(&row.k) else {
            return;
        };
        for (step, digits) in steps.iter_mut().zip(&row.done) {
            for (ix, task) in step.tasks.iter_mut().enumerate() {
                if bit_is_set(digits, ix) && task.place == Place::Waiting {
                    task.place = Place::Done;
                    step.done += 1;
                    step.waiting -= 1;
                }
            }
        }
        for known in &row.tasks {
            let step = steps.get_mut(usize::from(known.step));
            let Some(task) = step.and_then(|step| step.tasks.get_mut(known.index as usize)) else {
                continue;
            };
            task.failed.clone_from(&known.failed);
            task.run = known.run;
            task.checkpoint.clone_from(&known.checkpoint);
        }
        self.ready_steps(row.k, now);
    }
}

/// Stands in for a queue that the configuration no longer has: its jobs go on.
fn removed_queue(row: &JobRow) -> Rc<Queue> {
    Rc::new(Queue {
        name: row.queue.clone(),
        host: "".into(),
        prefix: "".into(),
        service: row.service.clone(),
        priority: u32::MAX,
        max_attempts: 1,
        stretch: 1.0,
        target: std::time::Duration::ZERO,
        advice: None,
        public: false,
    })
}
