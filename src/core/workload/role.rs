//! The placer's role: taken over by compare-and-set on the table's owner row, under an epoch that
//! rises with each holder.

use std::time::Duration;

use super::cx::Cx;
use super::cx::millis;
use super::decision::Decision;
use super::event::CommitPurpose;
use super::event::Feed;
use super::event::LoadSource;
use super::event::ReadPurpose;
use super::feeds::Feeds;
use super::heartbeat::HeartbeatMonitor;
use super::placer::Loaded;
use super::placer::Placer;
use super::placer::Term;
use super::rows::HEARTBEAT_KEY;
use super::rows::HeartbeatRow;
use super::rows::JOB_PARTS;
use super::rows::OWNER_KEY;
use super::rows::OwnerRow;
use super::rows::SEQUENCE_KEY;
use super::rows::decode;
use super::rows::encode;
use super::rows::job_part_name;
use super::table::CommitOutcome;
use super::table::HEARTBEATS;
use super::table::JOBS;
use super::table::PROGRESS;
use super::table::Page;
use super::table::ROSTER;
use super::table::Range;
use super::table::RowId;
use super::table::TableRow;
use super::table::Transaction;
use crate::core::model::Epoch;
use crate::core::model::Now;
use crate::core::model::Rev;

/// A heartbeat may be late by so many times the table's time to answer a read.
const SLOW_TABLE_FACTOR: u32 = 6;

/// Time for the holder to send a heartbeat once the table answers again.
const REGAIN_GRACE: Duration = Duration::from_millis(600);

/// Largest part of the takeover time that is added at random, so that one daemon goes first.
const JITTER_DIVISOR: u32 = 3;

/// What this daemon is to the VMs.
#[derive(Debug)]
pub(super) enum Role {
    /// Another daemon places, or none does.
    Follower {
        /// Not before this time does it try to take the role.
        not_before: Now,
    },
    /// Asks the table for the role.
    Taking(Taking),
    /// Has the role and reads what it needs.
    Loading(Box<Loading>),
    /// Places.
    Placing(Box<Placer>),
}

/// A takeover that is not yet granted.
#[derive(Debug)]
pub(super) struct Taking {
    claim: Option<OwnerRow>,
    started: Now,
    /// When the last heartbeat of a holder that may still act was seen.
    beat_seen: Option<Now>,
    /// Epoch of the holder that is to be replaced.
    replaced: Epoch,
    /// Up to when a former holder may still renew leases.
    former_until: Now,
    former: Box<str>,
    beat_age: Duration,
}

/// A granted role of which the rows are not all read.
#[derive(Debug)]
pub(super) struct Loading {
    owner: OwnerRow,
    former_until: Now,
    version: Rev,
    since: Now,
    reads: Vec<Reading>,
    loaded: Loaded,
}

/// A range that is being read.
#[derive(Debug)]
struct Reading {
    load: LoadSource,
    /// First key of the next page.
    from: Box<str>,
    /// When a read that failed is repeated.
    retry_at: Option<Now>,
}

impl Role {
    /// A daemon that has just started.
    pub fn new() -> Self {
        Self::Follower {
            not_before: Now::ZERO,
        }
    }

    /// Whether another daemon places, or none does.
    pub fn is_follower(&self) -> bool {
        matches!(self, Self::Follower { .. })
    }

    /// The placer, if this daemon is it.
    pub fn placer(&mut self) -> Option<&mut Placer> {
        match self {
            Self::Placing(placer) => Some(placer),
            _ => None,
        }
    }

    /// Tries to take the role when it is due, and goes on with what waits for time.
    pub fn poll(
        &mut self,
        cx: &mut Cx,
        feeds: &mut Feeds,
        pulse: &HeartbeatMonitor,
        draining: bool,
    ) {
        match self {
            Self::Follower { not_before } => {
                let due = due_at(cx, feeds, pulse).max(*not_before);
                let able = feeds.is_up(Feed::Heartbeats) && cx.catalog.is_some() && !draining;
                if able && cx.now >= due {
                    *self = Self::Taking(Taking::start(cx, pulse));
                }
            }
            Self::Taking(_) => {}
            Self::Loading(loading) => loading.poll(cx),
            Self::Placing(placer) => {
                if let Some(reason) = placer.poll(cx, pulse) {
                    self.lose(cx, feeds, &reason);
                }
            }
        }
    }

    /// When it next needs the time.
    pub fn wake_at(&self, cx: &Cx, feeds: &Feeds, pulse: &HeartbeatMonitor) -> Option<Now> {
        match self {
            Self::Follower { not_before } if feeds.is_up(Feed::Heartbeats) => {
                Some(due_at(cx, feeds, pulse).max(*not_before))
            }
            Self::Follower { .. } | Self::Taking(_) => None,
            Self::Loading(loading) => loading.wake_at(),
            Self::Placing(placer) => placer.wake_at(cx),
        }
    }

    /// Takes the owner row that was asked for.
    pub fn owner_read(&mut self, cx: &mut Cx, settle: bool, page: Result<Page, Box<str>>) {
        let Self::Taking(taking) = self else {
            return;
        };
        let Ok(row) = page.map(|page| page.rows.into_iter().next()) else {
            return self.back_off(cx);
        };
        let current = row.as_ref().and_then(|row| Some((row, owner(row)?)));
        if let (true, Some((row, owner)), Some(claim)) = (settle, &current, &taking.claim)
            && owner == claim
        {
            let version = row.version;
            return self.granted(cx, version);
        }
        if settle {
            return self.back_off(cx);
        }
        let version = row.as_ref().map_or(0, |row| row.version);
        if current
            .as_ref()
            .is_some_and(|(_, owner)| owner.epoch > taking.replaced)
        {
            return self.back_off(cx);
        }
        if let Some(not_before) = taking.wait_for_slow_table(cx) {
            *self = Self::Follower { not_before };
            return;
        }
        taking.claim(cx, current.map(|(_, owner)| owner), version);
    }

    /// Takes the outcome of the takeover.
    pub fn taken(&mut self, cx: &mut Cx, outcome: &CommitOutcome) {
        if !matches!(self, Self::Taking(_)) {
            return;
        }
        match outcome {
            CommitOutcome::Done(version) => self.granted(cx, *version),
            CommitOutcome::Conflict(_) | CommitOutcome::Refused(_) => self.back_off(cx),
            CommitOutcome::Unknown(_) => read_owner(cx, ReadPurpose::Settle),
        }
    }

    /// Takes rows that the new placer asked for.
    pub fn loaded(
        &mut self,
        cx: &mut Cx,
        feeds: &mut Feeds,
        load: LoadSource,
        page: Result<Page, Box<str>>,
    ) {
        let Self::Loading(loading) = self else {
            return;
        };
        loading.take(cx, load, page);
        if !loading.reads.is_empty() {
            return;
        }
        feeds.follow(Feed::Vms, None);
        feeds.follow(Feed::Jobs, loading.loaded.version);
        let took = cx.now.saturating_sub(loading.since);
        let epoch = loading.owner.epoch;
        let loaded = std::mem::take(&mut loading.loaded);
        let term = Term {
            owner: loading.owner.clone(),
            version: loading.version,
            former_until: loading.former_until,
        };
        let placer = Placer::new(cx, term, loaded);
        cx.log(Decision::RoleReady {
            epoch,
            jobs: placer.jobs(),
            vms: placer.vms(),
            took_ms: millis(took),
        });
        *self = Self::Placing(Box::new(placer));
    }

    /// Gives the role up, with the reason.
    pub fn lose(&mut self, cx: &mut Cx, feeds: &mut Feeds, reason: &str) {
        if let Self::Placing(placer) = self {
            cx.log(Decision::RoleLost {
                epoch: placer.epoch(),
                reason: reason.into(),
            });
            feeds.unfollow(Feed::Vms);
            feeds.unfollow(Feed::Jobs);
        }
        self.back_off(cx);
    }

    fn granted(&mut self, cx: &mut Cx, version: Rev) {
        let Self::Taking(taking) = self else {
            return;
        };
        let Some(owner) = taking.claim.take() else {
            return self.back_off(cx);
        };
        cx.log(Decision::RoleTaken {
            epoch: owner.epoch,
            former: taking.former.clone(),
            beat_age_ms: millis(taking.beat_age),
        });
        let loading = Loading {
            former_until: taking.former_until,
            owner,
            version,
            since: cx.now,
            reads: Reading::all(),
            loaded: Loaded::default(),
        };
        for reading in &loading.reads {
            reading.send(cx);
        }
        *self = Self::Loading(Box::new(loading));
    }

    fn back_off(&mut self, cx: &Cx) {
        let delay = cx.options.table.retry_delay * 2 + jitter(cx);
        *self = Self::Follower {
            not_before: cx.now + delay,
        };
    }
}

impl Taking {
    fn start(cx: &mut Cx, pulse: &HeartbeatMonitor) -> Self {
        read_owner(cx, ReadPurpose::Owner);
        let beat = pulse.heartbeat();
        Self {
            claim: None,
            started: cx.now,
            beat_seen: beat
                .filter(|beat| !is_over(cx, &beat.row) && !pulse.holder_has_ended())
                .map(|beat| beat.received_at),
            replaced: beat.map_or(0, |beat| beat.row.owner.epoch),
            former_until: former_until(cx, pulse),
            former: beat.map_or("".into(), |beat| beat.row.owner.daemon.clone()),
            beat_age: beat.map_or(Duration::ZERO, |beat| {
                cx.now.saturating_sub(beat.received_at)
            }),
        }
    }

    /// Up to when a heartbeat may be late because the table is slow: each one takes a transaction
    /// and the answer to a watch.
    fn wait_for_slow_table(&self, cx: &Cx) -> Option<Now> {
        let answered_in = cx.now.saturating_sub(self.started);
        let patience = cx.options.placer.takeover_after + answered_in * SLOW_TABLE_FACTOR;
        let until = self.beat_seen? + patience;
        (cx.now < until).then_some(until)
    }

    /// Claims the role. The sequence row is written along, so that no progress write of the former
    /// holder can take effect afterwards.
    fn claim(&mut self, cx: &mut Cx, current: Option<OwnerRow>, version: Rev) {
        let claim = OwnerRow {
            epoch: current.map_or(0, |owner| owner.epoch) + 1,
            daemon: cx.options.me.clone(),
            nonce: cx.options.nonce,
        };
        let part = &cx.options.part;
        let row = RowId::new(JOBS, part, OWNER_KEY);
        let beat = HeartbeatRow {
            owner: claim.clone(),
            released: false,
            loading: true,
            waiting: rustc_hash::FxHashMap::default(),
        };
        let txn = Transaction {
            expect: vec![(row.clone(), version)],
            put: vec![
                (row, encode(&claim)),
                (
                    RowId::new(PROGRESS, part, SEQUENCE_KEY),
                    encode(&claim.epoch),
                ),
                (RowId::new(HEARTBEATS, part, HEARTBEAT_KEY), encode(&beat)),
            ],
            remove: Vec::new(),
        };
        self.claim = Some(claim);
        cx.commit(CommitPurpose::Take, txn);
    }
}

impl Loading {
    fn poll(&mut self, cx: &mut Cx) {
        for reading in &mut self.reads {
            if reading.retry_at.is_some_and(|at| cx.now >= at) {
                reading.retry_at = None;
                reading.send(cx);
            }
        }
    }

    fn wake_at(&self) -> Option<Now> {
        self.reads
            .iter()
            .filter_map(|reading| reading.retry_at)
            .min()
    }

    /// Takes a page; a range that is read to its end leaves the list.
    fn take(&mut self, cx: &mut Cx, load: LoadSource, page: Result<Page, Box<str>>) {
        let Some(ix) = self.reads.iter().position(|reading| reading.load == load) else {
            return;
        };
        let reading = &mut self.reads[ix];
        let Ok(page) = page else {
            reading.retry_at = Some(cx.now + cx.options.table.retry_delay);
            return;
        };
        let last = page.rows.last().map(|row| format!("{}\0", row.key));
        match load {
            LoadSource::Jobs(_) => {
                let version = self.loaded.version.get_or_insert(page.version);
                *version = page.version.min(*version);
                self.loaded.jobs.extend(page.rows);
            }
            LoadSource::Progress => self.loaded.progress.extend(page.rows),
            LoadSource::Roster => self.loaded.roster.extend(page.rows),
        }
        match last {
            Some(last) if page.more => {
                reading.from = last.into();
                reading.send(cx);
            }
            _ => {
                self.reads.swap_remove(ix);
            }
        }
    }
}

impl Reading {
    /// All that a new placer reads, each range from its start.
    fn all() -> Vec<Self> {
        let jobs = (0..JOB_PARTS).map(LoadSource::Jobs);
        let loads = jobs.chain([LoadSource::Progress, LoadSource::Roster]);
        let reading = |load| Self {
            load,
            from: "".into(),
            retry_at: None,
        };
        loads.map(reading).collect()
    }

    fn send(&self, cx: &mut Cx) {
        let timeout = cx.options.table.read_timeout * 2;
        let own = cx.options.part.clone();
        let mut range = match self.load {
            LoadSource::Jobs(part) => Range::part(JOBS, &job_part_name(part), timeout),
            LoadSource::Progress => Range::part(PROGRESS, &own, timeout),
            LoadSource::Roster => Range::part(ROSTER, &own, timeout),
        };
        range.from = self.from.clone();
        cx.read(ReadPurpose::Load(self.load), range);
    }
}

/// Up to when the former holder may still renew leases: not at all if it has ended or released the
/// role, otherwise as long as it goes on without the table.
fn former_until(cx: &Cx, pulse: &HeartbeatMonitor) -> Now {
    match pulse.heartbeat() {
        None => cx.now + cx.options.placer.alone_for,
        Some(beat) if is_over(cx, &beat.row) => cx.now,
        Some(beat) => beat.received_at + cx.options.placer.alone_for,
    }
}

/// Whether a holder is known not to act any more.
fn is_over(cx: &Cx, beat: &HeartbeatRow) -> bool {
    let owner = &beat.owner;
    let mine = owner.daemon == cx.options.me && owner.nonce != cx.options.nonce;
    mine || beat.released
}

/// When a follower may take the role: at once from an earlier process of its own and from a holder
/// that released it, otherwise once the heartbeat is overdue.
fn due_at(cx: &Cx, feeds: &Feeds, pulse: &HeartbeatMonitor) -> Now {
    let Some(beat) = pulse.heartbeat() else {
        return jitter(cx);
    };
    let owner = &beat.row.owner;
    let mine = owner.daemon == cx.options.me && owner.nonce != cx.options.nonce;
    if mine || beat.row.released {
        return beat.received_at + if mine { Duration::ZERO } else { jitter(cx) / 4 };
    }
    let patience = if beat.row.loading {
        cx.options.placer.load_patience
    } else {
        cx.options.placer.takeover_after
    };
    if pulse.holder_has_ended() {
        return beat.received_at;
    }
    let regained = feeds.recovered_at(Feed::Heartbeats).unwrap_or(Now::ZERO);
    let due = (beat.received_at + patience).max(regained + REGAIN_GRACE);
    due + jitter(cx)
}

fn jitter(cx: &Cx) -> Duration {
    let most = cx.options.placer.takeover_after / JITTER_DIVISOR;
    let share = u32::try_from(cx.options.nonce % 1_000).unwrap_or(0);
    most * share / 1_000
}

fn read_owner(cx: &mut Cx, purpose: ReadPurpose) {
    let timeout = cx.options.table.read_timeout;
    let range = Range::row(JOBS, &cx.options.part, OWNER_KEY, timeout);
    cx.read(purpose, range);
}

fn owner(row: &TableRow) -> Option<OwnerRow> {
    row.value.as_ref().and_then(|value| decode(value).ok())
}
