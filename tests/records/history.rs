//! Linearizability of concurrent compare-and-set operations on a record: there must be an order of
//! the operations, consistent with real time, in which a sequential register gives every answer.

use std::collections::HashSet;
use std::time::Duration;

use ragwortstall::core::effect::Answer;
use ragwortstall::core::key;
use ragwortstall::core::model::Rev;
use ragwortstall::core::model::Ticket;
use rand::Rng;

use crate::cell::Cell;
use crate::cell::NetworkConditions;
use crate::support::cases;

/// Index of the operation that wrote a value; `None` if it was withdrawn or never written.
type ValueId = Option<usize>;

/// Answer that a client received.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ClientAnswer {
    Written(Rev),
    Conflict(Rev, ValueId),
    NotRun,
    Unknown,
}

/// A compare-and-set operation as observed by its client.
#[derive(Clone, Debug)]
struct Op {
    started: Duration,
    ended: Duration,
    expect: Rev,
    value: ValueId,
    answer: ClientAnswer,
}

/// State of the register. The version is `None` after a write whose answer was lost, until an
/// answer reveals it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Register {
    value: ValueId,
    version: Option<Rev>,
    /// Lower bound of the version.
    min_version: Rev,
}

const EMPTY: Register = Register {
    value: None,
    version: Some(0),
    min_version: 0,
};

impl Register {
    /// Returns the register with the given version, or `None` if this cannot be its version.
    fn with_version(self, version: Rev) -> Option<Self> {
        let possible = match self.version {
            Some(known) => known == version,
            None => version >= self.min_version,
        };
        possible.then_some(Self {
            version: Some(version),
            min_version: version,
            ..self
        })
    }

    /// Returns the register after an operation, or `None` if the operation's answer contradicts it.
    fn apply(self, op: &Op) -> Option<Self> {
        match op.answer {
            ClientAnswer::Written(version) => {
                let before = self
                    .with_version(op.expect)
                    .or_else(|| self.if_withdrawn(op))?;
                (version > before.min_version).then_some(Self {
                    value: op.value,
                    version: Some(version),
                    min_version: version,
                })
            }
            ClientAnswer::Conflict(version, value) => {
                let same = value == self.value && version != op.expect;
                self.with_version(version).filter(|_| same)
            }
            ClientAnswer::NotRun => Some(self),
            ClientAnswer::Unknown => self.with_version(op.expect).map(|before| Self {
                value: op.value,
                version: None,
                min_version: before.min_version + 1,
            }),
        }
    }

    /// Returns the register if the operation creates a record in place of a withdrawn one, which
    /// may have any version.
    fn if_withdrawn(self, op: &Op) -> Option<Self> {
        (op.expect == 0 && self.value.is_none()).then_some(self)
    }
}

/// State of the search for an order: the operations already in the order, and the register after
/// them.
#[derive(Clone, PartialEq, Eq, Hash)]
struct Search {
    done: Vec<bool>,
    register: Register,
}

impl Search {
    /// Returns the operations that may come next: those that started before any remaining operation
    /// ended.
    fn next(&self, ops: &[Op]) -> Vec<usize> {
        let remaining = |i: &usize| !self.done[*i];
        let is_settled = |i: &usize| remaining(i) && ops[*i].answer != ClientAnswer::Unknown;
        let first_end = (0..ops.len())
            .filter(is_settled)
            .map(|i| ops[i].ended)
            .min();
        let can_be_next = |i: &usize| first_end.is_some_and(|end| ops[*i].started <= end);
        (0..ops.len())
            .filter(remaining)
            .filter(can_be_next)
            .collect()
    }

    fn with(&self, ops: &[Op], i: usize) -> Option<Self> {
        let register = self.register.apply(&ops[i])?;
        let mut done = self.done.clone();
        done[i] = true;
        Some(Self { done, register })
    }
}

/// Returns whether some order of the operations explains their answers.
fn is_linearizable(ops: &[Op]) -> bool {
    let mut visited = HashSet::new();
    let mut stack = vec![Search {
        done: vec![false; ops.len()],
        register: EMPTY,
    }];
    while let Some(search) = stack.pop() {
        let next = search.next(ops);
        if next.is_empty() {
            return true;
        }
        let successors: Vec<Search> = next.iter().filter_map(|&i| search.with(ops, i)).collect();
        // An operation that does not change the register can come first without loss of generality.
        let no_change = successors
            .iter()
            .find(|step| step.register == search.register);
        let successors = no_change.map_or(successors.clone(), |no_change| vec![no_change.clone()]);
        stack.extend(
            successors
                .into_iter()
                .filter(|step| visited.insert(step.clone())),
        );
    }
    false
}

fn op(started: u64, ended: u64, expect: Rev, value: usize, answer: ClientAnswer) -> Op {
    Op {
        started: Duration::from_millis(started),
        ended: Duration::from_millis(ended),
        expect,
        value: Some(value),
        answer,
    }
}

fn check_history(ops: &[Op], expected: bool) {
    assert_eq!(is_linearizable(ops), expected);
}

cases! { check_history;
    sequential_writes(&[
        op(0, 1, 0, 1, ClientAnswer::Written(1)),
        op(2, 3, 1, 2, ClientAnswer::Written(2)),
    ], true),
    conflicting_writes_both_succeed(&[
        op(0, 5, 0, 1, ClientAnswer::Written(1)),
        op(0, 5, 0, 2, ClientAnswer::Written(2)),
    ], false),
    conflict_returns_the_winning_value(&[
        op(0, 5, 0, 1, ClientAnswer::Written(1)),
        op(0, 5, 0, 2, ClientAnswer::Conflict(1, Some(1))),
    ], true),
    conflict_returns_the_losing_value(&[
        op(0, 5, 0, 1, ClientAnswer::Written(1)),
        op(0, 5, 0, 2, ClientAnswer::Conflict(1, Some(2))),
    ], false),
    conflict_returns_an_overwritten_value(&[
        op(0, 1, 0, 1, ClientAnswer::Written(1)),
        op(2, 3, 1, 2, ClientAnswer::Written(2)),
        op(4, 5, 0, 3, ClientAnswer::Conflict(1, Some(1))),
    ], false),
    write_with_lost_answer_took_effect(&[
        op(0, 1, 0, 1, ClientAnswer::Unknown),
        op(2, 3, 0, 2, ClientAnswer::Conflict(7, Some(1))),
    ], true),
    write_with_lost_answer_did_not_take_effect(&[
        op(0, 1, 0, 1, ClientAnswer::Unknown),
        op(2, 3, 0, 2, ClientAnswer::Written(1)),
    ], true),
    write_answered_as_not_run_took_effect(&[
        op(0, 1, 0, 1, ClientAnswer::NotRun),
        op(2, 3, 0, 2, ClientAnswer::Conflict(1, Some(1))),
    ], false),
}

/// Writes sent through the daemons, in the order of their tickets.
struct Client {
    key: String,
    sent: Vec<(Ticket, Duration, Rev, String)>,
}

fn value(key: &str, n: u64) -> String {
    if key.starts_with("key/") {
        format!(r#"{{"label":"{n}","schema":1,"team":"t{n}"}}"#)
    } else {
        format!(r#"{{"limit":{{}},"schema":1,"weight":{}}}"#, n + 1)
    }
}

fn send_writes(cell: &mut Cell, key: &str) -> Client {
    let mut client = Client {
        key: key.into(),
        sent: Vec::new(),
    };
    for n in 0..60 {
        let daemon = cell.rng().random_range(0..3);
        let version = cell
            .state(daemon)
            .records
            .row(key)
            .map_or(0, |row| row.version);
        let value = value(key, n);
        let now = cell.now;
        let ticket = cell.write(daemon, key, version, Some(&value));
        client.sent.push((ticket, now, version, value));
        if n % 2 == 0 {
            let pause = cell.rng().random_range(0..700);
            cell.run(Duration::from_millis(pause));
        }
    }
    cell.network = NetworkConditions::default();
    cell.run(Duration::from_secs(40));
    client
}

fn history(cell: &Cell, client: &Client) -> Vec<Op> {
    let id = |value: &Option<Box<str>>| {
        let value = value.as_deref()?;
        client.sent.iter().position(|sent| sent.3 == value)
    };
    let client_answer = |answer: &Answer| match answer {
        Answer::Written { version } => ClientAnswer::Written(*version),
        Answer::Conflict { version, value } => ClientAnswer::Conflict(*version, id(value)),
        Answer::NotRun { .. } => ClientAnswer::NotRun,
        _ => ClientAnswer::Unknown,
    };
    let sent = client.sent.iter().enumerate();
    sent.map(|(i, (ticket, started, expect, _))| {
        let (ended, answer) = &cell.answers[ticket];
        Op {
            started: *started,
            ended: *ended,
            expect: *expect,
            value: Some(i),
            answer: client_answer(answer),
        }
    })
    .collect()
}

fn send_random_writes(
    key: &str,
    seed: u64,
    lost_answer_percent: u32,
    late_txn_percent: u32,
) -> (Cell, Client) {
    let mut cell = Cell::new(3, seed);
    cell.run(Duration::from_secs(2));
    cell.network = NetworkConditions {
        lost_message_percent: 10,
        duplicate_percent: 10,
        max_delay_ms: 60,
        lost_answer_percent,
        late_txn_percent,
    };
    let client = send_writes(&mut cell, key);
    (cell, client)
}

fn record_key_of_secret() -> String {
    format!("key/{}", key::hash("pickles"))
}

/// Concurrent writes of operators are linearizable. If one answer of the history is changed from
/// written to not run, the check must fail.
fn concurrent_writes_are_linearizable(key: &str, lost_answer_percent: u32, late_txn_percent: u32) {
    for seed in 0..10 {
        let (cell, client) = send_random_writes(key, seed, lost_answer_percent, late_txn_percent);
        let mut ops = history(&cell, &client);
        assert!(
            is_linearizable(&ops),
            "seed {seed}, {}: {ops:#?}",
            client.key
        );
        let is_written = |op: &&mut Op| matches!(op.answer, ClientAnswer::Written(_));
        let op = ops
            .iter_mut()
            .filter(is_written)
            .nth(2)
            .expect("three writes");
        op.answer = ClientAnswer::NotRun;
        assert!(!is_linearizable(&ops), "seed {seed}");
    }
}

cases! { concurrent_writes_are_linearizable;
    record_writes("team/a", 0, 0),
    record_writes_with_lost_answers("team/a", 30, 0),
    record_writes_with_late_transactions("team/a", 15, 15),
    key_writes(&record_key_of_secret(), 0, 0),
    key_writes_with_lost_answers(
        "key/0f0e0d0c0b0a09080706050403020100f0e0d0c0b0a090807060504030201000",
        20,
        10
    ),
}
