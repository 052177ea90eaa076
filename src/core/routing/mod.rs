//! Routes callers' requests to endpoints: slots as credits, bounded queues by deadline, retries
//! within a budget, and claims of request ids.

mod attempt;
mod budget;
mod claim;
mod credit;
mod entries;
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

use self::attempt::Flight;
use self::claim::Claims;
use self::entries::Entries;
use self::request::Ended;
use self::request::Live;
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
    entries: Entries,
    services: FxHashMap<ServiceId, Service>,
    requests: FxHashMap<Ticket, Live>,
    deadlines: BTreeSet<(Now, Ticket)>,
    flights: FxHashMap<(Ticket, u32), Flight>,
    claims: Claims,
    next_loan: LoanId,
}

/// Slots of one endpoint as this daemon counts them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotCount {
    /// Its share in use.
    pub share: u32,
    /// Lent to others.
    pub lent: u32,
    /// Borrowed from others.
    pub borrowed: u32,
    /// Attempts under way.
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
            entries: Entries::default(),
            services: FxHashMap::default(),
            requests: FxHashMap::default(),
            deadlines: BTreeSet::new(),
            flights: FxHashMap::default(),
            next_loan: options.seed,
            options,
        }
    }

    /// Takes the membership list: endpoints, and the entry VMs that share their slots.
    pub fn set_members(&mut self, now: Now, members: &[Member], fx: &mut Effects) {
        self.entries.set_members(now, members);
        for service in self.services.values_mut() {
            service.unlist();
        }
        for member in members {
            self.set_endpoint(now, member);
        }
        for service in self.services.values_mut() {
            service.forget_unlisted(now);
        }
        self.services
            .retain(|_, service| !service.endpoints.is_empty() || !service.queue.is_empty());
        self.pump_all(now, fx);
    }

    /// A peer became reachable or unreachable.
    pub fn set_peer_reachable(&mut self, _now: Now, peer: &str, reachable: bool) {
        self.entries.set_reachable(peer, reachable);
    }

    /// The caller went away.
    pub fn handle_hangup(&mut self, now: Now, ticket: Ticket, _fx: &mut Effects) {
        if let Some(live) = self.take_live(ticket) {
            let ended = live.hang_up();
            self.ended(now, ended);
        }
    }

    /// Gives up what has waited too long, ends loans, sends group-committed claims.
    pub fn tick(&mut self, now: Now, fx: &mut Effects) {
        for service in self.services.values_mut() {
            service.tick(now);
        }
        self.expire_flights(now, fx);
        self.expire_requests(now, fx);
        self.drop_hopeless(now, fx);
        self.renew_loans(now, fx);
        self.claims.tick(now, fx);
        self.pump_all(now, fx);
    }

    /// Requests that wait or are under way.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Name and zone of the daemon, and its settings.
    #[must_use]
    pub fn identity(&self) -> (&str, &str, &RoutingOptions) {
        (&self.me, &self.zone, &self.options)
    }

    /// Slots of an endpoint as this daemon counts them.
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
            .entries
            .share(&self.me, &member.zone, &member.address, *slots);
        let live = member.state == MemberState::Live;
        let percent = self.options.retry_percent;
        let service = self
            .services
            .entry(service.clone())
            .or_insert_with(|| Service::new(now, percent));
        let endpoint = service.list(&member.address, &member.zone, live);
        endpoint.slots = *slots;
        endpoint.connections = *connections;
        endpoint
            .credits
            .set_share(now, share, since + self.options.settle_time);
    }

    /// Adds a request that has not ended.
    fn insert_live(&mut self, ticket: Ticket, live: Live) {
        self.deadlines.insert((live.deadline(), ticket));
        if let Live::Queued(req) = &live
            && let Some(service) = self.services.get_mut(&req.service)
        {
            service.queue.insert((req.deadline, ticket));
        }
        self.requests.insert(ticket, live);
    }

    /// Removes a request, also from its queue or from the claims that wait.
    fn take_live(&mut self, ticket: Ticket) -> Option<Live> {
        let live = self.requests.remove(&ticket)?;
        self.deadlines.remove(&(live.deadline(), ticket));
        match &live {
            Live::Queued(req) => {
                if let Some(service) = self.services.get_mut(&req.service) {
                    service.queue.remove(&(req.deadline, ticket));
                }
            }
            Live::Claiming(_) => self.claims.abandon(ticket),
            Live::Dispatched(_) => {}
        }
        Some(live)
    }

    /// Settles the claim of a request that has ended.
    fn ended(&mut self, now: Now, ended: Ended) {
        match ended.claim {
            Some(claim) if ended.may_have_run => self.claims.keep(now, claim),
            Some(claim) => self.claims.withdraw(claim),
            None => {}
        }
    }
}
