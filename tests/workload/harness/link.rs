//! Network links of the daemons: an answer of the table is a transfer that takes time.

use std::time::Duration;

use ragwortstall::core::model::Now;
use ragwortstall::core::workload::effect::Request;
use ragwortstall::core::workload::event::Answer;
use ragwortstall::core::workload::event::FeedAnswer;
use ragwortstall::core::workload::event::FeedRow;
use ragwortstall::core::workload::table::CommitOutcome;
use ragwortstall::core::workload::table::TableRow;

/// Time within which the answer to a read or a watch must be complete, as in the client.
pub(super) const MAX_TRANSFER: Duration = Duration::from_secs(10);

/// Size of an answer without its rows, in bytes.
const ANSWER_BYTES: usize = 200;

/// Size of a row without its value, in bytes.
const ROW_BYTES: usize = 100;

/// Parts of a byte in which a transfer is counted, so that many transfers can share a link.
const PARTS_PER_BYTE: u64 = 1_000;

/// Link of a daemon, which its active transfers share equally.
#[derive(Default)]
pub(super) struct Link {
    /// Rate in bytes per millisecond; `None` if transfers take no time.
    pub rate: Option<u64>,
    transfers: Vec<Transfer>,
}

/// Answer of the table on its way to a daemon.
struct Transfer {
    answer: Answer,
    /// Size that is still to be received, in parts of a byte.
    remaining: u64,
    started_at: Now,
    /// Timeout of the call, without the time for which the table may wait.
    limit: Duration,
}

impl Link {
    /// Starts the transfer of an answer. Returns the answer if it is available at once, because
    /// the link has no rate or the answer does not come from the table.
    pub(super) fn start(&mut self, now: Now, answer: Answer, limit: Duration) -> Option<Answer> {
        let (Some(_), Some(bytes)) = (self.rate, size(&answer)) else {
            return Some(answer);
        };
        self.transfers.push(Transfer {
            answer,
            remaining: bytes as u64 * PARTS_PER_BYTE,
            started_at: now,
            limit,
        });
        None
    }

    /// Advances all transfers by a millisecond; returns the answers of those that have ended.
    pub(super) fn advance(&mut self, now: Now) -> Vec<Answer> {
        let active = self.transfers.len() as u64;
        let (Some(rate), true) = (self.rate, active > 0) else {
            return self.transfers.drain(..).map(|ended| ended.answer).collect();
        };
        let share = rate * PARTS_PER_BYTE / active;
        let mut ended = Vec::new();
        for mut transfer in std::mem::take(&mut self.transfers) {
            transfer.remaining = transfer.remaining.saturating_sub(share);
            if transfer.remaining == 0 {
                ended.push(transfer.answer);
            } else if is_timed_out(&transfer, now) {
                ended.push(timed_out(transfer.answer));
            } else {
                self.transfers.push(transfer);
            }
        }
        ended
    }

    /// Drops all transfers, as the process that receives them has ended.
    pub(super) fn clear(&mut self) {
        self.transfers.clear();
    }
}

/// Returns whether the client gives up a call whose answer is being transferred.
fn is_timed_out(transfer: &Transfer, now: Now) -> bool {
    now >= transfer.started_at + transfer.limit
}

/// Returns the time within which the answer to a call of the table has to be transferred; `None`
/// for other requests.
///
/// The client limits the whole time of a transaction. Reads and watches fail only after their
/// timeout without a byte, which does not happen in the model, or at the limit of a transfer.
pub(super) fn transfer_limit(req: &Request) -> Option<Duration> {
    match req {
        Request::Commit { timeout, .. } => Some(*timeout),
        Request::Read { .. } | Request::ReadAll { .. } | Request::Watch { .. } => {
            Some(MAX_TRANSFER)
        }
        _ => None,
    }
}

/// Returns the answer that a daemon records instead of one that has not arrived within the timeout.
pub(super) fn timed_out(answer: Answer) -> Answer {
    let no_answer: Box<str> = "no answer".into();
    match answer {
        Answer::Committed(purpose, _) => {
            Answer::Committed(purpose, CommitOutcome::Unknown(no_answer))
        }
        Answer::Read(purpose, _) => Answer::Read(purpose, Err(no_answer)),
        Answer::Feed(call, _) => Answer::Feed(call, FeedAnswer::Failed(no_answer)),
        other => other,
    }
}

/// Returns the size of an answer of the table, in bytes; `None` for other answers and for calls
/// that have failed without an answer.
fn size(answer: &Answer) -> Option<usize> {
    let rows = match answer {
        Answer::Committed(_, CommitOutcome::Conflict(rows)) => table_rows_size(rows),
        Answer::Read(_, Ok(page)) => table_rows_size(&page.rows),
        Answer::Feed(_, FeedAnswer::Snapshot(rows, _) | FeedAnswer::Changes(rows, _)) => {
            rows.iter().map(feed_row_size).sum()
        }
        Answer::Committed(
            _,
            CommitOutcome::Done(_) | CommitOutcome::Refused(_) | CommitOutcome::Rejected(_),
        )
        | Answer::Feed(_, FeedAnswer::HistoryGone) => 0,
        _ => return None,
    };
    Some(ANSWER_BYTES + rows)
}

fn table_rows_size(rows: &[TableRow]) -> usize {
    rows.iter().map(table_row_size).sum()
}

fn feed_row_size(row: &FeedRow) -> usize {
    match row {
        FeedRow::Internal(row) => table_row_size(row),
        _ => ROW_BYTES,
    }
}

/// Returns the size of a row, whose value is encoded in base64.
fn table_row_size(row: &TableRow) -> usize {
    let value = row.value.as_ref().map_or(0, Vec::len);
    ROW_BYTES + value.div_ceil(3) * 4
}
