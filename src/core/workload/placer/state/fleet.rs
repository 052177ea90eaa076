//! State of the VMs that the placer manages: leases, clocks and the runs placed on them.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::core::model::Now;
use crate::core::model::Resources;
use crate::core::model::ServiceId;
use crate::core::model::VmId;
use crate::core::model::ZoneId;
use crate::core::workload::event::ConnectionId;
use crate::core::workload::event::OrderId;
use crate::core::workload::event::VmRow;
use crate::core::workload::placer::orders::queue::OrderQueue;
use crate::core::workload::placer::orders::stops::StopRecord;
use crate::core::workload::placer::orders::stops::UnexpectedRun;
use crate::core::workload::placer::orders::throttle::FULL_SPEED_PERCENT;
use crate::core::workload::placer::state::job_registry::JobKey;
use crate::core::workload::placer::state::job_registry::StepKey;
use crate::core::workload::placer::state::job_registry::TaskKey;
use crate::core::workload::placer::state::lifetime::ClockReading;
use crate::core::workload::placer::state::lost_vms::Lifetime;
use crate::core::workload::placer::state::renewal_schedule::RenewalSchedule;
use crate::core::workload::placer::state::run::Phase;
use crate::core::workload::placer::state::run::Run;
use crate::core::workload::placer::state::slowness::SlownessEstimate;
use crate::core::workload::placer::state::stall::StallState;
use crate::core::workload::placer::storage::roster::RosterState;
use crate::core::workload::policy::crashes;
use crate::core::workload::policy::crashes::Caution;
use crate::core::workload::task::RunNumber;
use crate::core::workload::task::TaskName;

/// Key of a VM in the fleet.
pub(in crate::core::workload::placer) type VmKey = u32;

/// Time within which a VM that works answers a start.
const START_ANSWER_TIME: Duration = Duration::from_millis(250);

/// VMs by key, with an index by id.
#[derive(Debug, Default)]
pub(in crate::core::workload::placer) struct Fleet {
    pub vms: BTreeMap<VmKey, Vm>,
    pub schedule: RenewalSchedule,
    ids: FxHashMap<VmId, VmKey>,
    /// Key assigned to the VM that was added last.
    last_key: VmKey,
}

/// State of one VM.
#[derive(Debug)]
pub(in crate::core::workload::placer) struct Vm {
    pub id: VmId,
    pub address: Box<str>,
    /// Host machine; empty if unknown.
    pub machine: Box<str>,
    pub service: ServiceId,
    pub zone: ZoneId,
    pub labels: Vec<Box<str>>,
    /// Labels except the rack, joined by spaces. VMs of the same kind share a slowness estimate.
    pub kind: Box<str>,
    pub rack: Rc<str>,
    pub capacity: Resources,
    /// Largest capacity that the VM is known to have had: it may shrink for a time.
    pub full_capacity: Resources,
    /// Whether the VM table has a row for this VM.
    pub listed: bool,
    /// End of the time for which the VM is slow after its start.
    pub cold_until: Now,
    /// Remaining time and start of the lifetime in the row that set `cold_until`. The row is read
    /// again with each snapshot, which does not extend that time.
    cold_row: (Duration, u64),
    /// When the placer first read that the VM is draining; `None` while it is not.
    pub draining_since: Option<Now>,
    /// Start of the last lifetime whose end the VM has announced by draining, in milliseconds since
    /// the Unix epoch; zero if none.
    drained_lifetime_ms: u64,
    /// Whether the roster, which the next placer loads, has this VM.
    pub roster_state: RosterState,
    /// Start of the current lifetime, in milliseconds since the Unix epoch; zero if unknown. A
    /// restart begins a new lifetime.
    pub started_ms: u64,
    /// Start of the lifetime in which an earlier placer added the VM to the roster; zero if unknown.
    pub registered_started_ms: u64,
    /// Start in the last row of the VM; zero if none was read.
    pub row_started_ms: u64,
    /// When that start was read; `None` if it is that of the known lifetime or a report has refuted it.
    pub row_start_at: Option<Now>,
    /// Start in the last report that was ignored; zero if none was.
    pub ignored_started_ms: u64,
    /// When the current lifetime became known. An answer to an order that was sent before may be of an
    /// earlier one.
    pub lifetime_since: Now,
    /// Last clock reading; `None` until the first report of this lifetime.
    pub clock: Option<ClockReading>,
    /// Latest lease deadline requested, in milliseconds of the VM's clock.
    pub lease_end_ms: u64,
    /// When the last order or renewal with a lease deadline was sent.
    pub deadline_sent_at: Now,
    /// Latest end of a lease that was requested with a deadline on the clock of a former lifetime. The VM
    /// shortens such a lease to the longest one; it applies to all that runs there.
    pub foreign_lease_until: Now,
    /// What the VM has reported to this epoch.
    pub reports: Reports,
    /// Time before which no tasks are placed: a run that is being stopped may still use resources
    /// although the VM lists it neither as running nor as ended.
    pub capacity_uncertain_until: Now,
    /// Least number of runs on this VM whose resources are not counted, as their jobs are not
    /// loaded; no tasks are placed while there are any.
    pub uncounted_runs: usize,
    /// Whether an earlier placer may have been stopping runs on this VM.
    pub inherits_stops: bool,
    /// Time until which a run that an earlier placer was stopping may still execute; the VM lists it
    /// neither as running nor as ended.
    pub inherited_stops_until: Now,
    /// Unexpected runs whose stop waits until the stops row names this VM.
    pub unexpected_runs: Vec<UnexpectedRun>,
    /// Whether the stops row names this VM.
    pub stop_record: StopRecord,
    /// Sequence number of the last ended run that was processed.
    pub processed_seq: u64,
    /// Sequence number of the last ended run whose effects are stored in the table; acknowledged to
    /// the VM.
    pub stored_seq: u64,
    /// Connection that carried the last report of this lifetime; `None` before the first.
    pub report_connection: Option<ConnectionId>,
    /// Resources reserved by runs.
    pub used: Resources,
    /// Resources reserved by runs of tasks that run until their job is cancelled.
    pub lasting: Resources,
    /// Total CPU demand of the fillers on this VM, in millicores. Fillers are tasks that use only
    /// CPU time that other tasks leave idle.
    pub filler_cpu_milli: u32,
    /// Speed limit of fillers, in percent.
    pub filler_speed_percent: u32,
    /// When `filler_speed_percent` last changed.
    pub speed_changed_at: Now,
    /// Number of runs whose task has a latency target.
    pub latency_tasks: u32,
    pub runs: FxHashMap<TaskKey, Run>,
    pub orders: OrderQueue,
    pub renewal: RenewalState,
    /// When the VM last answered a renewal; initially when it was added.
    pub last_answer_at: Now,
    /// When the last renewal was sent whose epoch this lifetime of the VM has accepted; zero if none
    /// was.
    pub confirmed_at: Now,
    /// Time before which no tasks are placed, after a start failed or several jobs failed in a row.
    pub avoid_until: Now,
    /// When the first start was sent since the VM last answered an order or a renewal; `None` if
    /// none was.
    pub unanswered_since: Option<Now>,
    /// Time until which only urgent tasks are placed, as runs are stopped for them.
    pub preempted_until: Now,
    /// Time until which only tasks that are to run alone are placed, so that the runs end.
    pub clearing_until: Now,
    /// Number of runs of tasks under which a VM has crashed.
    pub suspect_runs: u32,
    /// Slowness estimate from runs on this VM.
    pub slowness: SlownessEstimate,
    /// Consecutive failures, counted once for successive failures of the same job.
    pub failure_streak: u32,
    /// Job of the last failed run.
    pub last_failed_job: Option<JobKey>,
    /// Progress of the runs.
    pub stall: StallState,
}

/// What a VM has reported to an epoch in its present lifetime.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::core::workload::placer) enum Reports {
    /// It has not answered a renewal.
    None,
    /// It has answered, and so rejects earlier epochs, but had no room for all ended runs in its reports.
    Incomplete,
    /// One of its reports had room for all ended runs, so that all runs of earlier placers are known.
    Complete,
}

/// State of a VM's lease renewals.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::core::workload::placer) struct RenewalState {
    /// When the pending renewal was sent; `None` if none is pending.
    pub sent_at: Option<Now>,
    /// When the next renewal is due.
    pub next_at: Now,
    /// Consecutive renewals that failed.
    pub failures: u32,
}

impl Fleet {
    pub fn key(&self, id: &str) -> Option<VmKey> {
        self.ids.get(id).copied()
    }

    /// Returns a VM and its key.
    pub fn by_id(&mut self, id: &str) -> Option<(VmKey, &mut Vm)> {
        let key = self.key(id)?;
        Some((key, self.vms.get_mut(&key)?))
    }

    /// Returns the key of a VM; adds the VM with only its address if it is new.
    pub fn get_or_add(&mut self, id: &str, address: &str, now: Now) -> VmKey {
        if let Some(key) = self.key(id) {
            return key;
        }
        self.last_key += 1;
        self.ids.insert(id.into(), self.last_key);
        let vm = Vm::new(id, address, now);
        self.schedule.add(self.last_key, vm.renewal.next_at);
        self.vms.insert(self.last_key, vm);
        self.last_key
    }

    pub fn remove(&mut self, key: VmKey) {
        if let Some(vm) = self.vms.remove(&key) {
            self.ids.remove(&vm.id);
            self.schedule.remove(key, vm.renewal.next_at);
        }
    }

    /// Returns the keys of the first `limit` VMs that match `predicate`.
    pub fn select(&self, predicate: impl Fn(&Vm) -> bool, limit: usize) -> Vec<VmKey> {
        let vms = self.vms.iter().filter(|(_, vm)| predicate(vm));
        vms.map(|(&key, _)| key).take(limit).collect()
    }

    /// Returns the keys of all VMs, in ascending order.
    pub fn keys(&self) -> Vec<VmKey> {
        self.vms.keys().copied().collect()
    }
}

impl Vm {
    fn new(id: &str, address: &str, now: Now) -> Self {
        Self {
            id: id.into(),
            address: address.into(),
            machine: "".into(),
            service: "".into(),
            zone: "".into(),
            labels: Vec::new(),
            kind: "".into(),
            rack: "".into(),
            capacity: Resources::ZERO,
            full_capacity: Resources::ZERO,
            listed: false,
            cold_until: Now::ZERO,
            cold_row: (Duration::ZERO, 0),
            draining_since: None,
            drained_lifetime_ms: 0,
            roster_state: RosterState::Absent,
            started_ms: 0,
            registered_started_ms: 0,
            row_started_ms: 0,
            row_start_at: None,
            ignored_started_ms: 0,
            lifetime_since: now,
            clock: None,
            lease_end_ms: 0,
            deadline_sent_at: Now::ZERO,
            foreign_lease_until: Now::ZERO,
            reports: Reports::None,
            capacity_uncertain_until: Now::ZERO,
            uncounted_runs: 0,
            inherits_stops: false,
            inherited_stops_until: Now::ZERO,
            unexpected_runs: Vec::new(),
            stop_record: StopRecord::Absent,
            processed_seq: 0,
            stored_seq: 0,
            report_connection: None,
            used: Resources::ZERO,
            lasting: Resources::ZERO,
            filler_cpu_milli: 0,
            filler_speed_percent: FULL_SPEED_PERCENT,
            speed_changed_at: Now::ZERO,
            latency_tasks: 0,
            runs: FxHashMap::default(),
            orders: OrderQueue::default(),
            renewal: RenewalState::default(),
            last_answer_at: now,
            confirmed_at: Now::ZERO,
            avoid_until: Now::ZERO,
            unanswered_since: None,
            preempted_until: Now::ZERO,
            clearing_until: Now::ZERO,
            suspect_runs: 0,
            slowness: SlownessEstimate::default(),
            failure_streak: 0,
            last_failed_job: None,
            stall: StallState::default(),
        }
    }

    /// Updates the VM from its row in the VM table.
    pub fn apply_row(&mut self, row: VmRow, now: Now) {
        self.listed = true;
        self.address = row.address;
        self.machine = row.machine;
        self.service = row.service;
        self.zone = row.zone;
        let kind = row.labels.iter().filter(|label| **label != row.rack);
        self.kind = kind
            .map(|label| &**label)
            .collect::<Vec<_>>()
            .join(" ")
            .into();
        self.labels = row.labels;
        self.rack = row.rack.into();
        self.capacity = row.capacity;
        self.full_capacity = self.full_capacity.max(&row.capacity);
        if row.started_ms != self.row_started_ms {
            self.row_started_ms = row.started_ms;
            self.row_start_at = None;
        }
        let cold_row = (row.cold_remaining, row.started_ms);
        if cold_row != self.cold_row {
            self.cold_row = cold_row;
            self.cold_until = now + row.cold_remaining;
        }
        if row.draining {
            self.drained_lifetime_ms = row.started_ms;
            self.draining_since.get_or_insert(now);
        } else {
            self.draining_since = None;
        }
    }

    /// Returns whether new tasks may be placed on the VM. It must have answered within
    /// `max_silence`.
    pub fn is_usable(&self, now: Now, max_silence: Duration) -> bool {
        self.listed
            && now < self.last_answer_at + max_silence
            && !matches!(
                self.roster_state,
                RosterState::Absent | RosterState::Removing
            )
            && self.is_fenced()
            && self.row_start_at.is_none()
            && self.draining_since.is_none()
            && self.renewal.failures == 0
            && now >= self.avoid_until
            && !self.is_silent(now)
            && self.stall.suspect_since.is_none()
            && now >= self.capacity_uncertain_until
            && self.uncounted_runs == 0
            && !self.has_lone_run()
    }

    /// Returns whether the VM has answered a renewal of this epoch, and so rejects earlier epochs.
    pub fn is_fenced(&self) -> bool {
        self.reports != Reports::None
    }

    /// Returns whether a run has the VM to itself for now.
    pub fn has_lone_run(&self) -> bool {
        let is_lone = |run: &Run| {
            run.caution == Caution::Alone && self.reported_age(run) < crashes::PROBATION
        };
        self.suspect_runs > 0 && self.runs.values().any(is_lone)
    }

    /// Returns whether a task can run alone on the VM: there are no runs but those of lasting tasks
    /// that are not the cause of a crash.
    pub fn is_clear(&self) -> bool {
        self.runs.values().all(|run| self.is_proven(run))
    }

    /// Returns whether a run has lasted so long that it is not the cause of a crash. The age of a run
    /// of an earlier placer is not known, but it has survived its start.
    pub fn is_proven(&self, run: &Run) -> bool {
        run.long_running && (run.is_adopted() || self.reported_age(run) >= crashes::PROVEN_AGE)
    }

    /// Returns whether a start has gone unanswered for so long that the VM is likely to be cut off or
    /// hung, although its renewal is not overdue yet.
    pub fn is_silent(&self, now: Now) -> bool {
        self.unanswered_since
            .is_some_and(|since| now >= since + START_ANSWER_TIME)
    }

    /// Returns the current lifetime.
    pub fn lifetime(&self) -> Lifetime {
        Lifetime {
            vm: self.id.clone(),
            machine: self.machine.clone(),
            started_ms: self.started_ms,
        }
    }

    /// Returns whether the VM has announced the end of its current lifetime.
    pub fn has_announced_end(&self) -> bool {
        self.started_ms != 0 && self.started_ms == self.drained_lifetime_ms
    }

    /// Returns the time from the start of a run to the last answer of the VM; zero if the VM has not
    /// answered since.
    pub fn reported_age(&self, run: &Run) -> Duration {
        match run.phase {
            Phase::Running { since } => self.last_answer_at.saturating_sub(since),
            _ => Duration::ZERO,
        }
    }

    /// Returns the capacity that is not reserved by runs.
    pub fn free(&self) -> Resources {
        self.capacity.minus(&self.used)
    }

    /// Returns the number of runs of a step on this VM. Runs of tasks that are already done count
    /// until they have ended.
    pub fn siblings(&self, key: StepKey) -> u32 {
        let runs = self.runs.keys().filter(|task| task.step == key);
        u32::try_from(runs.count()).unwrap_or(u32::MAX)
    }

    /// Returns the resources of the runs that are being stopped or are to be stopped.
    pub fn freeing(&self) -> Resources {
        let stopping = self.runs.values().filter(|run| run.is_stopping());
        stopping.fold(Resources::ZERO, |sum, run| sum.plus(&run.reservation))
    }

    /// Returns whether the VM has left: not listed, silent for longer than `silence`, and without
    /// runs.
    pub fn is_gone(&self, now: Now, silence: Duration) -> bool {
        let silent = self.renewal.failures > 0 && now > self.last_answer_at + silence;
        !self.listed && silent && self.runs.is_empty()
    }

    /// Returns the identifier of an order for a run on this VM.
    pub fn order_for(&self, task: TaskName, run: RunNumber, now: Now) -> OrderId {
        OrderId {
            vm: self.id.clone(),
            task,
            run,
            sent: now,
        }
    }

    /// Adds a run and reserves its resources.
    pub fn add_run(&mut self, key: TaskKey, run: Run) {
        self.used = self.used.plus(&run.reservation);
        if run.long_running {
            self.lasting = self.lasting.plus(&run.reservation);
        }
        self.latency_tasks += u32::from(run.has_target);
        self.suspect_runs += u32::from(run.caution != Caution::None);
        if run.reservation.cpu_milli == 0 {
            self.filler_cpu_milli += run.demand.cpu_milli;
        }
        self.runs.insert(key, run);
    }

    /// Removes a run and releases its resources.
    pub fn remove_run(&mut self, key: TaskKey) -> Option<Run> {
        let run = self.runs.remove(&key)?;
        self.used = self.used.minus(&run.reservation);
        if run.long_running {
            self.lasting = self.lasting.minus(&run.reservation);
        }
        self.latency_tasks -= u32::from(run.has_target);
        self.suspect_runs -= u32::from(run.caution != Caution::None);
        if run.reservation.cpu_milli == 0 {
            self.filler_cpu_milli = self.filler_cpu_milli.saturating_sub(run.demand.cpu_milli);
        }
        Some(run)
    }
}
