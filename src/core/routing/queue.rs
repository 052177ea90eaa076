//! Admission and queueing of requests, and rejection of those that cannot meet their deadline.

use std::ops::Bound;
use std::time::Duration;

use super::Router;
use super::claim::ClaimResult;
use super::request::ActiveRequest;
use super::request::Claiming;
use super::request::Queued;
use super::request::Request;
use super::service::QueueEstimate;
use crate::core::effect::Effects;
use crate::core::effect::Reason;
use crate::core::event::RequestHead;
use crate::core::event::TxnOutcome;
use crate::core::model::EndpointId;
use crate::core::model::Now;
use crate::core::model::RowKey;
use crate::core::model::ServiceId;
use crate::core::model::Ticket;
use crate::core::model::Token;

/// Result whose error is the reason for rejecting a request and the retry delay for the caller.
type Result<T, E = (Reason, Option<Duration>)> = std::result::Result<T, E>;

/// Retry delay returned to a caller when no wait can be estimated.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Minimum retry delay derived from an estimated wait.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

impl Router {
    /// Admits or rejects an authorized request. `team` is the team of the key that the caller
    /// presented.
    pub fn handle_request(
        &mut self,
        now: Now,
        ticket: Ticket,
        head: RequestHead,
        team: Option<&str>,
        fx: &mut Effects,
    ) {
        let claim = claim_key(&head, team);
        let timeout = head.timeout;
        let req = Request::new(now, ticket, head);
        if let Err((reason, retry_after)) = self.admit(now, &req.service, req.deadline) {
            req.fail(reason, retry_after, fx);
            return;
        }
        match claim {
            Some(key) => self.begin_claim(now, req, key, timeout, fx),
            None => self.enqueue(now, req, fx),
        }
    }

    /// Handles the end of a transaction; returns whether the transaction was the router's.
    pub fn handle_txn_outcome(
        &mut self,
        now: Now,
        token: Token,
        outcome: &TxnOutcome,
        fx: &mut Effects,
    ) -> bool {
        let Some(results) = self.claims.handle_txn_outcome(now, token, outcome) else {
            return false;
        };
        for (ticket, result) in results {
            match self.requests.remove(&ticket) {
                Some(ActiveRequest::Claiming(req)) => {
                    self.deadlines.remove(&(req.deadline, ticket));
                    self.handle_claim_result(now, req, result, fx);
                }
                Some(req) => {
                    self.requests.insert(ticket, req);
                }
                None => {}
            }
        }
        self.claims.send(now, fx);
        true
    }

    fn begin_claim(
        &mut self,
        now: Now,
        req: Request<Queued>,
        key: RowKey,
        timeout: Duration,
        fx: &mut Effects,
    ) {
        let ticket = req.ticket;
        let req = req.start_claiming();
        match self.claims.begin(now, ticket, key, timeout, fx) {
            Some(result) => self.handle_claim_result(now, req, result, fx),
            None => self.insert_request(ticket, ActiveRequest::Claiming(req)),
        }
    }

    fn handle_claim_result(
        &mut self,
        now: Now,
        req: Request<Claiming>,
        result: ClaimResult,
        fx: &mut Effects,
    ) {
        match result {
            ClaimResult::Claimed(claim) => self.enqueue(now, req.with_claim(claim), fx),
            ClaimResult::Duplicate => {
                req.reject_duplicate(fx);
            }
            ClaimResult::Unavailable => {
                req.fail(Reason::PlatformUnavailable, Some(RETRY_AFTER), fx);
            }
        }
    }

    pub(super) fn enqueue(&mut self, now: Now, req: Request<Queued>, fx: &mut Effects) {
        let service = req.service.clone();
        self.insert_request(req.ticket, ActiveRequest::Queued(req));
        self.dispatch_queued(now, &service, fx);
    }

    fn admit(&self, now: Now, service: &str, deadline: Now) -> Result<()> {
        let service = self
            .services
            .get(service)
            .filter(|service| service.has_live_endpoint())
            .ok_or((Reason::NoEndpoint, Some(RETRY_AFTER)))?;
        if service.queue.is_empty() && service.is_available(now) && now < deadline {
            return Ok(());
        }
        let estimate = service.estimate(now);
        if service.queue.len() >= self.options.queue_capacity {
            let wait = estimate.wait_time(service.queue.len());
            return Err((Reason::Overloaded, Some(retry_after_wait(wait))));
        }
        let ahead = service.queue.range(..(deadline, 0)).count();
        check_deadline(now, estimate, ahead, deadline)
    }

    /// Fails every request whose deadline has passed.
    pub(super) fn expire_requests(&mut self, now: Now, fx: &mut Effects) {
        while let Some(&(deadline, ticket)) = self.deadlines.first()
            && deadline <= now
        {
            self.fail(now, ticket, Reason::DeadlineExceeded, Some(RETRY_AFTER), fx);
        }
    }

    /// Fails every queued request that is not expected to be dispatched before its deadline.
    pub(super) fn fail_unservable(&mut self, now: Now, fx: &mut Effects) {
        let mut unservable = Vec::new();
        for service in self.services.values() {
            if service.queue.is_empty() {
                continue;
            }
            let estimate = service.estimate(now);
            let mut ahead = 0;
            for &(deadline, ticket) in &service.queue {
                match check_deadline(now, estimate, ahead, deadline) {
                    Ok(()) => ahead += 1,
                    Err((reason, retry_after)) => unservable.push((ticket, reason, retry_after)),
                }
            }
        }
        for (ticket, reason, retry_after) in unservable {
            self.fail(now, ticket, reason, retry_after, fx);
        }
    }

    fn fail(
        &mut self,
        now: Now,
        ticket: Ticket,
        reason: Reason,
        retry_after: Option<Duration>,
        fx: &mut Effects,
    ) {
        if let Some(req) = self.remove_request(ticket) {
            let ended = req.fail(reason, retry_after, fx);
            self.settle_claim(now, ended);
        }
    }

    /// Dispatches queued requests of every service.
    pub(super) fn dispatch_all_queued(&mut self, now: Now, fx: &mut Effects) {
        let services: Vec<ServiceId> = self
            .services
            .iter()
            .filter(|(_, service)| !service.queue.is_empty())
            .map(|(id, _)| id.clone())
            .collect();
        for service in services {
            self.dispatch_queued(now, &service, fx);
        }
    }

    /// Dispatches queued requests of a service while endpoints have free credits, and requests a
    /// loan for the remaining ones.
    pub(super) fn dispatch_queued(&mut self, now: Now, id: &str, fx: &mut Effects) {
        let mut avoided = None;
        let mut next = self.next_queued(id, None);
        while let Some((deadline, ticket)) = next {
            let avoid = self.endpoint_to_avoid(now, ticket);
            let Some(service) = self.services.get(id) else {
                return;
            };
            match service.choose_endpoint(now, &self.zone, avoid.as_deref(), &mut self.rng) {
                Some(endpoint) => {
                    if let Some(ActiveRequest::Queued(req)) = self.remove_request(ticket) {
                        self.dispatch(now, req, &endpoint, fx);
                    }
                }
                // Other requests may still use the endpoint that this one must avoid.
                None if avoid.is_some() => avoided = avoided.or(avoid),
                None => break,
            }
            next = self.next_queued(id, Some((deadline, ticket)));
        }
        if next.is_some() || avoided.is_some() {
            self.request_loans(now, id, avoided.as_deref(), fx);
        }
    }

    /// Returns the first queued request of a service, or the one after `last`.
    fn next_queued(&self, service: &str, last: Option<(Now, Ticket)>) -> Option<(Now, Ticket)> {
        let queue = &self.services.get(service)?.queue;
        match last {
            Some(last) => queue
                .range((Bound::Excluded(last), Bound::Unbounded))
                .next(),
            None => queue.first(),
        }
        .copied()
    }

    fn endpoint_to_avoid(&self, now: Now, ticket: Ticket) -> Option<EndpointId> {
        match self.requests.get(&ticket) {
            Some(ActiveRequest::Queued(req)) => req.avoided_endpoint(now).cloned(),
            _ => None,
        }
    }
}

/// Returns an error unless a request with `ahead` others before it can be dispatched before its
/// deadline.
fn check_deadline(now: Now, estimate: QueueEstimate, ahead: usize, deadline: Now) -> Result<()> {
    if deadline <= now {
        return Err((Reason::DeadlineExceeded, Some(RETRY_AFTER)));
    }
    let Some(available_at) = estimate.available_at else {
        return Err((Reason::NoEndpoint, Some(RETRY_AFTER)));
    };
    if available_at > deadline {
        return Err((
            Reason::NoEndpoint,
            Some(retry_after_wait(Some(available_at.saturating_sub(now)))),
        ));
    }
    match estimate.wait_time(ahead) {
        Some(wait) if ahead > 0 && now + wait > deadline => {
            Err((Reason::Overloaded, Some(retry_after_wait(Some(wait)))))
        }
        _ => Ok(()),
    }
}

fn retry_after_wait(wait: Option<Duration>) -> Duration {
    wait.unwrap_or(RETRY_AFTER).max(MIN_RETRY_AFTER)
}

/// Returns the key of the row that a request must claim, or `None` if the request is idempotent or
/// has no id. Callers of an open service have no team, so they share one space of ids.
fn claim_key(head: &RequestHead, team: Option<&str>) -> Option<RowKey> {
    let id = head.id.as_ref().filter(|_| !head.idempotent)?;
    let owner = team.unwrap_or_default();
    Some(format!("claim/{}/{owner}/{id}", head.service).into())
}
