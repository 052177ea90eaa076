//! Verification of presented keys against a view that is known to be fresh.
//!
//! The view is known to hold every change committed before some time, its as-of time. A read of
//! the table proves the time at which it was sent; a peer whose rows are all held here proves what
//! its own view proves; and all entry VMs together prove the time at which they were asked, when
//! none has a write under way and all their rows are held here.

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

/// Bound on the drift between the clocks of two VMs, as a fraction of the time that passed.
const DRIFT_DIVISOR: u32 = 100;

/// After this time the platform carries out no transaction whose sender has died.
const IN_FLIGHT_BOUND: Duration = Duration::from_secs(30);

/// Bound on the age of the membership list as the platform tells it.
const MEMBER_LAG_BOUND: Duration = Duration::from_secs(60);

/// Judges whether this daemon's view of the keys is fresh enough to be relied on.
#[derive(Clone, Debug)]
pub struct KeyVerifier {
    bound: Duration,
    /// As-of time proved by the table or by a peer's view.
    as_of: Option<Now>,
    /// Whether the table was read so long after the start that every write of an earlier process
    /// of this name is in the view.
    settled: bool,
    /// Whether the membership list was read so late that it names every daemon that may write
    /// without this one's knowledge.
    listed: bool,
    /// When each entry VM was last asked that then had no write under way.
    vouched: BTreeMap<DaemonId, Option<Now>>,
    /// Entry VMs that left the list, and when; they may have written before.
    departed: BTreeMap<DaemonId, Now>,
    proposals: Proposals,
}

impl KeyVerifier {
    /// Returns a judge that relies on views of at most `bound` age.
    #[must_use]
    pub fn new(bound: Duration) -> Self {
        Self {
            bound,
            as_of: None,
            settled: false,
            listed: false,
            vouched: BTreeMap::new(),
            departed: BTreeMap::new(),
            proposals: Proposals::default(),
        }
    }

    /// All changes that were committed before `sent` are in the view.
    pub fn record_table_read(&mut self, sent: Now) {
        self.as_of = self.as_of.max(Some(sent));
        self.settled |= sent >= IN_FLIGHT_BOUND;
        let (gone, still): (BTreeMap<_, _>, _) = std::mem::take(&mut self.departed)
            .into_iter()
            .partition(|(_, at)| sent >= *at + MEMBER_LAG_BOUND);
        self.departed = still;
        self.vouched.retain(|id, _| !gone.contains_key(id));
        self.proposals.record_table_read(sent, IN_FLIGHT_BOUND);
    }

    /// Takes the daemons that can accept record writes, this one left out, from a membership list
    /// that was asked for at `sent`, and whether the list names this daemon.
    pub fn set_peers(&mut self, now: Now, sent: Now, named: bool, peers: &[DaemonId]) {
        self.listed |= named && sent >= MEMBER_LAG_BOUND;
        for id in self.vouched.keys() {
            if !peers.contains(id) {
                self.departed.entry(id.clone()).or_insert(now);
            }
        }
        for id in peers {
            self.departed.remove(id);
            self.vouched.entry(id.clone()).or_default();
        }
    }

    /// A peer told how it stands in a reply to a heartbeat sent at `sent`.
    pub fn record_heartbeat(&mut self, sent: Now, peer: &str, beat: &Heartbeat, records: &Records) {
        if !records.covers(peer, beat.digest) {
            return;
        }
        if let Some(as_of) = sent.checked_sub(with_drift(beat.table_age)) {
            self.as_of = self.as_of.max(Some(as_of));
        }
        if !beat.writes_open
            && let Some(asked) = self.vouched.get_mut(peer)
        {
            *asked = (*asked).max(Some(sent));
        }
    }

    /// A daemon is about to commit these rows; a key that they withdraw is not good until the end
    /// of the write is known. Rows that leave a key as it is end the daemon's proposal.
    pub fn record_proposal(&mut self, now: Now, from: &str, rows: &[Row], records: &Records) {
        self.proposals.add(now, from, rows, records);
    }

    /// Whether writes of an earlier process of this name can no longer take effect unseen.
    #[must_use]
    pub fn sees_earlier_writes(&self) -> bool {
        self.settled
    }

    /// Age of the view as peers may rely on it. A write of this daemon whose end is not known here
    /// may be missing in a view that is fresh only because other daemons vouch for it.
    #[must_use]
    pub fn age_for_peers(&self, now: Now, writes_open: bool) -> Duration {
        if writes_open {
            age(self.as_of, now)
        } else {
            self.age(now)
        }
    }

    /// Age of the view: it holds every change that was committed before then, but for those that
    /// this daemon itself has under way.
    #[must_use]
    pub fn age(&self, now: Now) -> Duration {
        age(self.as_of.max(self.vouched_as_of(now)), now)
    }

    /// Whether the view is fresh at `now`.
    #[must_use]
    pub fn is_fresh(&self, now: Now) -> bool {
        with_drift(self.age(now)) <= self.bound
    }

    /// Whether the view is so old that peers should be asked for what they hold.
    #[must_use]
    pub fn is_aging(&self, now: Now) -> bool {
        self.age(now) > self.bound / 2
    }

    /// Returns the team of a presented secret.
    pub fn verify(&self, now: Now, records: &Records, secret: &str) -> Result<TeamId> {
        if !self.is_fresh(now) {
            return Err(Reason::KeyUnverifiable);
        }
        let hash = hash(secret);
        let record = records.key(&hash).ok_or(Reason::Unauthorized)?;
        if self.proposals.concern(&hash, records) {
            return Err(Reason::KeyUnverifiable);
        }
        Ok(record.team)
    }

    /// The time at which all daemons that can write were known to have nothing under way.
    fn vouched_as_of(&self, now: Now) -> Option<Now> {
        if !self.settled || !self.listed {
            return None;
        }
        self.vouched.values().copied().min().unwrap_or(Some(now))
    }
}

fn age(as_of: Option<Now>, now: Now) -> Duration {
    as_of.map_or(Duration::MAX, |as_of| now.saturating_sub(as_of))
}

/// An upper bound on the time that passed while this clock showed `elapsed`.
fn with_drift(elapsed: Duration) -> Duration {
    elapsed.saturating_add(elapsed / DRIFT_DIVISOR)
}

/// Returns the hash under which a secret's record is stored.
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
