//! Contents of the transactions that insert and withdraw claims.

use crate::core::model::Rev;
use crate::core::model::RowKey;
use crate::core::model::Ticket;
use crate::core::model::Write;

/// A claim whose row is in the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::core::routing) struct Claim {
    /// Key of its row.
    pub(super) key: RowKey,
    /// Version of its row.
    pub(super) version: Rev,
}

/// A claim that has yet to be inserted. If its request ends first, the ticket is removed and the
/// row is withdrawn as soon as it is known to exist.
#[derive(Clone, Debug)]
pub(super) struct PendingClaim {
    /// Request that waits for the claim; `None` if it has ended.
    pub ticket: Option<Ticket>,
    /// Write that inserts the row.
    pub write: Write,
    /// Number of failed transactions that contained the write.
    pub failures: u32,
    /// Whether one of those transactions may have taken effect, or may still do so.
    pub may_exist: bool,
}

/// Contents of a transaction.
#[derive(Clone, Debug)]
pub(super) enum ClaimTxn {
    /// Inserts claims.
    Insert(Vec<PendingClaim>),
    /// Withdraws claims.
    Withdraw(Vec<Claim>),
}

impl ClaimTxn {
    /// Returns the writes of the transaction.
    pub fn writes(&self) -> Vec<Write> {
        match self {
            Self::Insert(batch) => batch.iter().map(|p| p.write.clone()).collect(),
            Self::Withdraw(batch) => batch.iter().map(withdrawal).collect(),
        }
    }
}

fn withdrawal(claim: &Claim) -> Write {
    Write {
        key: claim.key.clone(),
        expect: claim.version,
        value: None,
    }
}
