//! Values of claims' rows.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::core::model::Now;
use crate::core::model::Row;
use crate::core::routing::RoutingOptions;

/// Allowance for wall clocks that differ between daemons.
pub(super) const CLOCK_SKEW: Duration = Duration::from_secs(60);

/// JSON form of a value.
#[derive(Debug, Serialize, Deserialize)]
struct ClaimValue {
    by: Box<str>,
    expires_ms: u64,
}

/// Makes values that no other claim has, and judges those of other claims.
#[derive(Clone, Debug)]
pub(super) struct Values {
    name: Box<str>,
    started: Duration,
    retention: Duration,
    sequence: u64,
}

impl Values {
    /// Returns the values of one start of a daemon.
    pub fn new(me: &str, options: &RoutingOptions) -> Self {
        Self {
            name: format!("{me}/{:016x}", options.seed).into(),
            started: options.started_at,
            retention: options.claim_retention,
            sequence: 0,
        }
    }

    /// Returns a value for a request whose caller waits for `patience`.
    pub fn next(&mut self, now: Now, patience: Duration) -> Box<str> {
        let expires = self.started + now + patience + self.retention;
        let value = ClaimValue {
            by: format!("{}/{}", self.name, self.sequence).into(),
            expires_ms: u64::try_from(expires.as_millis()).unwrap_or(u64::MAX),
        };
        self.sequence += 1;
        serde_json::to_string(&value).unwrap_or_default().into()
    }

    /// Whether a row holds a claim that has not expired.
    pub fn is_taken(&self, now: Now, row: &Row) -> bool {
        let Some(value) = &row.value else {
            return false;
        };
        let unix = self.started + now;
        match serde_json::from_str::<ClaimValue>(value) {
            Ok(value) => unix < Duration::from_millis(value.expires_ms) + CLOCK_SKEW,
            Err(_) => true,
        }
    }

    /// When a claim that is kept from `now` on has expired for every daemon.
    pub fn expiry(&self, now: Now) -> Now {
        now + self.retention + CLOCK_SKEW
    }
}
