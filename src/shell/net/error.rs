//! Errors of HTTP exchanges, with the failed step and the address of the server.

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
        Connect(addr: SocketAddr, err: io::Error) {
            display("connect to {addr}: {err}")
            source(err)
        }
        /// The connection failed before the request was sent.
        NotSent(addr: SocketAddr, err: hyper::Error) {
            display("send request to {addr}: {err}")
            source(err)
        }
        /// The request was sent, but no complete response was received.
        IncompleteResponse(addr: SocketAddr, err: hyper::Error) {
            display("read answer from {addr}: {err}")
            source(err)
        }
        /// No connection was opened within the timeout.
        ConnectTimeout(addr: SocketAddr) {
            display("connect to {addr}: timed out")
        }
        /// No complete response was received within the timeout.
        ResponseTimeout(addr: SocketAddr) {
            display("wait for answer from {addr}: timed out")
        }
        /// The head of the response was received, but then no part of its body within the timeout.
        Stalled(addr: SocketAddr) {
            display("read answer from {addr}: timed out without progress")
        }
        /// The response arrived too slowly to be complete within the limit on its whole body.
        TooSlow(addr: SocketAddr) {
            display("read answer from {addr}: not complete within the limit")
        }
        /// The server's address is not an IP address with a port.
        Address(address: Box<str>) {
            display("address {address:?} is faulty")
        }
        /// The connection was closed, as too much is held for all connections.
        Closed {
            display("the connection was closed")
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
    /// Returns whether the server may have received the request.
    #[must_use]
    pub fn may_have_been_received(&self) -> bool {
        matches!(
            self,
            Self::IncompleteResponse(..)
                | Self::ResponseTimeout(..)
                | Self::Stalled(..)
                | Self::TooSlow(..)
                | Self::TooLarge(..)
        )
    }

    /// Returns whether the connection broke after the request may have been sent on it.
    #[must_use]
    pub fn is_connection_broken(&self) -> bool {
        matches!(self, Self::IncompleteResponse(..))
    }
}
