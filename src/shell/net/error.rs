//! Errors of HTTP exchanges, with the failed step and the peer.

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;

/// Result of an HTTP exchange.
pub type Result<T, E = Error> = std::result::Result<T, E>;

quick_error! {
    /// Failure of an HTTP exchange.
    #[derive(Debug)]
    pub enum Error {
        /// The listening socket could not be opened.
        Listen(addr: SocketAddr, err: io::Error) {
            display("listen on {addr}: {err}")
            source(err)
        }
        /// No connection could be opened.
        Connect(peer: SocketAddr, err: io::Error) {
            display("connect to {peer}: {err}")
            source(err)
        }
        /// The connection failed before the request was sent.
        NotSent(peer: SocketAddr, err: hyper::Error) {
            display("send request to {peer}: {err}")
            source(err)
        }
        /// The request was sent, but no complete response was received.
        IncompleteResponse(peer: SocketAddr, err: hyper::Error) {
            display("read answer from {peer}: {err}")
            source(err)
        }
        /// No connection was opened within the timeout.
        ConnectTimeout(peer: SocketAddr) {
            display("connect to {peer}: timed out")
        }
        /// No complete response was received within the timeout.
        ResponseTimeout(peer: SocketAddr) {
            display("wait for answer from {peer}: timed out")
        }
        /// The peer's address is not an IP address with a port.
        Address(address: Box<str>) {
            display("address {address:?} is faulty")
        }
        /// The body exceeds the limit, which is in bytes.
        TooLarge(limit: usize) {
            display("body exceeds {limit} bytes")
        }
        /// The request body could not be read.
        ReadBody(err: hyper::Error) {
            display("read request body: {err}")
            source(err)
        }
    }
}

impl Error {
    /// Returns whether the peer may have received the request.
    #[must_use]
    pub fn may_have_been_received(&self) -> bool {
        matches!(
            self,
            Self::IncompleteResponse(..) | Self::ResponseTimeout(..) | Self::TooLarge(..)
        )
    }
}
