//! Life cycle of a request: queued, claiming its id, dispatched, ended.
//!
//! Each state is a type. Only the methods in this module change the state of a request, and ending
//! a request consumes it, so that it gets exactly one final answer.

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

/// Time after a failed attempt during which only other endpoints are used for the retry.
const AVOID_DURATION: Duration = Duration::from_millis(250);

/// State of a request that waits for an endpoint with a free slot.
#[derive(Clone, Debug)]
pub(super) struct Queued;

/// State of a request whose id is being claimed.
#[derive(Clone, Debug)]
pub(super) struct Claiming;

/// State of a request with an attempt in flight.
#[derive(Clone, Debug)]
pub(super) struct Dispatched {
    /// Number of the attempt, counted from zero.
    pub attempt: u32,
}

/// A request without a final answer.
#[derive(Clone, Debug)]
pub(super) struct Request<S> {
    /// Identifies the caller's connection.
    pub ticket: Ticket,
    /// Requested service.
    pub service: ServiceId,
    /// Time at which the caller's timeout expires.
    pub deadline: Now,
    /// Number of attempts sent.
    pub attempts: u32,
    /// Endpoint of the last attempt, and the time until which the endpoint is avoided.
    last_endpoint: Option<(EndpointId, Now)>,
    /// Claim of the request's id, if one is needed.
    pub claim: Option<Claim>,
    idempotent: bool,
    may_have_run: bool,
    state: S,
}

/// A request in any state before its end.
#[derive(Clone, Debug)]
pub(super) enum ActiveRequest {
    /// Waits for an endpoint with a free slot.
    Queued(Request<Queued>),
    /// Its id is being claimed.
    Claiming(Request<Claiming>),
    /// An attempt is in flight.
    Dispatched(Request<Dispatched>),
}

/// An ended request.
#[derive(Debug)]
pub(super) struct EndedRequest {
    /// Claim of the request's id, if it has one.
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
            last_endpoint: self.last_endpoint,
            claim: self.claim,
            idempotent: self.idempotent,
            may_have_run: self.may_have_run,
            state,
        }
    }

    fn into_ended(self) -> EndedRequest {
        EndedRequest {
            claim: self.claim,
            may_have_run: self.may_have_run,
        }
    }

    /// Answers that the request did not run, or that this is unknown if an attempt may have run.
    fn fail_with(
        self,
        reason: Reason,
        retry_after: Option<Duration>,
        fx: &mut Effects,
    ) -> EndedRequest {
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
    /// Returns whether the request may be retried after an attempt that may have run.
    pub fn is_idempotent(&self) -> bool {
        self.idempotent
    }

    /// Returns a request that has just been received.
    pub fn new(now: Now, ticket: Ticket, head: RequestHead) -> Self {
        Self {
            ticket,
            service: head.service,
            deadline: now.saturating_add(head.timeout),
            attempts: 0,
            last_endpoint: None,
            claim: None,
            idempotent: head.idempotent,
            may_have_run: false,
            state: Queued,
        }
    }

    /// Returns the endpoint of an attempt that failed recently, which a retry must avoid.
    pub fn avoided_endpoint(&self, now: Now) -> Option<&EndpointId> {
        let (endpoint, until) = self.last_endpoint.as_ref()?;
        (now < *until).then_some(endpoint)
    }

    /// Moves the request to the state in which its id is being claimed.
    pub fn start_claiming(self) -> Request<Claiming> {
        self.into_state(Claiming)
    }

    /// Sends an attempt to an endpoint.
    pub fn dispatch(
        mut self,
        endpoint: EndpointId,
        timeout: Duration,
        max_idle: u32,
        fx: &mut Effects,
    ) -> Request<Dispatched> {
        let attempt = self.attempts;
        self.attempts += 1;
        self.last_endpoint = Some((endpoint.clone(), Now::ZERO));
        fx.push(Effect::Dispatch {
            ticket: self.ticket,
            attempt,
            endpoint,
            timeout,
            max_idle,
        });
        self.into_state(Dispatched { attempt })
    }

    /// Ends the request without a response from an endpoint.
    pub fn fail(
        self,
        reason: Reason,
        retry_after: Option<Duration>,
        fx: &mut Effects,
    ) -> EndedRequest {
        self.fail_with(reason, retry_after, fx)
    }
}

impl Request<Claiming> {
    /// Queues the request after its id was claimed.
    pub fn with_claim(mut self, claim: Claim) -> Request<Queued> {
        self.claim = Some(claim);
        self.into_state(Queued)
    }

    /// Ends the request because another request claimed its id and may have run.
    pub fn reject_duplicate(mut self, fx: &mut Effects) -> EndedRequest {
        self.may_have_run = true;
        self.fail_with(Reason::DuplicateRequest, None, fx)
    }

    /// Ends the request, which was not sent to any endpoint.
    pub fn fail(
        self,
        reason: Reason,
        retry_after: Option<Duration>,
        fx: &mut Effects,
    ) -> EndedRequest {
        self.fail_with(reason, retry_after, fx)
    }
}

impl Request<Dispatched> {
    /// Returns the number of the attempt in flight, counted from zero.
    pub fn attempt_number(&self) -> u32 {
        self.state.attempt
    }

    /// Ends the request with the complete response to its attempt.
    pub fn deliver(mut self, fx: &mut Effects) -> EndedRequest {
        fx.push(Effect::Answer {
            ticket: self.ticket,
            answer: Answer::Deliver {
                attempt: self.state.attempt,
            },
        });
        self.may_have_run = true;
        self.into_ended()
    }

    /// Queues the request again after an attempt that provably did not run.
    pub fn requeue_not_run(self, now: Now) -> Request<Queued> {
        self.into_queued(now)
    }

    /// Queues an idempotent request again after an attempt that may have run. Any other request is
    /// returned as the error and can only be ended.
    pub fn requeue_incomplete(mut self, now: Now) -> Result<Request<Queued>, Self> {
        self.may_have_run = true;
        if self.idempotent {
            Ok(self.into_queued(now))
        } else {
            Err(self)
        }
    }

    fn into_queued(mut self, now: Now) -> Request<Queued> {
        if let Some((_, until)) = &mut self.last_endpoint {
            *until = now + AVOID_DURATION;
        }
        self.into_state(Queued)
    }

    /// Ends the request while its attempt is in flight, or after the attempt got no complete
    /// response.
    pub fn fail(mut self, reason: Reason, fx: &mut Effects) -> EndedRequest {
        self.may_have_run = true;
        self.fail_with(reason, None, fx)
    }
}

impl ActiveRequest {
    /// Returns the time at which the caller's timeout expires.
    pub fn deadline(&self) -> Now {
        match self {
            Self::Queued(req) => req.deadline,
            Self::Claiming(req) => req.deadline,
            Self::Dispatched(req) => req.deadline,
        }
    }

    /// Ends the request without a response from an endpoint.
    pub fn fail(
        self,
        reason: Reason,
        retry_after: Option<Duration>,
        fx: &mut Effects,
    ) -> EndedRequest {
        match self {
            Self::Queued(req) => req.fail(reason, retry_after, fx),
            Self::Claiming(req) => req.fail(reason, retry_after, fx),
            Self::Dispatched(req) => req.fail(reason, fx),
        }
    }

    /// Ends the request without an answer, since its caller disconnected.
    pub fn disconnect(self) -> EndedRequest {
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
