//! Admission of requests, their queues, and what is given up at once.

use std::ops::Bound;
use std::time::Duration;

use super::Router;
use super::claim::Claimed;
use super::request::Live;
use super::request::Queued;
use super::request::Request;
use super::service::Outlook;
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

/// Why a request is refused, and when to come back.
type Result<T, E = (Reason, Option<Duration>)> = std::result::Result<T, E>;

/// When to come back if nothing better is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Shortest time after which a caller is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

impl Router {
    /// Takes a request that the caller is entitled to, `team` being the one whose key came with it.
    pub fn request(
        &mut self,
        now: Now,
        ticket: Ticket,
        head: RequestHead,
        team: Option<&str>,
        fx: &mut Effects,
    ) {
        let claim = claim_key(&head, team);
        let patience = head.timeout;
        let req = Request::new(now, ticket, head);
        if let Err((reason, retry_after)) = self.admit(now, &req.service, req.deadline) {
            req.give_up(reason, retry_after, fx);
            return;
        }
        match claim {
            Some(key) => self.claim(now, req, key, patience, fx),
            None => self.enqueue(now, req, fx),
        }
    }

    /// A transaction of the router's ended; returns whether it was the router's.
    pub fn txn_ended(
        &mut self,
        now: Now,
        token: Token,
        end: &TxnOutcome,
        fx: &mut Effects,
    ) -> bool {
        let Some(results) = self.claims.ended(now, token, end) else {
            return false;
        };
        for (ticket, result) in results {
            match self.requests.remove(&ticket) {
                Some(Live::Claiming(req)) => {
                    self.deadlines.remove(&(req.deadline, ticket));
                    self.claimed(now, req, result, fx);
                }
                Some(live) => {
                    self.requests.insert(ticket, live);
                }
                None => {}
            }
        }
        self.claims.send(now, fx);
        true
    }

    fn claim(
        &mut self,
        now: Now,
        req: Request<Queued>,
        key: RowKey,
        patience: Duration,
        fx: &mut Effects,
    ) {
        let ticket = req.ticket;
        let req = req.claiming();
        match self.claims.begin(now, ticket, key, patience, fx) {
            Some(result) => self.claimed(now, req, result, fx),
            None => self.insert_live(ticket, Live::Claiming(req)),
        }
    }

    fn claimed(
        &mut self,
        now: Now,
        req: Request<super::request::Claiming>,
        result: Claimed,
        fx: &mut Effects,
    ) {
        match result {
            Claimed::Done(claim) => self.enqueue(now, req.claimed(claim), fx),
            Claimed::Duplicate => {
                req.duplicate(fx);
            }
            Claimed::Unavailable => {
                req.give_up(Reason::PlatformUnavailable, Some(RETRY_AFTER), fx);
            }
        }
    }

    pub(super) fn enqueue(&mut self, now: Now, req: Request<Queued>, fx: &mut Effects) {
        let service = req.service.clone();
        self.insert_live(req.ticket, Live::Queued(req));
        self.pump(now, &service, fx);
    }

    fn admit(&self, now: Now, service: &str, deadline: Now) -> Result<()> {
        let service = self
            .services
            .get(service)
            .filter(|service| service.has_live())
            .ok_or((Reason::NoEndpoint, Some(RETRY_AFTER)))?;
        if service.queue.is_empty() && service.is_open(now) && now < deadline {
            return Ok(());
        }
        let outlook = service.outlook(now);
        if service.queue.len() >= self.options.queue {
            let wait = outlook.wait(service.queue.len());
            return Err((Reason::Overloaded, Some(come_back(wait))));
        }
        let ahead = service.queue.range(..(deadline, 0)).count();
        judge(now, outlook, ahead, deadline)
    }

    /// Gives up every request whose deadline has passed.
    pub(super) fn expire_requests(&mut self, now: Now, fx: &mut Effects) {
        while let Some(&(deadline, ticket)) = self.deadlines.first()
            && deadline <= now
        {
            self.give_up(now, ticket, Reason::DeadlineExceeded, Some(RETRY_AFTER), fx);
        }
    }

    /// Gives up every waiting request that cannot be dispatched before its deadline.
    pub(super) fn drop_hopeless(&mut self, now: Now, fx: &mut Effects) {
        let mut hopeless = Vec::new();
        for service in self.services.values() {
            if service.queue.is_empty() {
                continue;
            }
            let outlook = service.outlook(now);
            let mut ahead = 0;
            for &(deadline, ticket) in &service.queue {
                match judge(now, outlook, ahead, deadline) {
                    Ok(()) => ahead += 1,
                    Err((reason, retry_after)) => hopeless.push((ticket, reason, retry_after)),
                }
            }
        }
        for (ticket, reason, retry_after) in hopeless {
            self.give_up(now, ticket, reason, retry_after, fx);
        }
    }

    fn give_up(
        &mut self,
        now: Now,
        ticket: Ticket,
        reason: Reason,
        retry_after: Option<Duration>,
        fx: &mut Effects,
    ) {
        if let Some(live) = self.take_live(ticket) {
            let ended = live.give_up(reason, retry_after, fx);
            self.ended(now, ended);
        }
    }

    /// Dispatches what can be, from every queue.
    pub(super) fn pump_all(&mut self, now: Now, fx: &mut Effects) {
        let waiting: Vec<ServiceId> = self
            .services
            .iter()
            .filter(|(_, service)| !service.queue.is_empty())
            .map(|(id, _)| id.clone())
            .collect();
        for service in waiting {
            self.pump(now, &service, fx);
        }
    }

    /// Dispatches what can be from the queue of a service, and asks for loans for the rest.
    pub(super) fn pump(&mut self, now: Now, id: &str, fx: &mut Effects) {
        let mut avoided = None;
        let mut next = self.waiting_after(id, None);
        while let Some((deadline, ticket)) = next {
            let avoid = self.avoided(now, ticket);
            let Some(service) = self.services.get(id) else {
                return;
            };
            match service.choose(now, &self.zone, avoid.as_deref(), &mut self.rng) {
                Some(endpoint) => {
                    if let Some(Live::Queued(req)) = self.take_live(ticket) {
                        self.dispatch(now, req, &endpoint, fx);
                    }
                }
                // Another request may still go to the endpoint that this one avoids.
                None if avoid.is_some() => avoided = avoided.or(avoid),
                None => break,
            }
            next = self.waiting_after(id, Some((deadline, ticket)));
        }
        if next.is_some() || avoided.is_some() {
            self.borrow_slots(now, id, avoided.as_deref(), fx);
        }
    }

    fn waiting_after(&self, service: &str, last: Option<(Now, Ticket)>) -> Option<(Now, Ticket)> {
        let queue = &self.services.get(service)?.queue;
        match last {
            Some(last) => queue
                .range((Bound::Excluded(last), Bound::Unbounded))
                .next(),
            None => queue.first(),
        }
        .copied()
    }

    fn avoided(&self, now: Now, ticket: Ticket) -> Option<EndpointId> {
        match self.requests.get(&ticket) {
            Some(Live::Queued(req)) => req.avoids(now).cloned(),
            _ => None,
        }
    }
}

/// Judges whether a request can be dispatched before its deadline with `ahead` others before it.
fn judge(now: Now, outlook: Outlook, ahead: usize, deadline: Now) -> Result<()> {
    if deadline <= now {
        return Err((Reason::DeadlineExceeded, Some(RETRY_AFTER)));
    }
    let Some(opens) = outlook.opens else {
        return Err((Reason::NoEndpoint, Some(RETRY_AFTER)));
    };
    if opens > deadline {
        return Err((
            Reason::NoEndpoint,
            Some(come_back(Some(opens.saturating_sub(now)))),
        ));
    }
    match outlook.wait(ahead) {
        Some(wait) if ahead > 0 && now + wait > deadline => {
            Err((Reason::Overloaded, Some(come_back(Some(wait)))))
        }
        _ => Ok(()),
    }
}

fn come_back(wait: Option<Duration>) -> Duration {
    wait.unwrap_or(RETRY_AFTER).max(MIN_RETRY_AFTER)
}

/// The row that a request has to claim: only one that must not be repeated and names itself. The
/// callers of an open service have no team and share their ids.
fn claim_key(head: &RequestHead, team: Option<&str>) -> Option<RowKey> {
    let id = head.id.as_ref().filter(|_| !head.idempotent)?;
    let owner = team.unwrap_or_default();
    Some(format!("claim/{}/{owner}/{id}", head.service).into())
}
