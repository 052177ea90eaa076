//! Heartbeats while a write of progress, which carries the heartbeat otherwise, is not answered.

use std::time::Duration;

use crate::core::model::Now;
use crate::core::workload::cx::Cx;
use crate::core::workload::event::PlacerWrite;
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::Release;
use crate::core::workload::placer::RoleLoss;
use crate::core::workload::rows::HEARTBEAT_KEY;
use crate::core::workload::rows::OWNER_KEY;
use crate::core::workload::rows::encode;
use crate::core::workload::rows::encode_within;
use crate::core::workload::table::CommitOutcome;
use crate::core::workload::table::HEARTBEATS;
use crate::core::workload::table::JOBS;
use crate::core::workload::table::RowId;
use crate::core::workload::table::Transaction;

/// Time for which heartbeats of their own are stored and no progress is, after which the placer
/// gives up the role.
const MAX_TIME_WITHOUT_PROGRESS: Duration = Duration::from_secs(4);

impl Placer {
    /// Writes a heartbeat of its own if one is due and the write of progress in flight is late.
    pub(in crate::core::workload::placer) fn write_late_heartbeat(&mut self, cx: &mut Cx) {
        if self.late_heartbeat_at(cx).is_none_or(|at| cx.now < at) {
            return;
        }
        self.next_heartbeat_at = cx.now + cx.options.placer.heartbeat_interval;
        self.named_grace.send_late(self.renewal_grace(cx));
        let part = &cx.options.part;
        let row = RowId::new(HEARTBEATS, part, HEARTBEAT_KEY);
        let txn = Transaction {
            // The sequence row may be changed by the write in flight.
            expect: vec![(RowId::new(JOBS, part, OWNER_KEY), self.grant_version)],
            put: vec![(row, self.heartbeat_value(cx))],
            remove: Vec::new(),
        };
        cx.commit(self.purpose(PlacerWrite::Heartbeat), txn);
    }

    /// Returns the value of the heartbeat row. If it is too large, the longest waits are kept; if it
    /// still is, the numbers of waiting jobs are left out.
    pub(in crate::core::workload::placer) fn heartbeat_value(&mut self, cx: &Cx) -> Vec<u8> {
        let mut row = self.heartbeat_row(cx);
        let max_bytes = cx.options.table.max_value_bytes;
        let waits = row.waits.len();
        let value = encode_within(&mut row, waits, max_bytes, |row, len| {
            row.waits.truncate(len);
        });
        if value.len() <= max_bytes {
            return value;
        }
        row.waiting = None;
        encode(&row)
    }

    /// Returns the time at which [`Placer::write_late_heartbeat`] is next due; `None` while no write
    /// of progress is in flight.
    pub(in crate::core::workload::placer) fn late_heartbeat_at(&self, cx: &Cx) -> Option<Now> {
        if self.release != Release::NotRequested {
            return None;
        }
        let late_at = self.progress.in_flight_since()? + cx.options.placer.heartbeat_interval;
        Some(late_at.max(self.next_heartbeat_at))
    }

    /// Handles the outcome of such a heartbeat. Returns a reason if another daemon has claimed the
    /// role, or if heartbeats are stored but progress is not.
    pub(in crate::core::workload::placer) fn handle_heartbeat_outcome(
        &mut self,
        cx: &Cx,
        outcome: &CommitOutcome,
    ) -> RoleLoss {
        match outcome {
            CommitOutcome::Conflict(_) => Some("the owner row has changed".into()),
            CommitOutcome::Done(_) => {
                let since = self.progress.record_late_heartbeat(cx.now);
                let is_stuck = cx.now >= since + MAX_TIME_WITHOUT_PROGRESS;
                is_stuck.then(|| "progress cannot be stored".into())
            }
            // Failures are logged with their purpose; the next heartbeat follows.
            CommitOutcome::Refused(_) | CommitOutcome::Rejected(_) | CommitOutcome::Unknown(_) => {
                None
            }
        }
    }
}
