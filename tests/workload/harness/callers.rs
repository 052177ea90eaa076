//! Callers of the daemons, and calls that daemons relay to each other.

use ragwortstall::core::model::Ticket;
use ragwortstall::core::workload::Event;
use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::event::Action;
use ragwortstall::core::workload::event::Answer;
use ragwortstall::core::workload::event::Call;
use ragwortstall::core::workload::event::RelayError;
use ragwortstall::core::workload::event::RelayedReply;
use ragwortstall::core::workload::submission::Submission;

use super::Harness;
use crate::catalog::BATCH_PATH;
use crate::catalog::KEY;

/// Call that a daemon has passed on to another one.
pub(super) struct RelayedCall {
    daemon: usize,
    lifetime: u64,
    ticket: Ticket,
    /// Daemon that handles the call.
    handler: usize,
}

impl Harness {
    /// Submits a job through a daemon and returns the reply.
    pub(crate) fn submit(&mut self, daemon: usize, id: &str, job: Submission) -> Reply {
        self.submit_as(KEY, daemon, id, job)
    }

    /// Submits a job with an API key.
    pub(crate) fn submit_as(
        &mut self,
        key: &str,
        daemon: usize,
        id: &str,
        job: Submission,
    ) -> Reply {
        self.submissions.insert(id.into(), job.clone());
        self.call_as(key, daemon, id, Action::Submit(Ok(job)))
    }

    /// Submits a job to the batch queue and returns the reply.
    pub(crate) fn submit_batch(&mut self, daemon: usize, id: &str, job: Submission) -> Reply {
        self.submissions.insert(id.into(), job.clone());
        let path = format!("{BATCH_PATH}{id}");
        self.call_path(KEY, daemon, &path, Action::Submit(Ok(job)))
    }

    /// Returns the state of a job as reported by a daemon.
    pub(crate) fn state(&mut self, daemon: usize, id: &str) -> Option<JobState> {
        match self.call(daemon, id, Action::Get) {
            Reply::State(state) => Some(state),
            _ => None,
        }
    }

    /// Sends a call and returns its reply; panics if there is none within three seconds.
    pub(crate) fn call(&mut self, daemon: usize, id: &str, action: Action) -> Reply {
        self.call_as(KEY, daemon, id, action)
    }

    /// Sends a call with an API key and returns its reply.
    pub(crate) fn call_as(&mut self, key: &str, daemon: usize, id: &str, action: Action) -> Reply {
        self.call_path(key, daemon, &format!("/jobs/{id}"), action)
    }

    fn call_path(&mut self, key: &str, daemon: usize, path: &str, action: Action) -> Reply {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let call = Call {
            host: "labels.example".into(),
            path: path.into(),
            key: Some(key.into()),
            action,
            relayed_with: None,
        };
        self.apply(daemon, Event::Call { ticket, call });
        for _ in 0..3_000 {
            if let Some(reply) = self.replies.remove(&ticket) {
                return reply;
            }
            self.run_for(1);
        }
        panic!("no reply to a call of {path} within 3 s");
    }

    /// Sends a submission without waiting for its reply, which the ticket identifies.
    pub(crate) fn send_submission(&mut self, daemon: usize, id: &str, job: Submission) -> Ticket {
        self.send_to(daemon, &format!("/jobs/{id}"), id, job)
    }

    /// Returns the reply to a call, if there is one yet.
    pub(crate) fn reply(&mut self, ticket: Ticket) -> Option<Reply> {
        self.replies.remove(&ticket)
    }

    /// Sends a submission to the batch queue without waiting for its reply.
    pub(crate) fn send_batch(&mut self, daemon: usize, id: &str, job: Submission) {
        self.send_to(daemon, &format!("{BATCH_PATH}{id}"), id, job);
    }

    fn send_to(&mut self, daemon: usize, path: &str, id: &str, job: Submission) -> Ticket {
        self.submissions.insert(id.into(), job.clone());
        self.last_ticket += 1;
        let call = Call {
            host: "labels.example".into(),
            path: path.into(),
            key: Some(KEY.into()),
            action: Action::Submit(Ok(job)),
            relayed_with: None,
        };
        let ticket = self.last_ticket;
        self.apply(daemon, Event::Call { ticket, call });
        ticket
    }

    /// Returns the number of replies that no caller of the harness has waited for.
    pub(crate) fn reply_count(&self) -> usize {
        self.replies.len()
    }

    /// Keeps the reply to a caller, or returns that to a relayed call to its daemon.
    pub(super) fn handle_reply(&mut self, ticket: Ticket, reply: Reply) {
        let Some(call) = self.relayed.remove(&ticket) else {
            self.replies.insert(ticket, reply);
            return;
        };
        let result = if self.lost_relay_replies > 0 {
            self.lost_relay_replies -= 1;
            Err(RelayError::NoReply("timed out".into()))
        } else {
            let config = self.daemons[call.handler].state.config_version();
            Ok(RelayedReply { reply, config })
        };
        let answer = Answer::Relayed(call.ticket, result);
        self.answer(call.daemon, call.lifetime, answer);
    }

    /// Passes a call on to the daemon at an address.
    pub(super) fn relay(
        &mut self,
        daemon: usize,
        lifetime: u64,
        ticket: Ticket,
        call: Call,
        via: &str,
    ) {
        self.relays += 1;
        let target = self.daemons.iter().position(|other| &*other.name == via);
        let target = target.filter(|&target| self.daemons[target].up);
        let Some(target) = target else {
            let refused = Err(RelayError::NotSent("connection refused".into()));
            return self.answer(daemon, lifetime, Answer::Relayed(ticket, refused));
        };
        self.last_ticket += 1;
        let own = self.last_ticket;
        let relayed = RelayedCall {
            daemon,
            lifetime,
            ticket,
            handler: target,
        };
        self.relayed.insert(own, relayed);
        self.apply(target, Event::Call { ticket: own, call });
    }
}
