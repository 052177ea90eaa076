//! A simulated table service with transactions, range reads and changes since a version.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use ragwortstall::core::workload::table::CommitOutcome;
use ragwortstall::core::workload::table::Page;
use ragwortstall::core::workload::table::Range;
use ragwortstall::core::workload::table::RowId;
use ragwortstall::core::workload::table::TableRow;
use ragwortstall::core::workload::table::Transaction;

/// Largest size of a value in base64, in bytes.
const MAX_VALUE_BYTES: usize = 65_536;

/// Largest number of entries in a transaction.
const MAX_ENTRIES: usize = 100;

/// Largest size of a transaction, in bytes.
const MAX_TRANSACTION_BYTES: usize = 1_000_000;

/// Table, part and key of a row.
type RowKey = (&'static str, Box<str>, Box<str>);

/// Version of a row and its value; `None` once removed.
type StoredRow = (u64, Option<Vec<u8>>);

/// All rows; removed ones are kept for the daemons that follow the table.
#[derive(Debug, Default)]
pub(crate) struct SimTable {
    rows: BTreeMap<RowKey, StoredRow>,
    /// Version of the last change of each table.
    changed: BTreeMap<&'static str, u64>,
    /// Version of the last transaction.
    pub version: u64,
    /// Keys of the rows that are rejected, whatever their values.
    pub rejected_keys: BTreeSet<Box<str>>,
    /// Keys of the rows of rejected transactions.
    pub rejected: Vec<Vec<Box<str>>>,
}

impl SimTable {
    /// Runs a transaction.
    pub(crate) fn commit(&mut self, txn: &Transaction) -> CommitOutcome {
        let key = |row: &RowId| (row.table, row.part.clone(), row.key.clone());
        if let Some(reason) = self.rejection(txn) {
            let keys = txn.put.iter().map(|(row, _)| row.key.clone());
            self.rejected.push(keys.collect());
            return CommitOutcome::Rejected(reason.into());
        }
        let has_conflict = txn.expect.iter().any(|(row, version)| {
            let current = self.rows.get(&key(row));
            let current = current.filter(|(_, value)| value.is_some());
            current.map_or(0, |(version, _)| *version) != *version
        });
        if has_conflict {
            let rows = txn.expect.iter().filter_map(|(row, _)| {
                let (version, value) = self.rows.get(&key(row))?;
                Some(table_row(&key(row), *version, value.as_ref()))
            });
            return CommitOutcome::Conflict(rows.collect());
        }
        self.version += 1;
        for row in txn.put.iter().map(|(row, _)| row).chain(&txn.remove) {
            self.changed.insert(row.table, self.version);
        }
        for (row, value) in &txn.put {
            self.rows
                .insert(key(row), (self.version, Some(value.clone())));
        }
        for row in &txn.remove {
            self.rows.insert(key(row), (self.version, None));
        }
        CommitOutcome::Done(self.version)
    }

    /// Returns the reason why a transaction breaks a limit, if it does.
    fn rejection(&self, txn: &Transaction) -> Option<&'static str> {
        let sizes = txn.put.iter().map(|(_, value)| base64_size(value));
        let entries = txn.expect.len() + txn.put.len() + txn.remove.len();
        let mut keys = txn.put.iter().map(|(row, _)| &row.key);
        if keys.any(|key| self.rejected_keys.contains(key)) {
            Some("a row is rejected")
        } else if sizes.clone().any(|size| size > MAX_VALUE_BYTES) {
            Some("a value is too large")
        } else if entries > MAX_ENTRIES {
            Some("too many entries")
        } else if sizes.sum::<usize>() > MAX_TRANSACTION_BYTES {
            Some("the transaction is too large")
        } else {
            None
        }
    }

    /// Returns the rows of a range.
    pub(crate) fn page(&self, range: &Range) -> Page {
        let inside = |key: &str| key >= &*range.from && (range.to.is_empty() || key < &*range.to);
        let rows = self.rows.iter().filter(|((table, part, key), (_, value))| {
            *table == range.table && *part == range.part && inside(key) && value.is_some()
        });
        let mut rows = rows.map(|(key, (version, value))| table_row(key, *version, value.as_ref()));
        let limit = range.limit.unwrap_or(usize::MAX);
        Page {
            rows: rows.by_ref().take(limit).collect(),
            more: rows.next().is_some(),
            version: self.version,
        }
    }

    /// Returns the total size of the values in a table, in bytes.
    pub(crate) fn bytes(&self, table: &str) -> usize {
        let rows = self.rows.iter().filter(|(key, _)| key.0 == table);
        rows.filter_map(|(_, (_, value))| Some(value.as_ref()?.len()))
            .sum()
    }

    /// Returns the rows of a table that have changed after a version.
    pub(crate) fn changes(&self, table: &str, after: u64) -> Vec<TableRow> {
        if self
            .changed
            .get(table)
            .is_none_or(|&changed| changed <= after)
        {
            return Vec::new();
        }
        let rows = self.rows.iter();
        let rows = rows.filter(|(key, (version, _))| key.0 == table && *version > after);
        rows.map(|(key, (version, value))| table_row(key, *version, value.as_ref()))
            .collect()
    }
}

fn base64_size(value: &[u8]) -> usize {
    value.len().div_ceil(3) * 4
}

fn table_row(key: &RowKey, version: u64, value: Option<&Vec<u8>>) -> TableRow {
    TableRow {
        part: key.1.clone(),
        key: key.2.clone(),
        version,
        value: value.cloned(),
    }
}
