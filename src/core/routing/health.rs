//! Outlier ejection: an endpoint whose attempts fail gets no requests, except for probes sent with
//! exponential backoff.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::core::model::Now;

/// Failure score, accumulated since the last success, at which an endpoint is ejected.
const EJECTION_THRESHOLD: u32 = 3;

/// Score of an attempt that reached its deadline.
const TIMEOUT_SCORE: u32 = 1;

/// Score of an attempt that was sent but got no complete response.
const INCOMPLETE_SCORE: u32 = 2;

/// Score of an attempt that could not be sent.
const CONNECT_SCORE: u32 = 3;

/// Delay before the first probe of an ejected endpoint.
const PROBE_DELAY: Duration = Duration::from_millis(500);

/// Maximum delay between probes, without jitter.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(30);

/// Delay before an endpoint that declined a request is used again.
const DECLINE_DELAY: Duration = Duration::from_millis(25);

/// Maximum delay after repeated declines.
const MAX_DECLINE_DELAY: Duration = Duration::from_secs(1);

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// No byte of the request could be sent.
    Connect,
    /// The request was sent, but no complete response arrived.
    Incomplete,
    /// The complete response did not arrive before the attempt's deadline.
    Timeout,
}

/// Health of one endpoint, derived from recent attempts.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    failure_score: u32,
    ejections: u32,
    declines: u32,
    unavailable_until: Now,
    probe_in_flight: bool,
}

impl Health {
    /// Returns whether an attempt may be sent now.
    pub fn is_available(&self, now: Now) -> bool {
        now >= self.unavailable_until && !self.probe_in_flight
    }

    /// Returns the time from which attempts may be sent.
    pub fn available_at(&self) -> Now {
        self.unavailable_until
    }

    /// Returns whether the endpoint is ejected.
    pub fn is_ejected(&self) -> bool {
        self.ejections > 0
    }

    /// Records that an attempt was sent. An attempt sent to an ejected endpoint is a probe.
    pub fn record_sent(&mut self) {
        self.probe_in_flight = self.is_ejected();
    }

    /// Records an attempt that got a complete response; returns whether this ended an ejection.
    pub fn record_success(&mut self) -> bool {
        std::mem::take(self).is_ejected()
    }

    /// Records an attempt that the endpoint declined; returns whether this ended an ejection.
    pub fn record_decline(&mut self, now: Now) -> bool {
        let ejected = self.is_ejected();
        self.failure_score = 0;
        self.ejections = 0;
        self.probe_in_flight = false;
        let delay = backoff(DECLINE_DELAY, MAX_DECLINE_DELAY, self.declines);
        self.declines += 1;
        self.unavailable_until = self.unavailable_until.max(now + delay);
        ejected
    }

    /// Records a failed attempt; returns whether the endpoint is ejected as a result.
    pub fn record_failure(&mut self, now: Now, failure: Failure, rng: &mut SmallRng) -> bool {
        self.probe_in_flight = false;
        self.failure_score += match failure {
            Failure::Connect => CONNECT_SCORE,
            Failure::Incomplete => INCOMPLETE_SCORE,
            Failure::Timeout => TIMEOUT_SCORE,
        };
        if self.failure_score < EJECTION_THRESHOLD || now < self.unavailable_until {
            return false;
        }
        let delay = backoff(PROBE_DELAY, MAX_PROBE_DELAY, self.ejections);
        self.ejections += 1;
        let jitter = delay.mul_f64(rng.random_range(0.0..0.25));
        self.unavailable_until = now + delay + jitter;
        self.ejections == 1
    }

    /// Records an attempt whose outcome is unknown; always returns false, as the state of the
    /// ejection does not change.
    pub fn record_unknown(&mut self) -> bool {
        self.probe_in_flight = false;
        false
    }
}

fn backoff(initial: Duration, max: Duration, doublings: u32) -> Duration {
    let factor = 1_u32.checked_shl(doublings.min(16)).unwrap_or(u32::MAX);
    max.min(initial.saturating_mul(factor))
}
