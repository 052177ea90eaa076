//! Operators' records: teams, keys, services and open queues.
//!
//! Each record has a schema version and a row version. A view accepts a row, whether from the table
//! or from a peer, only if its version is higher than the one that it has.

mod check;
mod marker;
mod merge;
mod op;
mod schema;
mod write;

use rustc_hash::FxHashMap;
use sha2::Digest;
use sha2::Sha256;

use super::model::DaemonId;
use super::model::Rev;
use super::model::Row;
use super::model::RowKey;

pub use merge::PrepareError;
pub use merge::prepare;
pub use schema::KeyRecord;
pub use schema::QueueRecord;
pub use schema::ServiceRecord;
pub use schema::TeamRecord;
pub use write::RecordWriter;
pub use write::ResolvedRows;

/// Result of parsing a record.
pub type Result<T, E = Box<str>> = std::result::Result<T, E>;

/// Key prefixes of operators' records.
pub const SPACES: [&str; 4] = ["team/", "key/", "service/", "queue/"];

/// This daemon's view of all records.
#[derive(Clone, Debug, Default)]
pub struct Records {
    rows: FxHashMap<RowKey, Row>,
    /// Revision up to which every change has been applied.
    rev: Rev,
    digest: u64,
    /// Digest of the last complete set of rows received from each peer.
    synced_digests: FxHashMap<DaemonId, u64>,
}

impl Records {
    /// Applies rows that are newer than the view's and returns them.
    pub fn apply(&mut self, rows: &[Row]) -> Vec<Row> {
        let mut changed = Vec::new();
        for row in rows {
            let known = self.rows.get(&row.key).map_or(0, |old| old.version);
            if row.version > known {
                self.insert_row(row.clone());
                changed.push(row.clone());
            }
        }
        changed
    }

    /// Records that every change up to `rev` has been applied.
    pub fn advance_rev(&mut self, rev: Rev) {
        self.rev = self.rev.max(rev);
    }

    /// Returns the revision up to which every change has been applied.
    #[must_use]
    pub fn rev(&self) -> Rev {
        self.rev
    }

    /// Returns a digest of the keys and versions of all rows. Views with equal digests have the
    /// same rows.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Records that a peer whose rows have this digest sent all of them above [`Records::rev`], and
    /// that they have been applied.
    pub fn record_sync(&mut self, peer: &str, digest: u64) {
        self.synced_digests.insert(peer.into(), digest);
    }

    /// Returns whether this view includes every row of a peer whose rows have this digest.
    #[must_use]
    pub fn covers(&self, peer: &str, digest: u64) -> bool {
        digest == self.digest || self.synced_digests.get(peer) == Some(&digest)
    }

    /// Returns the rows whose version is above `after`, including withdrawn ones.
    #[must_use]
    pub fn rows_after(&self, after: Rev) -> Vec<Row> {
        self.rows
            .values()
            .filter(|row| row.version > after)
            .cloned()
            .collect()
    }

    /// Returns the row of a key, even if it is withdrawn.
    #[must_use]
    pub fn row(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Returns the row version of a record, zero if it never existed.
    #[must_use]
    pub fn version(&self, space: &str, name: &str) -> Rev {
        self.row(&format!("{space}{name}"))
            .map_or(0, |row| row.version)
    }

    /// Returns the rows of a space that are not withdrawn, sorted by key.
    #[must_use]
    pub fn space(&self, prefix: &str) -> Vec<&Row> {
        let mut rows: Vec<&Row> = self
            .rows
            .values()
            .filter(|row| row.key.starts_with(prefix) && row.value.is_some())
            .collect();
        rows.sort_by(|a, b| a.key.cmp(&b.key));
        rows
    }

    /// Returns a team's record.
    #[must_use]
    pub fn team(&self, team: &str) -> Option<TeamRecord> {
        TeamRecord::from_json(self.value("team/", team)?).ok()
    }

    /// Returns the record of a key by the hash of its secret.
    #[must_use]
    pub fn key(&self, hash: &str) -> Option<KeyRecord> {
        KeyRecord::from_json(self.value("key/", hash)?).ok()
    }

    /// Returns a service's record.
    #[must_use]
    pub fn service(&self, service: &str) -> Option<ServiceRecord> {
        ServiceRecord::from_json(self.value("service/", service)?).ok()
    }

    /// Returns an open queue's record.
    #[must_use]
    pub fn queue(&self, queue: &str) -> Option<QueueRecord> {
        QueueRecord::from_json(self.value("queue/", queue)?).ok()
    }

    fn insert_row(&mut self, row: Row) {
        self.digest = self.digest.wrapping_add(row_digest(&row));
        if let Some(old) = self.rows.insert(row.key.clone(), row) {
            self.digest = self.digest.wrapping_sub(row_digest(&old));
        }
    }

    fn value(&self, space: &str, name: &str) -> Option<&str> {
        self.rows
            .get(format!("{space}{name}").as_str())?
            .value
            .as_deref()
    }
}

/// Returns the first eight bytes of a SHA-256 over version and key. Daemons compare the result, so
/// it must be the same in every build.
fn row_digest(row: &Row) -> u64 {
    let mut hash = Sha256::new();
    hash.update(row.version.to_be_bytes());
    hash.update(row.key.as_bytes());
    let hash = hash.finalize();
    hash.iter()
        .take(size_of::<u64>())
        .fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}
