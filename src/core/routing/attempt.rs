//! Attempts: dispatch to an endpoint, handling of the outcome, and retries.

use std::time::Duration;

use super::Router;
use super::credit::Credit;
use super::health::Failure;
use super::request::ActiveRequest;
use super::request::Dispatched;
use super::request::Queued;
use super::request::Request;
use crate::core::effect::Effect;
use crate::core::effect::Effects;
use crate::core::effect::Reason;
use crate::core::event::AttemptOutcome;
use crate::core::model::EndpointId;
use crate::core::model::Now;
use crate::core::model::ServiceId;
use crate::core::model::Ticket;
use crate::core::timeline::TimelineEvent;

/// Maximum number of attempts per request.
const MAX_ATTEMPTS: u32 = 4;

/// Retry delay returned to a caller when no attempt succeeded.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time after an attempt's deadline at which the attempt is ended without a report from the shell.
const ATTEMPT_END_GRACE: Duration = Duration::from_secs(2);

/// An attempt in flight. It outlives its request if the caller disconnects.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    service: ServiceId,
    endpoint: EndpointId,
    credit: Credit,
    sent_at: Now,
    deadline: Now,
}

impl Router {
    /// Sends an attempt to an endpoint with a free credit; queues the request again if the
    /// endpoint has none or is gone.
    pub(super) fn dispatch(
        &mut self,
        now: Now,
        req: Request<Queued>,
        id: &EndpointId,
        fx: &mut Effects,
    ) {
        let Some(service) = self.services.get_mut(&req.service) else {
            return self.insert_request(req.ticket, ActiveRequest::Queued(req));
        };
        let timeout = service.attempt_timeout(now, &req);
        let Some(endpoint) = service.endpoints.get_mut(id) else {
            return self.insert_request(req.ticket, ActiveRequest::Queued(req));
        };
        let Some(credit) = endpoint.credits.acquire(now) else {
            return self.insert_request(req.ticket, ActiveRequest::Queued(req));
        };
        endpoint.health.record_sent();
        if req.attempts == 0 {
            service.budget.deposit();
        }
        let max_idle = self
            .entry_vms
            .max_idle_connections(endpoint.connections, endpoint.slots);
        let req = req.dispatch(id.clone(), timeout, max_idle, fx);
        let attempt = Attempt {
            service: req.service.clone(),
            endpoint: id.clone(),
            credit,
            sent_at: now,
            deadline: now + timeout,
        };
        self.attempts
            .insert((req.ticket, req.attempt_number()), attempt);
        self.insert_request(req.ticket, ActiveRequest::Dispatched(req));
    }

    /// Handles the end of an attempt: releases its credit, then answers or retries the request.
    pub fn handle_attempt_end(
        &mut self,
        now: Now,
        ticket: Ticket,
        number: u32,
        outcome: AttemptOutcome,
        fx: &mut Effects,
    ) {
        let Some(attempt) = self.attempts.remove(&(ticket, number)) else {
            return;
        };
        self.finish_attempt(now, &attempt, Some(outcome), fx);
        if let Some(req) = self.remove_dispatched(ticket, number) {
            self.resolve_request(now, req, outcome, fx);
        }
        self.dispatch_queued(now, &attempt.service, fx);
    }

    /// Ends attempts whose outcome the shell has not reported within the grace period.
    pub(super) fn expire_attempts(&mut self, now: Now, fx: &mut Effects) {
        let overdue: Vec<_> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.deadline.saturating_add(ATTEMPT_END_GRACE) <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in overdue {
            if let Some(attempt) = self.attempts.remove(&key) {
                self.finish_attempt(now, &attempt, None, fx);
            }
        }
    }

    /// Releases the attempt's credit and records its outcome in the endpoint's health. `outcome`
    /// is `None` if the shell did not report one.
    fn finish_attempt(
        &mut self,
        now: Now,
        attempt: &Attempt,
        outcome: Option<AttemptOutcome>,
        fx: &mut Effects,
    ) {
        let Some(service) = self.services.get_mut(&attempt.service) else {
            return;
        };
        if outcome == Some(AttemptOutcome::Complete) {
            service.record_duration(now.saturating_sub(attempt.sent_at));
        }
        let Some(endpoint) = service.endpoints.get_mut(&attempt.endpoint) else {
            return;
        };
        endpoint.credits.release(now, attempt.credit);
        let health = &mut endpoint.health;
        let rng = &mut self.rng;
        let changed = match outcome {
            Some(AttemptOutcome::Complete) => health.record_success(),
            Some(AttemptOutcome::Declined) => health.record_decline(now),
            Some(AttemptOutcome::NotSent) => health.record_failure(now, Failure::Connect, rng),
            Some(AttemptOutcome::Incomplete) if now >= attempt.deadline => {
                health.record_failure(now, Failure::Timeout, rng)
            }
            Some(AttemptOutcome::Incomplete) => {
                health.record_failure(now, Failure::Incomplete, rng)
            }
            None => health.record_unknown(),
        };
        if changed {
            fx.push(Effect::Timeline(TimelineEvent::Endpoint {
                endpoint: attempt.endpoint.clone(),
                ejected: endpoint.health.is_ejected(),
            }));
        }
    }

    fn remove_dispatched(&mut self, ticket: Ticket, number: u32) -> Option<Request<Dispatched>> {
        match self.requests.get(&ticket) {
            Some(ActiveRequest::Dispatched(req)) if req.attempt_number() == number => {}
            _ => return None,
        }
        match self.remove_request(ticket) {
            Some(ActiveRequest::Dispatched(req)) => Some(req),
            _ => None,
        }
    }

    /// Answers or retries a request whose attempt ended.
    fn resolve_request(
        &mut self,
        now: Now,
        req: Request<Dispatched>,
        outcome: AttemptOutcome,
        fx: &mut Effects,
    ) {
        match outcome {
            AttemptOutcome::Complete => {
                let ended = req.deliver(fx);
                self.settle_claim(now, ended);
            }
            AttemptOutcome::NotSent | AttemptOutcome::Declined => {
                self.retry(now, req.requeue_not_run(now), Reason::NoEndpoint, fx);
            }
            AttemptOutcome::Incomplete => match req.requeue_incomplete(now) {
                Ok(req) => self.retry(now, req, Reason::EndpointBroke, fx),
                Err(req) => {
                    let reason = incomplete_reason(now, req.deadline);
                    let ended = req.fail(reason, fx);
                    self.settle_claim(now, ended);
                }
            },
        }
    }

    /// Queues a request again if its deadline, the attempt limit and the retry budget permit;
    /// otherwise answers it with `reason`.
    fn retry(&mut self, now: Now, req: Request<Queued>, reason: Reason, fx: &mut Effects) {
        let in_time = now < req.deadline;
        let may_retry = in_time
            && req.attempts < MAX_ATTEMPTS
            && self
                .services
                .get_mut(&req.service)
                .is_some_and(|service| service.budget.spend());
        if may_retry {
            return self.enqueue(now, req, fx);
        }
        let reason = if in_time {
            reason
        } else {
            Reason::DeadlineExceeded
        };
        let ended = req.fail(reason, Some(RETRY_AFTER), fx);
        self.settle_claim(now, ended);
    }
}

fn incomplete_reason(now: Now, deadline: Now) -> Reason {
    if now < deadline {
        Reason::EndpointBroke
    } else {
        Reason::DeadlineExceeded
    }
}
