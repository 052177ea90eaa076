//! Probes whether another daemon's process listens at its address.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use crate::core::workload::event::ProbeResult;
use crate::shell::net;
use crate::shell::net::connect;

/// Opens a TCP connection to `address` and closes it again. Returns the result of the attempt.
pub async fn probe(address: &str, timeout: Duration) -> ProbeResult {
    let peer: SocketAddr = match address.parse() {
        Ok(peer) => peer,
        Err(err) => {
            return ProbeResult::NoAnswer(format!("invalid peer address {address}: {err}").into());
        }
    };
    match connect(peer, timeout).await {
        Ok(_) => ProbeResult::Listening,
        Err(net::Error::Connect(_, err)) if err.kind() == ErrorKind::ConnectionRefused => {
            ProbeResult::Refused
        }
        Err(err) => ProbeResult::NoAnswer(err.to_string().into()),
    }
}
