//! A daemon's response.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cyper::Response;
use http::HeaderMap;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::Call;
use super::Idempotency;
use super::OUTCOME_HEADER;
use crate::error::Error;
use crate::error::Result;

/// Outcome of the work, as reported by the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The work ran to completion.
    Completed,
    /// The work did not run and will not run.
    NotRun,
    /// The work may have run.
    Unknown,
}

/// Status and headers of a response.
pub(super) struct Head {
    status: StatusCode,
    headers: HeaderMap,
}

/// A complete response.
#[derive(Debug)]
pub struct Reply {
    /// Address of the daemon that responded.
    pub server: SocketAddr,
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Bytes,
}

/// Body of an unsuccessful response.
#[derive(Default, Deserialize)]
#[serde(default)]
struct ErrorBody {
    reason: Option<Box<str>>,
    error: Option<Box<str>>,
    retry_after_ms: Option<u64>,
}

impl Head {
    pub(super) fn new(res: &Response) -> Self {
        Self {
            status: res.status(),
            headers: res.headers().clone(),
        }
    }

    pub(super) fn with_body(self, server: SocketAddr, body: Bytes) -> Reply {
        Reply {
            server,
            status: self.status,
            headers: self.headers,
            body,
        }
    }
}

impl Reply {
    /// Returns the outcome that the daemon reports, or `None` if the header is absent or unknown.
    pub fn outcome(&self) -> Option<Outcome> {
        match self.headers.get(OUTCOME_HEADER)?.as_bytes() {
            b"completed" => Some(Outcome::Completed),
            b"not-run" => Some(Outcome::NotRun),
            b"unknown" => Some(Outcome::Unknown),
            _ => None,
        }
    }

    /// Returns whether the call may be sent to another daemon: this one did not run it, for a
    /// temporary reason.
    pub(super) fn is_retryable(&self) -> bool {
        self.status == StatusCode::SERVICE_UNAVAILABLE && self.outcome() == Some(Outcome::NotRun)
    }

    /// Parses the body of a successful response.
    pub fn json<T: DeserializeOwned>(&self, call: &Call) -> Result<T> {
        if !self.status.is_success() {
            return Err(self.to_error(call));
        }
        serde_json::from_slice(&self.body).map_err(|err| {
            let reason = format!("invalid response body: {err}");
            Error::Response(call.operation.clone(), self.server, reason.into())
        })
    }

    /// Returns the error that an unsuccessful response stands for.
    pub fn to_error(&self, call: &Call) -> Error {
        let body: ErrorBody = serde_json::from_slice(&self.body).unwrap_or_default();
        let reason = body
            .reason
            .or(body.error)
            .unwrap_or_else(|| self.status.to_string().into());
        let operation = call.operation.clone();
        if call.idempotency != Idempotency::ReadOnly && self.may_have_run() {
            return Error::OutcomeUnknown(operation, self.server, reason);
        }
        let retry_after = body.retry_after_ms.map(Duration::from_millis);
        Error::NotRun(operation, self.server, reason, retry_after)
    }

    /// Returns whether the work may have run. It did not if the outcome header says so, or if the
    /// header is absent and the status is a client error (4xx).
    fn may_have_run(&self) -> bool {
        match self.outcome() {
            Some(Outcome::NotRun) => false,
            Some(_) => true,
            None => !self.status.is_client_error(),
        }
    }
}
