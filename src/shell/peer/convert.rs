//! Conversion between the reducer's messages and their protobuf form.

use std::time::Duration;

use crate::core::event::Heartbeat;
use crate::core::event::PeerMessage;
use crate::core::model::LoanId;
use crate::core::model::Row;
use crate::proto::peer as wire;
use crate::proto::peer::envelope::Body;

/// Converts a message to its protobuf form.
pub(super) fn to_wire(message: &PeerMessage) -> Body {
    match message {
        PeerMessage::Heartbeat(heartbeat) => Body::Heartbeat(heartbeat_to_wire(heartbeat)),
        PeerMessage::Rows(rows) => Body::Rows(rows_to_wire(rows)),
        PeerMessage::Proposal(rows) => Body::Proposal(rows_to_wire(rows)),
        PeerMessage::PullRows { after } => Body::PullRows(wire::PullRows { after: *after }),
        PeerMessage::PulledRows { rows, digest } => Body::Pulled(wire::Pulled {
            rows: rows.iter().map(row_to_wire).collect(),
            digest: *digest,
        }),
        PeerMessage::Borrow {
            endpoint,
            loan,
            slots,
        } => Body::Borrow(slots_to_wire(endpoint, *loan, *slots, Duration::ZERO)),
        PeerMessage::Lent {
            endpoint,
            loan,
            slots,
            lease,
        } => Body::Lent(slots_to_wire(endpoint, *loan, *slots, *lease)),
        PeerMessage::Return { endpoint, loan } => {
            Body::GiveBack(slots_to_wire(endpoint, *loan, 0, Duration::ZERO))
        }
        PeerMessage::Job(row) => Body::Job(row_to_wire(row)),
        PeerMessage::Ack => Body::Ack(wire::Ack {}),
    }
}

/// Converts a message from its protobuf form.
pub(super) fn from_wire(body: Body) -> PeerMessage {
    match body {
        Body::Heartbeat(heartbeat) => PeerMessage::Heartbeat(heartbeat_from_wire(heartbeat)),
        Body::Rows(rows) => PeerMessage::Rows(rows_from_wire(rows)),
        Body::Proposal(rows) => PeerMessage::Proposal(rows_from_wire(rows)),
        Body::PullRows(pull) => PeerMessage::PullRows { after: pull.after },
        Body::Pulled(pulled) => PeerMessage::PulledRows {
            rows: pulled.rows.into_iter().map(row_from_wire).collect(),
            digest: pulled.digest,
        },
        Body::Borrow(slots) => PeerMessage::Borrow {
            endpoint: slots.endpoint.into(),
            loan: slots.loan,
            slots: slots.slots,
        },
        Body::Lent(slots) => PeerMessage::Lent {
            endpoint: slots.endpoint.into(),
            loan: slots.loan,
            slots: slots.slots,
            lease: Duration::from_millis(slots.lease_ms),
        },
        Body::GiveBack(slots) => PeerMessage::Return {
            endpoint: slots.endpoint.into(),
            loan: slots.loan,
        },
        Body::Job(row) => PeerMessage::Job(row_from_wire(row)),
        Body::Ack(wire::Ack {}) => PeerMessage::Ack,
    }
}

fn heartbeat_to_wire(heartbeat: &Heartbeat) -> wire::Heartbeat {
    wire::Heartbeat {
        zone: heartbeat.zone.to_string(),
        placer: heartbeat.placer.as_deref().unwrap_or_default().to_owned(),
        rev: heartbeat.rev,
        table_age_ms: u64::try_from(heartbeat.table_age.as_millis()).unwrap_or(u64::MAX),
        writes_open: heartbeat.has_pending_writes,
        draining: heartbeat.draining,
        free_cpu_milli: heartbeat.free_cpu_milli,
        digest: heartbeat.digest,
        table_reachable: heartbeat.table_reachable,
    }
}

fn heartbeat_from_wire(heartbeat: wire::Heartbeat) -> Heartbeat {
    Heartbeat {
        zone: heartbeat.zone.into(),
        placer: (!heartbeat.placer.is_empty()).then(|| heartbeat.placer.into()),
        rev: heartbeat.rev,
        table_age: Duration::from_millis(heartbeat.table_age_ms),
        has_pending_writes: heartbeat.writes_open,
        draining: heartbeat.draining,
        free_cpu_milli: heartbeat.free_cpu_milli,
        digest: heartbeat.digest,
        table_reachable: heartbeat.table_reachable,
    }
}

fn slots_to_wire(endpoint: &str, loan: LoanId, slots: u32, lease: Duration) -> wire::Slots {
    let lease_ms = u64::try_from(lease.as_millis()).unwrap_or(u64::MAX);
    wire::Slots {
        endpoint: endpoint.to_owned(),
        slots,
        lease_ms,
        loan,
    }
}

fn rows_to_wire(rows: &[Row]) -> wire::Rows {
    wire::Rows {
        rows: rows.iter().map(row_to_wire).collect(),
    }
}

fn rows_from_wire(rows: wire::Rows) -> Vec<Row> {
    rows.rows.into_iter().map(row_from_wire).collect()
}

fn row_to_wire(row: &Row) -> wire::Row {
    wire::Row {
        key: row.key.to_string(),
        version: row.version,
        value: row.value.as_deref().map(str::to_owned),
    }
}

fn row_from_wire(row: wire::Row) -> Row {
    Row {
        key: row.key.into(),
        version: row.version,
        value: row.value.map(Into::into),
    }
}
