//! A simulated cell: several reducers over a simulated network and the platform's simulated table.

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

/// Interval between the ticks of a daemon.
const TICK: Duration = Duration::from_millis(50);

/// Timeout of a call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of a call to a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Delays and loss of messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct NetworkConditions {
    /// Percentage of lost messages between daemons, and of lost replies to them.
    pub lost_message_percent: u32,
    /// Percentage of messages between daemons that are delivered twice.
    pub duplicate_percent: u32,
    /// Maximum delay of a message, in milliseconds.
    pub max_delay_ms: u64,
    /// Percentage of transactions whose answer is lost.
    pub lost_answer_percent: u32,
    /// Percentage of transactions that take effect after their sender's timeout.
    pub late_txn_percent: u32,
}

/// A committed row, and the time of its commit.
#[derive(Clone, Debug)]
pub struct Commit {
    pub at: Duration,
    pub row: Row,
}

/// Something delivered to a daemon or, on its behalf, to the platform.
#[derive(Clone, Debug)]
enum Delivery {
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
        answer: AnswerDelivery,
    },
    Event(Event),
    PeerRequest {
        from: usize,
        incarnation: u32,
        sent: Duration,
        message: PeerMessage,
        reply_wanted: bool,
    },
}

/// Whether the answer to a transaction reaches its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerDelivery {
    Delivered,
    Lost,
}

struct Daemon {
    state: State,
    started_at: Duration,
    incarnation: u32,
    paused_until: Duration,
}

/// A simulated cell.
pub struct Cell {
    pub now: Duration,
    pub table: Table,
    pub commits: Vec<Commit>,
    pub network: NetworkConditions,
    /// Daemons that cannot reach the platform.
    pub without_platform: BTreeSet<usize>,
    /// Pairs of daemons that cannot reach each other, with the lower number first.
    pub partitions: BTreeSet<(usize, usize)>,
    /// Modifies heartbeats in transit, to show that the tests detect wrong ones. Called with the
    /// digest of the receiver's rows.
    pub tamper: fn(&mut Heartbeat, u64),
    pub answers: BTreeMap<Ticket, (Duration, Answer)>,
    daemons: Vec<Daemon>,
    queue: BTreeMap<(Duration, u64), (usize, u32, Delivery)>,
    sequence: u64,
    tickets: Ticket,
    rng: SmallRng,
}

impl Cell {
    pub fn new(daemons: usize, seed: u64) -> Self {
        let mut cell = Self {
            now: Duration::ZERO,
            table: Table::default(),
            commits: Vec::new(),
            network: NetworkConditions {
                max_delay_ms: 4,
                ..NetworkConditions::default()
            },
            without_platform: BTreeSet::new(),
            partitions: BTreeSet::new(),
            tamper: |_, _| {},
            answers: BTreeMap::new(),
            daemons: Vec::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            tickets: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        for n in 0..daemons {
            cell.daemons.push(Daemon {
                state: new_state(n, daemons),
                started_at: Duration::ZERO,
                incarnation: 0,
                paused_until: Duration::ZERO,
            });
            cell.schedule(Duration::ZERO, n, Delivery::Tick);
        }
        cell
    }

    pub fn state(&self, n: usize) -> &State {
        &self.daemons[n].state
    }

    pub fn rng(&mut self) -> &mut SmallRng {
        &mut self.rng
    }

    /// Returns the clock reading of a daemon.
    pub fn clock(&self, n: usize) -> Duration {
        self.now.saturating_sub(self.daemons[n].started_at)
    }

    /// Restarts a daemon with empty state.
    pub fn restart(&mut self, n: usize) {
        let daemon_count = self.daemons.len();
        let daemon = &mut self.daemons[n];
        daemon.state = new_state(n, daemon_count);
        daemon.started_at = self.now;
        daemon.incarnation += 1;
        self.schedule(Duration::ZERO, n, Delivery::Tick);
    }

    /// Pauses a daemon; deliveries to it wait until the pause ends.
    pub fn pause(&mut self, n: usize, time: Duration) {
        self.daemons[n].paused_until = self.now + time;
    }

    /// Makes a call to a daemon, without delay.
    pub fn call(&mut self, n: usize, call: Call) -> Ticket {
        self.tickets += 1;
        let ticket = self.tickets;
        self.handle_event(n, Event::Call { ticket, call });
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

    /// Advances the simulated time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self
            .queue
            .first_entry()
            .filter(|entry| entry.key().0 <= end)
        {
            let ((at, _), (n, incarnation, delivery)) = entry.remove_entry();
            self.now = self.now.max(at);
            let daemon = &self.daemons[n];
            if daemon.incarnation != incarnation && !matches!(delivery, Delivery::Commit { .. }) {
                continue;
            }
            let paused = daemon.paused_until > self.now && !is_for_platform(&delivery);
            if paused {
                let remaining_pause = daemon.paused_until.saturating_sub(self.now);
                self.schedule(remaining_pause, n, delivery);
            } else {
                self.deliver(n, incarnation, delivery);
            }
        }
        self.now = end;
    }

    fn deliver(&mut self, n: usize, incarnation: u32, delivery: Delivery) {
        match delivery {
            Delivery::Tick => {
                self.handle_event(n, Event::Tick);
                self.schedule(TICK, n, Delivery::Tick);
            }
            Delivery::Poll { feed, after, sent } => {
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
                self.schedule_after_delay(n, Delivery::Event(Event::Platform(event)));
            }
            Delivery::Members { sent } => {
                let members = members(self.daemons.len());
                let event = PlatformEvent::Members { sent, members };
                self.schedule_after_delay(n, Delivery::Event(Event::Platform(event)));
            }
            Delivery::Commit { token, txn, answer } => {
                let deliver_answer = answer == AnswerDelivery::Delivered
                    && self.daemons[n].incarnation == incarnation;
                self.commit(n, token, &txn, deliver_answer);
            }
            Delivery::Event(event) => self.handle_event(n, event),
            Delivery::PeerRequest {
                from,
                incarnation,
                sent,
                message,
                reply_wanted,
            } => {
                let reply_wanted = reply_wanted && self.daemons[from].incarnation == incarnation;
                self.deliver_peer_request(n, from, sent, &message, reply_wanted);
            }
        }
    }

    fn commit(&mut self, n: usize, token: u64, txn: &Txn, deliver_answer: bool) {
        let outcome = self.table.commit(txn);
        if let Outcome::Committed(rows) = &outcome {
            let at = self.now;
            let commits = rows.iter().cloned().map(|row| Commit { at, row });
            self.commits.extend(commits);
        }
        if deliver_answer {
            let outcome = outcome.into();
            let event = Event::Platform(PlatformEvent::Txn { token, outcome });
            self.schedule_after_delay(n, Delivery::Event(event));
        }
    }

    fn deliver_peer_request(
        &mut self,
        n: usize,
        from: usize,
        sent: Duration,
        message: &PeerMessage,
        reply_wanted: bool,
    ) {
        if self.is_partitioned(n, from) {
            return;
        }
        self.tickets += 1;
        let ticket = self.tickets;
        let event = Event::Peer {
            from: daemon_name(from),
            ticket,
            message: message.clone(),
        };
        let now = self.clock(n);
        let fx = step(&mut self.daemons[n].state, now, event);
        for effect in self.execute(n, fx) {
            if let Effect::PeerReply {
                message: mut reply, ..
            } = effect
                && reply_wanted
                && !self.is_message_lost()
            {
                self.tamper_with(from, &mut reply);
                let event = Event::PeerReplied {
                    to: daemon_name(n),
                    sent,
                    message: message.clone(),
                    reply: Some(reply),
                };
                self.schedule_after_delay(from, Delivery::Event(event));
            }
        }
    }

    fn handle_event(&mut self, n: usize, event: Event) {
        let now = self.clock(n);
        let fx = step(&mut self.daemons[n].state, now, event);
        self.execute(n, fx);
    }

    /// Executes effects and returns those that it does not handle.
    fn execute(&mut self, n: usize, fx: Vec<Effect>) -> Vec<Effect> {
        let mut remaining = Vec::new();
        for effect in fx {
            match effect {
                Effect::Answer { ticket, answer } => {
                    let previous = self.answers.insert(ticket, (self.now, answer));
                    assert_eq!(previous, None, "ticket {ticket} was answered twice");
                }
                Effect::Poll { feed, after } => self.send_poll(n, feed, after),
                Effect::PollMembers => self.send_members_poll(n),
                Effect::Commit { token, txn } => self.send_commit(n, token, txn),
                Effect::Peer { to, message, .. } => self.send_peer_request(n, &to, message),
                other => remaining.push(other),
            }
        }
        remaining
    }

    fn send_poll(&mut self, n: usize, feed: Feed, after: Rev) {
        if self.without_platform.contains(&n) {
            let event = PlatformEvent::PollFailed { feed: Some(feed) };
            return self.schedule(PLATFORM_TIMEOUT, n, Delivery::Event(Event::Platform(event)));
        }
        let sent = self.clock(n);
        self.schedule_after_delay(n, Delivery::Poll { feed, after, sent });
    }

    fn send_members_poll(&mut self, n: usize) {
        if self.without_platform.contains(&n) {
            let event = PlatformEvent::PollFailed { feed: None };
            return self.schedule(PLATFORM_TIMEOUT, n, Delivery::Event(Event::Platform(event)));
        }
        let sent = self.clock(n);
        self.schedule_after_delay(n, Delivery::Members { sent });
    }

    fn send_commit(&mut self, n: usize, token: u64, txn: Txn) {
        let late = self.occurs(self.network.late_txn_percent);
        let answer_lost = late || self.occurs(self.network.lost_answer_percent);
        let unreachable = self.without_platform.contains(&n);
        if answer_lost || unreachable {
            let event = Event::Platform(PlatformEvent::Txn {
                token,
                outcome: TxnOutcome::Unknown,
            });
            self.schedule(PLATFORM_TIMEOUT, n, Delivery::Event(event));
        }
        if unreachable {
            return;
        }
        let answer = if answer_lost {
            AnswerDelivery::Lost
        } else {
            AnswerDelivery::Delivered
        };
        let delivery = Delivery::Commit { token, txn, answer };
        if late {
            self.schedule(PLATFORM_TIMEOUT * 2, n, delivery);
        } else {
            self.schedule_after_delay(n, delivery);
        }
    }

    fn send_peer_request(&mut self, n: usize, to: &str, mut message: PeerMessage) {
        let Some(to) = (0..self.daemons.len()).find(|i| *daemon_name(*i) == *to) else {
            return;
        };
        self.tamper_with(to, &mut message);
        let sent = self.clock(n);
        let timeout = Event::PeerReplied {
            to: daemon_name(to),
            sent,
            message: message.clone(),
            reply: None,
        };
        self.schedule(PEER_TIMEOUT, n, Delivery::Event(timeout));
        if self.is_message_lost() {
            return;
        }
        let copies = if self.occurs(self.network.duplicate_percent) {
            2
        } else {
            1
        };
        for copy in 0..copies {
            let delivery = Delivery::PeerRequest {
                from: n,
                incarnation: self.daemons[n].incarnation,
                sent,
                message: message.clone(),
                reply_wanted: copy == 0,
            };
            self.schedule_after_delay(to, delivery);
        }
    }

    fn tamper_with(&self, to: usize, message: &mut PeerMessage) {
        if let PeerMessage::Heartbeat(beat) = message {
            (self.tamper)(beat, self.state(to).records.digest());
        }
    }

    fn is_partitioned(&self, a: usize, b: usize) -> bool {
        self.partitions.contains(&(a.min(b), a.max(b)))
    }

    fn is_message_lost(&mut self) -> bool {
        self.occurs(self.network.lost_message_percent)
    }

    fn occurs(&mut self, percent: u32) -> bool {
        percent > 0 && self.rng.random_range(0..100) < percent
    }

    fn schedule_after_delay(&mut self, n: usize, delivery: Delivery) {
        let delay = self.rng.random_range(1..=self.network.max_delay_ms.max(1));
        self.schedule(Duration::from_millis(delay), n, delivery);
    }

    fn schedule(&mut self, delay: Duration, n: usize, delivery: Delivery) {
        self.sequence += 1;
        let incarnation = self.daemons[n].incarnation;
        let at = (self.now + delay, self.sequence);
        self.queue.insert(at, (n, incarnation, delivery));
    }
}

fn is_for_platform(delivery: &Delivery) -> bool {
    matches!(
        delivery,
        Delivery::Poll { .. } | Delivery::Members { .. } | Delivery::Commit { .. }
    )
}

pub fn daemon_name(n: usize) -> Box<str> {
    format!("d{n}").into()
}

fn members(daemons: usize) -> Vec<Member> {
    let member = |n| {
        let [http, peer] = [8_000, 9_000].map(|port| format!("127.0.0.1:{}", port + n));
        Member::entry(&daemon_name(n), &http, &peer, &format!("z{n}"))
    };
    (0..daemons).map(member).collect()
}

fn new_state(n: usize, daemons: usize) -> State {
    let mut options = Options::new(daemon_name(n), format!("z{n}").into());
    options.seeds = members(daemons);
    State::new(options)
}
