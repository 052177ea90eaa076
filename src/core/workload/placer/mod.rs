//! The placer: holds the VMs of its part, starts what is ready and notes what has ended.

mod advice;
mod book;
mod choose;
mod dispatch;
mod ends;
mod fleet;
mod hold;
mod load;
mod order;
mod orders;
mod pace;
mod progress;
mod retire;
mod roster;
mod shares;
mod speed;
mod stops;
mod usage;

use book::Book;
use fleet::Fleet;
pub(super) use load::Loaded;
pub(super) use load::Term;

use super::cx::Cx;
use super::cx::earliest;
use super::decision::Decision;
use super::event::Answer;
use super::event::CommitPurpose;
use super::event::Feed;
use super::event::FeedRow;
use super::feeds::Update;
use super::heartbeat::HeartbeatMonitor;
use super::rows::HeartbeatRow;
use super::rows::OWNER_KEY;
use super::rows::OwnerRow;
use super::rows::decode;
use super::rows::is_job_part;
use super::status::PlacerStatus;
use super::table::CommitOutcome;
use super::table::TableRow;
use super::task::EndedTask;
use crate::core::model::Epoch;
use crate::core::model::Now;
use crate::core::model::Rev;

/// Why the role is lost, if it is.
pub(super) type Lost = Option<Box<str>>;

/// One in so many VMs is silent when the placer takes itself to be cut off.
const CUT_OFF_SHARE: usize = 4;

/// Time from one round of placement to the next while work waits.
const WAITING_ROUND: Now = Now::from_millis(60);

/// State of the placer.
#[derive(Debug)]
pub(super) struct Placer {
    owner: OwnerRow,
    /// Version of the owner row that granted the role.
    version: Rev,
    taken_at: Now,
    /// Up to when a former placer may still renew leases.
    former_until: Now,
    /// When the last write of progress that took effect was sent.
    committed: Now,
    book: Book,
    fleet: Fleet,
    usage: usage::Usage,
    speeds: speed::Speeds,
    helpers: advice::Helpers,
    progress: progress::Progress,
    retire: retire::Retire,
    /// Ends listed by VMs and not yet taken in.
    pending_ends: Vec<(fleet::VmKey, EndedTask)>,
    beat_at: Now,
    leases_at: Now,
    registering: Option<roster::Change>,
    /// Whether all that an earlier placer may have started is accounted for.
    settled: bool,
    /// Whether the log names the VMs that keep it from being settled.
    settling_logged: bool,
    /// When the next round of placement is wanted, if one is.
    round_at: Option<Now>,
    rounded: Now,
    release: Release,
}

/// How far the hand-over of the role has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Release {
    Not,
    UnderWay,
    Done,
}

impl Placer {
    /// Epoch of the role.
    pub fn epoch(&self) -> Epoch {
        self.owner.epoch
    }

    /// Number of jobs in the book.
    pub fn jobs(&self) -> usize {
        self.book.jobs.len()
    }

    /// Number of VMs.
    pub fn vms(&self) -> usize {
        self.fleet.vms.len()
    }

    /// What it tells of itself for metrics.
    pub fn status(&self, cx: &Cx) -> PlacerStatus {
        let most_silent = self.hold_wait(cx) + cx.options.vms.quiet_after;
        let mut status = PlacerStatus {
            epoch: self.owner.epoch,
            vms: self.fleet.vms.len() as u64,
            ..PlacerStatus::default()
        };
        for vm in self.fleet.vms.values() {
            status.runs += vm.runs.len() as u64;
            if vm.is_usable(cx.now, most_silent) {
                status.usable_vms += 1;
                status.room = status.room.plus(&vm.capacity);
                status.free = status.free.plus(&vm.free());
            }
        }
        for (_, job) in self.book.open_jobs() {
            let ready = job.occurrences.values().flatten();
            let ready = ready.filter(|step| step.ready_at.is_some());
            let waiting: u64 = ready.map(|step| u64::from(step.waiting)).sum();
            if waiting > 0 {
                let key = (job.queue.name.clone(), job.team.clone());
                *status.waiting.entry(key).or_insert(0) += waiting;
            }
        }
        status
    }

    /// Does what is due.
    pub fn poll(&mut self, cx: &mut Cx, pulse: &HeartbeatMonitor) -> Lost {
        if let Some(beat) = pulse.heartbeat()
            && beat.row.owner.epoch > self.owner.epoch
        {
            let reason = format!(
                "{} has epoch {}",
                beat.row.owner.daemon, beat.row.owner.epoch
            );
            return Some(reason.into());
        }
        if self.release != Release::Not {
            self.write_progress(cx);
            return None;
        }
        self.begin_due(cx);
        self.check_leases(cx);
        self.retire(cx);
        self.write_progress(cx);
        if !self.is_cut_off(cx) {
            self.renew(cx);
            self.round(cx, pulse);
        }
        None
    }

    /// When it next needs the time.
    pub fn wake_at(&self, cx: &Cx) -> Option<Now> {
        let due = self.book.next_due(cx.unix_time, cx.options.placer.early);
        let mut at = due.map(|left| cx.now + left);
        at = earliest(at, self.progress.wake_at(&self.book, self.beat_at));
        if self.is_cut_off(cx) {
            return at;
        }
        at = earliest(at, self.round_at.map(|at| self.earliest_round(cx).max(at)));
        earliest(at, self.next_renewal())
    }

    /// Takes the configuration in force.
    pub fn configured(&mut self, cx: &mut Cx) {
        let Some(catalog) = cx.catalog else {
            return;
        };
        for job in self.book.jobs.values_mut() {
            if let Some(queue) = catalog.queue(&job.queue.name) {
                job.queue = queue.clone();
            }
        }
        self.want_round(cx.now);
    }

    /// Takes rows of a followed table.
    pub fn feed(&mut self, cx: &mut Cx, feed: Feed, update: Update) -> Lost {
        if update.recovered {
            self.table_regained(cx);
        }
        if feed == Feed::Vms && update.is_snapshot {
            self.unlist_all();
        }
        for row in update.rows {
            match row {
                FeedRow::Vm(row) => {
                    self.leases_at = cx.now;
                    self.vm_seen(cx, row);
                }
                FeedRow::VmRemoved(id) => self.vm_unlisted(&id),
                FeedRow::Internal(row) if feed == Feed::Jobs => {
                    if let Some(lost) = self.job_row(cx, row) {
                        return Some(lost);
                    }
                }
                FeedRow::Unreadable(key, reason) => {
                    cx.log(Decision::RowUnreadable { key, reason });
                }
                _ => {}
            }
        }
        self.want_round(cx.now);
        None
    }

    /// Takes the outcome of one of its transactions.
    pub fn committed(
        &mut self,
        cx: &mut Cx,
        purpose: &CommitPurpose,
        outcome: &CommitOutcome,
    ) -> Lost {
        match purpose {
            CommitPurpose::Roster => self.registered(cx, outcome),
            CommitPurpose::Progress => self.progress_written(cx, outcome),
            CommitPurpose::Retire => {
                self.retired(cx, outcome);
                None
            }
            _ => None,
        }
    }

    /// Takes the answer to an order or to a request for advice.
    pub fn order_answered(&mut self, cx: &mut Cx, answer: Answer) -> Lost {
        match answer {
            Answer::Renewed(renewal, result) => self.held(cx, &renewal, result),
            Answer::Started(order, result) => self.started(cx, &order, result),
            Answer::Stopped(order, result) => self.stopped(cx, &order, &result),
            Answer::Paced(order, result) => self.paced(cx, &order, &result),
            Answer::Advised(query, result) => {
                self.advised(cx, &query, result);
                None
            }
            _ => None,
        }
    }

    /// Hands the role over; true once that is done.
    pub fn release(&mut self, cx: &mut Cx) -> bool {
        if self.release == Release::Not {
            self.release = Release::UnderWay;
            self.beat_at = Now::ZERO;
            self.write_progress(cx);
        }
        self.release == Release::Done
    }

    /// Whether this daemon seems to be on the smaller side of a cut: the table does not answer and
    /// neither do many VMs. Another daemon may then have the role, and cannot reach the VMs that
    /// this one reaches.
    fn is_cut_off(&self, cx: &Cx) -> bool {
        if cx.now < self.committed + cx.options.placer.alone_for {
            return false;
        }
        let silent = self
            .fleet
            .vms
            .values()
            .filter(|vm| vm.hold.misses > 0)
            .count();
        silent * CUT_OFF_SHARE >= self.fleet.vms.len()
    }

    fn want_round(&mut self, at: Now) {
        self.round_at = Some(self.round_at.map_or(at, |other| other.min(at)));
    }

    fn earliest_round(&self, cx: &Cx) -> Now {
        self.rounded + cx.options.placer.dispatch_every
    }

    /// The placer's heartbeat, with what waits in each queue.
    fn beat_row(&self) -> HeartbeatRow {
        let mut waiting = rustc_hash::FxHashMap::default();
        for (_, job) in self.book.open_jobs().filter(|(_, job)| job.is_untouched()) {
            *waiting.entry(job.queue.name.clone()).or_insert(0) += 1;
        }
        HeartbeatRow {
            owner: self.owner.clone(),
            released: self.release != Release::Not,
            loading: false,
            waiting,
        }
    }

    fn begin_due(&mut self, cx: &Cx) {
        let early = cx.options.placer.early;
        if self.book.begin_due(cx.now, cx.unix_time, early) {
            self.want_round(cx.now);
        }
    }

    /// Takes a row of the table of jobs: a job, a cancellation, or the owner of the part.
    fn job_row(&mut self, cx: &mut Cx, row: TableRow) -> Lost {
        if row.part == cx.options.part && &*row.key == OWNER_KEY {
            let owner: Option<OwnerRow> = row.value.and_then(|value| decode(&value).ok());
            return match owner {
                Some(owner) if owner == self.owner => None,
                Some(owner) => Some(format!("{} took epoch {}", owner.daemon, owner.epoch).into()),
                None => Some("the owner row was removed".into()),
            };
        }
        if is_job_part(&row.part) {
            self.add_job_row(cx, row);
        }
        None
    }
}
