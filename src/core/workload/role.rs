//! The placer role. A daemon claims it by compare-and-set on the owner row in the table, with an
//! epoch that is higher for each holder. A new holder loads its rows before it acts as the placer.

use std::time::Duration;

use super::cx::Cx;
use super::cx::millis;
use super::decision::Decision;
use super::event::CommitPurpose;
use super::event::Feed;
use super::event::LoadSource;
use super::event::PlacerWrite;
use super::event::ReadPurpose;
use super::feeds::Feeds;
use super::former::Former;
use super::former::is_inactive;
use super::heartbeat::HeartbeatMonitor;
use super::loading::Loading;
use super::placer::Placer;
use super::placer::RoleGrant;
use super::placer::RoleLoss;
use super::rows::HEARTBEAT_KEY;
use super::rows::HeartbeatRow;
use super::rows::OWNER_KEY;
use super::rows::OwnerRow;
use super::rows::PROBE_KEY_PREFIX;
use super::rows::SEQUENCE_KEY;
use super::rows::decode;
use super::rows::encode;
use super::table::CommitOutcome;
use super::table::HEARTBEATS;
use super::table::JOBS;
use super::table::PROGRESS;
use super::table::Page;
use super::table::Range;
use super::table::RowId;
use super::table::TableRow;
use super::table::Transaction;
use super::takeover_time::after_recovery;
use super::takeover_time::due_at;
use super::takeover_time::jitter;
use crate::core::model::Epoch;
use crate::core::model::Now;
use crate::core::model::Rev;

/// Additional age allowed for a heartbeat, as a multiple of the measured latency of a table read.
const SLOW_TABLE_FACTOR: u32 = 6;

/// Role of this daemon.
#[derive(Debug)]
pub(super) enum Role {
    /// Another daemon is the placer, or none is.
    Follower {
        /// Earliest time at which this daemon may start a takeover.
        not_before: Now,
        /// Whether the table failed to answer in this daemon's last takeover, so that the holder
        /// may have been unable to send its heartbeat.
        table_failed: bool,
    },
    /// This daemon finds out whether the table takes writes again.
    ProbingTable,
    /// This daemon reads the owner row and claims the role.
    Claiming(Takeover),
    /// This daemon holds the role and reads the rows that the placer needs.
    Loading(Box<Loading>),
    /// This daemon is the placer.
    Placing(Box<Placer>),
}

/// Takeover of the role until the claim is granted.
#[derive(Debug)]
pub(super) struct Takeover {
    /// Owner row of the claim, once that is sent.
    claim: Option<OwnerRow>,
    started_at: Now,
    /// Time of the last heartbeat, if its sender may still be active.
    heartbeat_at: Option<Now>,
    /// Version of the last heartbeat; zero if none was received.
    heartbeat_version: Rev,
    /// Epoch of the holder to be replaced; zero if no heartbeat was received.
    replaced_epoch: Epoch,
    /// Former holder.
    former: Former,
    /// Age of the last heartbeat at the start of the takeover; zero if none was received.
    heartbeat_age: Duration,
}

impl Role {
    /// Returns the role of a daemon that has just started.
    pub fn new() -> Self {
        Self::Follower {
            not_before: Now::ZERO,
            table_failed: false,
        }
    }

    /// Returns whether this daemon neither holds nor claims the role.
    pub fn is_follower(&self) -> bool {
        matches!(self, Self::Follower { .. })
    }

    /// Returns the placer, if this daemon is it.
    pub fn placer(&mut self) -> Option<&mut Placer> {
        match self {
            Self::Placing(placer) => Some(placer),
            _ => None,
        }
    }

    /// Starts a takeover when it is due, repeats failed reads and runs the placer's timed work.
    pub fn poll(
        &mut self,
        cx: &mut Cx,
        feeds: &mut Feeds,
        heartbeats: &HeartbeatMonitor,
        draining: bool,
    ) {
        match self {
            Self::Follower {
                not_before,
                table_failed,
            } => {
                let due = due_at(cx, feeds, heartbeats).max(*not_before);
                let can_claim = feeds.is_up(Feed::Heartbeats) && cx.catalog.is_some() && !draining;
                if can_claim && cx.now >= due {
                    *self = if *table_failed {
                        Self::probe_table(cx)
                    } else {
                        Self::Claiming(Takeover::start(cx, feeds, heartbeats))
                    };
                }
            }
            Self::Claiming(_) | Self::ProbingTable => {}
            Self::Loading(loading) if draining => {
                loading.release(cx);
                self.step_down(cx, feeds, "the daemon is stopping");
            }
            Self::Loading(loading) => {
                if let Some(reason) = loading.poll(cx, heartbeats) {
                    loading.release(cx);
                    return self.step_down(cx, feeds, &reason);
                }
                self.start_placing(cx, feeds);
            }
            Self::Placing(placer) => {
                if let Some(reason) = placer.poll(cx, heartbeats) {
                    self.step_down(cx, feeds, &reason);
                }
            }
        }
    }

    /// Returns the time at which [`Role::poll`] is next due, if any.
    pub fn wake_at(&self, cx: &Cx, feeds: &Feeds, heartbeats: &HeartbeatMonitor) -> Option<Now> {
        match self {
            Self::Follower { not_before, .. } if feeds.is_up(Feed::Heartbeats) => {
                Some(due_at(cx, feeds, heartbeats).max(*not_before))
            }
            Self::Follower { .. } | Self::Claiming(_) | Self::ProbingTable => None,
            Self::Loading(loading) => Some(loading.wake_at(cx)),
            Self::Placing(placer) => placer.wake_at(cx),
        }
    }

    /// Handles the owner row, read either before the claim or after a claim whose outcome is
    /// unknown.
    pub fn handle_owner_row(
        &mut self,
        cx: &mut Cx,
        after_unknown_claim: bool,
        page: Result<Page, Box<str>>,
    ) {
        let Self::Claiming(takeover) = self else {
            return;
        };
        let Ok(row) = page.map(|page| page.rows.into_iter().next()) else {
            return self.back_off_from_table(cx);
        };
        let current = match row.as_ref().map(owner).transpose() {
            Ok(owner) => row.as_ref().zip(owner),
            Err(reason) => {
                let key = OWNER_KEY.into();
                cx.log(Decision::RowUnreadable { key, reason });
                return self.back_off(cx);
            }
        };
        if let (true, Some((row, owner)), Some(claim)) =
            (after_unknown_claim, &current, &takeover.claim)
            && owner == claim
        {
            let version = row.version;
            return self.start_loading(cx, version);
        }
        if after_unknown_claim {
            return self.back_off_from_table(cx);
        }
        let version = row.as_ref().map_or(0, |row| row.version);
        if current
            .as_ref()
            .is_some_and(|(_, owner)| owner.epoch > takeover.replaced_epoch)
        {
            return self.back_off(cx);
        }
        if let Some(not_before) = takeover.slow_table_deadline(cx) {
            *self = Self::Follower {
                not_before,
                table_failed: false,
            };
            return;
        }
        takeover.claim(cx, current.map(|(_, owner)| owner), version);
    }

    /// Handles the outcome of the claim.
    pub fn handle_claim_outcome(&mut self, cx: &mut Cx, outcome: &CommitOutcome) {
        if !matches!(self, Self::Claiming(_)) {
            return;
        }
        match outcome {
            CommitOutcome::Done(version) => self.start_loading(cx, *version),
            CommitOutcome::Conflict(_) => self.back_off(cx),
            CommitOutcome::Refused(_) | CommitOutcome::Rejected(_) => self.back_off_from_table(cx),
            CommitOutcome::Unknown(_) => read_owner(cx, ReadPurpose::Settle),
        }
    }

    /// Handles the outcome of a write that shows whether the table takes writes again. If it does,
    /// the holder gets time for a heartbeat before this daemon claims the role.
    pub fn handle_probe_outcome(
        &mut self,
        cx: &Cx,
        heartbeats: &HeartbeatMonitor,
        outcome: &CommitOutcome,
    ) {
        if !matches!(self, Self::ProbingTable) {
            return;
        }
        if !matches!(outcome, CommitOutcome::Done(_)) {
            return self.back_off_from_table(cx);
        }
        *self = Self::Follower {
            not_before: after_recovery(cx, heartbeats),
            table_failed: false,
        };
    }

    /// Handles the outcome of a transaction of the placer of an epoch. Ignores one of an earlier
    /// term of this daemon. Returns a reason if the role is lost by it.
    pub fn handle_write_outcome(
        &mut self,
        cx: &mut Cx,
        epoch: Epoch,
        write: PlacerWrite,
        outcome: &CommitOutcome,
    ) -> RoleLoss {
        match self {
            Self::Loading(loading) if loading.epoch() == epoch => {
                Loading::handle_heartbeat_outcome(outcome)
            }
            Self::Placing(placer) if placer.epoch() == epoch => {
                placer.handle_write_outcome(cx, write, outcome)
            }
            _ => None,
        }
    }

    /// Handles the sequence row, read by the placer of an epoch. Returns a reason if the role is
    /// lost by it.
    pub fn handle_sequence_row(
        &mut self,
        cx: &mut Cx,
        epoch: Epoch,
        page: Result<Page, Box<str>>,
    ) -> RoleLoss {
        let placer = self.placer().filter(|placer| placer.epoch() == epoch)?;
        placer.handle_sequence_row(cx, page)
    }

    /// Handles a page of the rows that the placer of an epoch needs; starts the placer after the
    /// last one.
    pub fn handle_page(
        &mut self,
        cx: &mut Cx,
        feeds: &mut Feeds,
        epoch: Epoch,
        source: LoadSource,
        page: Result<Page, Box<str>>,
    ) {
        match self {
            Self::Loading(loading) if loading.epoch() == epoch => {
                loading.add_page(cx, source, page);
                self.start_placing(cx, feeds);
            }
            Self::Placing(placer) if placer.epoch() == epoch => {
                placer.add_late_page(cx, source, page);
            }
            _ => {}
        }
    }

    /// Starts the placer if the load is complete.
    fn start_placing(&mut self, cx: &mut Cx, feeds: &mut Feeds) {
        match std::mem::replace(self, Self::new()) {
            Self::Loading(loading) if loading.is_complete(cx) => {
                feeds.follow(Feed::Vms, None);
                feeds.follow(Feed::Jobs, Some(loading.version()));
                let placer = loading.finish(cx);
                *self = Self::Placing(Box::new(placer));
            }
            role => *self = role,
        }
    }

    /// Gives up the role for a reason, which is logged, and delays the next takeover.
    pub fn step_down(&mut self, cx: &mut Cx, feeds: &mut Feeds, reason: &str) {
        let epoch = match self {
            Self::Placing(placer) => placer.epoch(),
            Self::Loading(loading) => loading.epoch(),
            Self::Follower { .. } | Self::Claiming(_) | Self::ProbingTable => {
                return self.back_off(cx);
            }
        };
        cx.log(Decision::RoleLost {
            epoch,
            reason: reason.into(),
        });
        feeds.unfollow(Feed::Vms);
        feeds.unfollow(Feed::Jobs);
        self.back_off(cx);
    }

    fn start_loading(&mut self, cx: &mut Cx, version: Rev) {
        let Self::Claiming(takeover) = self else {
            return;
        };
        let Some(owner) = takeover.claim.take() else {
            return self.back_off(cx);
        };
        cx.log(Decision::RoleTaken {
            epoch: owner.epoch,
            former: takeover.former.daemon.clone(),
            beat_age_ms: millis(takeover.heartbeat_age),
        });
        let grant = RoleGrant {
            owner,
            version,
            former: takeover.former.clone(),
        };
        let loading = Loading::start(cx, grant);
        *self = Self::Loading(Box::new(loading));
    }

    /// Writes a row to the part of the table that holds the role.
    fn probe_table(cx: &mut Cx) -> Self {
        let key = format!("{PROBE_KEY_PREFIX}{}", cx.options.daemon);
        let row = RowId::new(HEARTBEATS, &cx.options.part, &key);
        let txn = Transaction {
            put: vec![(row, encode(&cx.options.nonce))],
            ..Transaction::default()
        };
        cx.commit(CommitPurpose::TableProbe, txn);
        Self::ProbingTable
    }

    fn back_off(&mut self, cx: &Cx) {
        *self = Self::Follower {
            not_before: backed_off_until(cx),
            table_failed: false,
        };
    }

    /// Backs off from a table that has failed.
    fn back_off_from_table(&mut self, cx: &Cx) {
        *self = Self::Follower {
            not_before: backed_off_until(cx),
            table_failed: true,
        };
    }
}

/// Returns the earliest time of the next takeover after one that has failed.
fn backed_off_until(cx: &Cx) -> Now {
    cx.now + cx.options.table.retry_delay * 2 + jitter(cx)
}

impl Takeover {
    fn start(cx: &mut Cx, feeds: &Feeds, heartbeats: &HeartbeatMonitor) -> Self {
        read_owner(cx, ReadPurpose::Owner);
        let last = heartbeats.heartbeat();
        Self {
            claim: None,
            started_at: cx.now,
            heartbeat_at: last
                .filter(|last| !is_inactive(cx, &last.row) && !heartbeats.holder_has_ended())
                .map(|last| last.received_at),
            heartbeat_version: last.map_or(0, |last| last.version),
            replaced_epoch: last.map_or(0, |last| last.row.owner.epoch),
            former: Former::new(cx, feeds, heartbeats),
            heartbeat_age: last.map_or(Duration::ZERO, |last| {
                cx.now.saturating_sub(last.received_at)
            }),
        }
    }

    /// Returns the time until which to wait for a heartbeat that a slow table may have delayed;
    /// `None` if that time has passed. A heartbeat needs a transaction by the holder and the answer
    /// to a watch by this daemon, so that its delay grows with the latency of the table, measured
    /// on the read of the owner row.
    fn slow_table_deadline(&self, cx: &Cx) -> Option<Now> {
        let answered_in = cx.now.saturating_sub(self.started_at);
        let max_age = cx.options.placer.takeover_after + answered_in * SLOW_TABLE_FACTOR;
        let until = self.heartbeat_at? + max_age;
        (cx.now < until).then_some(until)
    }

    /// Claims the role, unless the holder has sent a heartbeat that this daemon has not received.
    /// The transaction also writes the sequence row: progress writes of the former holder expect its
    /// old version, so that none of them can take effect afterwards.
    fn claim(&mut self, cx: &mut Cx, current: Option<OwnerRow>, version: Rev) {
        let claim = OwnerRow {
            epoch: current.map_or(0, |owner| owner.epoch) + 1,
            daemon: cx.options.daemon.clone(),
            nonce: cx.options.nonce,
        };
        let part = &cx.options.part;
        let row = RowId::new(JOBS, part, OWNER_KEY);
        let heartbeat = HeartbeatRow::loading(
            claim.clone(),
            cx.options.max_renewal_grace(),
            self.former.renews_for(cx.now),
        );
        let heartbeat_row = RowId::new(HEARTBEATS, part, HEARTBEAT_KEY);
        let sequence = RowId::new(PROGRESS, part, SEQUENCE_KEY);
        let txn = Transaction {
            expect: vec![
                (row.clone(), version),
                (heartbeat_row.clone(), self.heartbeat_version),
            ],
            put: vec![
                (row, encode(&claim)),
                (sequence, encode(&claim.epoch)),
                (heartbeat_row, encode(&heartbeat)),
            ],
            remove: Vec::new(),
        };
        self.claim = Some(claim);
        cx.commit(CommitPurpose::Take, txn);
    }
}

fn read_owner(cx: &mut Cx, purpose: ReadPurpose) {
    let timeout = cx.options.table.read_timeout;
    let range = Range::row(JOBS, &cx.options.part, OWNER_KEY, timeout);
    cx.read(purpose, range);
}

/// Decodes the owner row; the error is the reason why it cannot be decoded.
fn owner(row: &TableRow) -> super::rows::Result<OwnerRow> {
    decode(row.value.as_deref().unwrap_or_default())
}
