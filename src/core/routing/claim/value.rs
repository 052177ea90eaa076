//! Values of the rows that hold claims.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::core::model::Now;
use crate::core::model::Row;
use crate::core::routing::RoutingOptions;

/// Allowance for the clock skew between daemons.
pub(super) const CLOCK_SKEW: Duration = Duration::from_secs(60);

/// JSON representation of a claim.
#[derive(Debug, Serialize, Deserialize)]
struct ClaimValue {
    by: Box<str>,
    expires_ms: u64,
}

/// Creates values unique to each claim, and checks whether the claims of other daemons are valid.
#[derive(Clone, Debug)]
pub(super) struct ClaimIssuer {
    prefix: Box<str>,
    started_at: Duration,
    retention: Duration,
    sequence: u64,
}

impl ClaimIssuer {
    /// Returns the issuer for the running process of the daemon `me`.
    pub fn new(me: &str, options: &RoutingOptions) -> Self {
        Self {
            prefix: format!("{me}/{:016x}", options.seed).into(),
            started_at: options.started_at,
            retention: options.claim_retention,
            sequence: 0,
        }
    }

    /// Returns a new value for a request whose caller's timeout is `timeout`.
    pub fn create(&mut self, now: Now, timeout: Duration) -> Box<str> {
        let expires = self.started_at + now + timeout + self.retention;
        let value = ClaimValue {
            by: format!("{}/{}", self.prefix, self.sequence).into(),
            expires_ms: u64::try_from(expires.as_millis()).unwrap_or(u64::MAX),
        };
        self.sequence += 1;
        serde_json::to_string(&value).unwrap_or_default().into()
    }

    /// Returns whether a row holds a claim that has not expired. A value that cannot be parsed
    /// counts as valid.
    pub fn holds_valid_claim(&self, now: Now, row: &Row) -> bool {
        let Some(value) = &row.value else {
            return false;
        };
        let unix_time = self.started_at + now;
        match serde_json::from_str::<ClaimValue>(value) {
            Ok(value) => unix_time < Duration::from_millis(value.expires_ms) + CLOCK_SKEW,
            Err(_) => true,
        }
    }

    /// Returns the time at which a claim retained from `now` on has expired for every daemon.
    pub fn expiry_of_retained(&self, now: Now) -> Now {
        now + self.retention + CLOCK_SKEW
    }
}
