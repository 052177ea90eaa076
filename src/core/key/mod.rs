//! Verification of presented keys against a view of the records that is known to be fresh.
//!
//! The view includes every change committed before its as-of time, which is advanced in three ways:
//!
//! - A read of the table advances it to the time at which the read was sent.
//! - A peer whose rows are all in this view advances it to the as-of time of the peer's own view.
//! - All entry VMs together advance it to the time at which they were asked, if none of them has a
//!   write in progress and all their rows are in this view.

mod proposal;

use std::collections::BTreeMap;
use std::time::Duration;

use sha2::Digest;
use sha2::Sha256;

use self::proposal::Proposals;
use super::effect::Reason;
use super::event::Heartbeat;
use super::model::DaemonId;
use super::model::KeyHash;
use super::model::Now;
use super::model::Row;
use super::model::TeamId;
use super::record::Records;

/// Result of verifying a key.
pub type Result<T, E = Reason> = std::result::Result<T, E>;

/// The clocks of two VMs drift apart by at most the elapsed time divided by this, 1 %.
const DRIFT_DIVISOR: u32 = 100;

/// Maximum time for which a transaction can still take effect after its sender has died.
const MAX_TXN_IN_FLIGHT: Duration = Duration::from_secs(30);

/// Maximum age of the membership list as returned by the platform.
const MAX_MEMBER_LAG: Duration = Duration::from_secs(60);

/// Verifies keys, provided that this daemon's view of the records is fresh enough.
#[derive(Clone, Debug)]
pub struct KeyVerifier {
    max_age: Duration,
    /// As-of time established by the table or by a peer's view.
    as_of: Option<Now>,
    /// Whether the table was read at least [`MAX_TXN_IN_FLIGHT`] after the start, so that the view
    /// includes every write of an earlier process of this name.
    sees_earlier_writes: bool,
    /// Whether a membership list that includes this daemon was read at least [`MAX_MEMBER_LAG`]
    /// after the start. Every daemon that may write without the knowledge of this one is then
    /// known.
    membership_complete: bool,
    /// For each entry VM, the last time at which it was asked and then had no write in progress;
    /// `None` if there is none.
    idle_at: BTreeMap<DaemonId, Option<Now>>,
    /// Entry VMs that left the membership list, and when. They may have written before they left.
    departed: BTreeMap<DaemonId, Now>,
    proposals: Proposals,
}

impl KeyVerifier {
    /// Returns a verifier that accepts a view of at most `max_age`.
    #[must_use]
    pub fn new(max_age: Duration) -> Self {
        Self {
            max_age,
            as_of: None,
            sees_earlier_writes: false,
            membership_complete: false,
            idle_at: BTreeMap::new(),
            departed: BTreeMap::new(),
            proposals: Proposals::default(),
        }
    }

    /// Records that the view includes all changes committed before `sent`.
    pub fn record_table_read(&mut self, sent: Now) {
        self.as_of = self.as_of.max(Some(sent));
        self.sees_earlier_writes |= sent >= MAX_TXN_IN_FLIGHT;
        let (gone, remaining): (BTreeMap<_, _>, _) = std::mem::take(&mut self.departed)
            .into_iter()
            .partition(|(_, at)| sent >= *at + MAX_MEMBER_LAG);
        self.departed = remaining;
        self.idle_at.retain(|id, _| !gone.contains_key(id));
        self.proposals.record_table_read(sent, MAX_TXN_IN_FLIGHT);
    }

    /// Sets the other daemons that can accept record writes, from a membership list requested at
    /// `sent`; `is_member` is whether the list includes this daemon.
    pub fn set_peers(&mut self, now: Now, sent: Now, is_member: bool, peers: &[DaemonId]) {
        self.membership_complete |= is_member && sent >= MAX_MEMBER_LAG;
        for id in self.idle_at.keys() {
            if !peers.contains(id) {
                self.departed.entry(id.clone()).or_insert(now);
            }
        }
        for id in peers {
            self.departed.remove(id);
            self.idle_at.entry(id.clone()).or_default();
        }
    }

    /// Records the state of a peer, received in reply to a heartbeat sent at `sent`.
    pub fn record_heartbeat(
        &mut self,
        sent: Now,
        peer: &str,
        heartbeat: &Heartbeat,
        records: &Records,
    ) {
        if !records.covers(peer, heartbeat.digest) {
            return;
        }
        if let Some(as_of) = sent.checked_sub(max_elapsed(heartbeat.table_age)) {
            self.as_of = self.as_of.max(Some(as_of));
        }
        if !heartbeat.has_pending_writes
            && let Some(idle_at) = self.idle_at.get_mut(peer)
        {
            *idle_at = (*idle_at).max(Some(sent));
        }
    }

    /// Records the rows that a daemon is about to commit. A key that they withdraw or give to
    /// another team is not accepted until the result of the write is known. Rows that leave a key
    /// unchanged end the daemon's earlier proposal.
    pub fn record_proposal(&mut self, now: Now, daemon: &str, rows: &[Row], records: &Records) {
        self.proposals.add(now, daemon, rows, records);
    }

    /// Returns whether the view includes every write of an earlier process of this name.
    #[must_use]
    pub fn sees_earlier_writes(&self) -> bool {
        self.sees_earlier_writes
    }

    /// Returns the age of the view as reported to peers. While a write of this daemon is in
    /// progress, the answers of the other daemons are left out: they do not prove that the view
    /// includes this write.
    #[must_use]
    pub fn age_for_peers(&self, now: Now, has_pending_writes: bool) -> Duration {
        if has_pending_writes {
            age(self.as_of, now)
        } else {
            self.age(now)
        }
    }

    /// Returns the age of the view, the time since its as-of time. Writes that this daemon itself
    /// has in progress may be missing.
    #[must_use]
    pub fn age(&self, now: Now) -> Duration {
        age(self.as_of.max(self.idle_as_of(now)), now)
    }

    /// Returns whether the view is fresh enough at `now`.
    #[must_use]
    pub fn is_fresh(&self, now: Now) -> bool {
        max_elapsed(self.age(now)) <= self.max_age
    }

    /// Returns whether the view is so old that rows should be requested from peers.
    #[must_use]
    pub fn is_aging(&self, now: Now) -> bool {
        self.age(now) > self.max_age / 2
    }

    /// Returns the team of the key with this secret.
    ///
    /// # Errors
    ///
    /// [`Reason::KeyUnverifiable`] if the view is not fresh or a change of the key is proposed,
    /// [`Reason::Unauthorized`] if there is no such key.
    pub fn verify(&self, now: Now, records: &Records, secret: &str) -> Result<TeamId> {
        if !self.is_fresh(now) {
            return Err(Reason::KeyUnverifiable);
        }
        let hash = hash(secret);
        let record = records.key(&hash).ok_or(Reason::Unauthorized)?;
        if self.proposals.may_affect(&hash, records) {
            return Err(Reason::KeyUnverifiable);
        }
        Ok(record.team)
    }

    /// Returns the time at which all other daemons that can write were known to have no write in
    /// progress.
    fn idle_as_of(&self, now: Now) -> Option<Now> {
        if !self.sees_earlier_writes || !self.membership_complete {
            return None;
        }
        self.idle_at.values().copied().min().unwrap_or(Some(now))
    }
}

fn age(as_of: Option<Now>, now: Now) -> Duration {
    as_of.map_or(Duration::MAX, |as_of| now.saturating_sub(as_of))
}

/// Returns an upper bound on the time that passed while a VM's clock showed `elapsed`.
fn max_elapsed(elapsed: Duration) -> Duration {
    elapsed.saturating_add(elapsed / DRIFT_DIVISOR)
}

/// Returns the hash under which the key with this secret is stored.
#[must_use]
pub fn hash(secret: &str) -> KeyHash {
    use std::fmt::Write;

    let digest = Sha256::digest(secret.as_bytes());
    let mut text = String::with_capacity(64);
    for byte in digest {
        let _ = write!(text, "{byte:02x}");
    }
    text.into()
}
