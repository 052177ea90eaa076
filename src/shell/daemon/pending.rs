//! Callers and peers that wait for a reply of the reducer.

use bytes::Bytes;
use futures_channel::oneshot;
use http::Request;
use http::Response;
use http_body_util::Full;
use rustc_hash::FxHashMap;

use crate::core::effect::Answer;
use crate::core::event::PeerMessage;
use crate::core::model::Ticket;

/// Reply to a caller.
#[derive(Debug)]
pub enum Reply {
    /// The complete response of an endpoint.
    Response(Response<Bytes>),
    /// An answer of the reducer.
    Answer(Answer),
}

/// A service request, kept for its attempts, and the last complete response to it.
struct PendingRequest {
    head: http::request::Parts,
    body: Bytes,
    response: Option<AttemptResponse>,
}

/// The complete response to one attempt, stored until the reducer decides whether to deliver it.
struct AttemptResponse {
    attempt: u32,
    response: Response<Bytes>,
}

/// All callers and peers that wait, by ticket.
#[derive(Default)]
pub(super) struct PendingReplies {
    callers: FxHashMap<Ticket, oneshot::Sender<Reply>>,
    requests: FxHashMap<Ticket, PendingRequest>,
    peers: FxHashMap<Ticket, oneshot::Sender<PeerMessage>>,
}

impl PendingReplies {
    /// Registers a caller and returns the receiver of its reply.
    pub(super) fn add_call(&mut self, ticket: Ticket) -> oneshot::Receiver<Reply> {
        let (tx, rx) = oneshot::channel();
        self.callers.insert(ticket, tx);
        rx
    }

    /// Registers the caller of a service request, which is kept for its attempts, and returns the
    /// receiver of the reply.
    pub(super) fn add_request(
        &mut self,
        ticket: Ticket,
        head: http::request::Parts,
        body: Bytes,
    ) -> oneshot::Receiver<Reply> {
        self.requests.insert(
            ticket,
            PendingRequest {
                head,
                body,
                response: None,
            },
        );
        self.add_call(ticket)
    }

    /// Registers a peer that sent a message and returns the receiver of the reply.
    pub(super) fn add_peer_message(&mut self, ticket: Ticket) -> oneshot::Receiver<PeerMessage> {
        let (tx, rx) = oneshot::channel();
        self.peers.insert(ticket, tx);
        rx
    }

    /// Returns a copy of a request for an endpoint; `None` if its caller no longer waits.
    pub(super) fn endpoint_request(&self, ticket: Ticket) -> Option<Request<Full<Bytes>>> {
        let pending = self.requests.get(&ticket)?;
        let body = Full::new(pending.body.clone());
        Some(Request::from_parts(pending.head.clone(), body))
    }

    /// Stores a complete response until the reducer decides whether to deliver it.
    pub(super) fn store_response(
        &mut self,
        ticket: Ticket,
        attempt: u32,
        response: Response<Bytes>,
    ) {
        if let Some(pending) = self.requests.get_mut(&ticket) {
            pending.response = Some(AttemptResponse { attempt, response });
        }
    }

    /// Answers a caller, with the stored response if the reducer chose to deliver it.
    pub(super) fn answer(&mut self, ticket: Ticket, answer: Answer) {
        let Some(tx) = self.callers.remove(&ticket) else {
            return;
        };
        let stored = self
            .requests
            .remove(&ticket)
            .and_then(|pending| pending.response);
        let reply = match (answer, stored) {
            (Answer::Deliver { attempt }, Some(stored)) if stored.attempt == attempt => {
                Reply::Response(stored.response)
            }
            (answer, _) => Reply::Answer(answer),
        };
        let _ = tx.send(reply);
    }

    /// Replies to a peer.
    pub(super) fn reply_to_peer(&mut self, ticket: Ticket, message: PeerMessage) {
        if let Some(tx) = self.peers.remove(&ticket) {
            let _ = tx.send(message);
        }
    }

    /// Removes a caller; returns whether it had not been answered.
    pub(super) fn remove(&mut self, ticket: Ticket) -> bool {
        self.requests.remove(&ticket);
        self.callers.remove(&ticket).is_some()
    }
}
