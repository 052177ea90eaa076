//! Whether another daemon's process listens at its address.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use crate::core::workload::event::Reached;
use crate::shell::net;
use crate::shell::net::connect;

/// Connects, and closes the connection again.
pub async fn probe(address: &str, patience: Duration) -> Reached {
    let peer: SocketAddr = match address.parse() {
        Ok(peer) => peer,
        Err(err) => return Reached::Silent(format!("address {address}: {err}").into()),
    };
    match connect(peer, patience).await {
        Ok(_) => Reached::Listening,
        Err(net::Error::Connect(_, err)) if err.kind() == ErrorKind::ConnectionRefused => {
            Reached::Refused
        }
        Err(err) => Reached::Silent(err.to_string().into()),
    }
}
