//! Key changes that daemons are about to commit.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::core::model::DaemonId;
use crate::core::model::Now;
use crate::core::model::Rev;
use crate::core::model::Row;
use crate::core::model::RowKey;
use crate::core::record::KeyRecord;
use crate::core::record::Records;

/// Key prefix of the rows of keys.
const SPACE: &str = "key/";

/// A proposed change of a key's row.
#[derive(Clone, Copy, Debug)]
struct Proposal {
    /// Version that the row must have for the change to take effect.
    expect: Rev,
    proposed_at: Now,
}

/// Proposed changes whose results are unknown, by row key and committing daemon.
#[derive(Clone, Debug, Default)]
pub struct Proposals {
    by_key: FxHashMap<RowKey, FxHashMap<DaemonId, Proposal>>,
}

impl Proposals {
    /// Records the rows that a daemon is about to commit. They replace its earlier proposals for
    /// the same keys.
    pub fn add(&mut self, now: Now, daemon: &str, rows: &[Row], records: &Records) {
        for row in rows.iter().filter(|row| row.key.starts_with(SPACE)) {
            let by_daemon = self.by_key.entry(row.key.clone()).or_default();
            if keeps_team(row, records) {
                by_daemon.remove(daemon);
            } else {
                let proposal = Proposal {
                    expect: row.version,
                    proposed_at: now,
                };
                by_daemon.insert(daemon.into(), proposal);
            }
        }
        self.by_key.retain(|_, by_daemon| !by_daemon.is_empty());
    }

    /// Returns whether a proposed change of the key may have taken effect without being in the
    /// view.
    pub fn may_affect(&self, hash: &str, records: &Records) -> bool {
        if self.by_key.is_empty() {
            return false;
        }
        let key = format!("{SPACE}{hash}");
        let version = records.version(SPACE, hash);
        self.by_key.get(key.as_str()).is_some_and(|by_daemon| {
            by_daemon
                .values()
                .any(|proposal| proposal.expect >= version)
        })
    }

    /// Removes the proposals that were received at least `max_in_flight` before the table was read,
    /// at `sent`. They can no longer take effect, even if the view does not show their results.
    pub fn record_table_read(&mut self, sent: Now, max_in_flight: Duration) {
        for by_daemon in self.by_key.values_mut() {
            by_daemon.retain(|_, proposal| sent < proposal.proposed_at + max_in_flight);
        }
        self.by_key.retain(|_, by_daemon| !by_daemon.is_empty());
    }
}

/// Returns whether the row leaves the key with the team that it has in the view.
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
