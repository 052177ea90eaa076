//! Interface of the reducer to the platform's transactional table service.

use std::time::Duration;

use crate::core::model::Rev;

/// Name of one of ragwortstall's own tables.
pub type TableName = &'static str;

/// Jobs, cancellations of jobs, and the owner row.
pub const JOBS: TableName = "jobs";

/// Progress of jobs; written only by the placer and by a claim of its role.
pub const PROGRESS: TableName = "progress";

/// VMs that the placer may have started tasks on.
pub const ROSTER: TableName = "roster";

/// The placer's heartbeat and the daemons' addresses.
pub const HEARTBEATS: TableName = "pulse";

/// Maximum number of entries in a transaction: expected versions, rows to write and rows to remove.
pub const MAX_TRANSACTION_ENTRIES: usize = 100;

/// Identifies a row.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RowId {
    /// Table.
    pub table: TableName,
    /// Part; a transaction is confined to one.
    pub part: Box<str>,
    /// Key, at most 200 bytes long.
    pub key: Box<str>,
}

/// Row as read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableRow {
    /// Part.
    pub part: Box<str>,
    /// Key.
    pub key: Box<str>,
    /// Version of its last change.
    pub version: Rev,
    /// Value; `None` if the row was removed.
    pub value: Option<Vec<u8>>,
}

/// Changes to rows of one part that take effect atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Expected versions of rows; zero for a row that must not exist.
    pub expect: Vec<(RowId, Rev)>,
    /// Rows to write.
    pub put: Vec<(RowId, Vec<u8>)>,
    /// Rows to remove.
    pub remove: Vec<RowId>,
}

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The transaction took effect; carries the version of all rows that it wrote.
    Done(Rev),
    /// A row had another version than expected; nothing took effect. Carries the current rows.
    Conflict(Vec<TableRow>),
    /// The transaction was not sent or was refused for now; nothing took effect.
    Refused(Box<str>),
    /// The transaction was refused for its contents, and would be again; nothing took effect.
    Rejected(Box<str>),
    /// No valid answer: the transaction may have taken effect, or may still do so.
    Unknown(Box<str>),
}

/// Range of rows, in ascending order of keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Range {
    /// Table.
    pub table: TableName,
    /// Part.
    pub part: Box<str>,
    /// Start of the range, inclusive; empty for the first key.
    pub from: Box<str>,
    /// End of the range, exclusive; empty for none.
    pub to: Box<str>,
    /// Maximum number of rows in the answer; `None` for the maximum of the table service.
    pub limit: Option<usize>,
    /// Timeout of the read.
    pub timeout: Duration,
    /// Whether the answer may be large. The timeout is then the longest time without progress,
    /// otherwise that of the whole read.
    pub is_bulk: bool,
}

/// Rows read at one version of the table service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Rows.
    pub rows: Vec<TableRow>,
    /// Whether the range has further rows.
    pub more: bool,
    /// Newest version of the table service at the time of the read.
    pub version: Rev,
}

impl Page {
    /// Returns the total size of the rows' values, in bytes.
    #[must_use]
    pub fn value_bytes(&self) -> usize {
        let values = self.rows.iter().filter_map(|row| row.value.as_ref());
        values.map(Vec::len).sum()
    }
}

impl RowId {
    /// Creates the id of a row.
    #[must_use]
    pub fn new(table: TableName, part: &str, key: &str) -> Self {
        Self {
            table,
            part: part.into(),
            key: key.into(),
        }
    }
}

impl Range {
    /// Returns the range of the single row with a key.
    #[must_use]
    pub fn row(table: TableName, part: &str, key: &str, timeout: Duration) -> Self {
        Self {
            table,
            part: part.into(),
            from: key.into(),
            to: format!("{key}\0").into(),
            limit: None,
            timeout,
            is_bulk: false,
        }
    }

    /// Returns the range of rows whose keys start with `prefix`, which ends in an ASCII character.
    #[must_use]
    pub fn prefix(table: TableName, part: &str, prefix: &str, timeout: Duration) -> Self {
        Self {
            table,
            part: part.into(),
            from: prefix.into(),
            to: format!("{prefix}\u{7f}").into(),
            limit: None,
            timeout,
            is_bulk: false,
        }
    }

    /// Returns the range of all rows of a part.
    #[must_use]
    pub fn part(table: TableName, part: &str, timeout: Duration) -> Self {
        Self {
            table,
            part: part.into(),
            from: "".into(),
            to: "".into(),
            limit: None,
            timeout,
            is_bulk: true,
        }
    }
}
