//! Handling of calls: checks authorization, then passes the call to the component that serves it.

mod admit;
mod describe;

use serde::Serialize;

use self::admit::admit_job;
use self::admit::authorize_job_owner;
use self::admit::authorize_job_read;
use self::admit::authorize_request;
use self::describe::describe;
use super::effect::Answer;
use super::effect::Effect;
use super::effect::Effects;
use super::effect::Reason;
use super::event::Call;
use super::event::RequestHead;
use super::model::Now;
use super::model::Rev;
use super::model::Row;
use super::model::Ticket;
use super::record;
use super::record::PrepareError;
use super::state::State;

/// Suggested retry delay after a rejection with a transient cause.
const RETRY_AFTER: std::time::Duration = std::time::Duration::from_secs(1);

/// Handles one call.
pub(super) fn handle_call(
    state: &mut State,
    now: Now,
    ticket: Ticket,
    call: Call,
    fx: &mut Effects,
) {
    match call {
        Call::Request(head) => forward_request(state, now, ticket, head, fx),
        Call::Submit {
            key,
            queue,
            mut spec,
        } => match admit_job(state, now, key.as_deref(), queue.as_deref(), &mut spec) {
            Ok(zone) => state.jobs.submit(now, ticket, spec, zone, fx),
            Err(reason) => reject(ticket, reason, fx),
        },
        Call::Cancel { key, job } => match authorize_job_owner(state, now, key.as_deref(), &job) {
            Ok(()) => state.jobs.cancel(now, ticket, &job, fx),
            Err(reason) => reject(ticket, reason, fx),
        },
        Call::Status { key, job } => match authorize_job_read(state, now, key.as_deref(), &job) {
            Ok(()) => state.jobs.status(now, ticket, &job, fx),
            Err(reason) => reject(ticket, reason, fx),
        },
        Call::WriteRecord { key, expect, value } => {
            write_record(state, now, ticket, &key, expect, value.as_deref(), fx);
        }
        Call::ReadRecord { key } => fx.push(Effect::Answer {
            ticket,
            answer: read_record(state, &key),
        }),
        Call::Describe => {
            let answer = json(&describe(state, now));
            fx.push(Effect::Answer { ticket, answer });
        }
        Call::Ready => fx.push(Effect::Answer {
            ticket,
            answer: readiness(state),
        }),
    }
}

fn reject(ticket: Ticket, reason: Reason, fx: &mut Effects) {
    let transient = matches!(
        reason,
        Reason::KeyUnverifiable
            | Reason::PlatformUnavailable
            | Reason::Overloaded
            | Reason::Draining
            | Reason::PeersUnaware
    );
    let retry_after = transient.then_some(RETRY_AFTER);
    fx.push(Effect::Answer {
        ticket,
        answer: Answer::NotRun {
            reason,
            retry_after,
        },
    });
}

fn forward_request(
    state: &mut State,
    now: Now,
    ticket: Ticket,
    head: RequestHead,
    fx: &mut Effects,
) {
    match authorize_request(state, now, &head) {
        Ok(team) => state
            .router
            .handle_request(now, ticket, head, team.as_deref(), fx),
        Err(reason) => reject(ticket, reason, fx),
    }
}

/// Starts a record write. A write that changes or withdraws a key is first proposed to all peers,
/// so that none of them keeps accepting the key. It is rejected unless every peer is certain to
/// list this daemon.
fn write_record(
    state: &mut State,
    now: Now,
    ticket: Ticket,
    key: &str,
    expect: Rev,
    value: Option<&str>,
    fx: &mut Effects,
) {
    let write = match record::prepare(&state.records, key, expect, value) {
        Ok(write) => write,
        Err(err) => return reject_write(ticket, err, fx),
    };
    let before = state.records.row(key).filter(|row| row.value.is_some());
    let before = before.filter(|_| key.starts_with("key/")).cloned();
    if before.is_some() && !state.is_known_to_peers() {
        return reject(ticket, Reason::PeersUnaware, fx);
    }
    if before.is_some() {
        let row = Row {
            key: write.key.clone(),
            version: write.expect,
            value: write.value.clone(),
        };
        let me = &state.options.me;
        state.keys.record_proposal(now, me, &[row], &state.records);
    }
    state
        .writes
        .begin(now, ticket, write, before, &state.peers, fx);
}

fn reject_write(ticket: Ticket, err: PrepareError, fx: &mut Effects) {
    let answer = match err {
        PrepareError::Invalid(message) => Answer::Invalid { message },
        PrepareError::Conflict(row) => Answer::Conflict {
            version: row.version,
            value: row.value,
        },
        PrepareError::StaleView => return reject(ticket, Reason::PlatformUnavailable, fx),
    };
    fx.push(Effect::Answer { ticket, answer });
}

fn read_record(state: &State, key: &str) -> Answer {
    if key.ends_with('/') {
        return json(&state.records.space(key));
    }
    match state.records.row(key) {
        Some(row) => json(row),
        None => Answer::NotFound,
    }
}

fn readiness(state: &State) -> Answer {
    if state.draining.is_some() {
        let reason = Reason::Draining;
        return Answer::NotRun {
            reason,
            retry_after: None,
        };
    }
    Answer::Json("{\"ready\":true}".into())
}

fn json<T: Serialize>(value: &T) -> Answer {
    match serde_json::to_string(value) {
        Ok(text) => Answer::Json(text.into()),
        Err(_) => Answer::NotFound,
    }
}
