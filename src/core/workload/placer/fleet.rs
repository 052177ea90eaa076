//! VMs that the placer knows: their lease, their clock, what was started on them.

use std::collections::BTreeMap;
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::book::JobKey;
use super::book::StepKey;
use super::book::TaskKey;
use super::pace::FULL;
use super::roster::Roster;
use super::speed::Learned;
use super::stops::StopNotice;
use super::stops::Stray;
use crate::core::model::Now;
use crate::core::model::RackId;
use crate::core::model::Resources;
use crate::core::model::ServiceId;
use crate::core::model::VmId;
use crate::core::model::ZoneId;
use crate::core::workload::event::OrderId;
use crate::core::workload::event::VmRow;
use crate::core::workload::task::RunNumber;
use crate::core::workload::task::TaskName;

/// Key of a VM in the fleet.
pub(super) type VmKey = u32;

/// Slowest that a VM's clock runs, as a part of true time.
const SLOWEST_CLOCK: f64 = 0.98;

/// Margin for a lease to have lapsed on a VM, in milliseconds of its clock.
const LAPSE_MARGIN_MS: u64 = 60;

/// All VMs.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    pub vms: BTreeMap<VmKey, Vm>,
    ids: FxHashMap<VmId, VmKey>,
    last: VmKey,
}

/// One VM.
#[derive(Debug)]
pub(super) struct Vm {
    pub id: VmId,
    pub address: Box<str>,
    pub service: ServiceId,
    pub zone: ZoneId,
    pub labels: Vec<Box<str>>,
    /// Its labels without the rack.
    pub kind: Box<str>,
    pub rack: RackId,
    pub capacity: Resources,
    /// Whether its row is in the table.
    pub listed: bool,
    /// When it was first seen to be leaving.
    pub draining_since: Option<Now>,
    /// Whether the next placer would know of it.
    pub roster: Roster,
    /// Start of its lifetime; zero while unknown.
    pub born: u64,
    /// Reading of its clock.
    pub clock: Option<ClockReading>,
    /// Latest end of a lease that was asked for, on its clock.
    pub lease_end_ms: u64,
    /// Whether it has answered a renewal of this epoch.
    pub fenced: bool,
    /// Not used before: a run that is being stopped, and that no list holds, may take its room.
    pub unclear_until: Now,
    /// Whether an earlier placer may have been stopping runs there.
    pub inherits_stops: bool,
    /// Runs to be stopped that are in no book, until the table names the VM.
    pub strays: Vec<Stray>,
    /// Whether the table says that runs there may be being stopped.
    pub stop_notice: StopNotice,
    /// Last end that was taken in.
    pub seen_end: u64,
    /// Last end whose consequences are in the table.
    pub noted_end: u64,
    /// What its tasks take.
    pub used: Resources,
    /// Processor time that tasks which fill ask for, in thousandths of a core.
    pub filler_milli: u32,
    /// Speed of the tasks that fill there, in percent.
    pub filler_percent: u32,
    /// When that was last changed.
    pub paced_at: Now,
    /// Number of its tasks that have a latency target.
    pub serving: u32,
    pub runs: FxHashMap<TaskKey, Run>,
    pub hold: Hold,
    /// When it last answered.
    pub heard: Now,
    /// Not used before, after it refused a start for want of room or for ill health.
    pub avoid_until: Now,
    /// How fast it works.
    pub speed: Learned,
    /// Failures of different jobs in a row.
    pub failures: u32,
    /// Job that failed there last.
    pub failed_job: Option<JobKey>,
}

/// State of a VM's renewals.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Hold {
    /// When the one under way was sent.
    pub sent: Option<Now>,
    /// When the next is due.
    pub next_at: Now,
    /// Renewals lost in a row.
    pub misses: u32,
}

/// A reading of a VM's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClockReading {
    /// What it showed, in milliseconds.
    pub ms: u64,
    /// When the answer with it came.
    pub received: Now,
}

/// A run that a VM has, or may have.
#[derive(Clone, Copy, Debug)]
pub(super) struct Run {
    pub number: RunNumber,
    pub room: Resources,
    pub demand: Resources,
    /// Whether the task has a latency target.
    pub serves: bool,
    pub sent: Now,
    pub phase: Phase,
    /// Speed in percent, as the VM last took it.
    pub percent: u32,
    /// Speed ordered and not yet answered.
    pub ordered_percent: Option<u32>,
    /// When a change of speed that failed is ordered again.
    pub pace_retry_at: Now,
    /// Tail latency in milliseconds or processor use, as last listed.
    pub figure: u64,
}

/// How far a run has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The start is under way.
    Starting,
    /// The VM has it.
    Running {
        /// When that was heard.
        since: Now,
    },
    /// The start got no answer.
    Unconfirmed,
    /// It is to be stopped, for this reason, once the table names its VM.
    StopWanted(&'static str),
    /// A stop was ordered.
    Stopping {
        /// When the VM took the stop.
        acked: Option<Now>,
        /// When to order it again without an answer.
        retry_at: Now,
    },
}

impl Fleet {
    /// The key of a VM.
    pub fn key(&self, id: &str) -> Option<VmKey> {
        self.ids.get(id).copied()
    }

    /// A VM by its id.
    pub fn by_id(&mut self, id: &str) -> Option<(VmKey, &mut Vm)> {
        let key = self.key(id)?;
        Some((key, self.vms.get_mut(&key)?))
    }

    /// Adds a VM of which only the address is known, or returns it.
    pub fn add(&mut self, id: &str, address: &str, now: Now) -> VmKey {
        if let Some(key) = self.key(id) {
            return key;
        }
        self.last += 1;
        self.ids.insert(id.into(), self.last);
        self.vms.insert(self.last, Vm::new(id, address, now));
        self.last
    }

    /// Forgets a VM.
    pub fn remove(&mut self, key: VmKey) {
        if let Some(vm) = self.vms.remove(&key) {
            self.ids.remove(&vm.id);
        }
    }

    /// Keys of the first `most` VMs of a kind.
    pub fn select(&self, is_wanted: impl Fn(&Vm) -> bool, most: usize) -> Vec<VmKey> {
        let vms = self.vms.iter().filter(|(_, vm)| is_wanted(vm));
        vms.map(|(&key, _)| key).take(most).collect()
    }

    /// Keys of all VMs, in steady order.
    pub fn keys(&self) -> Vec<VmKey> {
        self.vms.keys().copied().collect()
    }
}

impl Vm {
    fn new(id: &str, address: &str, now: Now) -> Self {
        Self {
            id: id.into(),
            address: address.into(),
            service: "".into(),
            zone: "".into(),
            labels: Vec::new(),
            kind: "".into(),
            rack: "".into(),
            capacity: Resources::ZERO,
            listed: false,
            draining_since: None,
            roster: Roster::Absent,
            born: 0,
            clock: None,
            lease_end_ms: 0,
            fenced: false,
            unclear_until: Now::ZERO,
            inherits_stops: false,
            strays: Vec::new(),
            stop_notice: StopNotice::No,
            seen_end: 0,
            noted_end: 0,
            used: Resources::ZERO,
            filler_milli: 0,
            filler_percent: FULL,
            paced_at: Now::ZERO,
            serving: 0,
            runs: FxHashMap::default(),
            hold: Hold::default(),
            heard: now,
            avoid_until: Now::ZERO,
            speed: Learned::default(),
            failures: 0,
            failed_job: None,
        }
    }

    /// Takes what the VM says of itself in the table.
    pub fn describe(&mut self, row: VmRow, now: Now) {
        self.listed = true;
        self.address = row.address;
        self.service = row.service;
        self.zone = row.zone;
        let kind = row.labels.iter().filter(|label| **label != row.rack);
        self.kind = kind
            .map(|label| &**label)
            .collect::<Vec<_>>()
            .join(" ")
            .into();
        self.labels = row.labels;
        self.rack = row.rack;
        self.capacity = row.capacity;
        if row.draining {
            self.draining_since.get_or_insert(now);
        } else {
            self.draining_since = None;
        }
    }

    /// Whether new work may be started there; not after a silence of `most_silent`.
    pub fn is_usable(&self, now: Now, most_silent: Duration) -> bool {
        self.listed
            && now < self.heard + most_silent
            && !matches!(self.roster, Roster::Absent | Roster::Leaving)
            && self.fenced
            && self.draining_since.is_none()
            && self.hold.misses == 0
            && now >= self.avoid_until
            && now >= self.unclear_until
    }

    /// Room that nothing takes.
    pub fn free(&self) -> Resources {
        self.capacity.minus(&self.used)
    }

    /// End of a lease of `length` from now, on the VM's clock; `None` before its clock was read.
    pub fn lease_from(&self, now: Now, length: Duration) -> Option<u64> {
        let reading = self.clock?;
        Some(reading.likely(now) + ms(length))
    }

    /// Whether no lease that was asked for can still hold.
    pub fn has_lapsed(&self, now: Now) -> bool {
        let reading = self.clock.as_ref();
        reading.is_some_and(|reading| reading.earliest(now) > self.lease_end_ms + LAPSE_MARGIN_MS)
    }

    /// Runs there of one step and occurrence, if they matter. Runs of tasks that are done already
    /// count until they have ended.
    pub fn siblings(&self, key: StepKey, matter: bool) -> u32 {
        if !matter {
            return 0;
        }
        let runs = self.runs.keys().filter(|task| task.step == key);
        u32::try_from(runs.count()).unwrap_or(u32::MAX)
    }

    /// Whether it has left: it is not listed, has been silent for long, and has no runs.
    pub fn is_gone(&self, now: Now, silence: Duration) -> bool {
        let silent = self.hold.misses > 0 && now > self.heard + silence;
        !self.listed && silent && self.runs.is_empty()
    }

    /// Names an order for a run there.
    pub fn order(&self, task: TaskName, run: RunNumber, now: Now) -> OrderId {
        OrderId {
            vm: self.id.clone(),
            task,
            run,
            sent: now,
        }
    }

    /// Notes a run.
    pub fn insert(&mut self, key: TaskKey, run: Run) {
        self.used = self.used.plus(&run.room);
        self.serving += u32::from(run.serves);
        if run.room.cpu_milli == 0 {
            self.filler_milli += run.demand.cpu_milli;
        }
        self.runs.insert(key, run);
    }

    /// Forgets a run and frees its room.
    pub fn take(&mut self, key: TaskKey) -> Option<Run> {
        let run = self.runs.remove(&key)?;
        self.used = self.used.minus(&run.room);
        self.serving -= u32::from(run.serves);
        if run.room.cpu_milli == 0 {
            self.filler_milli = self.filler_milli.saturating_sub(run.demand.cpu_milli);
        }
        Some(run)
    }

    /// A new lifetime: it has nothing of what was there.
    pub fn reborn(&mut self, born: u64) {
        self.born = born;
        self.clock = None;
        self.lease_end_ms = 0;
        self.fenced = false;
        self.roster = self.roster.renewed();
        self.unclear_until = Now::ZERO;
        self.inherits_stops = false;
        self.strays.clear();
        self.seen_end = 0;
        self.noted_end = 0;
    }
}

impl ClockReading {
    /// The least that the clock can show at `now`.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn earliest(&self, now: Now) -> u64 {
        let passed = now.saturating_sub(self.received).as_secs_f64() * SLOWEST_CLOCK;
        self.ms + (passed * 1_000.0) as u64
    }

    /// What a clock at true speed shows at `now`, if the answer took no time.
    fn likely(&self, now: Now) -> u64 {
        self.ms + ms(now.saturating_sub(self.received))
    }
}

fn ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
