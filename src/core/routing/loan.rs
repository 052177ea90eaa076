//! Loans of slots between daemons.

use std::time::Duration;

use rand::Rng;

use super::Router;
use super::credit::Ask;
use super::credit::Borrowed;
use super::service::Endpoint;
use crate::core::effect::Effect;
use crate::core::effect::Effects;
use crate::core::event::PeerMessage;
use crate::core::model::DaemonId;
use crate::core::model::EndpointId;
use crate::core::model::LoanId;
use crate::core::model::Now;

/// Slots asked for in one loan.
const MAX_LOAN_SLOTS: usize = 4;

/// Expected wait in the queue above which other zones are asked for slots.
const SPILL_WAIT: Duration = Duration::from_millis(6);

/// Time before the same endpoint's slots are asked for again after a refusal.
const ENDPOINT_ASK_DELAY: Duration = Duration::from_millis(200);

/// Time before the same endpoint's slots are asked for again after no answer came.
const SILENT_ASK_DELAY: Duration = Duration::from_millis(500);

/// Time after which an unused loan is given back.
const IDLE_RETURN: Duration = Duration::from_millis(100);

/// A message to another daemon about a loan.
type Message = (DaemonId, PeerMessage);

impl Router {
    /// Replies to `Borrow` and `Return`.
    pub fn handle_peer_request(
        &mut self,
        now: Now,
        from: &str,
        message: &PeerMessage,
    ) -> PeerMessage {
        match message {
            PeerMessage::Borrow {
                endpoint,
                loan,
                slots,
            } => PeerMessage::Lent {
                endpoint: endpoint.clone(),
                loan: *loan,
                slots: self.lend(now, from, endpoint, *loan, *slots),
                lease: self.options.loan_duration,
            },
            PeerMessage::Return { endpoint, loan } => {
                if let Some(endpoint) = self.endpoint_mut(endpoint) {
                    endpoint.credits.take_back(from, *loan);
                }
                PeerMessage::Ack
            }
            _ => PeerMessage::Ack,
        }
    }

    /// Takes a reply to `Borrow` and `Return`.
    pub fn handle_peer_reply(
        &mut self,
        now: Now,
        _to: &str,
        sent: Now,
        message: &PeerMessage,
        reply: Option<&PeerMessage>,
        fx: &mut Effects,
    ) {
        let PeerMessage::Borrow { endpoint, loan, .. } = message else {
            return;
        };
        match reply {
            Some(&PeerMessage::Lent { slots, lease, .. }) if slots > 0 => {
                for service in self.services.values_mut() {
                    if let Some(endpoint) = service.endpoints.get_mut(endpoint) {
                        endpoint.credits.granted(now, *loan, slots, sent + lease);
                        service.loan_granted();
                    }
                }
                self.pump_all(now, fx);
            }
            Some(_) => self.refused(now, endpoint, *loan, ENDPOINT_ASK_DELAY),
            None => self.refused(now, endpoint, *loan, SILENT_ASK_DELAY),
        }
    }

    fn refused(&mut self, now: Now, endpoint: &str, loan: LoanId, delay: Duration) {
        for service in self.services.values_mut() {
            if let Some(endpoint) = service.endpoints.get_mut(endpoint) {
                endpoint.credits.refused(loan, now + delay);
                service.loan_refused(now);
            }
        }
    }

    fn lend(&mut self, now: Now, to: &str, endpoint: &str, loan: LoanId, slots: u32) -> u32 {
        let until = now + self.options.loan_duration + self.options.loan_margin;
        for service in self.services.values_mut() {
            let busy = !service.queue.is_empty();
            if let Some(endpoint) = service.endpoints.get_mut(endpoint) {
                let slots = if busy || !endpoint.live { 0 } else { slots };
                return endpoint.credits.lend(now, to, loan, slots, until);
            }
        }
        0
    }

    /// Asks for slots for the requests of a service that wait: of its own zone's endpoints, and of
    /// others' once the wait is longer than the way there, or when an endpoint is to be avoided.
    pub(super) fn borrow_slots(
        &mut self,
        now: Now,
        id: &str,
        avoid: Option<&str>,
        fx: &mut Effects,
    ) {
        let Some(service) = self.services.get(id) else {
            return;
        };
        let asks = service
            .endpoints
            .values()
            .filter_map(|e| e.credits.ask.as_ref());
        let asked: usize = asks.clone().map(|ask| ask.slots as usize).sum();
        let need = service
            .queue
            .len()
            .saturating_sub(asked)
            .min(MAX_LOAN_SLOTS);
        if need == 0 || !service.may_ask(now, asks.count()) {
            return;
        }
        let wait = service.outlook(now).wait(service.queue.len());
        let own = self.pick_loan(now, id, true, avoid);
        let spill = avoid.is_some() || wait.is_none_or(|wait| wait > SPILL_WAIT);
        let Some((endpoint, from)) = own.or_else(|| {
            if spill {
                self.pick_loan(now, id, false, avoid)
            } else {
                None
            }
        }) else {
            return;
        };
        self.ask(now, endpoint, from, u32::try_from(need).unwrap_or(1), fx);
    }

    /// Picks an endpoint, in this zone or in any other, and a daemon to borrow its slots from.
    fn pick_loan(
        &mut self,
        now: Now,
        service: &str,
        own: bool,
        avoid: Option<&str>,
    ) -> Option<(EndpointId, DaemonId)> {
        let service = self.services.get(service)?;
        let entries = &self.entries;
        let me = &*self.me;
        let candidates: Vec<_> = service
            .endpoints
            .iter()
            .filter(|(id, endpoint)| (endpoint.zone == self.zone) == own && avoid != Some(id))
            .filter(|(_, endpoint)| may_ask(endpoint, now))
            .filter(|(_, endpoint)| entries.lenders(me, &endpoint.zone).next().is_some())
            .collect();
        if candidates.is_empty() {
            return None;
        }
        let (id, endpoint) = candidates[self.rng.random_range(0..candidates.len())];
        let lenders = entries.lenders(me, &endpoint.zone);
        let at = self.rng.random_range(0..lenders.clone().count());
        let lender = lenders.into_iter().nth(at)?;
        Some((id.clone(), lender.clone()))
    }

    fn ask(
        &mut self,
        now: Now,
        endpoint: EndpointId,
        from: DaemonId,
        slots: u32,
        fx: &mut Effects,
    ) {
        let loan = self.next_loan;
        self.next_loan = self.next_loan.wrapping_add(1);
        if let Some(endpoint) = self.endpoint_mut(&endpoint) {
            endpoint.credits.ask = Some(Ask {
                loan,
                from: from.clone(),
                at: now,
                slots,
            });
        }
        let message = PeerMessage::Borrow {
            endpoint,
            loan,
            slots,
        };
        self.send_all(vec![(from, message)], fx);
    }

    /// Renews loans that are in use and gives back those that are not.
    pub(super) fn renew_loans(&mut self, now: Now, fx: &mut Effects) {
        let lease = self.options.loan_duration;
        let mut messages = Vec::new();
        for service in self.services.values_mut() {
            for (id, endpoint) in &mut service.endpoints {
                endpoint.credits.expire_ask(now, lease);
                endpoint.credits.borrowed.retain_mut(|loan| {
                    if is_idle(loan, now) {
                        messages.push(give_back(id, loan));
                        return false;
                    }
                    if renewal_is_due(loan, now, lease) {
                        loan.renewed = now;
                        messages.push(renew(id, loan));
                    }
                    true
                });
            }
        }
        self.send_all(messages, fx);
    }

    fn send_all(&self, messages: Vec<Message>, fx: &mut Effects) {
        for (to, message) in messages {
            if let Some(address) = self.entries.address(&to) {
                let address = address.into();
                fx.push(Effect::Peer {
                    to,
                    address,
                    message,
                });
            }
        }
    }

    fn endpoint_mut(&mut self, id: &str) -> Option<&mut Endpoint> {
        self.services
            .values_mut()
            .find_map(|service| service.endpoints.get_mut(id))
    }
}

fn may_ask(endpoint: &Endpoint, now: Now) -> bool {
    endpoint.is_open(now) && endpoint.credits.ask.is_none() && now >= endpoint.credits.ask_after
}

fn is_idle(loan: &Borrowed, now: Now) -> bool {
    loan.outstanding == 0 && now.saturating_sub(loan.used) >= IDLE_RETURN
}

fn renewal_is_due(loan: &Borrowed, now: Now, lease: Duration) -> bool {
    let left = loan.until.saturating_sub(now);
    let asked = now.saturating_sub(loan.renewed);
    left < lease / 2 && asked >= lease / 4
}

fn renew(endpoint: &EndpointId, loan: &Borrowed) -> Message {
    let message = PeerMessage::Borrow {
        endpoint: endpoint.clone(),
        loan: loan.loan,
        slots: loan.slots,
    };
    (loan.from.clone(), message)
}

fn give_back(endpoint: &EndpointId, loan: &Borrowed) -> Message {
    let message = PeerMessage::Return {
        endpoint: endpoint.clone(),
        loan: loan.loan,
    };
    (loan.from.clone(), message)
}
