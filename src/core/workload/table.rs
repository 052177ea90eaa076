//! The platform's transactional table, as the reducer asks it.

use std::time::Duration;

use crate::core::model::Rev;

/// Name of a table of the system's own.
pub type TableName = &'static str;

/// Jobs and withdrawals of jobs.
pub const JOBS: TableName = "jobs";

/// Progress of jobs, written by the placer alone.
pub const PROGRESS: TableName = "progress";

/// VMs that the placer may have started tasks on.
pub const ROSTER: TableName = "roster";

/// The placer's heartbeat and the daemons' addresses.
pub const HEARTBEATS: TableName = "pulse";

/// Identifies a row.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RowId {
    /// Table.
    pub table: TableName,
    /// Part; a transaction is confined to one.
    pub part: Box<str>,
    /// Key, at most 200 bytes.
    pub key: Box<str>,
}

/// A row as read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableRow {
    /// Part.
    pub part: Box<str>,
    /// Key.
    pub key: Box<str>,
    /// Version of its last change.
    pub version: Rev,
    /// Value; `None` once removed.
    pub value: Option<Vec<u8>>,
}

/// Changes that take effect all together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Versions that rows must have; zero for a row that must not exist.
    pub expect: Vec<(RowId, Rev)>,
    /// Rows to write.
    pub put: Vec<(RowId, Vec<u8>)>,
    /// Rows to remove.
    pub remove: Vec<RowId>,
}

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It took effect; the version of all rows it wrote.
    Done(Rev),
    /// A row had another version; nothing took effect. Holds the current rows.
    Conflict(Vec<TableRow>),
    /// The table refused it; nothing took effect.
    Refused(Box<str>),
    /// No answer came: it may have taken effect, or may still do so.
    Unknown(Box<str>),
}

/// A range of rows, in ascending order of keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Range {
    /// Table.
    pub table: TableName,
    /// Part.
    pub part: Box<str>,
    /// First key.
    pub from: Box<str>,
    /// First key behind the range; empty for none.
    pub to: Box<str>,
    /// Time after which the read is given up.
    pub timeout: Duration,
}

/// Rows read as of one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Rows.
    pub rows: Vec<TableRow>,
    /// Whether the range holds more.
    pub more: bool,
    /// Newest version of the table service at that moment.
    pub version: Rev,
}

impl RowId {
    /// Names a row.
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
    /// The single row of a key.
    #[must_use]
    pub fn row(table: TableName, part: &str, key: &str, timeout: Duration) -> Self {
        Self {
            table,
            part: part.into(),
            from: key.into(),
            to: format!("{key}\0").into(),
            timeout,
        }
    }

    /// The rows whose keys begin with `prefix`, which ends in an ASCII character.
    #[must_use]
    pub fn prefix(table: TableName, part: &str, prefix: &str, timeout: Duration) -> Self {
        Self {
            table,
            part: part.into(),
            from: prefix.into(),
            to: format!("{prefix}\u{7f}").into(),
            timeout,
        }
    }

    /// All rows of a part.
    #[must_use]
    pub fn part(table: TableName, part: &str, timeout: Duration) -> Self {
        Self {
            table,
            part: part.into(),
            from: "".into(),
            to: "".into(),
            timeout,
        }
    }
}
