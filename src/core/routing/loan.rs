//! Loans of endpoint slots between daemons.

use std::time::Duration;

use rand::Rng;

use super::Router;
use super::credit::LoanFromPeer;
use super::credit::LoanRequest;
use super::service::Endpoint;
use crate::core::effect::Effect;
use crate::core::effect::Effects;
use crate::core::event::PeerMessage;
use crate::core::model::DaemonId;
use crate::core::model::EndpointId;
use crate::core::model::LoanId;
use crate::core::model::Now;

/// Maximum number of slots requested in one loan.
const MAX_LOAN_SLOTS: usize = 4;

/// Expected queue wait above which slots of other zones' endpoints are requested; a shorter wait
/// costs less than the round trip to another zone.
const CROSS_ZONE_WAIT: Duration = Duration::from_millis(6);

/// Delay before slots of the same endpoint are requested again after a refusal.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Delay before slots of the same endpoint are requested again after a request got no reply.
const UNANSWERED_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time after which an unused loan is returned.
const IDLE_LOAN_TIMEOUT: Duration = Duration::from_millis(100);

/// A message about a loan, and the daemon to send it to.
type Message = (DaemonId, PeerMessage);

impl Router {
    /// Handles a `Borrow` or `Return` message and returns the reply.
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
                    endpoint.credits.end_loan(from, *loan);
                }
                PeerMessage::Ack
            }
            _ => PeerMessage::Ack,
        }
    }

    /// Handles the reply to a `Borrow` message; `None` if no reply arrived. Replies to `Return` are
    /// ignored.
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
                        endpoint
                            .credits
                            .handle_grant(now, *loan, slots, sent + lease);
                        service.record_loan_granted();
                    }
                }
                self.dispatch_all_queued(now, fx);
            }
            Some(_) => self.handle_refusal(now, endpoint, *loan, REFUSED_RETRY_DELAY),
            None => self.handle_refusal(now, endpoint, *loan, UNANSWERED_RETRY_DELAY),
        }
    }

    fn handle_refusal(&mut self, now: Now, endpoint: &str, loan: LoanId, delay: Duration) {
        for service in self.services.values_mut() {
            if let Some(endpoint) = service.endpoints.get_mut(endpoint) {
                endpoint.credits.handle_refusal(loan, now + delay);
                service.record_loan_refused(now);
            }
        }
    }

    /// Lends slots of an endpoint or renews a loan, and returns the number of slots lent. No new
    /// loan is granted while requests are queued for the service here, or if the endpoint is not
    /// live.
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

    /// Requests a loan for the queued requests of a service. Slots of endpoints in this zone are
    /// preferred; those of other zones are requested once the expected wait exceeds the cost of
    /// reaching another zone or is unknown, or if a request must avoid the endpoint `avoid`.
    pub(super) fn request_loans(
        &mut self,
        now: Now,
        id: &str,
        avoid: Option<&str>,
        fx: &mut Effects,
    ) {
        let Some(service) = self.services.get(id) else {
            return;
        };
        let requests = service
            .endpoints
            .values()
            .filter_map(|e| e.credits.request.as_ref());
        let requested: usize = requests.clone().map(|request| request.slots as usize).sum();
        let need = service
            .queue
            .len()
            .saturating_sub(requested)
            .min(MAX_LOAN_SLOTS);
        if need == 0 || !service.may_request_loan(now, requests.count()) {
            return;
        }
        let wait = service.estimate(now).wait_time(service.queue.len());
        let same_zone = self.choose_lender(now, id, true, avoid);
        let allow_cross_zone = avoid.is_some() || wait.is_none_or(|wait| wait > CROSS_ZONE_WAIT);
        let Some((endpoint, from)) = same_zone.or_else(|| {
            if allow_cross_zone {
                self.choose_lender(now, id, false, avoid)
            } else {
                None
            }
        }) else {
            return;
        };
        self.request_loan(now, endpoint, from, u32::try_from(need).unwrap_or(1), fx);
    }

    /// Chooses at random an endpoint, in this zone if `same_zone` is true and in another zone
    /// otherwise, and a daemon to borrow its slots from.
    fn choose_lender(
        &mut self,
        now: Now,
        service: &str,
        same_zone: bool,
        avoid: Option<&str>,
    ) -> Option<(EndpointId, DaemonId)> {
        let service = self.services.get(service)?;
        let entry_vms = &self.entry_vms;
        let me = &*self.me;
        let candidates: Vec<_> = service
            .endpoints
            .iter()
            .filter(|(id, endpoint)| (endpoint.zone == self.zone) == same_zone && avoid != Some(id))
            .filter(|(_, endpoint)| may_request_loan(endpoint, now))
            .filter(|(_, endpoint)| entry_vms.lenders(me, &endpoint.zone).next().is_some())
            .collect();
        if candidates.is_empty() {
            return None;
        }
        let (id, endpoint) = candidates[self.rng.random_range(0..candidates.len())];
        let lenders = entry_vms.lenders(me, &endpoint.zone);
        let index = self.rng.random_range(0..lenders.clone().count());
        let lender = lenders.into_iter().nth(index)?;
        Some((id.clone(), lender.clone()))
    }

    fn request_loan(
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
            endpoint.credits.request = Some(LoanRequest {
                loan,
                from: from.clone(),
                requested_at: now,
                slots,
            });
        }
        let message = PeerMessage::Borrow {
            endpoint,
            loan,
            slots,
        };
        self.send_messages(vec![(from, message)], fx);
    }

    /// Renews loans that are in use, returns idle ones, and drops unanswered loan requests.
    pub(super) fn update_loans(&mut self, now: Now, fx: &mut Effects) {
        let loan_duration = self.options.loan_duration;
        let mut messages = Vec::new();
        for service in self.services.values_mut() {
            for (id, endpoint) in &mut service.endpoints {
                endpoint.credits.expire_request(now, loan_duration);
                endpoint.credits.borrowed.retain_mut(|loan| {
                    if is_loan_idle(loan, now) {
                        messages.push(return_message(id, loan));
                        return false;
                    }
                    if is_renewal_due(loan, now, loan_duration) {
                        loan.renewal_requested_at = now;
                        messages.push(renewal_message(id, loan));
                    }
                    true
                });
            }
        }
        self.send_messages(messages, fx);
    }

    fn send_messages(&self, messages: Vec<Message>, fx: &mut Effects) {
        for (to, message) in messages {
            if let Some(address) = self.entry_vms.address(&to) {
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

fn may_request_loan(endpoint: &Endpoint, now: Now) -> bool {
    endpoint.is_available(now)
        && endpoint.credits.request.is_none()
        && now >= endpoint.credits.next_request_at
}

fn is_loan_idle(loan: &LoanFromPeer, now: Now) -> bool {
    loan.outstanding == 0 && now.saturating_sub(loan.last_used_at) >= IDLE_LOAN_TIMEOUT
}

fn is_renewal_due(loan: &LoanFromPeer, now: Now, loan_duration: Duration) -> bool {
    let remaining = loan.until.saturating_sub(now);
    let since_request = now.saturating_sub(loan.renewal_requested_at);
    remaining < loan_duration / 2 && since_request >= loan_duration / 4
}

fn renewal_message(endpoint: &EndpointId, loan: &LoanFromPeer) -> Message {
    let message = PeerMessage::Borrow {
        endpoint: endpoint.clone(),
        loan: loan.loan,
        slots: loan.slots,
    };
    (loan.from.clone(), message)
}

fn return_message(endpoint: &EndpointId, loan: &LoanFromPeer) -> Message {
    let message = PeerMessage::Return {
        endpoint: endpoint.clone(),
        loan: loan.loan,
    };
    (loan.from.clone(), message)
}
