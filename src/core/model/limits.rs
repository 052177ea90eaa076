//! Limits of a client's request.

use std::time::Duration;

/// Limits that clients keep. A request over one of them may be refused, and its connection closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum time from the first byte of a request's head to its last.
    pub head_timeout: Duration,
    /// Maximum time for which a connection has no traffic while the client is expected to send or to
    /// read.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 256 << 10,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
