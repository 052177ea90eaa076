//! The placer: leases the VMs of its part, starts ready tasks and records the ends of their runs.

mod orders;
mod rounds;
mod state;
mod storage;

use std::time::Duration;

use state::fleet::Fleet;
use state::job_registry::JobRegistry;
use state::lost_vms::LostVms;
pub(super) use storage::job_progress;
pub(super) use storage::load::LoadedRows;
pub(super) use storage::load::RoleGrant;

use super::catalog::QueueId;
use super::cx::Cx;
use super::cx::earliest;
use super::cx::millis;
use super::decision::Decision;
use super::event::Answer;
use super::event::CommitPurpose;
use super::event::Feed;
use super::event::FeedRow;
use super::event::PlacerWrite;
use super::event::ProbePurpose;
use super::feeds::Update;
use super::heartbeat::HeartbeatMonitor;
use super::policy::admission::WaitEstimator;
use super::policy::advice_use::AdviceUse;
use super::policy::authority::NamedGrace;
use super::policy::estimates::RunTimeEstimates;
use super::policy::round_interval::RoundTimer;
use super::policy::wait_reasons::WaitTimes;
use super::rows::HeartbeatRow;
use super::rows::OWNER_KEY;
use super::rows::OwnerRow;
use super::rows::decode;
use super::rows::is_job_part;
use super::status::PlacerStatus;
use super::status::PlacerWork;
use super::table::CommitOutcome;
use super::table::TableRow;
use super::task::EndedTask;
use crate::core::model::Epoch;
use crate::core::model::Now;
use crate::core::model::Rev;

/// Reason why the role is lost; `None` while it is kept.
pub(super) type RoleLoss = Option<Box<str>>;

/// Interval of placement rounds while ready steps have waiting tasks.
const PENDING_ROUND_INTERVAL: Duration = Duration::from_millis(60);

/// Longest time to the next check for due occurrences.
const MAX_SLEEP: Duration = Duration::from_secs(3_600);

/// State of the placer.
#[derive(Debug)]
pub(super) struct Placer {
    owner: OwnerRow,
    /// Version of the owner row that granted the role.
    grant_version: Rev,
    granted_at: Now,
    /// Time up to which all changes of the jobs table are applied.
    jobs_known_at: Now,
    /// Latest time at which a former placer, or one before it, may still renew leases by heartbeats
    /// alone.
    former_renews_until: Now,
    /// Age up to which answers of VMs allow a former placer to renew leases after that; `None` if
    /// there is none that may be active.
    former_confirms: Option<Duration>,
    /// When this placer had reached so many VMs that a former one stops; `None` before.
    share_fenced_at: Option<Now>,
    /// Send time of the last progress write that was committed; initially the time of the grant.
    last_commit_sent_at: Now,
    /// Send time of the last heartbeat that was stored; initially the time of the grant. A successor
    /// counts from its receipt how long this placer may renew leases.
    last_heartbeat_sent_at: Now,
    /// Grace that the heartbeats since then have named.
    named_grace: NamedGrace,
    authority: orders::authority::Authority,
    registry: JobRegistry,
    fleet: Fleet,
    lost_vms: LostVms,
    lost_writer: storage::lost::LostWriter,
    /// Tasks that were lost lately with VMs that may have crashed.
    tasks_with_losses: Vec<state::job_registry::TaskKey>,
    usage: state::usage::Usage,
    slowness: state::slowness::SlownessByKind,
    estimates: RunTimeEstimates,
    estimates_writer: storage::estimates::EstimatesWriter,
    stall_checks: state::stall::StallChecks,
    /// Estimated waits of new jobs, and the started work that they are based on.
    waits: WaitEstimator,
    /// Reasons for which ready tasks have waited since the role was granted.
    wait_times: WaitTimes,
    forwarders: rounds::advice::AdviceForwarders,
    progress: storage::progress::ProgressWriter,
    archive: storage::archive::ArchiveState,
    retire: storage::retire::RetireState,
    missing: storage::missing::MissingParts,
    loaded_histories: storage::histories::LoadedHistories,
    /// Ended runs that VMs have reported and that are not yet processed, with the key of the VM.
    pending_ended_tasks: Vec<(state::fleet::VmKey, EndedTask)>,
    next_heartbeat_at: Now,
    next_lease_check_at: Now,
    roster_change: Option<storage::roster::RosterChange>,
    /// Whether all runs that an earlier placer may have started are accounted for.
    settled: bool,
    /// Whether the VMs that delay `settled` have been logged.
    settling_logged: bool,
    /// Whether no task is started, as the view of the evacuation requests is too old.
    starts_suspended: bool,
    /// Time of the next placement round, if one is scheduled.
    next_round_at: Option<Now>,
    last_round_at: Now,
    round_timer: RoundTimer,
    /// Work since the role was granted.
    work: PlacerWork,
    /// Use of the advice service since the role was granted.
    advice_use: AdviceUse,
    /// Number of runs that were stopped for urgent tasks.
    preempted_runs: u64,
    /// Urgent queues that may preempt runs of others.
    preempting_queues: Box<[QueueId]>,
    release: Release,
    hand_over: storage::hand_over::HandOver,
}

/// State of a voluntary release of the role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Release {
    NotRequested,
    InProgress,
    Done,
}

impl Placer {
    /// Returns the epoch of the role.
    pub fn epoch(&self) -> Epoch {
        self.owner.epoch
    }

    /// Returns the work since the role was granted.
    pub fn work(&self) -> PlacerWork {
        self.work
    }

    /// Returns the number of jobs, ended ones included, that are not yet removed.
    pub fn job_count(&self) -> usize {
        self.registry.jobs.len()
    }

    /// Returns the number of VMs, unusable ones included.
    pub fn vm_count(&self) -> usize {
        self.fleet.vms.len()
    }

    /// Returns the status that is reported as metrics.
    pub fn status(&self, cx: &Cx) -> PlacerStatus {
        let max_silence = self.renewal_wait(cx) + cx.options.vms.unresponsive_after;
        let mut status = PlacerStatus {
            epoch: self.owner.epoch,
            vms: self.fleet.vms.len() as u64,
            work: self.work,
            advice: self.advice_use.clone(),
            preempted_runs: self.preempted_runs,
            waits: self.listed_waits(),
            wait_times: self.wait_times.times().clone(),
            ..PlacerStatus::default()
        };
        for vm in self.fleet.vms.values() {
            status.runs += vm.runs.len() as u64;
            status.stalled_vms += u64::from(vm.stall.suspect_since.is_some());
            if vm.is_usable(cx.now, max_silence) && !cx.evacuation.includes(&vm.zone) {
                status.usable_vms += 1;
                status.capacity = status.capacity.plus(&vm.capacity);
                status.free = status.free.plus(&vm.free());
            }
        }
        for (_, job) in self.registry.active_jobs() {
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

    /// Performs all work that is due. Returns a reason if another placer has a higher epoch.
    pub fn poll(&mut self, cx: &mut Cx, heartbeats: &HeartbeatMonitor) -> RoleLoss {
        if let Some(holder) = heartbeats.holder_after(self.owner.epoch) {
            return Some(format!("{} has epoch {}", holder.daemon, holder.epoch).into());
        }
        if let Some(reason) = self.poll_hand_over(cx, heartbeats) {
            return Some(reason);
        }
        if self.release != Release::NotRequested {
            self.write_progress(cx);
            return None;
        }
        self.begin_due_occurrences(cx);
        self.expire_leases(cx);
        self.retire_jobs(cx);
        self.write_progress(cx);
        self.write_late_heartbeat(cx);
        self.archive_jobs(cx);
        self.read_missing_parts(cx);
        let has_authority = self.update_authority(cx);
        if has_authority {
            self.check_stalls(cx);
        }
        self.send_renewals(cx, has_authority);
        if has_authority {
            self.run_round(cx, heartbeats);
        }
        None
    }

    /// Returns the time at which [`Placer::poll`] is next due, if any.
    pub fn wake_at(&self, cx: &Cx) -> Option<Now> {
        if self.release != Release::NotRequested {
            return self
                .progress
                .wake_at(&self.registry, self.next_heartbeat_at);
        }
        let due = self
            .registry
            .next_due(cx.unix_time, cx.options.placer.early_start);
        let mut at = due.map(|left| cx.now + left.min(MAX_SLEEP));
        at = earliest(
            at,
            self.progress
                .wake_at(&self.registry, self.next_heartbeat_at),
        );
        at = earliest(at, self.late_heartbeat_at(cx));
        at = earliest(at, self.missing.wake_at());
        at = earliest(at, self.fleet.next_renewal_at());
        if !self.has_authority(cx) {
            return at;
        }
        at = earliest(
            at,
            self.next_round_at
                .map(|at| self.earliest_round_at(cx).max(at)),
        );
        earliest(at, Some(self.stall_checks.next_at()))
    }

    /// Applies the current configuration to all jobs.
    pub fn apply_config(&mut self, cx: &mut Cx) {
        let Some(catalog) = cx.catalog else {
            return;
        };
        let mut with_new_terms = Vec::new();
        for (&key, job) in &mut self.registry.jobs {
            if let Some(queue) = catalog.queue(&job.queue.name) {
                job.queue = queue.clone();
                if !std::mem::replace(&mut job.has_terms, true) {
                    with_new_terms.push(key);
                }
            }
        }
        for key in with_new_terms {
            self.fail_if_attempts_are_used_up(cx, key);
        }
        self.estimates
            .retain(|queue| catalog.queue(queue).is_some());
        self.schedule_round(cx.now);
    }

    /// Applies changed rows of a followed table.
    pub fn apply_update(&mut self, cx: &mut Cx, feed: Feed, update: Update) -> RoleLoss {
        if update.recovered {
            self.handle_table_recovered(cx);
        }
        if feed == Feed::Vms && update.is_snapshot {
            self.mark_all_vms_unlisted();
        }
        if feed == Feed::Jobs {
            self.jobs_known_at = self.jobs_known_at.max(update.as_of);
            if update.is_snapshot {
                self.missing.restart();
            }
        }
        for row in update.rows {
            match row {
                FeedRow::Vm(row) => {
                    self.next_lease_check_at = cx.now;
                    self.apply_vm_row(cx, row);
                }
                FeedRow::VmRemoved(id) => self.mark_vm_unlisted(&id),
                FeedRow::Internal(row) if feed == Feed::Jobs => {
                    if let Some(lost) = self.apply_job_row(cx, row) {
                        return Some(lost);
                    }
                }
                FeedRow::Unreadable(key, reason) => {
                    if feed == Feed::Vms {
                        self.mark_vm_unlisted(&key);
                    }
                    cx.log(Decision::RowUnreadable { key, reason });
                }
                _ => {}
            }
        }
        if !self.missing.is_empty() {
            self.reconcile_unread_runs(cx);
        }
        self.schedule_round(cx.now);
        None
    }

    /// Handles the outcome of a transaction that this placer has sent.
    pub fn handle_write_outcome(
        &mut self,
        cx: &mut Cx,
        write: PlacerWrite,
        outcome: &CommitOutcome,
    ) -> RoleLoss {
        match write {
            PlacerWrite::Roster => return self.handle_roster_outcome(cx, outcome),
            PlacerWrite::Progress => {
                self.handle_release_outcome(outcome);
                return self.handle_progress_outcome(cx, outcome);
            }
            PlacerWrite::Heartbeat => return self.handle_heartbeat_outcome(cx, outcome),
            PlacerWrite::Archive(part) => self.handle_archive_outcome(cx, part, outcome),
            PlacerWrite::Retire => self.handle_retire_outcome(cx, outcome),
            // A heartbeat that was sent before the load was complete.
            PlacerWrite::LoadingHeartbeat => {}
        }
        None
    }

    /// Handles the answer to a VM order, to an advice query or to a probe of a fit daemon.
    ///
    /// Ignores answers to an earlier placer of this process: its runs are found again in the VMs'
    /// reports to this one.
    pub fn handle_answer(&mut self, cx: &mut Cx, answer: Answer) -> RoleLoss {
        if answer
            .order_sent_at()
            .is_some_and(|sent| sent < self.granted_at)
        {
            return None;
        }
        let vm_key = answer.order_vm().and_then(|vm| self.fleet.key(vm));
        if let Some(vm) = vm_key.and_then(|key| self.fleet.vms.get_mut(&key)) {
            vm.orders.end_order();
        }
        let lost = self.apply_answer(cx, answer);
        if lost.is_none()
            && let Some(key) = vm_key
        {
            self.send_orders(cx, key);
        }
        lost
    }

    fn apply_answer(&mut self, cx: &mut Cx, answer: Answer) -> RoleLoss {
        match answer {
            Answer::Renewed(renewal, result) => self.handle_renewal_answer(cx, &renewal, result),
            Answer::Started(order, result) => self.handle_start_answer(cx, &order, result),
            Answer::Checked(order, result) => self.handle_check_answer(cx, &order, result),
            Answer::Stopped(order, result) => self.handle_stop_answer(cx, &order, &result),
            Answer::SpeedSet(order, result) => self.handle_speed_answer(cx, &order, &result),
            Answer::Probed(ProbePurpose::FitDaemon(epoch, _), result) => {
                self.handle_fit_daemon_probed(epoch, &result);
                None
            }
            Answer::Advised(query, result) => {
                self.handle_advice(cx, &query, result);
                None
            }
            _ => None,
        }
    }

    /// Releases the role. Returns true once the release is committed.
    ///
    /// The first call starts the release; later calls report on it.
    pub fn release(&mut self, cx: &mut Cx) -> bool {
        if self.release == Release::NotRequested {
            self.release = Release::InProgress;
            self.next_heartbeat_at = Now::ZERO;
            self.write_progress(cx);
        }
        self.release == Release::Done
    }

    /// Returns the time for which leases may be renewed after a heartbeat, in the present fleet.
    fn renewal_grace(&self, cx: &Cx) -> Duration {
        cx.options.renewal_grace(self.renewal_wait(cx))
    }

    fn schedule_round(&mut self, at: Now) {
        self.next_round_at = Some(self.next_round_at.map_or(at, |other| other.min(at)));
    }

    /// Records the processor time that this process has spent on a step of the reducer, so that
    /// rounds leave time for renewals and heartbeats.
    pub fn record_step_time(&mut self, time: Duration) {
        self.round_timer.record_step(time);
    }

    fn earliest_round_at(&self, cx: &Cx) -> Now {
        let min_interval = cx.options.placer.dispatch_interval;
        self.last_round_at + self.round_timer.interval(min_interval)
    }

    /// Returns the purpose of a transaction of this placer.
    fn purpose(&self, write: PlacerWrite) -> CommitPurpose {
        CommitPurpose::Placer(self.owner.epoch, write)
    }

    /// Returns the heartbeat row, with the number of unstarted jobs of each queue if all are
    /// known, and the waits of new jobs.
    fn heartbeat_row(&mut self, cx: &Cx) -> HeartbeatRow {
        self.update_waits(cx);
        let mut waiting = rustc_hash::FxHashMap::default();
        for (_, job) in self
            .registry
            .active_jobs()
            .filter(|(_, job)| job.is_unstarted())
        {
            *waiting.entry(job.queue.name.clone()).or_insert(0) += 1;
        }
        HeartbeatRow {
            owner: self.owner.clone(),
            released: self.release != Release::NotRequested,
            loading: false,
            waiting: self.missing.is_empty().then_some(waiting),
            waiting_age_ms: millis(cx.now.saturating_sub(self.jobs_known_at)),
            waits: self.wait_rows(),
            renews_ms: Some(millis(self.renewal_grace(cx))),
            confirms_ms: Some(millis(
                cx.options.max_confirmation_age(self.fleet.vms.len()),
            )),
            former_renews_ms: if self.settled {
                0
            } else {
                let left = self.former_renews_until.saturating_sub(cx.now);
                millis(left).max(1)
            },
        }
    }

    fn begin_due_occurrences(&mut self, cx: &Cx) {
        let early = cx.options.placer.early_start;
        if self
            .registry
            .begin_due_occurrences(cx.now, cx.unix_time, early)
        {
            self.schedule_round(cx.now);
        }
    }

    /// Applies a row of the jobs table: a job, a cancellation, or the owner of the part.
    ///
    /// Returns a reason if the owner row no longer names this placer.
    fn apply_job_row(&mut self, cx: &mut Cx, row: TableRow) -> RoleLoss {
        if row.part == cx.options.part && &*row.key == OWNER_KEY {
            let owner: Option<OwnerRow> = row.value.and_then(|value| decode(&value).ok());
            return match owner {
                Some(owner) if owner == self.owner => None,
                Some(owner) => {
                    Some(format!("{} was granted epoch {}", owner.daemon, owner.epoch).into())
                }
                None => Some("the owner row was removed".into()),
            };
        }
        if is_job_part(&row.part) {
            self.missing.record_change(&row);
            self.register_job_row(cx, row);
        }
        None
    }
}
