//! Key changes that another daemon is about to commit.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::core::model::DaemonId;
use crate::core::model::Now;
use crate::core::model::Rev;
use crate::core::model::Row;
use crate::core::model::RowKey;
use crate::core::record::KeyRecord;
use crate::core::record::Records;

/// Space of the keys' records.
const SPACE: &str = "key/";

/// A change that takes effect only on this version of the row.
#[derive(Clone, Copy, Debug)]
struct Proposal {
    expect: Rev,
    since: Now,
}

/// Changes whose end is not known, by key and by the daemon that commits them.
#[derive(Clone, Debug, Default)]
pub struct Proposals {
    open: FxHashMap<RowKey, FxHashMap<DaemonId, Proposal>>,
}

impl Proposals {
    /// Takes the rows that a daemon is about to commit, in place of its earlier ones on each key.
    pub fn add(&mut self, now: Now, from: &str, rows: &[Row], records: &Records) {
        for row in rows.iter().filter(|row| row.key.starts_with(SPACE)) {
            let by_daemon = self.open.entry(row.key.clone()).or_default();
            if keeps_team(row, records) {
                by_daemon.remove(from);
            } else {
                let proposal = Proposal {
                    expect: row.version,
                    since: now,
                };
                by_daemon.insert(from.into(), proposal);
            }
        }
        self.open.retain(|_, by_daemon| !by_daemon.is_empty());
    }

    /// Whether a change of the key may have taken effect that the view does not show.
    pub fn concern(&self, hash: &str, records: &Records) -> bool {
        if self.open.is_empty() {
            return false;
        }
        let key = format!("{SPACE}{hash}");
        let version = records.version(SPACE, hash);
        self.open
            .get(key.as_str())
            .is_some_and(|by_daemon| by_daemon.values().any(|open| open.expect >= version))
    }

    /// Forgets what ended before the table was read, whether or not the view shows it.
    pub fn record_table_read(&mut self, sent: Now, bound: Duration) {
        for by_daemon in self.open.values_mut() {
            by_daemon.retain(|_, open| sent < open.since + bound);
        }
        self.open.retain(|_, by_daemon| !by_daemon.is_empty());
    }
}

fn keeps_team(row: &Row, records: &Records) -> bool {
    let current = records.row(&row.key).and_then(|row| row.value.as_deref());
    match (team(row.value.as_deref()), team(current)) {
        (Some(new), Some(old)) => new == old,
        _ => false,
    }
}

fn team(value: Option<&str>) -> Option<Box<str>> {
    KeyRecord::from_json(value?).ok().map(|record| record.team)
}
