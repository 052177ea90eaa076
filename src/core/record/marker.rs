//! Transaction marker in the row `writer/{daemon}`.
//!
//! A daemon writes its marker in the same transaction as each record. When the answer to a
//! transaction is lost, the marker shows whether the transaction took effect.

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::core::model::Rev;
use crate::core::model::Row;
use crate::core::model::RowKey;
use crate::core::model::Write;

/// Key prefix of the rows.
const SPACE: &str = "writer/";

/// Identifies the last transaction of a daemon that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Marker {
    /// Row version of the marker that this one replaced.
    after: Rev,
    /// The record write; `None` for a fence, which makes an earlier transaction fail.
    write: Option<MarkedWrite>,
}

/// Identifies one record write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct MarkedWrite {
    op: u64,
    key: RowKey,
    expect: Rev,
    digest: Box<str>,
}

/// Resolution of a transaction whose answer was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// The transaction took effect at this version.
    Committed(Rev),
    /// The transaction did not take effect and no longer can.
    Aborted,
    /// The transaction can no longer take effect; whether it did is unknown.
    Indeterminate,
}

impl Marker {
    /// Returns the marker of a record write; `op` is the number of the write within this process.
    pub fn for_write(after: Rev, op: u64, write: &Write) -> Self {
        let text = write.value.as_deref().unwrap_or_default();
        Self {
            after,
            write: Some(MarkedWrite {
                op,
                key: write.key.clone(),
                expect: write.expect,
                digest: format!("{:x}", Sha256::digest(text.as_bytes())).into(),
            }),
        }
    }

    /// Returns a marker without a record write. Once it is committed, every other transaction that
    /// expects the marker's version `after` fails.
    pub fn fence(after: Rev) -> Self {
        Self { after, write: None }
    }

    /// Returns the conditional write that stores this marker for a daemon.
    pub fn write(&self, daemon: &str) -> Write {
        Write {
            key: format!("{SPACE}{daemon}").into(),
            expect: self.after,
            value: serde_json::to_string(self).ok().map(Into::into),
        }
    }

    /// Resolves the transaction with this marker from the marker's `row`, as returned by a conflict
    /// on the version that this marker would have replaced.
    pub fn resolve(&self, row: &Row) -> Resolution {
        let value = row.value.as_deref();
        match value.and_then(|text| serde_json::from_str::<Self>(text).ok()) {
            Some(found) if found == *self => Resolution::Committed(row.version),
            Some(found) if found.after == self.after => Resolution::Aborted,
            _ => Resolution::Indeterminate,
        }
    }
}
