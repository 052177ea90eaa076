//! Life cycle of a request: queued, claiming its id, dispatched, ended.
//!
//! Each state is a type. Only the methods here move a request on, and ending one consumes it, so
//! that it gets exactly one final answer.

use std::time::Duration;

use super::claim::Claim;
use crate::core::effect::Answer;
use crate::core::effect::Effect;
use crate::core::effect::Effects;
use crate::core::effect::Reason;
use crate::core::event::RequestHead;
use crate::core::model::EndpointId;
use crate::core::model::Now;
use crate::core::model::ServiceId;
use crate::core::model::Ticket;

/// Time for which a failed attempt is repeated at another endpoint only.
const AVOID_TIME: Duration = Duration::from_millis(250);

/// Waits for an endpoint with a free slot.
#[derive(Clone, Debug)]
pub(super) struct Queued;

/// Waits for its id to be claimed.
#[derive(Clone, Debug)]
pub(super) struct Claiming;

/// Has an attempt under way.
#[derive(Clone, Debug)]
pub(super) struct Dispatched {
    /// Number of the attempt, from zero.
    pub attempt: u32,
}

/// A request that has had no final answer.
#[derive(Clone, Debug)]
pub(super) struct Request<S> {
    /// Connection that waits for the answer.
    pub ticket: Ticket,
    /// Service asked for.
    pub service: ServiceId,
    /// When the caller's patience runs out.
    pub deadline: Now,
    /// Attempts begun.
    pub attempts: u32,
    /// Where the last attempt was sent, and until when another endpoint is waited for.
    last: Option<(EndpointId, Now)>,
    /// Claim of its id.
    pub claim: Option<Claim>,
    idempotent: bool,
    may_have_run: bool,
    state: S,
}

/// A request in any state but ended.
#[derive(Clone, Debug)]
pub(super) enum Live {
    /// Waits for an endpoint.
    Queued(Request<Queued>),
    /// Waits for its claim.
    Claiming(Request<Claiming>),
    /// Has an attempt under way.
    Dispatched(Request<Dispatched>),
}

/// An ended request.
#[derive(Debug)]
pub(super) struct Ended {
    /// Claim of its id.
    pub claim: Option<Claim>,
    /// Whether an attempt may have run.
    pub may_have_run: bool,
}

impl<S> Request<S> {
    fn into_state<T>(self, state: T) -> Request<T> {
        Request {
            ticket: self.ticket,
            service: self.service,
            deadline: self.deadline,
            attempts: self.attempts,
            last: self.last,
            claim: self.claim,
            idempotent: self.idempotent,
            may_have_run: self.may_have_run,
            state,
        }
    }

    fn into_ended(self) -> Ended {
        Ended {
            claim: self.claim,
            may_have_run: self.may_have_run,
        }
    }

    /// Answers by what the attempts have proved.
    fn end(self, reason: Reason, retry_after: Option<Duration>, fx: &mut Effects) -> Ended {
        let answer = if self.may_have_run {
            Answer::Unknown { reason }
        } else {
            Answer::NotRun {
                reason,
                retry_after,
            }
        };
        fx.push(Effect::Answer {
            ticket: self.ticket,
            answer,
        });
        self.into_ended()
    }
}

impl Request<Queued> {
    /// Whether it may be dispatched again after an attempt that may have run.
    pub fn is_idempotent(&self) -> bool {
        self.idempotent
    }

    /// Takes a request from its caller.
    pub fn new(now: Now, ticket: Ticket, head: RequestHead) -> Self {
        Self {
            ticket,
            service: head.service,
            deadline: now.saturating_add(head.timeout),
            attempts: 0,
            last: None,
            claim: None,
            idempotent: head.idempotent,
            may_have_run: false,
            state: Queued,
        }
    }

    /// Endpoint whose attempt failed a short while ago.
    pub fn avoids(&self, now: Now) -> Option<&EndpointId> {
        let (endpoint, until) = self.last.as_ref()?;
        (now < *until).then_some(endpoint)
    }

    /// Begins to claim the request's id.
    pub fn claiming(self) -> Request<Claiming> {
        self.into_state(Claiming)
    }

    /// Sends an attempt to an endpoint.
    pub fn dispatch(
        mut self,
        endpoint: EndpointId,
        patience: Duration,
        keep: u32,
        fx: &mut Effects,
    ) -> Request<Dispatched> {
        let attempt = self.attempts;
        self.attempts += 1;
        self.last = Some((endpoint.clone(), Now::ZERO));
        fx.push(Effect::Dispatch {
            ticket: self.ticket,
            attempt,
            endpoint,
            timeout: patience,
            max_idle: keep,
        });
        self.into_state(Dispatched { attempt })
    }

    /// Ends the request without an answer of an endpoint.
    pub fn give_up(self, reason: Reason, retry_after: Option<Duration>, fx: &mut Effects) -> Ended {
        self.end(reason, retry_after, fx)
    }
}

impl Request<Claiming> {
    /// The id is claimed.
    pub fn claimed(mut self, claim: Claim) -> Request<Queued> {
        self.claim = Some(claim);
        self.into_state(Queued)
    }

    /// Another request claimed the id, and may have run.
    pub fn duplicate(mut self, fx: &mut Effects) -> Ended {
        self.may_have_run = true;
        self.end(Reason::DuplicateRequest, None, fx)
    }

    /// Ends the request, which was not sent anywhere.
    pub fn give_up(self, reason: Reason, retry_after: Option<Duration>, fx: &mut Effects) -> Ended {
        self.end(reason, retry_after, fx)
    }
}

impl Request<Dispatched> {
    /// Number of the attempt under way.
    pub fn attempt(&self) -> u32 {
        self.state.attempt
    }

    /// Ends the request with the whole answer of its attempt.
    pub fn deliver(mut self, fx: &mut Effects) -> Ended {
        fx.push(Effect::Answer {
            ticket: self.ticket,
            answer: Answer::Deliver {
                attempt: self.state.attempt,
            },
        });
        self.may_have_run = true;
        self.into_ended()
    }

    /// The attempt provably did not run.
    pub fn not_run(self, now: Now) -> Request<Queued> {
        self.into_queued(now)
    }

    /// The attempt may have run. An idempotent request can be tried again; any other comes back as
    /// the error and can only be ended.
    pub fn broken(mut self, now: Now) -> Result<Request<Queued>, Self> {
        self.may_have_run = true;
        if self.idempotent {
            Ok(self.into_queued(now))
        } else {
            Err(self)
        }
    }

    fn into_queued(mut self, now: Now) -> Request<Queued> {
        if let Some((_, until)) = &mut self.last {
            *until = now + AVOID_TIME;
        }
        self.into_state(Queued)
    }

    /// Ends the request while its attempt is under way, or after it broke.
    pub fn give_up(mut self, reason: Reason, fx: &mut Effects) -> Ended {
        self.may_have_run = true;
        self.end(reason, None, fx)
    }
}

impl Live {
    /// When the caller's patience runs out.
    pub fn deadline(&self) -> Now {
        match self {
            Self::Queued(req) => req.deadline,
            Self::Claiming(req) => req.deadline,
            Self::Dispatched(req) => req.deadline,
        }
    }

    /// Ends the request without an answer of an endpoint.
    pub fn give_up(self, reason: Reason, retry_after: Option<Duration>, fx: &mut Effects) -> Ended {
        match self {
            Self::Queued(req) => req.give_up(reason, retry_after, fx),
            Self::Claiming(req) => req.give_up(reason, retry_after, fx),
            Self::Dispatched(req) => req.give_up(reason, fx),
        }
    }

    /// Ends the request without any answer, as its caller went away.
    pub fn hang_up(self) -> Ended {
        match self {
            Self::Queued(req) => req.into_ended(),
            Self::Claiming(req) => req.into_ended(),
            Self::Dispatched(mut req) => {
                req.may_have_run = true;
                req.into_ended()
            }
        }
    }
}
