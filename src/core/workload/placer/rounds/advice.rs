//! Advice on which VMs may run a step: queries forwarded through the daemons, and cached answers.

use std::rc::Rc;
use std::time::Duration;

use rustc_hash::FxHashMap;
use rustc_hash::FxHashSet;

use crate::core::model::DaemonId;
use crate::core::model::JobId;
use crate::core::model::Now;
use crate::core::model::VmId;
use crate::core::workload::catalog::AdviceTiming;
use crate::core::workload::catalog::URGENT_PRIORITY;
use crate::core::workload::cx::Cx;
use crate::core::workload::effect::Request;
use crate::core::workload::event::AdviceQuery;
use crate::core::workload::heartbeat::HeartbeatMonitor;
use crate::core::workload::placer::rounds::round::Pool;
use crate::core::workload::placer::state::fleet::VmKey;
use crate::core::workload::placer::state::job_registry::StepKey;
use crate::core::workload::policy::forwarders::UrgentQueries;
use crate::core::workload::policy::forwarders::shared_forwarders;
use crate::core::workload::submission::OccurrenceIndex;
use crate::core::workload::submission::Step;
use crate::core::workload::submission::StepIndex;

/// Fraction of a ticket's validity period in which the ticket is used, so that the start order
/// arrives before it expires.
const TICKET_USABLE_SHARE: f64 = 0.85;

/// Time for which a daemon is skipped after it failed to forward a query.
const FORWARDER_PAUSE: Duration = Duration::from_secs(1);

/// Cached advice for one step.
#[derive(Debug, Default)]
pub(in crate::core::workload::placer) struct StepAdvice {
    /// Tickets of the VMs that may run the step; expired ones are kept.
    pub tickets: FxHashMap<VmKey, AdviceTicket>,
    /// Time until which the last of the tickets is used; some may expire before.
    pub valid_until: Now,
    /// VMs that may not run the step.
    pub rejected: FxHashSet<VmKey>,
    /// VMs that the query in flight names; `None` while none is in flight.
    pub asked: Option<Box<[VmKey]>>,
    /// When the last query was sent.
    pub asked_at: Now,
    /// Earliest time of the next query.
    pub retry_at: Now,
}

/// Permission to run a step on a VM.
#[derive(Clone, Debug)]
pub(in crate::core::workload::placer) struct AdviceTicket {
    pub text: Box<str>,
    /// Time until which the ticket is used; earlier than the end of its validity.
    pub until: Now,
}

/// Queues for whose advice queries a daemon is free.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::core::workload::placer) enum Availability {
    None,
    /// Those of the highest priority, for which the remaining daemons are reserved.
    Urgent,
    All,
}

/// Daemons through which advice queries are sent, to spread their load. An empty name stands for this
/// daemon, which queries the advice service directly.
#[derive(Debug, Default)]
pub(in crate::core::workload::placer) struct AdviceForwarders {
    /// Number of queries in flight through each daemon.
    in_flight: FxHashMap<DaemonId, u32>,
    /// When each daemon was last answered a query; those without an answer yet are missing.
    answered_at: FxHashMap<DaemonId, Now>,
    paused_until: FxHashMap<DaemonId, Now>,
    urgent: UrgentQueries,
    /// Steps of urgent queues with a query in flight.
    urgent_steps: FxHashSet<(JobId, OccurrenceIndex, StepIndex)>,
}

impl StepAdvice {
    /// Returns the ticket for a VM unless it has expired.
    pub fn ticket(&self, vm: VmKey, now: Now) -> Option<&AdviceTicket> {
        self.tickets.get(&vm).filter(|ticket| now < ticket.until)
    }

    /// Returns the ticket for a VM, which may have expired.
    pub fn last_ticket(&self, vm: VmKey) -> Option<&AdviceTicket> {
        self.tickets.get(&vm)
    }

    /// Returns whether a query has been answered.
    pub fn has_answers(&self) -> bool {
        !self.tickets.is_empty() || !self.rejected.is_empty()
    }

    /// Returns whether any VM may run the step; the tickets may have expired.
    pub fn has_approvals(&self) -> bool {
        !self.tickets.is_empty()
    }

    /// Returns whether a VM may run the step; a ticket for it may have expired.
    pub fn is_approved(&self, vm: VmKey) -> bool {
        self.tickets.contains_key(&vm)
    }

    /// Returns whether a VM may not run the step.
    pub fn is_rejected(&self, vm: VmKey) -> bool {
        self.rejected.contains(&vm)
    }

    /// Returns whether a ticket for any VM is valid.
    pub fn has_ticket(&self, now: Now) -> bool {
        now < self.valid_until && self.tickets.values().any(|ticket| now < ticket.until)
    }

    /// Returns the VMs with valid tickets, in any order.
    pub fn valid_vms(&self, now: Now) -> Vec<VmKey> {
        let valid = self.tickets.iter().filter(|(_, ticket)| now < ticket.until);
        valid.map(|(&vm, _)| vm).collect()
    }

    /// Returns the number of tasks of a step for which the VMs with valid tickets have room.
    pub fn open_slots(&self, pool: &Pool, spec: &Step, now: Now) -> u32 {
        let valid = self.tickets.iter().filter(|(_, ticket)| now < ticket.until);
        valid.fold(0, |sum, (&vm, _)| {
            sum.saturating_add(pool.open_slots(vm, spec))
        })
    }

    /// Returns whether a query may be sent.
    pub fn can_query(&self, now: Now) -> bool {
        self.asked.is_none() && now >= self.retry_at
    }

    /// Records the answer for a VM: its ticket, or `None` if it may not run the step.
    ///
    /// The ticket's validity counts from `decided_at`.
    pub fn record(
        &mut self,
        vm: VmKey,
        ticket: Option<Box<str>>,
        decided_at: Now,
        timing: &AdviceTiming,
    ) {
        match ticket {
            Some(text) => {
                let until = decided_at + timing.ticket_validity.mul_f64(TICKET_USABLE_SHARE);
                self.valid_until = self.valid_until.max(until);
                self.tickets.insert(vm, AdviceTicket { text, until });
            }
            None => {
                self.rejected.insert(vm);
            }
        }
    }

    /// Expires the ticket of a VM after a start was refused because of it.
    pub fn expire(&mut self, vm: VmKey) {
        if let Some(ticket) = self.tickets.get_mut(&vm) {
            ticket.until = Now::ZERO;
        }
    }
}

impl AdviceForwarders {
    /// Returns for which queues a daemon is free.
    pub fn availability(&self, cx: &Cx, heartbeats: &HeartbeatMonitor) -> Availability {
        if self.find_free(cx, heartbeats, URGENT_PRIORITY).is_none() {
            Availability::None
        } else if self.is_reserved(cx, heartbeats, URGENT_PRIORITY + 1) {
            Availability::Urgent
        } else {
            Availability::All
        }
    }

    /// Returns the daemon with the fewest queries in flight and its address, or `None` if all
    /// daemons are at their limit or paused after a failure. Some are reserved for queues of
    /// the highest priority if there are enough daemons.
    pub fn least_busy(
        &self,
        cx: &Cx,
        heartbeats: &HeartbeatMonitor,
        priority: u32,
    ) -> Option<(Option<DaemonId>, Option<Box<str>>)> {
        let (id, address) = self.find_free(cx, heartbeats, priority)?;
        Some((id.cloned(), address.map(Into::into)))
    }

    /// Returns whether the daemons that are left are reserved for queues of a higher priority.
    fn is_reserved(&self, cx: &Cx, heartbeats: &HeartbeatMonitor, priority: u32) -> bool {
        if priority > URGENT_PRIORITY && reserves_forwarders(cx) {
            let forwarders = heartbeats.addresses.len().max(1);
            let urgent = self.urgent.recent_peak(cx.now);
            return self.busy_count() >= shared_forwarders(forwarders, urgent);
        }
        false
    }

    /// Returns the daemon with the fewest queries in flight, as [`AdviceForwarders::least_busy`] does.
    fn find_free<'a>(
        &self,
        cx: &Cx,
        heartbeats: &'a HeartbeatMonitor,
        priority: u32,
    ) -> Option<(Option<&'a DaemonId>, Option<&'a str>)> {
        if self.is_reserved(cx, heartbeats, priority) {
            return None;
        }
        let limit = cx.options.vms.advice_per_daemon;
        let paused = |id: &DaemonId| {
            self.paused_until
                .get(id)
                .is_some_and(|&until| cx.now < until)
        };
        let others = heartbeats
            .addresses
            .iter()
            .filter(|(id, _)| **id != cx.options.daemon && !paused(id));
        let others = others.map(|(id, address)| (Some(id), Some(&**address)));
        std::iter::once((None, None))
            .chain(others)
            .map(|forwarder| (self.queries_through(forwarder.0), forwarder))
            .filter(|(busy, _)| *busy < limit)
            .min_by(|a, b| a.0.cmp(&b.0).then_with(|| a.1.cmp(&b.1)))
            .map(|(_, forwarder)| forwarder)
    }

    /// Returns whether most daemons have no query in flight, so that queries for room that is yet to be
    /// freed delay no others.
    pub fn has_spare(&self, heartbeats: &HeartbeatMonitor) -> bool {
        let forwarders = heartbeats.addresses.len().max(1);
        self.busy_count() * 2 < forwarders
    }

    /// Returns since when a daemon has had no query in flight; `None` if it has one or had none yet.
    pub fn free_since(&self, forwarder: Option<&DaemonId>) -> Option<Now> {
        let answered_at = self.answered_at.get(name(forwarder)).copied();
        answered_at.filter(|_| self.queries_through(forwarder) == 0)
    }

    /// Returns the number of queries in flight through a daemon.
    fn queries_through(&self, forwarder: Option<&DaemonId>) -> u32 {
        self.in_flight.get(name(forwarder)).copied().unwrap_or(0)
    }

    /// Returns the number of daemons with a query in flight.
    fn busy_count(&self) -> usize {
        self.in_flight.values().filter(|&&busy| busy > 0).count()
    }

    /// Sends an advice query for a step through a daemon.
    pub fn send(
        &mut self,
        cx: &mut Cx,
        (forwarder, via): (Option<DaemonId>, Option<Box<str>>),
        key: StepKey,
        (job, priority): (&str, u32),
        vms: Rc<[VmId]>,
        timing: &AdviceTiming,
    ) {
        let step = (job.into(), key.occurrence, key.step);
        if priority == URGENT_PRIORITY && self.urgent_steps.insert(step) {
            self.urgent.start(cx.now);
        }
        let count = u32::try_from(vms.len()).unwrap_or(u32::MAX);
        let timeout =
            timing.base_latency + timing.latency_per_vm * count + cx.options.vms.advice_margin;
        *self
            .in_flight
            .entry(name(forwarder.as_ref()).into())
            .or_default() += 1;
        let query = AdviceQuery {
            job: job.into(),
            occurrence: key.occurrence,
            step: key.step,
            forwarder,
            vms,
            sent: cx.now,
        };
        cx.send(Request::Advise {
            query,
            via,
            timeout,
        });
    }

    /// Records the end of a query.
    pub fn finish(&mut self, query: &AdviceQuery, failed: bool, now: Now) {
        let step = (query.job.clone(), query.occurrence, query.step);
        if self.urgent_steps.remove(&step) {
            self.urgent.finish();
        }
        let forwarder = query.forwarder.as_ref();
        self.answered_at.insert(name(forwarder).into(), now);
        if let (true, Some(id)) = (failed, forwarder) {
            self.paused_until.insert(id.clone(), now + FORWARDER_PAUSE);
        }
        if let Some(busy) = self.in_flight.get_mut(name(forwarder)) {
            *busy = busy.saturating_sub(1);
        }
    }
}

/// Returns the name by which a daemon is counted.
fn name(forwarder: Option<&DaemonId>) -> &str {
    forwarder.map_or("", |id| id)
}

/// Returns whether a queue of the highest priority needs advice.
fn reserves_forwarders(cx: &Cx) -> bool {
    let mut queues = cx.catalog.iter().flat_map(|catalog| &catalog.queues);
    queues.any(|queue| queue.priority == URGENT_PRIORITY && queue.advice.is_some())
}
