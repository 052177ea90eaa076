//! Advice on which VMs may run a step: who is asked about which VMs, and what is known.

use std::rc::Rc;

use rustc_hash::FxHashMap;
use rustc_hash::FxHashSet;

use super::book::StepKey;
use super::fleet::VmKey;
use crate::core::model::DaemonId;
use crate::core::model::Now;
use crate::core::model::VmId;
use crate::core::workload::catalog::AdviceTerms;
use crate::core::workload::cx::Cx;
use crate::core::workload::effect::Request;
use crate::core::workload::event::AdviceQuery;
use crate::core::workload::heartbeat::HeartbeatMonitor;

/// Part of a ticket's life in which it is used, so that the start arrives before its end.
const TICKET_USE: f64 = 0.85;

/// Time for which a daemon that failed to give advice is passed over.
const HELPER_PAUSE: Now = Now::from_secs(1);

/// What is known of the VMs for one step.
#[derive(Debug, Default)]
pub(super) struct StepAdvice {
    /// VMs that may run the step, with their tickets.
    pub good: FxHashMap<VmKey, Ticket>,
    /// VMs that may not.
    pub bad: FxHashSet<VmKey>,
    /// Whether a request is under way.
    pub asking: bool,
    /// Not before this time is the next request sent.
    pub retry_at: Now,
}

/// Permission to run a step on a VM.
#[derive(Clone, Debug)]
pub(super) struct Ticket {
    pub text: Box<str>,
    /// Not used after.
    pub until: Now,
}

/// Requests under way by way of each daemon; `None` is this one.
#[derive(Debug, Default)]
pub(super) struct Helpers {
    busy: FxHashMap<Option<DaemonId>, u32>,
    paused: FxHashMap<DaemonId, Now>,
}

impl StepAdvice {
    /// The ticket for a VM, if there is a good one.
    pub fn ticket(&self, vm: VmKey, now: Now) -> Option<&Ticket> {
        self.good.get(&vm).filter(|ticket| now < ticket.until)
    }

    /// Takes an answer about some VMs.
    pub fn learn(&mut self, vm: VmKey, ticket: Option<Box<str>>, sent: Now, terms: &AdviceTerms) {
        match ticket {
            Some(text) => {
                let until = sent + terms.valid.mul_f64(TICKET_USE);
                self.good.insert(vm, Ticket { text, until });
            }
            None => {
                self.bad.insert(vm);
            }
        }
    }

    /// A start was refused for its ticket.
    pub fn expire(&mut self, vm: VmKey) {
        if let Some(ticket) = self.good.get_mut(&vm) {
            ticket.until = Now::ZERO;
        }
    }
}

impl Helpers {
    /// The daemon with the fewest requests under way, if one has room for another.
    pub fn free(
        &self,
        cx: &Cx,
        pulse: &HeartbeatMonitor,
    ) -> Option<(Option<DaemonId>, Option<Box<str>>)> {
        let most = cx.options.vms.advice_each;
        let paused = |id: &DaemonId| self.paused.get(id).is_some_and(|&until| cx.now < until);
        let others = pulse
            .addresses
            .iter()
            .filter(|(id, _)| **id != cx.options.me && !paused(id));
        let others = others.map(|(id, address)| (Some(id.clone()), Some(address.clone())));
        std::iter::once((None, None))
            .chain(others)
            .map(|helper| (self.busy.get(&helper.0).copied().unwrap_or(0), helper))
            .filter(|(busy, _)| *busy < most)
            .min_by(|a, b| a.0.cmp(&b.0).then_with(|| a.1.cmp(&b.1)))
            .map(|(_, helper)| helper)
    }

    /// Sends a request about a step by way of a daemon.
    pub fn ask(
        &mut self,
        cx: &mut Cx,
        (helper, via): (Option<DaemonId>, Option<Box<str>>),
        key: StepKey,
        job: &str,
        vms: Rc<[VmId]>,
        terms: &AdviceTerms,
    ) {
        let count = u32::try_from(vms.len()).unwrap_or(u32::MAX);
        let timeout = terms.base + terms.per_vm * count + cx.options.vms.advice_margin;
        *self.busy.entry(helper.clone()).or_default() += 1;
        let query = AdviceQuery {
            job: job.into(),
            occurrence: key.occurrence,
            step: key.step,
            helper,
            vms,
            sent: cx.now,
        };
        cx.send(Request::Advise {
            query,
            via,
            timeout,
        });
    }

    /// A request by way of a daemon has ended.
    pub fn ended(&mut self, helper: Option<&DaemonId>, failed: bool, now: Now) {
        let helper = helper.cloned();
        if let (true, Some(id)) = (failed, helper.clone()) {
            self.paused.insert(id, now + HELPER_PAUSE);
        }
        if let Some(busy) = self.busy.get_mut(&helper) {
            *busy = busy.saturating_sub(1);
        }
    }
}
