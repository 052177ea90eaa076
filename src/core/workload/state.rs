//! The parts together, and which part takes which event.

use std::rc::Rc;
use std::time::Duration;

use super::calls::Calls;
use super::calls::Parts;
use super::catalog::Catalog;
use super::cx::Cx;
use super::cx::earliest;
use super::decision::Decision;
use super::effect::Effect;
use super::effect::Effects;
use super::event::Answer;
use super::event::Call;
use super::event::CommitPurpose;
use super::event::Event;
use super::event::Feed;
use super::event::FeedAnswer;
use super::event::FeedCall;
use super::event::FeedRow;
use super::event::ReadPurpose;
use super::feeds::Feeds;
use super::feeds::Update;
use super::heartbeat::HeartbeatMonitor;
use super::intake::Intake;
use super::options::Options;
use super::role::Role;
use super::rows::AddressRow;
use super::rows::DAEMONS_PART;
use super::rows::encode;
use super::status::Status;
use super::table::CommitOutcome;
use super::table::HEARTBEATS;
use super::table::Page;
use super::table::RowId;
use super::table::Transaction;
use crate::core::model::Now;
use crate::core::model::Ticket;

/// State of one daemon.
#[derive(Debug)]
pub struct Workload {
    options: Options,
    /// Wall time less monotonic time.
    epoch: Duration,
    catalog: Option<Rc<Catalog>>,
    /// When the configuration in force was taken.
    configured_at: Now,
    feeds: Feeds,
    pulse: HeartbeatMonitor,
    intake: Intake,
    calls: Calls,
    role: Role,
    address: Announcement,
    /// When the drain began.
    draining: Option<Now>,
    exited: bool,
}

/// Whether this daemon's address is in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Announcement {
    Due(Now),
    UnderWay,
    Done,
}

impl Workload {
    /// State of a daemon that has just started.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let mut feeds = Feeds::default();
        feeds.follow(Feed::Config, None);
        feeds.follow(Feed::Heartbeats, None);
        Self {
            options,
            epoch: Duration::ZERO,
            catalog: None,
            configured_at: Now::ZERO,
            feeds,
            pulse: HeartbeatMonitor::default(),
            intake: Intake::default(),
            calls: Calls::default(),
            role: Role::new(),
            address: Announcement::Due(Now::ZERO),
            draining: None,
            exited: false,
        }
    }

    /// Applies an event.
    #[must_use]
    pub fn step(&mut self, now: Now, event: Event) -> Effects {
        let mut out = Effects::new();
        self.apply(now, event, &mut out);
        self.poll(now, &mut out);
        out
    }

    /// When the next [`Event::Tick`] is wanted.
    #[must_use]
    pub fn wake_at(&mut self, now: Now) -> Option<Now> {
        let mut out = Effects::new();
        let cx = context(
            &self.options,
            self.epoch,
            self.catalog.as_ref(),
            now,
            &mut out,
        );
        let mut at = self.feeds.wake_at();
        at = earliest(at, self.intake.wake_at());
        at = earliest(at, self.role.wake_at(&cx, &self.feeds, &self.pulse));
        if self.role.is_follower() && self.feeds.is_up(Feed::Heartbeats) {
            at = earliest(at, self.pulse.wake_at(&cx));
        }
        if let Announcement::Due(due) = self.address {
            at = earliest(at, Some(due));
        }
        at
    }

    /// Whether this daemon can serve callers.
    #[must_use]
    pub fn is_ready(&self, now: Now) -> bool {
        let heard = self.feeds.last_answer_at();
        let fresh = heard.is_some_and(|at| now < at + self.options.table.stale_after);
        self.catalog.is_some() && fresh && self.draining.is_none()
    }

    /// Version of the configuration in force; zero before the first.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.catalog.as_ref().map_or(0, |catalog| catalog.version)
    }

    /// Epoch under which this daemon places, if it does.
    #[must_use]
    pub fn epoch(&mut self) -> Option<u64> {
        self.role.placer().map(|placer| placer.epoch())
    }

    /// What it tells of itself for metrics.
    #[must_use]
    pub fn status(&mut self, now: Now) -> Status {
        let mut out = Effects::new();
        let cx = context(
            &self.options,
            self.epoch,
            self.catalog.as_ref(),
            now,
            &mut out,
        );
        let age = |at: Now| now.saturating_sub(at);
        let beat = self.pulse.heartbeat();
        Status {
            config_version: self.config_version(),
            config_age: age(self.configured_at),
            table_age: self.feeds.last_answer_at().map(age),
            holder: beat.map(|beat| (beat.row.owner.epoch, age(beat.received_at))),
            placer: self.role.placer().map(|placer| placer.status(&cx)),
        }
    }

    fn apply(&mut self, now: Now, event: Event, out: &mut Effects) {
        match event {
            Event::Tick { unix_time } => self.epoch = unix_time.saturating_sub(now),
            Event::Call { ticket, call } => self.call(now, out, ticket, call),
            Event::Answer(answer) => self.answer(now, out, answer),
            Event::Drain => self.drain(now, out),
        }
    }

    fn call(&mut self, now: Now, out: &mut Effects, ticket: Ticket, call: Call) {
        let mut cx = context(&self.options, self.epoch, self.catalog.as_ref(), now, out);
        let parts = Parts {
            intake: &mut self.intake,
            feeds: &self.feeds,
            pulse: &self.pulse,
        };
        self.calls.call(&mut cx, parts, ticket, call);
    }

    fn answer(&mut self, now: Now, out: &mut Effects, answer: Answer) {
        if let Answer::Feed(call, answer) = answer {
            return self.feed(now, out, call, answer);
        }
        let mut cx = context(&self.options, self.epoch, self.catalog.as_ref(), now, out);
        let cx = &mut cx;
        let lost = match answer {
            Answer::Committed(purpose, outcome) => self.committed(now, out, purpose, outcome),
            Answer::Read(purpose, page) => self.read(now, out, purpose, page),
            Answer::Feed(..) => None,
            Answer::Probed(beat, reached) => {
                self.pulse.reached(cx, beat, &reached);
                None
            }
            answer => match self.role.placer() {
                Some(placer) => placer.order_answered(cx, answer),
                None => None,
            },
        };
        if let Some(reason) = lost {
            self.lose(now, out, &reason);
        }
    }

    fn committed(
        &mut self,
        now: Now,
        out: &mut Effects,
        purpose: CommitPurpose,
        outcome: CommitOutcome,
    ) -> Option<Box<str>> {
        let mut cx = context(&self.options, self.epoch, self.catalog.as_ref(), now, out);
        let cx = &mut cx;
        if let CommitOutcome::Refused(reason) | CommitOutcome::Unknown(reason) = &outcome {
            cx.log(Decision::CommitFailed {
                purpose: format!("{purpose:?}").into(),
                reason: reason.clone(),
            });
        }
        match purpose {
            CommitPurpose::Submissions(batch) => self.intake.committed(cx, batch, &outcome),
            CommitPurpose::Cancel(ticket, id) => {
                self.calls.cancel_committed(cx, ticket, id, outcome);
            }
            CommitPurpose::Take => self.role.taken(cx, &outcome),
            CommitPurpose::Address => {
                self.address = match outcome {
                    CommitOutcome::Done(_) => Announcement::Done,
                    _ => Announcement::Due(now + self.options.table.retry_delay),
                };
            }
            purpose => {
                let placer = self.role.placer()?;
                return placer.committed(cx, &purpose, &outcome);
            }
        }
        None
    }

    fn read(
        &mut self,
        now: Now,
        out: &mut Effects,
        purpose: ReadPurpose,
        page: Result<Page, Box<str>>,
    ) -> Option<Box<str>> {
        let mut cx = context(&self.options, self.epoch, self.catalog.as_ref(), now, out);
        let cx = &mut cx;
        if let (Err(reason), false) = (&page, purpose.is_for_caller()) {
            cx.log(Decision::ReadFailed {
                purpose: format!("{purpose:?}").into(),
                reason: reason.clone(),
            });
        }
        match purpose {
            ReadPurpose::Status(ticket, id) => self.calls.status_read(cx, ticket, id, page),
            ReadPurpose::Existence(ticket, id) => self.calls.existence_read(cx, ticket, &id, page),
            ReadPurpose::Cancel(ticket, id) => self.calls.cancel_read(cx, ticket, id, page),
            ReadPurpose::Owner => self.role.owner_read(cx, false, page),
            ReadPurpose::Settle => self.role.owner_read(cx, true, page),
            ReadPurpose::Load(load) => self.role.loaded(cx, &mut self.feeds, load, page),
            ReadPurpose::Sequence => return self.role.placer()?.sequence_read(cx, page),
        }
        None
    }

    fn feed(&mut self, now: Now, out: &mut Effects, call: FeedCall, answer: FeedAnswer) {
        let mut cx = context(&self.options, self.epoch, self.catalog.as_ref(), now, out);
        let Some(update) = self.feeds.answered(&mut cx, call, answer) else {
            return;
        };
        let lost = match call.feed {
            Feed::Config => {
                self.configure(now, out, update);
                None
            }
            Feed::Heartbeats => {
                self.pulse.apply(&mut cx, update);
                None
            }
            feed => match self.role.placer() {
                Some(placer) => placer.feed(&mut cx, feed, update),
                None => None,
            },
        };
        if let Some(reason) = lost {
            self.lose(now, out, &reason);
        }
    }

    fn configure(&mut self, now: Now, out: &mut Effects, update: Update) {
        for row in update.rows {
            match row {
                FeedRow::Config(catalog) if catalog.version > self.config_version() => {
                    out.push(Effect::Log(Decision::ConfigTaken {
                        version: catalog.version,
                        queues: catalog.queues.len(),
                        teams: catalog.teams.len(),
                    }));
                    self.catalog = Some(Rc::from(catalog));
                    self.configured_at = now;
                    let mut cx =
                        context(&self.options, self.epoch, self.catalog.as_ref(), now, out);
                    if let Some(placer) = self.role.placer() {
                        placer.configured(&mut cx);
                    }
                }
                FeedRow::Unreadable(key, reason) => {
                    out.push(Effect::Log(Decision::RowUnreadable { key, reason }));
                }
                _ => {}
            }
        }
    }

    fn lose(&mut self, now: Now, out: &mut Effects, reason: &str) {
        let mut cx = context(&self.options, self.epoch, self.catalog.as_ref(), now, out);
        self.role.lose(&mut cx, &mut self.feeds, reason);
    }

    fn drain(&mut self, now: Now, out: &mut Effects) {
        if self.draining.is_none() {
            self.draining = Some(now);
            out.push(Effect::Log(Decision::Draining));
        }
    }

    fn poll(&mut self, now: Now, out: &mut Effects) {
        let mut cx = context(&self.options, self.epoch, self.catalog.as_ref(), now, out);
        self.feeds.poll(&mut cx);
        if !self.feeds.is_up(Feed::Heartbeats) {
            self.intake.refuse_waiting(&mut cx);
        }
        self.intake.poll(&mut cx);
        self.announce(now, out);
        let mut cx = context(&self.options, self.epoch, self.catalog.as_ref(), now, out);
        if self.role.is_follower() && self.feeds.is_up(Feed::Heartbeats) {
            self.pulse.poll(&mut cx);
        }
        let feeds = &mut self.feeds;
        self.role
            .poll(&mut cx, feeds, &self.pulse, self.draining.is_some());
        self.finish_drain(now, out);
    }

    /// Writes the daemon's address, so that the placer can ask it for help.
    fn announce(&mut self, now: Now, out: &mut Effects) {
        let due = matches!(self.address, Announcement::Due(at) if now >= at);
        if !due || !self.feeds.is_up(Feed::Heartbeats) {
            if due {
                self.address = Announcement::Due(now + self.options.table.retry_delay);
            }
            return;
        }
        self.address = Announcement::UnderWay;
        let row = RowId::new(HEARTBEATS, DAEMONS_PART, &self.options.me);
        let address = AddressRow {
            peer: self.options.peer_address.clone(),
        };
        let txn = Transaction {
            put: vec![(row, encode(&address))],
            ..Transaction::default()
        };
        let mut cx = context(&self.options, self.epoch, self.catalog.as_ref(), now, out);
        cx.commit(CommitPurpose::Address, txn);
    }

    /// Leaves once no caller waits and the role is handed over.
    fn finish_drain(&mut self, now: Now, out: &mut Effects) {
        let Some(began) = self.draining.filter(|_| !self.exited) else {
            return;
        };
        let mut cx = context(&self.options, self.epoch, self.catalog.as_ref(), now, out);
        let released = match self.role.placer() {
            Some(placer) => placer.release(&mut cx),
            None => true,
        };
        let idle = released && self.intake.is_idle() && self.calls.is_idle();
        if idle || now >= began + self.options.drain_timeout {
            self.exited = true;
            out.push(Effect::Exit);
        }
    }
}

fn context<'a>(
    options: &'a Options,
    epoch: Duration,
    catalog: Option<&'a Rc<Catalog>>,
    now: Now,
    out: &'a mut Effects,
) -> Cx<'a> {
    Cx {
        now,
        unix_time: epoch + now,
        options,
        catalog,
        effects: out,
    }
}
