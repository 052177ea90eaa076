//! Publication of this daemon's address and of its host's capacity in the table, so that the placer
//! can send advice queries by way of it, and other daemons can probe its process.

use super::cx::Cx;
use super::event::CommitPurpose;
use super::rows::AddressRow;
use super::rows::DAEMONS_PART;
use super::rows::encode;
use super::table::CommitOutcome;
use super::table::HEARTBEATS;
use super::table::RowId;
use super::table::Transaction;
use crate::core::model::Now;

/// Whether this daemon's address row is stored in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AddressState {
    /// To be written at this time.
    Due(Now),
    /// The write is in flight.
    Writing,
    /// The row is stored.
    Written,
}

impl AddressState {
    /// Writes the address row if that is due; later if the table does not answer.
    pub fn poll(&mut self, cx: &mut Cx, table_is_up: bool) {
        if self.wake_at().is_none_or(|at| cx.now < at) {
            return;
        }
        if !table_is_up {
            *self = Self::Due(cx.now + cx.options.table.retry_delay);
            return;
        }
        *self = Self::Writing;
        let row = RowId::new(HEARTBEATS, DAEMONS_PART, &cx.options.daemon);
        let address = AddressRow {
            peer: cx.options.peer_address.clone(),
            zone: Some(cx.options.zone.clone()),
            capacity: cx.options.capacity,
        };
        let txn = Transaction {
            put: vec![(row, encode(&address))],
            ..Transaction::default()
        };
        cx.commit(CommitPurpose::Address, txn);
    }

    /// Handles the outcome of the write; a failed one is repeated.
    pub fn handle_outcome(&mut self, cx: &Cx, outcome: &CommitOutcome) {
        *self = match outcome {
            CommitOutcome::Done(_) => Self::Written,
            _ => Self::Due(cx.now + cx.options.table.retry_delay),
        };
    }

    /// Returns the time at which [`AddressState::poll`] is next due, if any.
    pub fn wake_at(self) -> Option<Now> {
        match self {
            Self::Due(at) => Some(at),
            Self::Writing | Self::Written => None,
        }
    }
}
