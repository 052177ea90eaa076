//! Operators' records: teams, keys, services and open queues, each with a schema version and a row
//! version. A view takes only higher row versions, from the table and from peers alike.

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
pub use write::Outcome;
pub use write::RecordWriter;

/// Result of reading a record.
pub type Result<T, E = Box<str>> = std::result::Result<T, E>;

/// Spaces that hold operators' records.
pub const SPACES: [&str; 4] = ["team/", "key/", "service/", "queue/"];

/// This daemon's view of all records.
#[derive(Clone, Debug, Default)]
pub struct Records {
    rows: FxHashMap<RowKey, Row>,
    rev: Rev,
    digest: u64,
    synced: FxHashMap<DaemonId, u64>,
}

impl Records {
    /// Applies rows that are newer than the view's and returns them.
    pub fn apply(&mut self, rows: &[Row]) -> Vec<Row> {
        let mut changed = Vec::new();
        for row in rows {
            let known = self.rows.get(&row.key).map_or(0, |old| old.version);
            if row.version > known {
                self.put(row.clone());
                changed.push(row.clone());
            }
        }
        changed
    }

    /// Every change up to `rev` has been applied.
    pub fn advance_rev(&mut self, rev: Rev) {
        self.rev = self.rev.max(rev);
    }

    /// Revision up to which every change has been applied.
    #[must_use]
    pub fn rev(&self) -> Rev {
        self.rev
    }

    /// Digest of the keys and versions of all rows; views with the same digest hold the same rows.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// A peer whose rows had this digest sent all of them that are above [`Records::rev`], and they
    /// have been applied.
    pub fn record_sync(&mut self, peer: &str, digest: u64) {
        self.synced.insert(peer.into(), digest);
    }

    /// Whether every row of a peer, whose rows have this digest, is held here.
    #[must_use]
    pub fn covers(&self, peer: &str, digest: u64) -> bool {
        digest == self.digest || self.synced.get(peer) == Some(&digest)
    }

    /// Rows whose version is above `after`, withdrawn ones too.
    #[must_use]
    pub fn rows_after(&self, after: Rev) -> Vec<Row> {
        self.rows
            .values()
            .filter(|row| row.version > after)
            .cloned()
            .collect()
    }

    /// The row of a key, also when withdrawn.
    #[must_use]
    pub fn row(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Row version of a record, zero when it never existed.
    #[must_use]
    pub fn version(&self, space: &str, name: &str) -> Rev {
        self.row(&format!("{space}{name}"))
            .map_or(0, |row| row.version)
    }

    /// Rows of a space that are not withdrawn, by key.
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

    /// A team's record.
    #[must_use]
    pub fn team(&self, team: &str) -> Option<TeamRecord> {
        TeamRecord::from_json(self.value("team/", team)?).ok()
    }

    /// The record of a key, by the hash of its secret.
    #[must_use]
    pub fn key(&self, hash: &str) -> Option<KeyRecord> {
        KeyRecord::from_json(self.value("key/", hash)?).ok()
    }

    /// A service's record.
    #[must_use]
    pub fn service(&self, service: &str) -> Option<ServiceRecord> {
        ServiceRecord::from_json(self.value("service/", service)?).ok()
    }

    /// An open queue's record.
    #[must_use]
    pub fn queue(&self, queue: &str) -> Option<QueueRecord> {
        QueueRecord::from_json(self.value("queue/", queue)?).ok()
    }

    fn put(&mut self, row: Row) {
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

/// First eight bytes of a hash over key and version, the same in every build.
fn row_digest(row: &Row) -> u64 {
    let mut hash = Sha256::new();
    hash.update(row.version.to_be_bytes());
    hash.update(row.key.as_bytes());
    let hash = hash.finalize();
    hash.iter()
        .take(size_of::<u64>())
        .fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}
