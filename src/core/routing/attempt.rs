//! Attempts at endpoints, their ends and their retries.

use std::time::Duration;

use super::Router;
use super::credit::Credit;
use super::health::Failure;
use super::request::Dispatched;
use super::request::Live;
use super::request::Queued;
use super::request::Request;
use crate::core::effect::Effect;
use crate::core::effect::Effects;
use crate::core::effect::Reason;
use crate::core::event::AttemptEnd;
use crate::core::model::EndpointId;
use crate::core::model::Now;
use crate::core::model::ServiceId;
use crate::core::model::Ticket;
use crate::core::timeline::TimelineEvent;

/// Attempts at one request.
const MAX_ATTEMPTS: u32 = 4;

/// When a caller may come back after its request found no endpoint.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time after an attempt's deadline at which its end is no longer waited for.
const END_GRACE: Duration = Duration::from_secs(2);

/// An attempt under way. It outlives its request when the caller goes away.
#[derive(Clone, Debug)]
pub(super) struct Flight {
    service: ServiceId,
    endpoint: EndpointId,
    credit: Credit,
    sent: Now,
    deadline: Now,
}

impl Router {
    /// Sends an attempt to an endpoint, which has a free credit.
    pub(super) fn dispatch(
        &mut self,
        now: Now,
        req: Request<Queued>,
        id: &EndpointId,
        fx: &mut Effects,
    ) {
        let Some(service) = self.services.get_mut(&req.service) else {
            return self.insert_live(req.ticket, Live::Queued(req));
        };
        let patience = service.attempt_patience(now, &req);
        let Some(endpoint) = service.endpoints.get_mut(id) else {
            return self.insert_live(req.ticket, Live::Queued(req));
        };
        let Some(credit) = endpoint.credits.take(now) else {
            return self.insert_live(req.ticket, Live::Queued(req));
        };
        endpoint.health.sent();
        if req.attempts == 0 {
            service.budget.deposit();
        }
        let keep = self.entries.keep(endpoint.connections, endpoint.slots);
        let req = req.dispatch(id.clone(), patience, keep, fx);
        let flight = Flight {
            service: req.service.clone(),
            endpoint: id.clone(),
            credit,
            sent: now,
            deadline: now + patience,
        };
        self.flights.insert((req.ticket, req.attempt()), flight);
        self.insert_live(req.ticket, Live::Dispatched(req));
    }

    /// An attempt ended.
    pub fn attempt_ended(
        &mut self,
        now: Now,
        ticket: Ticket,
        attempt: u32,
        end: AttemptEnd,
        fx: &mut Effects,
    ) {
        let Some(flight) = self.flights.remove(&(ticket, attempt)) else {
            return;
        };
        self.land(now, &flight, Some(end), fx);
        if let Some(req) = self.take_dispatched(ticket, attempt) {
            self.conclude(now, req, end, fx);
        }
        self.pump(now, &flight.service, fx);
    }

    /// Ends attempts of which the shell tells nothing any more.
    pub(super) fn expire_flights(&mut self, now: Now, fx: &mut Effects) {
        let overdue: Vec<_> = self
            .flights
            .iter()
            .filter(|(_, flight)| flight.deadline.saturating_add(END_GRACE) <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in overdue {
            if let Some(flight) = self.flights.remove(&key) {
                self.land(now, &flight, None, fx);
            }
        }
    }

    /// Gives the attempt's credit back and learns from its end.
    fn land(&mut self, now: Now, flight: &Flight, end: Option<AttemptEnd>, fx: &mut Effects) {
        let Some(service) = self.services.get_mut(&flight.service) else {
            return;
        };
        if end == Some(AttemptEnd::Whole) {
            service.note_time(now.saturating_sub(flight.sent));
        }
        let Some(endpoint) = service.endpoints.get_mut(&flight.endpoint) else {
            return;
        };
        endpoint.credits.put_back(now, flight.credit);
        let health = &mut endpoint.health;
        let rng = &mut self.rng;
        let changed = match end {
            Some(AttemptEnd::Whole) => health.succeeded(),
            Some(AttemptEnd::Declined) => health.declined(now),
            Some(AttemptEnd::NotSent) => health.failed(now, Failure::Connect, rng),
            Some(AttemptEnd::Broken) if now >= flight.deadline => {
                health.failed(now, Failure::Timeout, rng)
            }
            Some(AttemptEnd::Broken) => health.failed(now, Failure::Break, rng),
            None => health.forgotten(),
        };
        if changed {
            fx.push(Effect::Note(TimelineEvent::Endpoint {
                endpoint: flight.endpoint.clone(),
                ejected: endpoint.health.is_ejected(),
            }));
        }
    }

    fn take_dispatched(&mut self, ticket: Ticket, attempt: u32) -> Option<Request<Dispatched>> {
        match self.requests.get(&ticket) {
            Some(Live::Dispatched(req)) if req.attempt() == attempt => {}
            _ => return None,
        }
        match self.take_live(ticket) {
            Some(Live::Dispatched(req)) => Some(req),
            _ => None,
        }
    }

    fn conclude(&mut self, now: Now, req: Request<Dispatched>, end: AttemptEnd, fx: &mut Effects) {
        match end {
            AttemptEnd::Whole => {
                let ended = req.deliver(fx);
                self.ended(now, ended);
            }
            AttemptEnd::NotSent | AttemptEnd::Declined => {
                self.retry(now, req.not_run(now), Reason::NoEndpoint, fx);
            }
            AttemptEnd::Broken => match req.broken(now) {
                Ok(req) => self.retry(now, req, Reason::EndpointBroke, fx),
                Err(req) => {
                    let reason = break_reason(now, req.deadline);
                    let ended = req.give_up(reason, fx);
                    self.ended(now, ended);
                }
            },
        }
    }

    /// Queues a request again, within the retry budget and before its deadline.
    fn retry(&mut self, now: Now, req: Request<Queued>, reason: Reason, fx: &mut Effects) {
        let in_time = now < req.deadline;
        let within_budget = in_time
            && req.attempts < MAX_ATTEMPTS
            && self
                .services
                .get_mut(&req.service)
                .is_some_and(|service| service.budget.withdraw());
        if within_budget {
            return self.enqueue(now, req, fx);
        }
        let reason = if in_time {
            reason
        } else {
            Reason::DeadlineExceeded
        };
        let ended = req.give_up(reason, Some(RETRY_AFTER), fx);
        self.ended(now, ended);
    }
}

fn break_reason(now: Now, deadline: Now) -> Reason {
    if now < deadline {
        Reason::EndpointBroke
    } else {
        Reason::DeadlineExceeded
    }
}
