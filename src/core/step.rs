//! Dispatch of events to the parts of the reducer.

use super::calls;
use super::effect::Effect;
use super::effect::Effects;
use super::event::Event;
use super::event::Feed;
use super::event::Heartbeat;
use super::event::PeerMessage;
use super::event::PlatformEvent;
use super::event::TxnEnd;
use super::model::Member;
use super::model::Now;
use super::model::Rev;
use super::model::Row;
use super::model::Ticket;
use super::model::Token;
use super::state::State;
use super::timeline::TimelineEvent;

/// Applies one event and returns what to do about it.
pub fn step(state: &mut State, now: Now, event: Event) -> Effects {
    let mut fx = Effects::new();
    match event {
        Event::Tick => tick(state, now, &mut fx),
        Event::Call { ticket, call } => calls::call(state, now, ticket, call, &mut fx),
        Event::Hangup { ticket } => state.router.hangup(now, ticket, &mut fx),
        Event::Platform(event) => platform(state, now, event, &mut fx),
        Event::Worker { vm, sent, answer } => {
            state
                .placer
                .answered(now, &vm, sent, answer, &mut state.jobs, &mut fx);
        }
        Event::Peer {
            from,
            ticket,
            message,
        } => {
            peer(state, now, &from, ticket, message, &mut fx);
        }
        Event::PeerReplied {
            to,
            sent,
            message,
            reply,
        } => {
            peer_replied(state, now, &to, sent, &message, reply, &mut fx);
        }
        Event::Attempt {
            ticket,
            attempt,
            end,
        } => {
            state
                .router
                .attempt_ended(now, ticket, attempt, end, &mut fx);
        }
        Event::Drain => drain(state, now, &mut fx),
    }
    fx
}

fn tick(state: &mut State, now: Now, fx: &mut Effects) {
    let options = &state.options;
    state
        .polls
        .tick(now, options.poll_every, options.members_every, fx);
    let beat = heartbeat(state, now);
    let (every, silence) = (state.options.heartbeat_every, state.options.peer_timeout);
    for id in state.peers.tick(now, every, silence, &beat, fx) {
        state.router.set_peer(now, &id, false);
    }
    if state.placer.is_due(now) {
        tick_placer(state, now, fx);
    }
    let changes = state.jobs.tick(now, fx);
    state.placer.jobs_changed(now, changes, &mut state.jobs);
    let kept = state.writes.tick(now, &state.peers, fx);
    end_proposals(state, now, kept, fx);
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
        .keep_services(now, &state.records, &state.peers, timeout);
    state.placer.tick(now, &state.records, &mut state.jobs, fx);
}

/// The first daemon of the zone, by name, that can be heard stands for the role; another one only
/// keeps it while it has it.
fn is_candidate(state: &State) -> bool {
    if state.draining.is_some() {
        return false;
    }
    let zone = &state.options.zone;
    if state.peers.placer_of(zone).is_some() {
        return state.placer.is_active();
    }
    let rival = |beat: &Heartbeat| beat.zone == *zone && !beat.draining;
    state.placer.is_active()
        || !state.peers.iter().any(|(id, peer)| {
            *id < state.options.me && peer.reachable && peer.heartbeat.as_ref().is_some_and(rival)
        })
}

fn heartbeat(state: &State, now: Now) -> Heartbeat {
    let writes_open = state.writes.has_pending();
    Heartbeat {
        zone: state.options.zone.clone(),
        placer: state.placer.is_active().then(|| state.placer.zone().into()),
        rev: state.records.rev(),
        table_age: state.keys.age_for_peers(now, writes_open),
        writes_open: writes_open || !state.keys.sees_earlier_writes(),
        draining: state.draining.is_some(),
        free_cpu_milli: state.placer.free().cpu_milli,
        digest: state.records.digest(),
        table_reachable: !state.polls.is_unreachable(),
    }
}

fn platform(state: &mut State, now: Now, event: PlatformEvent, fx: &mut Effects) {
    match event {
        PlatformEvent::Changes {
            feed,
            sent,
            rows,
            rev,
        } => {
            state.polls.read(feed, sent, rev, fx);
            changes(state, now, feed, sent, &rows, rev, fx);
        }
        PlatformEvent::Members { sent, members } => {
            state.polls.members_read();
            set_members(state, now, sent, &members, fx);
        }
        PlatformEvent::Unreachable { feed } => state.polls.failed(feed, fx),
        PlatformEvent::Txn { token, end } => txn_ended(state, now, token, &end, fx),
    }
}

fn changes(
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
            state.placer.work_read(now, sent, &mut state.jobs);
        }
    }
}

fn apply_records(state: &mut State, rows: &[Row], fx: &mut Effects) {
    for row in state.records.apply(rows) {
        fx.push(Effect::Note(TimelineEvent::RecordChanged {
            key: row.key,
            version: row.version,
        }));
    }
}

fn apply_work(state: &mut State, now: Now, rows: &[Row]) {
    state.placer.escrow().apply(rows);
    let changes = state.jobs.apply(now, rows);
    state.placer.jobs_changed(now, changes, &mut state.jobs);
}

fn set_members(state: &mut State, now: Now, sent: Now, members: &[Member], fx: &mut Effects) {
    state.members = members
        .iter()
        .map(|member| (member.id.clone(), member.clone()))
        .collect();
    state.peers.set_members(members);
    let named = state.members.contains_key(&state.options.me);
    state.keys.set_peers(now, sent, named, &state.peers.ids());
    state.placer.set_members(now, members, &mut state.jobs, fx);
    state.router.set_members(now, members, fx);
}

fn txn_ended(state: &mut State, now: Now, token: Token, end: &TxnEnd, fx: &mut Effects) {
    if let Some(outcome) = state
        .writes
        .handle_txn_end(now, token, end, &state.peers, fx)
    {
        apply_records(state, &outcome.rows, fx);
        if !outcome.rows.is_empty() {
            state.peers.broadcast(&PeerMessage::Rows(outcome.rows), fx);
        }
        end_proposals(state, now, outcome.unchanged, fx);
    } else if let Some(changes) = state.jobs.handle_txn_end(now, token, end, fx) {
        state.placer.jobs_changed(now, changes, &mut state.jobs);
        tell_placers(state, fx);
    } else if !state.placer.txn_ended(token, end, fx) {
        state.router.txn_ended(now, token, end, fx);
    }
}

/// Tells everyone that these rows stay as they are.
fn end_proposals(state: &mut State, now: Now, kept: Vec<Row>, fx: &mut Effects) {
    if kept.is_empty() {
        return;
    }
    let me = &state.options.me;
    state.keys.record_proposal(now, me, &kept, &state.records);
    state.peers.broadcast(&PeerMessage::Proposal(kept), fx);
}

/// Pushes the rows of jobs that were just accepted to the placers that run them.
fn tell_placers(state: &mut State, fx: &mut Effects) {
    for (zone, row) in state.jobs.take_committed_rows() {
        if let Some((placer, _)) = state.peers.placer_of(&zone) {
            let placer = placer.clone();
            state.peers.send(&placer, PeerMessage::Job(row), fx);
        }
    }
}

fn peer(
    state: &mut State,
    now: Now,
    from: &str,
    ticket: Ticket,
    message: PeerMessage,
    fx: &mut Effects,
) {
    let reply = match message {
        PeerMessage::Heartbeat(beat) => {
            state.peers.asked(from);
            heard(state, now, now, from, beat, fx);
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
        PeerMessage::PullRows { after } => PeerMessage::Pulled {
            rows: state.records.rows_after(after),
            digest: state.records.digest(),
        },
        PeerMessage::Job(row) => {
            apply_work(state, now, std::slice::from_ref(&row));
            PeerMessage::Ack
        }
        message @ (PeerMessage::Borrow { .. } | PeerMessage::Return { .. }) => {
            state.router.peer_asked(now, from, &message)
        }
        PeerMessage::Lent { .. } | PeerMessage::Pulled { .. } | PeerMessage::Ack => {
            PeerMessage::Ack
        }
    };
    fx.push(Effect::PeerReply {
        ticket,
        message: reply,
    });
}

fn peer_replied(
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
            pull(state, now, to, &beat, fx);
            heard(state, now, sent, to, beat, fx);
        }
        (PeerMessage::PullRows { .. }, Some(PeerMessage::Pulled { rows, digest })) => {
            apply_records(state, &rows, fx);
            state.records.record_sync(to, digest);
        }
        (PeerMessage::Proposal(_), _) => {
            state.writes.handle_peer_reply(to, message, fx);
        }
        (PeerMessage::Borrow { .. } | PeerMessage::Return { .. }, reply) => {
            state
                .router
                .peer_replied(now, to, sent, message, reply.as_ref(), fx);
        }
        _ => {}
    }
}

fn heard(state: &mut State, now: Now, at: Now, id: &str, beat: Heartbeat, fx: &mut Effects) {
    if state.peers.heard(at, id, beat, fx) {
        state.router.set_peer(now, id, true);
    }
}

/// Asks a peer for the rows that it may hold beyond this view's, while the table does not tell.
fn pull(state: &State, now: Now, to: &str, beat: &Heartbeat, fx: &mut Effects) {
    if state.keys.is_aging(now) && !state.records.covers(to, beat.digest) {
        let after = state.records.rev();
        state.peers.send(to, PeerMessage::PullRows { after }, fx);
    }
}

fn drain(state: &mut State, now: Now, fx: &mut Effects) {
    if state.draining.is_none() {
        state.draining = Some(now);
        fx.push(Effect::Note(TimelineEvent::Draining));
    }
}

fn finish_drain(state: &mut State, now: Now, fx: &mut Effects) {
    let Some(since) = state.draining else {
        return;
    };
    let callers = state.router.in_flight() + state.jobs.in_flight();
    let idle = callers == 0 && !state.writes.has_pending();
    let settled = now.saturating_sub(since) >= state.options.lease.renew_every;
    if (idle && settled) || now.saturating_sub(since) >= state.options.drain_timeout {
        fx.push(Effect::Drained);
    }
}
