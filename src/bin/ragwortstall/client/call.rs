//! A request to the HTTP API of a daemon.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;

use crate::error::Error;

/// Effect of sending a call, which determines whether it may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The call only reads.
    ReadOnly,
    /// Sending the call twice has the same effect as sending it once.
    Idempotent,
    /// The call must not be sent twice.
    NonIdempotent,
}

/// A request, without the address of the daemon.
#[derive(Clone, Debug)]
pub struct Call {
    /// Operation that the call performs, as shown in error messages.
    pub operation: Box<str>,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: Box<str>,
    /// Headers in addition to those that the client sets.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// Request body.
    pub body: Bytes,
    /// Whether the call may be sent again.
    pub idempotency: Idempotency,
    /// Time to wait for the response; the client's timeout if `None`.
    pub timeout: Option<Duration>,
}

impl Call {
    /// Returns a call without headers or a body.
    pub fn new(operation: &str, idempotency: Idempotency, method: Method, path: String) -> Self {
        Self {
            operation: operation.into(),
            idempotency,
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            timeout: None,
        }
    }

    /// Returns a read-only `GET` call.
    pub fn get(operation: &str, path: String) -> Self {
        Self::new(operation, Idempotency::ReadOnly, Method::GET, path)
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Sets the body.
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Returns the error for a failed HTTP exchange.
    pub(super) fn exchange_error(&self, server: SocketAddr, err: &cyper::Error) -> Error {
        match err {
            cyper::Error::HyperClient(err) if err.is_connect() => {
                Error::Unreachable(self.operation.clone(), server.to_string().into())
            }
            _ => self.interrupted_error(server, &err.to_string()),
        }
    }

    /// Returns the error for an exchange that was interrupted after the call may have been sent.
    pub(super) fn interrupted_error(&self, server: SocketAddr, reason: &str) -> Error {
        match self.idempotency {
            Idempotency::ReadOnly => Error::Response(self.operation.clone(), server, reason.into()),
            Idempotency::Idempotent | Idempotency::NonIdempotent => {
                Error::OutcomeUnknown(self.operation.clone(), server, reason.into())
            }
        }
    }
}
