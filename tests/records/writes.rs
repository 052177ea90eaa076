//! Answers to operators' writes are correct, also if answers of the table are lost.

use std::collections::BTreeMap;
use std::time::Duration;

use ragwortstall::core::effect::Answer;
use ragwortstall::core::model::Rev;
use ragwortstall::core::model::Ticket;
use rand::Rng;

use crate::cell::Cell;
use crate::cell::NetworkConditions;
use crate::support::cases;

const KEYS: [&str; 3] = ["team/a", "team/b", "team/c"];

/// The write sent with a ticket.
struct SentWrite {
    key: &'static str,
    value: String,
}

/// Number of answers by kind.
#[derive(Debug, Default)]
struct AnswerCounts {
    written: usize,
    conflict: usize,
    not_run: usize,
    unknown: usize,
}

/// Returns a value that no other write has.
fn unique_value(ticket: Ticket) -> String {
    format!(r#"{{"limit":{{}},"schema":1,"weight":{}}}"#, ticket + 1)
}

/// Sends writes to random daemons during platform outages, and lets the cell settle.
fn send_random_writes(cell: &mut Cell, daemons: usize) -> BTreeMap<Ticket, SentWrite> {
    let mut writes = BTreeMap::new();
    for n in 0..200 {
        let daemon = cell.rng().random_range(0..daemons);
        let key = KEYS[cell.rng().random_range(0..KEYS.len())];
        let version = cell
            .state(daemon)
            .records
            .row(key)
            .map_or(0, |row| row.version);
        let value = unique_value(n);
        let ticket = cell.write(daemon, key, version, Some(&value));
        writes.insert(ticket, SentWrite { key, value });
        let pause = cell.rng().random_range(0..300);
        cell.run(Duration::from_millis(pause));
        if n % 40 == 39 {
            cell.without_platform = (0..daemons)
                .filter(|d| d % 2 == (n / 40 % 2) as usize)
                .collect();
        } else if n % 40 == 10 {
            cell.without_platform.clear();
        }
    }
    cell.without_platform.clear();
    cell.network = NetworkConditions::default();
    cell.run(Duration::from_secs(30));
    writes
}

/// Compares every answer with the transactions that the table committed.
fn check_answers(cell: &Cell, writes: &BTreeMap<Ticket, SentWrite>) -> AnswerCounts {
    let mut counts = AnswerCounts::default();
    for (ticket, SentWrite { key, value }) in writes {
        let committed: Vec<Rev> = cell
            .commits
            .iter()
            .filter(|commit| commit.row.value.as_deref() == Some(value))
            .map(|commit| commit.row.version)
            .collect();
        assert!(
            committed.len() <= 1,
            "{value} was committed at {committed:?}"
        );
        match cell.answer(*ticket).expect("every write is answered") {
            Answer::Written { version } => {
                counts.written += 1;
                assert_eq!(committed, [*version], "{key} {value}");
            }
            Answer::Conflict { .. } => {
                counts.conflict += 1;
                assert_eq!(committed, [0; 0], "{key} {value}");
            }
            Answer::NotRun { .. } => {
                counts.not_run += 1;
                assert_eq!(committed, [0; 0], "{key} {value}");
            }
            Answer::Unknown { .. } => counts.unknown += 1,
            other => panic!("{other:?}"),
        }
    }
    counts
}

/// Runs random writes with several seeds and returns the total of their answers. No answer may
/// contradict the table.
fn run_seeds(network: NetworkConditions, seeds: u64) -> AnswerCounts {
    let mut total = AnswerCounts::default();
    for seed in 0..seeds {
        let mut cell = Cell::new(3, seed);
        cell.run(Duration::from_secs(1));
        cell.network = network;
        let writes = send_random_writes(&mut cell, 3);
        let counts = check_answers(&cell, &writes);
        total.written += counts.written;
        total.conflict += counts.conflict;
        total.not_run += counts.not_run;
        total.unknown += counts.unknown;
    }
    total
}

fn network(lost_answer_percent: u32, late_txn_percent: u32) -> NetworkConditions {
    NetworkConditions {
        lost_answer_percent,
        late_txn_percent,
        max_delay_ms: 50,
        lost_message_percent: 10,
        duplicate_percent: 5,
    }
}

fn every_answer_is_correct(network: NetworkConditions) {
    let counts = run_seeds(network, 10);
    assert!(counts.written > 0 && counts.conflict > 0, "{counts:?}");
    println!("{counts:?}");
}

cases! { every_answer_is_correct;
    without_lost_answers(network(0, 0)),
    with_lost_answers(network(30, 0)),
    with_late_transactions(network(0, 30)),
    with_lost_answers_and_late_transactions(network(20, 20)),
}

/// A write that took effect without an answer is settled as written, even if another operator has
/// overwritten its value.
#[test]
fn write_with_lost_answer_is_settled_after_it_was_overwritten() {
    let mut cell = Cell::new(2, 1);
    cell.run(Duration::from_secs(1));
    cell.network.lost_answer_percent = 100;
    let first = cell.write(0, "team/a", 0, Some(&unique_value(1)));
    cell.run(Duration::from_millis(1_500));
    cell.network.lost_answer_percent = 0;
    let version = cell.state(1).records.version("team/", "a");
    let second = cell.write(1, "team/a", version, Some(&unique_value(2)));
    cell.run(Duration::from_secs(2));
    assert_eq!(cell.answer(first), Some(&Answer::Written { version }));
    assert!(matches!(cell.answer(second), Some(Answer::Written { .. })));
}

/// Of two concurrent writes, the one that fails is answered with the current row.
#[test]
fn losing_write_is_answered_with_the_current_row() {
    let mut cell = Cell::new(2, 1);
    cell.run(Duration::from_secs(1));
    let tickets = [0, 1].map(|n| cell.write(n, "team/a", 0, Some(&unique_value(n as u64))));
    cell.run(Duration::from_secs(1));
    let row = cell.table.row("team/a");
    let answers = tickets.map(|ticket| cell.answer(ticket).cloned());
    let written = Answer::Written {
        version: row.version,
    };
    let conflict = Answer::Conflict {
        version: row.version,
        value: row.value,
    };
    assert!(answers.contains(&Some(written)), "{answers:?}");
    assert!(answers.contains(&Some(conflict)), "{answers:?}");
}

/// A withdrawn record can be created again through a daemon whose view lacks the withdrawal.
#[test]
fn withdrawn_record_can_be_created_again() {
    let mut cell = Cell::new(2, 1);
    cell.run(Duration::from_secs(1));
    cell.write(0, "team/a", 0, Some(&unique_value(1)));
    cell.run(Duration::from_secs(1));
    let version = cell.state(0).records.version("team/", "a");
    cell.write(0, "team/a", version, None);
    cell.run(Duration::from_secs(1));
    cell.restart(1);
    let ticket = cell.write(1, "team/a", 0, Some(&unique_value(2)));
    cell.run(Duration::from_secs(1));
    assert!(matches!(cell.answer(ticket), Some(Answer::Written { .. })));
}

/// While the platform is unreachable, a sent write is answered as unknown after a timeout.
#[test]
fn unsettled_write_is_answered_as_unknown_in_time() {
    let mut cell = Cell::new(2, 1);
    cell.run(Duration::from_secs(1));
    cell.without_platform.insert(0);
    let first = cell.write(0, "team/a", 0, Some(&unique_value(1)));
    let second = cell.write(0, "team/b", 0, Some(&unique_value(2)));
    cell.run(Duration::from_secs(12));
    assert!(matches!(cell.answer(first), Some(Answer::Unknown { .. })));
    assert!(matches!(cell.answer(second), Some(Answer::NotRun { .. })));
}
