//! Dispatches events to the components of the reducer.

use super::calls;
use super::effect::Effect;
use super::effect::Effects;
use super::event::Event;
use super::event::Feed;
use super::event::Heartbeat;
use super::event::PeerMessage;
use super::event::PlatformEvent;
use super::event::TxnOutcome;
use super::model::Member;
use super::model::Now;
use super::model::Rev;
use super::model::Row;
use super::model::Ticket;
use super::model::Token;
use super::state::State;
use super::timeline::TimelineEvent;

/// Applies one event to the state and returns the resulting effects.
pub fn step(state: &mut State, now: Now, event: Event) -> Effects {
    let mut fx = Effects::new();
    match event {
        Event::Tick => tick(state, now, &mut fx),
        Event::Call { ticket, call } => calls::handle_call(state, now, ticket, call, &mut fx),
        Event::CallerDisconnected { ticket } => {
            state.router.handle_disconnect(now, ticket, &mut fx);
        }
        Event::Platform(event) => handle_platform_event(state, now, event, &mut fx),
        Event::VmReplied { vm, sent, answer } => {
            state
                .placer
                .handle_sync_answer(now, &vm, sent, answer, &mut state.jobs, &mut fx);
        }
        Event::Peer {
            from,
            ticket,
            message,
        } => {
            handle_peer_message(state, now, &from, ticket, message, &mut fx);
        }
        Event::PeerReplied {
            to,
            sent,
            message,
            reply,
        } => {
            handle_peer_reply(state, now, &to, sent, &message, reply, &mut fx);
        }
        Event::Attempt {
            ticket,
            attempt,
            outcome,
        } => {
            state
                .router
                .handle_attempt_end(now, ticket, attempt, outcome, &mut fx);
        }
        Event::Drain => begin_drain(state, now, &mut fx),
    }
    fx
}

fn tick(state: &mut State, now: Now, fx: &mut Effects) {
    let options = &state.options;
    state
        .polls
        .tick(now, options.poll_every, options.members_every, fx);
    let beat = heartbeat(state, now);
    let (interval, timeout) = (state.options.heartbeat_every, state.options.peer_timeout);
    for id in state.peers.tick(now, interval, timeout, &beat, fx) {
        state.router.set_peer_reachable(now, &id, false);
    }
    if state.placer.is_due(now) {
        tick_placer(state, now, fx);
    }
    let changes = state.jobs.tick(now, fx);
    state
        .placer
        .apply_job_changes(now, changes, &mut state.jobs);
    let unchanged = state.writes.tick(now, &state.peers, fx);
    end_proposals(state, now, unchanged, fx);
    state.router.tick(now, fx);
    finish_drain(state, now, fx);
}

fn tick_placer(state: &mut State, now: Now, fx: &mut Effects) {
    let candidate = is_candidate(state);
    state
        .placer
        .set_candidate(now, candidate, &mut state.jobs, fx);
    let timeout = state.options.zone_timeout;
    state
        .placer
        .update_services(now, &state.records, &state.peers, timeout);
    state.placer.tick(now, &state.records, &mut state.jobs, fx);
}

/// Returns whether this daemon should seek or keep the placer role.
///
/// A daemon that is shutting down is no candidate, and a daemon that is the placer keeps the role.
/// Otherwise, the candidate is the first daemon of the zone, by name, among those that are
/// reachable and not shutting down, unless the zone already has a reachable placer.
fn is_candidate(state: &State) -> bool {
    if state.draining.is_some() {
        return false;
    }
    let zone = &state.options.zone;
    if state.peers.placer_of(zone).is_some() {
        return state.placer.is_active();
    }
    let is_eligible = |beat: &Heartbeat| beat.zone == *zone && !beat.draining;
    state.placer.is_active()
        || !state.peers.iter().any(|(id, peer)| {
            *id < state.options.me
                && peer.reachable
                && peer.heartbeat.as_ref().is_some_and(is_eligible)
        })
}

fn heartbeat(state: &State, now: Now) -> Heartbeat {
    let has_pending_writes = state.writes.has_pending();
    Heartbeat {
        zone: state.options.zone.clone(),
        placer: state.placer.is_active().then(|| state.placer.zone().into()),
        rev: state.records.rev(),
        table_age: state.keys.age_for_peers(now, has_pending_writes),
        has_pending_writes: has_pending_writes || !state.keys.sees_earlier_writes(),
        draining: state.draining.is_some(),
        free_cpu_milli: state.placer.free().cpu_milli,
        digest: state.records.digest(),
        table_reachable: !state.polls.is_unreachable(),
    }
}

fn handle_platform_event(state: &mut State, now: Now, event: PlatformEvent, fx: &mut Effects) {
    match event {
        PlatformEvent::Changes {
            feed,
            sent,
            rows,
            rev,
        } => {
            state.polls.record_success(feed, sent, rev, fx);
            apply_changes(state, now, feed, sent, &rows, rev, fx);
        }
        PlatformEvent::Members { sent, members } => {
            state.polls.record_members_success();
            set_members(state, now, sent, &members, fx);
        }
        PlatformEvent::PollFailed { feed } => state.polls.record_failure(feed, fx),
        PlatformEvent::Txn { token, outcome } => {
            handle_txn_outcome(state, now, token, &outcome, fx);
        }
    }
}

fn apply_changes(
    state: &mut State,
    now: Now,
    feed: Feed,
    sent: Now,
    rows: &[Row],
    rev: Rev,
    fx: &mut Effects,
) {
    match feed {
        Feed::Records => {
            apply_records(state, rows, fx);
            if rev >= state.records.rev() {
                state.records.advance_rev(rev);
                state.keys.record_table_read(sent);
            }
        }
        Feed::Work => {
            state.jobs.record_table_read(sent);
            apply_work(state, now, rows);
            state.placer.handle_work_read(now, sent, &mut state.jobs);
        }
    }
}

fn apply_records(state: &mut State, rows: &[Row], fx: &mut Effects) {
    for row in state.records.apply(rows) {
        fx.push(Effect::Timeline(TimelineEvent::RecordChanged {
            key: row.key,
            version: row.version,
        }));
    }
}

fn apply_work(state: &mut State, now: Now, rows: &[Row]) {
    state.placer.escrow().apply(rows);
    let changes = state.jobs.apply(now, rows);
    state
        .placer
        .apply_job_changes(now, changes, &mut state.jobs);
}

fn set_members(state: &mut State, now: Now, sent: Now, members: &[Member], fx: &mut Effects) {
    state.members = members
        .iter()
        .map(|member| (member.id.clone(), member.clone()))
        .collect();
    state.peers.set_members(members);
    let is_member = state.members.contains_key(&state.options.me);
    state
        .keys
        .set_peers(now, sent, is_member, &state.peers.ids());
    state.placer.set_members(now, members, &mut state.jobs, fx);
    state.router.set_members(now, members, fx);
}

fn handle_txn_outcome(
    state: &mut State,
    now: Now,
    token: Token,
    outcome: &TxnOutcome,
    fx: &mut Effects,
) {
    if let Some(result) = state
        .writes
        .handle_txn_outcome(now, token, outcome, &state.peers, fx)
    {
        apply_records(state, &result.rows, fx);
        if !result.rows.is_empty() {
            state.peers.broadcast(&PeerMessage::Rows(result.rows), fx);
        }
        end_proposals(state, now, result.unchanged, fx);
    } else if let Some(changes) = state.jobs.handle_txn_outcome(now, token, outcome, fx) {
        state
            .placer
            .apply_job_changes(now, changes, &mut state.jobs);
        notify_placers(state, fx);
    } else if !state.placer.handle_txn_outcome(token, outcome, fx) {
        state.router.handle_txn_outcome(now, token, outcome, fx);
    }
}

/// Ends the proposals for rows that keep their values, here and on all peers.
fn end_proposals(state: &mut State, now: Now, unchanged: Vec<Row>, fx: &mut Effects) {
    if unchanged.is_empty() {
        return;
    }
    let me = &state.options.me;
    state
        .keys
        .record_proposal(now, me, &unchanged, &state.records);
    state.peers.broadcast(&PeerMessage::Proposal(unchanged), fx);
}

/// Sends the rows of newly accepted jobs to the placers of their zones.
fn notify_placers(state: &mut State, fx: &mut Effects) {
    for (zone, row) in state.jobs.take_committed_rows() {
        if let Some((placer, _)) = state.peers.placer_of(&zone) {
            let placer = placer.clone();
            state.peers.send(&placer, PeerMessage::Job(row), fx);
        }
    }
}

fn handle_peer_message(
    state: &mut State,
    now: Now,
    from: &str,
    ticket: Ticket,
    message: PeerMessage,
    fx: &mut Effects,
) {
    let reply = match message {
        PeerMessage::Heartbeat(beat) => {
            state.peers.record_heartbeat_request(from);
            record_heartbeat(state, now, now, from, beat, fx);
            PeerMessage::Heartbeat(heartbeat(state, now))
        }
        PeerMessage::Rows(rows) => {
            apply_records(state, &rows, fx);
            PeerMessage::Ack
        }
        PeerMessage::Proposal(rows) => {
            state.keys.record_proposal(now, from, &rows, &state.records);
            PeerMessage::Ack
        }
        PeerMessage::PullRows { after } => PeerMessage::PulledRows {
            rows: state.records.rows_after(after),
            digest: state.records.digest(),
        },
        PeerMessage::Job(row) => {
            apply_work(state, now, std::slice::from_ref(&row));
            PeerMessage::Ack
        }
        message @ (PeerMessage::Borrow { .. } | PeerMessage::Return { .. }) => {
            state.router.handle_peer_request(now, from, &message)
        }
        PeerMessage::Lent { .. } | PeerMessage::PulledRows { .. } | PeerMessage::Ack => {
            PeerMessage::Ack
        }
    };
    fx.push(Effect::PeerReply {
        ticket,
        message: reply,
    });
}

fn handle_peer_reply(
    state: &mut State,
    now: Now,
    to: &str,
    sent: Now,
    message: &PeerMessage,
    reply: Option<PeerMessage>,
    fx: &mut Effects,
) {
    match (message, reply) {
        (PeerMessage::Heartbeat(_), Some(PeerMessage::Heartbeat(beat))) => {
            state.keys.record_heartbeat(sent, to, &beat, &state.records);
            pull_rows(state, now, to, &beat, fx);
            record_heartbeat(state, now, sent, to, beat, fx);
        }
        (PeerMessage::PullRows { .. }, Some(PeerMessage::PulledRows { rows, digest })) => {
            apply_records(state, &rows, fx);
            state.records.record_sync(to, digest);
        }
        (PeerMessage::Proposal(_), _) => {
            state.writes.handle_peer_reply(to, message, fx);
        }
        (PeerMessage::Borrow { .. } | PeerMessage::Return { .. }, reply) => {
            state
                .router
                .handle_peer_reply(now, to, sent, message, reply.as_ref(), fx);
        }
        _ => {}
    }
}

fn record_heartbeat(
    state: &mut State,
    now: Now,
    at: Now,
    id: &str,
    beat: Heartbeat,
    fx: &mut Effects,
) {
    if state.peers.record_heartbeat(at, id, beat, fx) {
        state.router.set_peer_reachable(now, id, true);
    }
}

/// Requests rows from a peer whose records differ from this view, once the view is aging because
/// the table was not read for a while.
fn pull_rows(state: &State, now: Now, to: &str, beat: &Heartbeat, fx: &mut Effects) {
    if state.keys.is_aging(now) && !state.records.covers(to, beat.digest) {
        let after = state.records.rev();
        state.peers.send(to, PeerMessage::PullRows { after }, fx);
    }
}

fn begin_drain(state: &mut State, now: Now, fx: &mut Effects) {
    if state.draining.is_none() {
        state.draining = Some(now);
        fx.push(Effect::Timeline(TimelineEvent::Draining));
    }
}

fn finish_drain(state: &mut State, now: Now, fx: &mut Effects) {
    let Some(since) = state.draining else {
        return;
    };
    let calls = state.router.in_flight() + state.jobs.in_flight();
    let idle = calls == 0 && !state.writes.has_pending();
    let elapsed = now.saturating_sub(since);
    // Leaves time for the leases to be released.
    let min_time_passed = elapsed >= state.options.lease.renew_every;
    if (idle && min_time_passed) || elapsed >= state.options.drain_timeout {
        fx.push(Effect::Drained);
    }
}
