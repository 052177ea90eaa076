//! Several reducers over a virtual network and the platform's pure table.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use ragwortstall::core::Effect;
use ragwortstall::core::Event;
use ragwortstall::core::Options;
use ragwortstall::core::State;
use ragwortstall::core::effect::Answer;
use ragwortstall::core::event::Call;
use ragwortstall::core::event::Feed;
use ragwortstall::core::event::Heartbeat;
use ragwortstall::core::event::PeerMessage;
use ragwortstall::core::event::PlatformEvent;
use ragwortstall::core::event::TxnOutcome;
use ragwortstall::core::model::Member;
use ragwortstall::core::model::Rev;
use ragwortstall::core::model::Row;
use ragwortstall::core::model::Ticket;
use ragwortstall::core::model::Txn;
use ragwortstall::core::step;
use ragwortstall_standins::platform::Outcome;
use ragwortstall_standins::platform::Table;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Time between two ticks of a daemon.
const TICK: Duration = Duration::from_millis(50);

/// Time after which a caller of the platform gives up.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which the caller of a peer gives up.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// How the network treats messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct Weather {
    /// Percentage of messages between daemons, and of their replies, that are lost.
    pub peer_loss: u32,
    /// Percentage of messages between daemons that arrive twice.
    pub doubled: u32,
    /// Longest time that a message takes, in milliseconds.
    pub delay_ms: u64,
    /// Percentage of transactions whose answer is lost.
    pub answer_loss: u32,
    /// Percentage of transactions that take effect after their sender gave up.
    pub late: u32,
}

/// A committed record row, and when that was.
#[derive(Clone, Debug)]
pub struct Commit {
    pub at: Duration,
    pub row: Row,
}

#[derive(Clone, Debug)]
enum Arrival {
    Tick,
    Poll {
        feed: Feed,
        after: Rev,
        sent: Duration,
    },
    Members {
        sent: Duration,
    },
    Commit {
        token: u64,
        txn: Txn,
        fate: Fate,
    },
    Event(Event),
    Ask {
        from: usize,
        life: u32,
        sent: Duration,
        message: PeerMessage,
        answered: bool,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Answered,
    Unheard,
}

struct Daemon {
    state: State,
    started: Duration,
    life: u32,
    paused_until: Duration,
}

/// A cell under test.
pub struct Cell {
    pub now: Duration,
    pub table: Table,
    pub commits: Vec<Commit>,
    pub weather: Weather,
    /// Daemons that the platform cannot be reached from.
    pub no_platform: BTreeSet<usize>,
    /// Pairs of daemons that cannot reach each other, the lower first.
    pub cut: BTreeSet<(usize, usize)>,
    /// Changes heartbeats on their way to a daemon whose rows have the digest, to show what the
    /// tests detect.
    pub doctor: fn(&mut Heartbeat, u64),
    pub answers: BTreeMap<Ticket, (Duration, Answer)>,
    daemons: Vec<Daemon>,
    queue: BTreeMap<(Duration, u64), (usize, u32, Arrival)>,
    posted: u64,
    tickets: Ticket,
    rng: SmallRng,
}

impl Cell {
    pub fn new(daemons: usize, seed: u64) -> Self {
        let mut cell = Self {
            now: Duration::ZERO,
            table: Table::default(),
            commits: Vec::new(),
            weather: Weather {
                delay_ms: 4,
                ..Weather::default()
            },
            no_platform: BTreeSet::new(),
            cut: BTreeSet::new(),
            doctor: |_, _| {},
            answers: BTreeMap::new(),
            daemons: Vec::new(),
            queue: BTreeMap::new(),
            posted: 0,
            tickets: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        for n in 0..daemons {
            cell.daemons.push(Daemon {
                state: new_state(n, daemons),
                started: Duration::ZERO,
                life: 0,
                paused_until: Duration::ZERO,
            });
            cell.post(Duration::ZERO, n, Arrival::Tick);
        }
        cell
    }

    pub fn state(&self, n: usize) -> &State {
        &self.daemons[n].state
    }

    pub fn rng(&mut self) -> &mut SmallRng {
        &mut self.rng
    }

    /// Clock reading of a daemon.
    pub fn clock(&self, n: usize) -> Duration {
        self.now.saturating_sub(self.daemons[n].started)
    }

    /// Replaces a daemon by a new process that remembers nothing.
    pub fn restart(&mut self, n: usize) {
        let total = self.daemons.len();
        let daemon = &mut self.daemons[n];
        daemon.state = new_state(n, total);
        daemon.started = self.now;
        daemon.life += 1;
        self.post(Duration::ZERO, n, Arrival::Tick);
    }

    /// Stops a daemon from handling anything for a while; what arrives waits.
    pub fn pause(&mut self, n: usize, time: Duration) {
        self.daemons[n].paused_until = self.now + time;
    }

    /// Hands a call to a daemon at once.
    pub fn call(&mut self, n: usize, call: Call) -> Ticket {
        self.tickets += 1;
        let ticket = self.tickets;
        self.feed(n, Event::Call { ticket, call });
        ticket
    }

    pub fn write(&mut self, n: usize, key: &str, expect: Rev, value: Option<&str>) -> Ticket {
        let call = Call::WriteRecord {
            key: key.into(),
            expect,
            value: value.map(Into::into),
        };
        self.call(n, call)
    }

    pub fn answer(&self, ticket: Ticket) -> Option<&Answer> {
        self.answers.get(&ticket).map(|(_, answer)| answer)
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self
            .queue
            .first_entry()
            .filter(|entry| entry.key().0 <= end)
        {
            let ((at, _), (n, life, arrival)) = entry.remove_entry();
            self.now = self.now.max(at);
            let daemon = &self.daemons[n];
            if daemon.life != life && !matches!(arrival, Arrival::Commit { .. }) {
                continue;
            }
            let waits = daemon.paused_until > self.now && !at_platform(&arrival);
            if waits {
                let rest = daemon.paused_until.saturating_sub(self.now);
                self.post(rest, n, arrival);
            } else {
                self.arrive(n, life, arrival);
            }
        }
        self.now = end;
    }

    fn arrive(&mut self, n: usize, life: u32, arrival: Arrival) {
        match arrival {
            Arrival::Tick => {
                self.feed(n, Event::Tick);
                self.post(TICK, n, Arrival::Tick);
            }
            Arrival::Poll { feed, after, sent } => {
                let spaces: &[&str] = match feed {
                    Feed::Records => &ragwortstall::core::record::SPACES,
                    Feed::Work => &["job/", "escrow/"],
                };
                let rows = self.table.changes(spaces, after);
                let rev = self.table.rev();
                let event = PlatformEvent::Changes {
                    feed,
                    sent,
                    rows,
                    rev,
                };
                self.post_soon(n, Arrival::Event(Event::Platform(event)));
            }
            Arrival::Members { sent } => {
                let members = members(self.daemons.len());
                let event = PlatformEvent::Members { sent, members };
                self.post_soon(n, Arrival::Event(Event::Platform(event)));
            }
            Arrival::Commit { token, txn, fate } => {
                let heard = fate == Fate::Answered && self.daemons[n].life == life;
                self.commit(n, token, &txn, heard);
            }
            Arrival::Event(event) => self.feed(n, event),
            Arrival::Ask {
                from,
                life,
                sent,
                message,
                answered,
            } => {
                let answered = answered && self.daemons[from].life == life;
                self.asked(n, from, sent, &message, answered);
            }
        }
    }

    fn commit(&mut self, n: usize, token: u64, txn: &Txn, heard: bool) {
        let outcome = self.table.commit(txn);
        if let Outcome::Committed(rows) = &outcome {
            let at = self.now;
            let commits = rows.iter().cloned().map(|row| Commit { at, row });
            self.commits.extend(commits);
        }
        if heard {
            let end = outcome.into();
            let event = Event::Platform(PlatformEvent::Txn {
                token,
                outcome: end,
            });
            self.post_soon(n, Arrival::Event(event));
        }
    }

    fn asked(
        &mut self,
        n: usize,
        from: usize,
        sent: Duration,
        message: &PeerMessage,
        answered: bool,
    ) {
        if self.is_cut(n, from) {
            return;
        }
        self.tickets += 1;
        let ticket = self.tickets;
        let event = Event::Peer {
            from: name(from),
            ticket,
            message: message.clone(),
        };
        let now = self.clock(n);
        let fx = step(&mut self.daemons[n].state, now, event);
        for effect in self.perform(n, fx) {
            if let Effect::PeerReply {
                message: mut reply, ..
            } = effect
                && answered
                && !self.lost()
            {
                self.doctored(from, &mut reply);
                let event = Event::PeerReplied {
                    to: name(n),
                    sent,
                    message: message.clone(),
                    reply: Some(reply),
                };
                self.post_soon(from, Arrival::Event(event));
            }
        }
    }

    fn feed(&mut self, n: usize, event: Event) {
        let now = self.clock(n);
        let fx = step(&mut self.daemons[n].state, now, event);
        self.perform(n, fx);
    }

    /// Carries effects out and returns those that are left.
    fn perform(&mut self, n: usize, fx: Vec<Effect>) -> Vec<Effect> {
        let mut left = Vec::new();
        for effect in fx {
            match effect {
                Effect::Answer { ticket, answer } => {
                    let twice = self.answers.insert(ticket, (self.now, answer));
                    assert_eq!(twice, None, "a caller was answered twice");
                }
                Effect::Poll { feed, after } => self.poll(n, feed, after),
                Effect::PollMembers => self.read_members(n),
                Effect::Commit { token, txn } => self.send_commit(n, token, txn),
                Effect::Peer { to, message, .. } => self.ask(n, &to, message),
                other => left.push(other),
            }
        }
        left
    }

    fn poll(&mut self, n: usize, feed: Feed, after: Rev) {
        if self.no_platform.contains(&n) {
            let event = PlatformEvent::PollFailed { feed: Some(feed) };
            return self.post(PLATFORM_TIMEOUT, n, Arrival::Event(Event::Platform(event)));
        }
        let sent = self.clock(n);
        self.post_soon(n, Arrival::Poll { feed, after, sent });
    }

    fn read_members(&mut self, n: usize) {
        if self.no_platform.contains(&n) {
            let event = PlatformEvent::PollFailed { feed: None };
            return self.post(PLATFORM_TIMEOUT, n, Arrival::Event(Event::Platform(event)));
        }
        let sent = self.clock(n);
        self.post_soon(n, Arrival::Members { sent });
    }

    fn send_commit(&mut self, n: usize, token: u64, txn: Txn) {
        let late = self.chance(self.weather.late);
        let unheard = late || self.chance(self.weather.answer_loss);
        let unreachable = self.no_platform.contains(&n);
        if unheard || unreachable {
            let end = TxnOutcome::Unknown;
            let event = Event::Platform(PlatformEvent::Txn {
                token,
                outcome: end,
            });
            self.post(PLATFORM_TIMEOUT, n, Arrival::Event(event));
        }
        if unreachable {
            return;
        }
        let fate = if unheard {
            Fate::Unheard
        } else {
            Fate::Answered
        };
        let arrival = Arrival::Commit { token, txn, fate };
        if late {
            self.post(PLATFORM_TIMEOUT * 2, n, arrival);
        } else {
            self.post_soon(n, arrival);
        }
    }

    fn ask(&mut self, n: usize, to: &str, mut message: PeerMessage) {
        let Some(to) = (0..self.daemons.len()).find(|i| *name(*i) == *to) else {
            return;
        };
        self.doctored(to, &mut message);
        let sent = self.clock(n);
        let silent = Event::PeerReplied {
            to: name(to),
            sent,
            message: message.clone(),
            reply: None,
        };
        self.post(PEER_TIMEOUT, n, Arrival::Event(silent));
        if self.lost() {
            return;
        }
        let copies = if self.chance(self.weather.doubled) {
            2
        } else {
            1
        };
        for copy in 0..copies {
            let arrival = Arrival::Ask {
                from: n,
                life: self.daemons[n].life,
                sent,
                message: message.clone(),
                answered: copy == 0,
            };
            self.post_soon(to, arrival);
        }
    }

    fn doctored(&self, to: usize, message: &mut PeerMessage) {
        if let PeerMessage::Heartbeat(beat) = message {
            (self.doctor)(beat, self.state(to).records.digest());
        }
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        self.cut.contains(&(a.min(b), a.max(b)))
    }

    fn lost(&mut self) -> bool {
        self.chance(self.weather.peer_loss)
    }

    fn chance(&mut self, percent: u32) -> bool {
        percent > 0 && self.rng.random_range(0..100) < percent
    }

    fn post_soon(&mut self, n: usize, arrival: Arrival) {
        let delay = self.rng.random_range(1..=self.weather.delay_ms.max(1));
        self.post(Duration::from_millis(delay), n, arrival);
    }

    fn post(&mut self, delay: Duration, n: usize, arrival: Arrival) {
        self.posted += 1;
        let life = self.daemons[n].life;
        let at = (self.now + delay, self.posted);
        self.queue.insert(at, (n, life, arrival));
    }
}

fn at_platform(arrival: &Arrival) -> bool {
    matches!(
        arrival,
        Arrival::Poll { .. } | Arrival::Members { .. } | Arrival::Commit { .. }
    )
}

pub fn name(n: usize) -> Box<str> {
    format!("d{n}").into()
}

fn members(daemons: usize) -> Vec<Member> {
    let member = |n| {
        let [http, peer] = [8_000, 9_000].map(|port| format!("127.0.0.1:{}", port + n));
        Member::entry(&name(n), &http, &peer, &format!("z{n}"))
    };
    (0..daemons).map(member).collect()
}

fn new_state(n: usize, daemons: usize) -> State {
    let mut options = Options::new(name(n), format!("z{n}").into());
    options.seeds = members(daemons);
    State::new(options)
}
