//! State of a daemon: dispatches each event to the component of the reducer that handles it.

use std::rc::Rc;
use std::time::Duration;

use super::address::AddressState;
use super::callers::admission::AdmissionControl;
use super::callers::batcher::SubmissionBatcher;
use super::callers::calls::CallHandler;
use super::callers::calls::Components;
use super::callers::calls::job_id_in_path;
use super::callers::calls::reply_cut_off;
use super::callers::calls::reply_unavailable;
use super::callers::relay::Relays;
use super::catalog::Catalog;
use super::cx::Cx;
use super::cx::earliest;
use super::cx::millis;
use super::decision::Decision;
use super::effect::Effect;
use super::effect::Effects;
use super::evacuation::Evacuation;
use super::event::Action;
use super::event::Answer;
use super::event::Call;
use super::event::CommitPurpose;
use super::event::EvacuationRow;
use super::event::Event;
use super::event::Feed;
use super::event::FeedAnswer;
use super::event::FeedCall;
use super::event::FeedRow;
use super::event::ProbePurpose;
use super::event::ReadPurpose;
use super::feeds::Feeds;
use super::feeds::Update;
use super::heartbeat::HeartbeatMonitor;
use super::isolation::IsolationMonitor;
use super::options::Options;
use super::role::Role;
use super::status::PlacerWork;
use super::status::Status;
use super::table::CommitOutcome;
use super::table::Page;
use crate::core::model::Now;
use crate::core::model::RequestLimits;
use crate::core::model::Ticket;

/// Builds the context of an event. It borrows single fields only, so that the others stay available.
macro_rules! context {
    ($state:expr, $now:expr, $out:expr) => {
        Cx {
            now: $now,
            unix_time: $state.offset + $now,
            options: &$state.options,
            catalog: $state.catalog.as_ref(),
            evacuation: &$state.evacuation,
            table_answered_at: $state.feeds.last_answer_at(),
            retry_after: $state.isolation.retry_after($now, &$state.options),
            effects: $out,
        }
    };
}

/// State of a daemon.
#[derive(Debug)]
pub struct Workload {
    options: Options,
    /// Wall time since the Unix epoch minus monotonic time.
    offset: Duration,
    catalog: Option<Rc<Catalog>>,
    evacuation: Evacuation,
    /// Time at which the configuration in force was applied.
    config_applied_at: Now,
    feeds: Feeds,
    heartbeats: HeartbeatMonitor,
    batcher: SubmissionBatcher,
    admission: AdmissionControl,
    calls: CallHandler,
    relays: Relays,
    isolation: IsolationMonitor,
    role: Role,
    address_state: AddressState,
    /// Start of the drain, if one was requested.
    drain_started_at: Option<Now>,
    exited: bool,
}

impl Workload {
    /// Creates the state of a daemon that has just started.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let mut feeds = Feeds::default();
        feeds.follow(Feed::Config, None);
        feeds.follow(Feed::Heartbeats, None);
        Self {
            options,
            offset: Duration::ZERO,
            catalog: None,
            evacuation: Evacuation::default(),
            config_applied_at: Now::ZERO,
            feeds,
            heartbeats: HeartbeatMonitor::default(),
            batcher: SubmissionBatcher::default(),
            admission: AdmissionControl::default(),
            calls: CallHandler::default(),
            relays: Relays::default(),
            isolation: IsolationMonitor::default(),
            role: Role::new(),
            address_state: AddressState::Due(Now::ZERO),
            drain_started_at: None,
            exited: false,
        }
    }

    /// Applies an event and returns its effects.
    #[must_use]
    pub fn step(&mut self, now: Now, event: Event) -> Effects {
        let mut out = Effects::new();
        self.apply(now, event, &mut out);
        self.poll(now, &mut out);
        out
    }

    /// Returns the time at which the next [`Event::Tick`] is due, if any.
    #[must_use]
    pub fn wake_at(&mut self, now: Now) -> Option<Now> {
        let mut out = Effects::new();
        let cx = context!(self, now, &mut out);
        let mut at = self.feeds.wake_at();
        at = earliest(at, self.batcher.wake_at());
        at = earliest(at, self.role.wake_at(&cx, &self.feeds, &self.heartbeats));
        if self.role.is_follower() && self.feeds.is_up(Feed::Heartbeats) {
            at = earliest(at, self.heartbeats.wake_at(&cx));
        }
        at = earliest(at, self.address_state.wake_at());
        earliest(at, self.isolation.wake_at(&cx))
    }

    /// Returns whether this daemon can serve callers: it has a configuration, a recent answer of
    /// the table service, and is neither cut off with its zone nor draining.
    #[must_use]
    pub fn is_ready(&self, now: Now) -> bool {
        let last_answer_at = self.feeds.last_answer_at();
        let fresh = last_answer_at.is_some_and(|at| now < at + self.options.table.stale_after);
        let serves = !self.isolation.is_cut_off() && self.drain_started_at.is_none();
        self.catalog.is_some() && fresh && serves
    }

    /// Returns the version of the configuration in force; zero before the first one.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.catalog.as_ref().map_or(0, |catalog| catalog.version)
    }

    /// Returns the limits of clients' requests in force: those of the configuration, or else the defaults.
    #[must_use]
    pub fn request_limits(&self) -> RequestLimits {
        let catalog = self.catalog.as_ref();
        catalog.map_or_else(RequestLimits::default, |catalog| catalog.limits)
    }

    /// Returns the epoch of this daemon's placer role, if it is the placer.
    #[must_use]
    pub fn epoch(&mut self) -> Option<u64> {
        self.role.placer().map(|placer| placer.epoch())
    }

    /// Returns the work of the placer; none if this daemon is not the placer.
    pub fn work(&mut self) -> PlacerWork {
        let placer = self.role.placer();
        placer.map(|placer| placer.work()).unwrap_or_default()
    }

    /// Records the processor time that the last step took.
    pub fn record_step_time(&mut self, time: Duration) {
        if let Some(placer) = self.role.placer() {
            placer.record_step_time(time);
        }
    }

    /// Returns the status reported in metrics.
    #[must_use]
    pub fn status(&mut self, now: Now) -> Status {
        let mut out = Effects::new();
        let cx = context!(self, now, &mut out);
        let age = |at: Now| now.saturating_sub(at);
        let last = self.heartbeats.heartbeat();
        Status {
            config_version: self.config_version(),
            config_age: age(self.config_applied_at),
            evacuated_zones: self.evacuation.zone_count(),
            evacuation_view_age: self.evacuation.age(now),
            table_age: self.feeds.last_answer_at().map(age),
            feed_ages: self.feeds.ages(now),
            heartbeat: last.map(|last| (last.row.owner.epoch, age(last.received_at))),
            placer: self.role.placer().map(|placer| placer.status(&cx)),
        }
    }

    fn apply(&mut self, now: Now, event: Event, out: &mut Effects) {
        match event {
            Event::Tick { unix_time } => self.offset = unix_time.saturating_sub(now),
            Event::Call { ticket, call } => self.handle_call(now, out, ticket, call),
            Event::Answer(answer) => self.handle_answer(now, out, answer),
            Event::Drain => self.start_drain(now, out),
        }
    }

    fn handle_call(&mut self, now: Now, out: &mut Effects, ticket: Ticket, call: Call) {
        let mut cx = context!(self, now, out);
        if self.isolation.is_cut_off() {
            let may_run = self.may_have_submitted(&call);
            return reply_cut_off(&mut cx, ticket, &call, may_run);
        }
        let table_is_up = self.feeds.is_up(Feed::Heartbeats);
        if !table_is_up && self.relays.start(&mut cx, &self.heartbeats, ticket, &call) {
            return;
        }
        let relayed_with = call.relayed_with.unwrap_or(0);
        let min_config = self.relays.min_config().max(relayed_with);
        if cx
            .catalog
            .is_some_and(|catalog| catalog.version < min_config)
        {
            let reason = "callers have seen a newer configuration";
            return reply_unavailable(&mut cx, ticket, &call, reason);
        }
        let components = Components {
            batcher: &mut self.batcher,
            admission: &mut self.admission,
            relays: &self.relays,
            feeds: &self.feeds,
            heartbeats: &self.heartbeats,
        };
        self.calls.handle(&mut cx, components, ticket, call);
    }

    /// Returns whether an earlier submission of the job that a call submits may still take effect.
    fn may_have_submitted(&self, call: &Call) -> bool {
        let id = job_id_in_path(&call.path);
        let may_run = self.batcher.may_be_stored(id) || self.relays.may_have_submitted(id);
        matches!(call.action, Action::Submit(_)) && may_run
    }

    fn handle_answer(&mut self, now: Now, out: &mut Effects, answer: Answer) {
        if let Answer::Feed(call, answer) = answer {
            return self.handle_feed_answer(now, out, call, answer);
        }
        let mut cx = context!(self, now, out);
        let cx = &mut cx;
        let lost_reason = match answer {
            Answer::Committed(purpose, outcome) => self.handle_commit(now, out, purpose, outcome),
            Answer::Read(purpose, page) => self.handle_read(now, out, purpose, page),
            Answer::Feed(..) => None,
            Answer::Probed(ProbePurpose::Holder(version), result) => {
                self.heartbeats.handle_probe_result(cx, version, &result);
                None
            }
            Answer::Probed(ProbePurpose::OtherZone(sent), result) => {
                self.isolation.handle_probe_result(cx, sent, result);
                None
            }
            Answer::Relayed(ticket, result) => {
                let heartbeats = &self.heartbeats;
                self.relays.handle_result(cx, heartbeats, ticket, result);
                None
            }
            answer => match self.role.placer() {
                Some(placer) => placer.handle_answer(cx, answer),
                None => None,
            },
        };
        if let Some(reason) = lost_reason {
            self.lose_role(now, out, &reason);
        }
    }

    /// Handles the outcome of a transaction; returns the reason if the placer role is lost by it.
    fn handle_commit(
        &mut self,
        now: Now,
        out: &mut Effects,
        purpose: CommitPurpose,
        outcome: CommitOutcome,
    ) -> Option<Box<str>> {
        let mut cx = context!(self, now, out);
        let cx = &mut cx;
        if let CommitOutcome::Refused(reason)
        | CommitOutcome::Rejected(reason)
        | CommitOutcome::Unknown(reason) = &outcome
        {
            cx.log(Decision::CommitFailed {
                purpose: format!("{purpose:?}").into(),
                reason: reason.clone(),
            });
        }
        match purpose {
            CommitPurpose::Submissions(part) => {
                self.batcher.handle_commit_outcome(cx, part, &outcome);
            }
            CommitPurpose::Cancel(ticket, id) => {
                self.calls.handle_cancel_outcome(cx, ticket, id, outcome);
            }
            CommitPurpose::Withdraw(ticket, id) => {
                self.calls.handle_withdraw_outcome(cx, ticket, id, outcome);
            }
            CommitPurpose::TableProbe => {
                self.role
                    .handle_probe_outcome(cx, &self.heartbeats, &outcome);
            }
            CommitPurpose::Take => self.role.handle_claim_outcome(cx, &outcome),
            CommitPurpose::Address => self.address_state.handle_outcome(cx, &outcome),
            CommitPurpose::Placer(epoch, write) => {
                return self.role.handle_write_outcome(cx, epoch, write, &outcome);
            }
        }
        None
    }

    /// Handles the result of a read; returns the reason if the placer role is lost by it.
    fn handle_read(
        &mut self,
        now: Now,
        out: &mut Effects,
        purpose: ReadPurpose,
        page: Result<Page, Box<str>>,
    ) -> Option<Box<str>> {
        let mut cx = context!(self, now, out);
        let cx = &mut cx;
        if let (Err(reason), true) = (&page, purpose.logs_failure()) {
            cx.log(Decision::ReadFailed {
                purpose: format!("{purpose:?}").into(),
                reason: reason.clone(),
            });
        }
        match purpose {
            ReadPurpose::Status(ticket, id) => self.calls.handle_status_row(cx, ticket, id, page),
            ReadPurpose::Existence(ticket, id) => {
                let in_doubt = self.batcher.is_in_doubt(now, &id);
                self.calls
                    .handle_existence_rows(cx, ticket, &id, page, in_doubt);
            }
            ReadPurpose::Cancel(ticket, id) => self.calls.handle_cancel_rows(cx, ticket, id, page),
            ReadPurpose::Admission(id) => {
                self.admission
                    .handle_job_row(cx, &mut self.batcher, &id, page);
            }
            ReadPurpose::Owner => self.role.handle_owner_row(cx, false, page),
            ReadPurpose::Settle => self.role.handle_owner_row(cx, true, page),
            ReadPurpose::Load(epoch, source) => {
                self.role
                    .handle_page(cx, &mut self.feeds, epoch, source, page);
            }
            ReadPurpose::Probe(sent) => self.feeds.handle_probe(now, sent, page.is_ok()),
            ReadPurpose::Sequence(epoch) => {
                return self.role.handle_sequence_row(cx, epoch, page);
            }
        }
        None
    }

    fn handle_feed_answer(
        &mut self,
        now: Now,
        out: &mut Effects,
        call: FeedCall,
        answer: FeedAnswer,
    ) {
        let mut cx = context!(self, now, out);
        let Some(update) = self.feeds.handle_answer(&mut cx, call, answer) else {
            return;
        };
        let lost_reason = match call.feed {
            Feed::Config => {
                self.apply_operator_rows(now, out, update);
                None
            }
            Feed::Heartbeats => {
                self.heartbeats.apply(&mut cx, update);
                None
            }
            feed => match self.role.placer() {
                Some(placer) => placer.apply_update(&mut cx, feed, update),
                None => None,
            },
        };
        if let Some(reason) = lost_reason {
            self.lose_role(now, out, &reason);
        }
    }

    /// Applies rows of the operator's table: the configuration and the evacuation requests.
    fn apply_operator_rows(&mut self, now: Now, out: &mut Effects, update: Update) {
        let mut requests = Vec::new();
        for row in update.rows {
            match row {
                FeedRow::Evacuation(request) => requests.push(request),
                FeedRow::Config(catalog) if catalog.version > self.config_version() => {
                    out.push(Effect::Log(Decision::ConfigTaken {
                        version: catalog.version,
                        queues: catalog.queues.len(),
                        teams: catalog.teams.len(),
                    }));
                    self.catalog = Some(Rc::from(catalog));
                    self.config_applied_at = now;
                    let mut cx = context!(self, now, out);
                    if let Some(placer) = self.role.placer() {
                        placer.apply_config(&mut cx);
                    }
                }
                FeedRow::Unreadable(key, reason) => {
                    out.push(Effect::Log(Decision::RowUnreadable { key, reason }));
                }
                _ => {}
            }
        }
        let known_at = update.requested_at;
        self.apply_evacuation(now, out, &requests, update.is_snapshot, known_at);
    }

    fn apply_evacuation(
        &mut self,
        now: Now,
        out: &mut Effects,
        rows: &[EvacuationRow],
        is_snapshot: bool,
        known_at: Now,
    ) {
        for row in rows {
            if let Some(reason) = &row.fault {
                out.push(Effect::Log(Decision::RowUnreadable {
                    key: format!("evacuation of {}", row.zone).into(),
                    reason: reason.clone(),
                }));
            }
        }
        let changes = self.evacuation.apply(rows, is_snapshot, known_at);
        let mut cx = context!(self, now, out);
        for (zone, on) in &changes {
            cx.log(Decision::ZoneEvacuation {
                zone: zone.clone(),
                on: *on,
                view_age_ms: millis(now.saturating_sub(known_at)),
            });
        }
        if let Some(placer) = self.role.placer()
            && !changes.is_empty()
        {
            placer.apply_evacuation(&mut cx, &changes);
        }
    }

    /// Steps down from the placer role.
    fn lose_role(&mut self, now: Now, out: &mut Effects, reason: &str) {
        let mut cx = context!(self, now, out);
        self.role.step_down(&mut cx, &mut self.feeds, reason);
    }

    fn start_drain(&mut self, now: Now, out: &mut Effects) {
        if self.drain_started_at.is_none() {
            self.drain_started_at = Some(now);
            out.push(Effect::Log(Decision::Draining));
        }
    }

    fn poll(&mut self, now: Now, out: &mut Effects) {
        let mut cx = context!(self, now, out);
        self.feeds.poll(&mut cx);
        self.isolation.poll(&mut cx, &self.heartbeats);
        if !self.feeds.is_up(Feed::Heartbeats) {
            self.batcher.refuse_queued(&mut cx);
        }
        self.batcher.poll(&mut cx);
        let table_is_up = self.feeds.is_up(Feed::Heartbeats);
        self.address_state.poll(&mut cx, table_is_up);
        if self.role.is_follower() && table_is_up {
            self.heartbeats.poll(&mut cx);
        }
        let drains = self.drain_started_at.is_some();
        self.role
            .poll(&mut cx, &mut self.feeds, &self.heartbeats, drains);
        self.finish_drain(now, out);
    }

    /// Exits once no caller waits and the placer role is released, or the drain timeout is over.
    fn finish_drain(&mut self, now: Now, out: &mut Effects) {
        let Some(started_at) = self.drain_started_at.filter(|_| !self.exited) else {
            return;
        };
        let mut cx = context!(self, now, out);
        let released = match self.role.placer() {
            Some(placer) => placer.release(&mut cx),
            None => true,
        };
        let is_idle = released
            && self.admission.is_idle()
            && self.batcher.is_idle()
            && self.calls.is_idle()
            && self.relays.is_idle();
        if is_idle || now >= started_at + self.options.drain_timeout {
            self.exited = true;
            out.push(Effect::Exit);
        }
    }
}
