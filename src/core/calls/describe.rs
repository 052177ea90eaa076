//! Status of a daemon, for operators.

use serde::Serialize;

use crate::core::model::Now;
use crate::core::model::Resources;
use crate::core::model::Rev;
use crate::core::state::State;

/// Status of a daemon, as answered to operators.
#[derive(Debug, Serialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the fields are independent of each other"
)]
pub(super) struct DaemonStatus<'a> {
    daemon: &'a str,
    zone: &'a str,
    placer: bool,
    records_rev: Rev,
    table_reachable: bool,
    keys_fresh: bool,
    draining: bool,
    requests: usize,
    free: Resources,
    peers: Vec<PeerStatus<'a>>,
}

/// Status of a peer, as known to this daemon.
#[derive(Debug, Serialize)]
struct PeerStatus<'a> {
    daemon: &'a str,
    zone: &'a str,
    reachable: bool,
    placer: bool,
}

/// Returns the status of this daemon.
pub(super) fn describe(state: &State, now: Now) -> DaemonStatus<'_> {
    let peers = state
        .peers
        .iter()
        .map(|(id, peer)| PeerStatus {
            daemon: id,
            zone: &peer.zone,
            reachable: peer.reachable,
            placer: peer
                .heartbeat
                .as_ref()
                .is_some_and(|beat| beat.placer.is_some()),
        })
        .collect();
    DaemonStatus {
        daemon: &state.options.me,
        zone: &state.options.zone,
        placer: state.placer.is_active(),
        records_rev: state.records.rev(),
        table_reachable: !state.polls.is_unreachable(),
        keys_fresh: state.keys.is_fresh(now),
        draining: state.draining.is_some(),
        requests: state.router.in_flight(),
        free: state.placer.free(),
        peers,
    }
}
