//! Cancellations of jobs that the table does not have.
//!
//! A transaction with the job may still take effect: it may have been sent by any daemon, whose process
//! may have ended since. The cancel call therefore gets a final answer only once a row with the job's key
//! is stored, on which a later submission fails, as it expects that the job does not exist. The placer
//! removes the row with those of ended jobs.

use std::collections::VecDeque;

use crate::core::model::JobId;
use crate::core::model::Now;
use crate::core::model::TeamId;
use crate::core::model::Ticket;
use crate::core::workload::catalog::Queue;
use crate::core::workload::cx::Cx;
use crate::core::workload::decision::Decision;
use crate::core::workload::event::CommitPurpose;
use crate::core::workload::rows::JobRow;
use crate::core::workload::rows::cancel_key;
use crate::core::workload::rows::decode;
use crate::core::workload::rows::encode;
use crate::core::workload::rows::job_row;
use crate::core::workload::table::TableRow;
use crate::core::workload::table::Transaction;

/// Maximum number of rows that this daemon has written within the retention period of ended jobs.
const MAX_ROWS: usize = 512;

/// Rows that were written for jobs that did not exist.
#[derive(Debug, Default)]
pub(super) struct Withdrawals {
    /// Times of the last writes.
    written_at: VecDeque<Now>,
}

impl Withdrawals {
    /// Writes the row that keeps a job from being submitted; the job must not exist. Returns false if
    /// too many were written lately.
    pub fn write(
        &mut self,
        cx: &mut Cx,
        ticket: Ticket,
        id: JobId,
        queue: &Queue,
        team: Option<TeamId>,
    ) -> bool {
        let retention = cx.options.placer.retention;
        while self
            .written_at
            .front()
            .is_some_and(|&at| cx.now >= at + retention)
        {
            self.written_at.pop_front();
        }
        if self.written_at.len() >= MAX_ROWS {
            cx.log(Decision::Refused {
                id,
                reason: "too many cancel calls for unknown jobs".into(),
                config: cx.catalog.map_or(0, |catalog| catalog.version),
                table_age_ms: cx.table_age_ms(),
            });
            return false;
        }
        self.written_at.push_back(cx.now);
        let row = JobRow {
            queue: queue.name.clone(),
            service: queue.service.clone(),
            team,
            at: cx.unix_time,
            job: None,
            terms: None,
            withdrawn: true,
        };
        let key = job_row(&id, &id);
        let txn = Transaction {
            expect: vec![(key.clone(), 0)],
            // By the second row, earlier versions show the job as cancelled.
            put: vec![
                (key, encode(&row)),
                (job_row(&id, &cancel_key(&id)), b"{}".to_vec()),
            ],
            remove: Vec::new(),
        };
        cx.commit(CommitPurpose::Withdraw(ticket, id), txn);
        true
    }
}

/// Returns whether the row of a job says that it was cancelled before it was accepted.
pub(super) fn is_withdrawn(row: &TableRow) -> bool {
    let value = row.value.as_deref();
    value.is_some_and(|value| decode::<JobRow>(value).is_ok_and(|job| job.withdrawn))
}
