//! Rows and transactions of the platform's table.

use serde::Deserialize;
use serde::Serialize;

use super::Rev;

/// Key of a table row, `space/name`.
pub type RowKey = Box<str>;

/// A row as read. A withdrawn row keeps its key and version but has no value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key.
    pub key: RowKey,
    /// Table revision of the last change of the row.
    pub version: Rev,
    /// JSON text, `None` if the row is withdrawn.
    pub value: Option<Box<str>>,
}

/// A conditional change of one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key.
    pub key: RowKey,
    /// Version that the row must have, zero if it must never have existed.
    pub expect: Rev,
    /// New JSON text, `None` to withdraw the row.
    pub value: Option<Box<str>>,
}

/// Writes that take effect atomically, all or none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Txn {
    /// Conditional writes.
    pub writes: Vec<Write>,
}
