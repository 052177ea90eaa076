//! Request router: sends callers' requests to service endpoints.
//!
//! Endpoint concurrency is limited by credits, one for each slot. Requests without a free credit
//! wait in bounded queues ordered by deadline, retries are limited by a budget, and the ids of
//! non-idempotent requests are claimed in the table so that each runs at most once.

mod attempt;
mod budget;
mod claim;
mod credit;
mod entry_vms;
mod health;
mod loan;
mod options;
mod queue;
mod request;
mod service;

use std::collections::BTreeSet;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rustc_hash::FxHashMap;

use self::attempt::Attempt;
use self::claim::Claims;
use self::entry_vms::EntryVms;
use self::request::ActiveRequest;
use self::request::EndedRequest;
use self::service::Service;
use super::effect::Effects;
use super::model::DaemonId;
use super::model::LoanId;
use super::model::Member;
use super::model::MemberRole;
use super::model::MemberState;
use super::model::Now;
use super::model::ServiceId;
use super::model::Ticket;
use super::model::ZoneId;

pub use self::options::RoutingOptions;

/// Router of one daemon.
#[derive(Clone, Debug)]
pub struct Router {
    me: DaemonId,
    zone: ZoneId,
    options: RoutingOptions,
    rng: SmallRng,
    entry_vms: EntryVms,
    services: FxHashMap<ServiceId, Service>,
    requests: FxHashMap<Ticket, ActiveRequest>,
    deadlines: BTreeSet<(Now, Ticket)>,
    attempts: FxHashMap<(Ticket, u32), Attempt>,
    claims: Claims,
    next_loan: LoanId,
}

/// Slots of one endpoint, as counted by this daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotCount {
    /// Slots of the daemon's share that are in effect.
    pub share: u32,
    /// Slots lent to other daemons.
    pub lent: u32,
    /// Slots borrowed from other daemons.
    pub borrowed: u32,
    /// Attempts in flight.
    pub outstanding: u32,
}

impl Router {
    /// Returns a router without endpoints.
    #[must_use]
    pub fn new(me: DaemonId, zone: ZoneId, options: RoutingOptions) -> Self {
        Self {
            claims: Claims::new(&me, &options),
            me,
            zone,
            rng: SmallRng::seed_from_u64(options.seed),
            entry_vms: EntryVms::default(),
            services: FxHashMap::default(),
            requests: FxHashMap::default(),
            deadlines: BTreeSet::new(),
            attempts: FxHashMap::default(),
            next_loan: options.seed,
            options,
        }
    }

    /// Applies the membership list: the endpoints, and the entry VMs that share their slots.
    pub fn set_members(&mut self, now: Now, members: &[Member], fx: &mut Effects) {
        self.entry_vms.set_members(now, members);
        for service in self.services.values_mut() {
            service.mark_all_unlisted();
        }
        for member in members {
            self.set_endpoint(now, member);
        }
        for service in self.services.values_mut() {
            service.remove_unlisted(now);
        }
        self.services
            .retain(|_, service| !service.endpoints.is_empty() || !service.queue.is_empty());
        self.dispatch_all_queued(now, fx);
    }

    /// Records whether a peer is reachable.
    pub fn set_peer_reachable(&mut self, _now: Now, peer: &str, reachable: bool) {
        self.entry_vms.set_reachable(peer, reachable);
    }

    /// Handles the disconnection of a caller.
    pub fn handle_disconnect(&mut self, now: Now, ticket: Ticket, _fx: &mut Effects) {
        if let Some(req) = self.remove_request(ticket) {
            let ended = req.disconnect();
            self.settle_claim(now, ended);
        }
    }

    /// Ends overdue attempts and requests, renews or returns loans, commits claims and dispatches
    /// queued requests.
    pub fn tick(&mut self, now: Now, fx: &mut Effects) {
        for service in self.services.values_mut() {
            service.tick(now);
        }
        self.expire_attempts(now, fx);
        self.expire_requests(now, fx);
        self.fail_unservable(now, fx);
        self.update_loans(now, fx);
        self.claims.tick(now, fx);
        self.dispatch_all_queued(now, fx);
    }

    /// Returns the number of requests that have not been answered.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Returns the daemon's name, its zone and the router's settings.
    #[must_use]
    pub fn identity(&self) -> (&str, &str, &RoutingOptions) {
        (&self.me, &self.zone, &self.options)
    }

    /// Returns the slot counts of an endpoint, all zero if the endpoint is unknown.
    #[must_use]
    pub fn slots(&self, now: Now, endpoint: &str) -> SlotCount {
        let credits = self
            .services
            .values()
            .find_map(|service| Some(&service.endpoints.get(endpoint)?.credits));
        credits.map_or_else(SlotCount::default, |credits| SlotCount {
            share: credits.share(),
            lent: credits.lent(now),
            borrowed: credits.borrowed(now),
            outstanding: credits.outstanding(),
        })
    }

    fn set_endpoint(&mut self, now: Now, member: &Member) {
        let MemberRole::Endpoint {
            service,
            slots,
            connections,
        } = &member.role
        else {
            return;
        };
        let (share, since) = self
            .entry_vms
            .share(&self.me, &member.zone, &member.address, *slots);
        let live = member.state == MemberState::Live;
        let percent = self.options.retry_percent;
        let service = self
            .services
            .entry(service.clone())
            .or_insert_with(|| Service::new(now, percent));
        let endpoint = service.update_endpoint(&member.address, &member.zone, live);
        endpoint.slots = *slots;
        endpoint.connections = *connections;
        endpoint
            .credits
            .set_share(now, share, since + self.options.settle_time);
    }

    /// Adds a request that has not ended, and queues it if it waits for an endpoint.
    fn insert_request(&mut self, ticket: Ticket, req: ActiveRequest) {
        self.deadlines.insert((req.deadline(), ticket));
        if let ActiveRequest::Queued(req) = &req
            && let Some(service) = self.services.get_mut(&req.service)
        {
            service.queue.insert((req.deadline, ticket));
        }
        self.requests.insert(ticket, req);
    }

    /// Removes a request, also from its service's queue or from the pending claims.
    fn remove_request(&mut self, ticket: Ticket) -> Option<ActiveRequest> {
        let req = self.requests.remove(&ticket)?;
        self.deadlines.remove(&(req.deadline(), ticket));
        match &req {
            ActiveRequest::Queued(req) => {
                if let Some(service) = self.services.get_mut(&req.service) {
                    service.queue.remove(&(req.deadline, ticket));
                }
            }
            ActiveRequest::Claiming(_) => self.claims.abandon(ticket),
            ActiveRequest::Dispatched(_) => {}
        }
        Some(req)
    }

    /// Retains the claim of an ended request if the request may have run, withdraws it otherwise.
    fn settle_claim(&mut self, now: Now, ended: EndedRequest) {
        match ended.claim {
            Some(claim) if ended.may_have_run => self.claims.retain(now, claim),
            Some(claim) => self.claims.withdraw(claim),
            None => {}
        }
    }
}
