//! The transactional table as a pure model.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use ragwortstall::core::event::TxnOutcome;
use ragwortstall::core::model::Rev;
use ragwortstall::core::model::Row;
use ragwortstall::core::model::RowKey;
use ragwortstall::core::model::Txn;
use ragwortstall::core::model::Write;

/// Rows after a transaction, one for each write, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Every write took effect; the rows as written.
    Committed(Vec<Row>),
    /// No write took effect; the rows as they are.
    Conflict(Vec<Row>),
}

impl From<Outcome> for TxnOutcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Committed(rows) => Self::Committed(rows),
            Outcome::Conflict(rows) => Self::Conflict(rows),
        }
    }
}

/// A table of versioned rows; each committed transaction raises the revision by one.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: BTreeMap<RowKey, Row>,
    by_version: BTreeMap<Rev, BTreeSet<RowKey>>,
    rev: Rev,
}

impl Table {
    /// Revision of the last committed transaction.
    #[must_use]
    pub fn rev(&self) -> Rev {
        self.rev
    }

    /// A row as it is; version zero when it never existed.
    #[must_use]
    pub fn row(&self, key: &str) -> Row {
        self.rows.get(key).cloned().unwrap_or_else(|| Row {
            key: key.into(),
            version: 0,
            value: None,
        })
    }

    /// Applies all writes of a transaction, or none.
    pub fn commit(&mut self, txn: &Txn) -> Outcome {
        let sound = txn
            .writes
            .iter()
            .all(|write| self.row(&write.key).version == write.expect);
        if !sound {
            return Outcome::Conflict(self.current(txn));
        }
        self.rev += 1;
        for write in &txn.writes {
            self.put(write);
        }
        Outcome::Committed(self.current(txn))
    }

    /// Rows of the spaces that changed after a revision, withdrawn ones too, by version.
    #[must_use]
    pub fn changes<S: AsRef<str>>(&self, spaces: &[S], after: Rev) -> Vec<Row> {
        self.by_version
            .range(after + 1..)
            .flat_map(|(_, keys)| keys)
            .filter(|key| spaces.iter().any(|space| key.starts_with(space.as_ref())))
            .map(|key| self.rows[key].clone())
            .collect()
    }

    fn current(&self, txn: &Txn) -> Vec<Row> {
        txn.writes
            .iter()
            .map(|write| self.row(&write.key))
            .collect()
    }

    fn put(&mut self, write: &Write) {
        let row = Row {
            key: write.key.clone(),
            version: self.rev,
            value: write.value.clone(),
        };
        if let Some(old) = self.rows.insert(write.key.clone(), row) {
            self.forget(&old);
        }
        self.by_version
            .entry(self.rev)
            .or_default()
            .insert(write.key.clone());
    }

    fn forget(&mut self, old: &Row) {
        if let Some(keys) = self.by_version.get_mut(&old.version) {
            keys.remove(&old.key);
            if keys.is_empty() {
                self.by_version.remove(&old.version);
            }
        }
    }
}
