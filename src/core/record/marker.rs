//! The row `writer/{daemon}`, written in the same transaction as each record, by which a writer
//! whose answer was lost learns whether its transaction took effect.

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::core::model::Rev;
use crate::core::model::Row;
use crate::core::model::RowKey;
use crate::core::model::Write;

/// Space of the rows.
const SPACE: &str = "writer/";

/// The last transaction of a daemon that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// Version of the mark that this one replaced.
    after: Rev,
    /// The record write, `None` when an earlier transaction was made to fail.
    write: Option<Marked>,
}

/// Names one record write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Marked {
    op: u64,
    key: RowKey,
    expect: Rev,
    digest: Box<str>,
}

/// What became of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It took effect at this version.
    Committed(Rev),
    /// It did not take effect and cannot any more.
    Void,
    /// It cannot take effect any more; whether it did is not known.
    Ambiguous,
}

impl Mark {
    /// Marks a record write; `op` numbers the writes of this process.
    pub fn of(after: Rev, op: u64, write: &Write) -> Self {
        let text = write.value.as_deref().unwrap_or_default();
        Self {
            after,
            write: Some(Marked {
                op,
                key: write.key.clone(),
                expect: write.expect,
                digest: format!("{:x}", Sha256::digest(text.as_bytes())).into(),
            }),
        }
    }

    /// Marks that whatever else was sent on the same mark must fail.
    pub fn void(after: Rev) -> Self {
        Self { after, write: None }
    }

    /// The conditional write of this mark by a daemon.
    pub fn write(&self, daemon: &str) -> Write {
        Write {
            key: format!("{SPACE}{daemon}").into(),
            expect: self.after,
            value: serde_json::to_string(self).ok().map(Into::into),
        }
    }

    /// What became of the transaction with this mark, by the mark's row after a conflict on the
    /// version that this mark would have replaced.
    pub fn fate(&self, row: &Row) -> Fate {
        let value = row.value.as_deref();
        match value.and_then(|text| serde_json::from_str::<Self>(text).ok()) {
            Some(found) if found == *self => Fate::Committed(row.version),
            Some(found) if found.after == self.after => Fate::Void,
            _ => Fate::Ambiguous,
        }
    }
}
