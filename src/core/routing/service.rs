//! One service: its endpoints, its queue of requests, and load balancing among the endpoints.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use super::budget::RetryBudget;
use super::credit::Credits;
use super::health::Health;
use super::request::Queued;
use super::request::Request;
use crate::core::model::EndpointId;
use crate::core::model::Now;
use crate::core::model::Ticket;
use crate::core::model::ZoneId;

/// Minimum timeout of the first attempt at an idempotent request.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of the first attempt at an idempotent request, as a multiple of the mean duration.
const ATTEMPT_TIMEOUT_FACTOR: u32 = 8;

/// Delay before the next loan request after a refusal; doubles with each consecutive refusal.
const LOAN_REQUEST_BACKOFF: Duration = Duration::from_millis(10);

/// Maximum number of unanswered loan requests per service.
const MAX_LOAN_REQUESTS: usize = 4;

/// Maximum number of times that [`LOAN_REQUEST_BACKOFF`] is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Reciprocal of the weight of the latest attempt in the moving average of attempt durations.
const MEAN_DIVISOR: u32 = 16;

/// One endpoint.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    /// Its zone.
    pub zone: ZoneId,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Number of connections that it accepts.
    pub connections: u32,
    /// Whether it is in the membership list.
    pub listed: bool,
    /// Whether the membership list marks it as live.
    pub live: bool,
    /// Credits for its slots at this daemon.
    pub credits: Credits,
    /// Health derived from recent attempts.
    pub health: Health,
}

impl Endpoint {
    fn new(zone: &ZoneId) -> Self {
        Self {
            zone: zone.clone(),
            slots: 0,
            connections: 0,
            listed: false,
            live: false,
            credits: Credits::default(),
            health: Health::default(),
        }
    }

    /// Returns whether an attempt may be sent, given a free credit.
    pub fn is_available(&self, now: Now) -> bool {
        self.live && self.health.is_available(now)
    }
}

/// One service.
#[derive(Clone, Debug)]
pub(super) struct Service {
    /// Endpoints, by address.
    pub endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Queued requests, in order of their deadlines.
    pub queue: BTreeSet<(Now, Ticket)>,
    /// Retry budget.
    pub budget: RetryBudget,
    next_loan_request_at: Now,
    consecutive_refusals: u32,
    mean_duration: Option<Duration>,
}

/// Estimate of the time that queued requests of a service wait.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueueEstimate {
    /// Time at which the first live endpoint becomes available; `None` if no endpoint is live.
    pub available_at: Option<Now>,
    mean_duration: Option<Duration>,
    slots: u32,
}

impl QueueEstimate {
    /// Returns the estimated time until a request with `ahead` others before it is dispatched, or
    /// `None` if there is no usable slot or no attempt has completed.
    pub fn wait_time(&self, ahead: usize) -> Option<Duration> {
        let position = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        Some(self.mean_duration?.saturating_mul(position) / self.slots)
    }
}

impl Service {
    /// Returns a service without endpoints.
    pub fn new(now: Now, retry_percent: u32) -> Self {
        Self {
            endpoints: BTreeMap::new(),
            queue: BTreeSet::new(),
            budget: RetryBudget::new(now, retry_percent),
            next_loan_request_at: Now::ZERO,
            consecutive_refusals: 0,
            mean_duration: None,
        }
    }

    /// Marks every endpoint as unlisted, before a new membership list is applied.
    pub fn mark_all_unlisted(&mut self) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.listed = false;
            endpoint.live = false;
        }
    }

    /// Adds or updates an endpoint of the membership list.
    pub fn update_endpoint(&mut self, id: &EndpointId, zone: &ZoneId, live: bool) -> &mut Endpoint {
        let endpoint = self
            .endpoints
            .entry(id.clone())
            .or_insert_with(|| Endpoint::new(zone));
        endpoint.zone.clone_from(zone);
        endpoint.listed = true;
        endpoint.live = live;
        endpoint
    }

    /// Sets the share of unlisted endpoints to zero, and removes those without attempts in flight
    /// or lent slots.
    pub fn remove_unlisted(&mut self, now: Now) {
        self.endpoints.retain(|_, endpoint| {
            if !endpoint.listed {
                endpoint.credits.set_share(now, 0, now);
            }
            endpoint.listed || !endpoint.credits.is_idle(now)
        });
    }

    /// Returns whether another loan may be requested while `unanswered` requests are open. After a
    /// refusal only one request at a time is allowed.
    pub fn may_request_loan(&self, now: Now, unanswered: usize) -> bool {
        let limit = if self.consecutive_refusals > 0 {
            1
        } else {
            MAX_LOAN_REQUESTS
        };
        now >= self.next_loan_request_at && unanswered < limit
    }

    /// Records that a loan was granted.
    pub fn record_loan_granted(&mut self) {
        self.consecutive_refusals = 0;
    }

    /// Records that a loan request was refused or got no reply.
    pub fn record_loan_refused(&mut self, now: Now) {
        let factor = 1 << self.consecutive_refusals.min(MAX_BACKOFF_DOUBLINGS);
        self.consecutive_refusals += 1;
        self.next_loan_request_at = now + LOAN_REQUEST_BACKOFF * factor;
    }

    /// Refills the retry budget, applies pending share increases and removes ended loans.
    pub fn tick(&mut self, now: Now) {
        self.budget.tick(now);
        for endpoint in self.endpoints.values_mut() {
            endpoint.credits.tick(now);
        }
    }

    /// Returns whether any endpoint is live.
    pub fn has_live_endpoint(&self) -> bool {
        self.endpoints.values().any(|endpoint| endpoint.live)
    }

    /// Returns whether any endpoint is available now.
    pub fn is_available(&self, now: Now) -> bool {
        self.endpoints
            .values()
            .any(|endpoint| endpoint.is_available(now))
    }

    /// Returns the time at which the first live endpoint becomes available.
    fn available_at(&self) -> Option<Now> {
        self.endpoints
            .values()
            .filter(|endpoint| endpoint.live)
            .map(|endpoint| endpoint.health.available_at())
            .min()
    }

    /// Adds the duration of an attempt that got a complete response to the moving average.
    pub fn record_duration(&mut self, duration: Duration) {
        self.mean_duration = Some(match self.mean_duration {
            Some(mean) => (mean * (MEAN_DIVISOR - 1) + duration) / MEAN_DIVISOR,
            None => duration,
        });
    }

    /// Returns the timeout of an attempt: the time left until the request's deadline. The first
    /// attempt at an idempotent request times out earlier, at a multiple of the mean duration,
    /// since its connection may be dead without having been closed.
    pub fn attempt_timeout(&self, now: Now, req: &Request<Queued>) -> Duration {
        let remaining = req.deadline.saturating_sub(now);
        let retryable = req.is_idempotent() && req.attempts == 0 && self.budget.permits_retry();
        match self.mean_duration {
            Some(mean) if retryable => {
                remaining.min(MIN_ATTEMPT_TIMEOUT.max(mean * ATTEMPT_TIMEOUT_FACTOR))
            }
            _ => remaining,
        }
    }

    /// Returns an estimate of the wait in the queue.
    pub fn estimate(&self, now: Now) -> QueueEstimate {
        let slots: u32 = self
            .endpoints
            .values()
            .filter(|endpoint| endpoint.is_available(now))
            .map(|endpoint| endpoint.credits.capacity(now))
            .sum();
        QueueEstimate {
            available_at: self.available_at(),
            mean_duration: self.mean_duration.filter(|_| slots > 0),
            slots,
        }
    }

    /// Chooses an available endpoint with a free credit, preferring endpoints in `zone`. Of two
    /// endpoints picked at random, the one with fewer attempts in flight is chosen. `avoid` is
    /// chosen only if no other endpoint is available.
    pub fn choose_endpoint(
        &self,
        now: Now,
        zone: &str,
        avoid: Option<&str>,
        rng: &mut SmallRng,
    ) -> Option<EndpointId> {
        let avoid = avoid.filter(|avoid| self.has_other_available(now, avoid));
        let is_allowed = |id: &str| avoid != Some(id);
        self.choose_matching(now, rng, |id, endpoint| {
            &*endpoint.zone == zone && is_allowed(id)
        })
        .or_else(|| self.choose_matching(now, rng, |id, _| is_allowed(id)))
    }

    fn has_other_available(&self, now: Now, id: &str) -> bool {
        self.endpoints
            .iter()
            .any(|(other, endpoint)| **other != *id && endpoint.is_available(now))
    }

    fn choose_matching(
        &self,
        now: Now,
        rng: &mut SmallRng,
        matches: impl Fn(&str, &Endpoint) -> bool,
    ) -> Option<EndpointId> {
        let free = self.endpoints.iter().filter(|(id, endpoint)| {
            matches(id, endpoint)
                && endpoint.is_available(now)
                && endpoint.credits.available(now) > 0
        });
        // Reservoir sampling of two endpoints, every pair with equal probability.
        let mut picked = [None, None];
        for (seen, candidate) in free.enumerate() {
            let at = if seen < picked.len() {
                seen
            } else {
                rng.random_range(0..=seen)
            };
            if let Some(slot) = picked.get_mut(at) {
                *slot = Some(candidate);
            }
        }
        let [first, second] = picked;
        let chosen = match (first?, second) {
            (first, Some(second))
                if second.1.credits.outstanding() < first.1.credits.outstanding() =>
            {
                second
            }
            (first, _) => first,
        };
        Some(chosen.0.clone())
    }
}
