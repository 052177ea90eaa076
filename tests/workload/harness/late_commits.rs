//! Transactions that the table performs late, without an answer.

use std::time::Duration;

use ragwortstall::core::model::Now;
use ragwortstall::core::workload::event::CommitPurpose;
use ragwortstall::core::workload::table::Transaction;

use super::Harness;

/// Time after which such a transaction takes effect.
const DELAY: Duration = Duration::from_millis(5_800);

/// Transactions that are to be performed late.
#[derive(Debug, Default)]
pub(crate) struct LateCommits {
    /// Number of the next transactions with submissions that are performed late.
    pub submissions: u32,
    pending: Vec<(Now, Transaction)>,
}

impl Harness {
    /// Puts a transaction back that is to be performed late; returns whether it is one.
    pub(super) fn put_back(&mut self, purpose: &CommitPurpose, txn: &Transaction) -> bool {
        let is_late =
            matches!(purpose, CommitPurpose::Submissions(_)) && self.late_commits.submissions > 0;
        if is_late {
            self.late_commits.submissions -= 1;
            let at = self.now + DELAY;
            self.late_commits.pending.push((at, txn.clone()));
        }
        is_late
    }

    /// Performs the transactions whose time has come.
    pub(super) fn advance_late_commits(&mut self) {
        let now = self.now;
        let due = self
            .late_commits
            .pending
            .extract_if(.., |late| now >= late.0);
        for (_, txn) in due.collect::<Vec<_>>() {
            self.table.commit(&txn);
        }
    }
}
