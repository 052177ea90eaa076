//! Transactional table as a model without I/O.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use ragwortstall::core::event::TxnOutcome;
use ragwortstall::core::model::Rev;
use ragwortstall::core::model::Row;
use ragwortstall::core::model::RowKey;
use ragwortstall::core::model::Txn;
use ragwortstall::core::model::Write;

/// Result of a transaction, with the current row of each write, in the order of the writes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// All writes took effect.
    Committed(Vec<Row>),
    /// Some row had another version than expected, and no write took effect.
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

/// Table of versioned rows. Each committed transaction increments the revision, which becomes the
/// version of the rows that it writes.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: BTreeMap<RowKey, Row>,
    keys_by_version: BTreeMap<Rev, BTreeSet<RowKey>>,
    rev: Rev,
}

impl Table {
    /// Returns the revision of the last committed transaction.
    #[must_use]
    pub fn rev(&self) -> Rev {
        self.rev
    }

    /// Returns the current row of a key, with version zero if it never existed.
    #[must_use]
    pub fn row(&self, key: &str) -> Row {
        self.rows.get(key).cloned().unwrap_or_else(|| Row {
            key: key.into(),
            version: 0,
            value: None,
        })
    }

    /// Applies all writes of a transaction, or none if any row has an unexpected version.
    pub fn commit(&mut self, txn: &Txn) -> Outcome {
        let versions_match = txn
            .writes
            .iter()
            .all(|write| self.row(&write.key).version == write.expect);
        if !versions_match {
            return Outcome::Conflict(self.written_rows(txn));
        }
        self.rev += 1;
        for write in &txn.writes {
            self.put(write);
        }
        Outcome::Committed(self.written_rows(txn))
    }

    /// Returns the rows of some spaces that changed after a revision, including withdrawn ones,
    /// sorted by version.
    #[must_use]
    pub fn changes<S: AsRef<str>>(&self, spaces: &[S], after: Rev) -> Vec<Row> {
        self.keys_by_version
            .range(after + 1..)
            .flat_map(|(_, keys)| keys)
            .filter(|key| spaces.iter().any(|space| key.starts_with(space.as_ref())))
            .map(|key| self.rows[key].clone())
            .collect()
    }

    fn written_rows(&self, txn: &Txn) -> Vec<Row> {
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
            self.remove_from_index(&old);
        }
        self.keys_by_version
            .entry(self.rev)
            .or_default()
            .insert(write.key.clone());
    }

    fn remove_from_index(&mut self, old: &Row) {
        if let Some(keys) = self.keys_by_version.get_mut(&old.version) {
            keys.remove(&old.key);
            if keys.is_empty() {
                self.keys_by_version.remove(&old.version);
            }
        }
    }
}
