//! A withdrawn key stops working within seconds, and keys work on while the table is down.

use std::time::Duration;

use ragwortstall::core::effect::Answer;
use ragwortstall::core::effect::Reason;
use ragwortstall::core::event::Heartbeat;
use ragwortstall::core::key;
use ragwortstall::core::model::TeamId;
use rand::Rng;

use crate::cell::Cell;
use crate::cell::Weather;
use crate::support::cases;

const SECRET: &str = "pickles";

/// Changes a heartbeat on its way to a daemon whose rows have the digest.
type Doctor = fn(&mut Heartbeat, u64);

/// Age up to which the daemons rely on a view.
const BOUND: Duration = Duration::from_secs(3);

/// Time after which all daemons may rely on each other.
const WARM_UP: Duration = Duration::from_secs(70);

fn key_row() -> String {
    format!("key/{}", key::hash(SECRET))
}

fn verify(cell: &Cell, n: usize) -> Result<TeamId, Reason> {
    let state = cell.state(n);
    state.keys.verify(cell.clock(n), &state.records, SECRET)
}

fn grant(cell: &mut Cell, n: usize) {
    let version = cell
        .state(n)
        .records
        .row(&key_row())
        .map_or(0, |row| row.version);
    cell.write(
        n,
        &key_row(),
        version,
        Some(r#"{"schema":1,"team":"spice"}"#),
    );
}

fn withdraw(cell: &mut Cell, n: usize) -> u64 {
    let version = cell
        .state(n)
        .records
        .row(&key_row())
        .map_or(0, |row| row.version);
    cell.write(n, &key_row(), version, None)
}

/// A cell in which the key is good everywhere.
fn warm(daemons: usize, seed: u64) -> Cell {
    let mut cell = Cell::new(daemons, seed);
    cell.run(WARM_UP);
    grant(&mut cell, 0);
    cell.run(Duration::from_secs(2));
    for n in 0..daemons {
        assert_eq!(verify(&cell, n), Ok("spice".into()), "daemon {n}");
    }
    cell
}

fn lose_table(cell: &mut Cell, daemons: usize) {
    cell.no_platform = (0..daemons).collect();
}

/// Proves the vouching of all daemons together: without it (`doctor`), keys stop at the bound.
fn outage_of_the_table(doctor: Doctor, expected: bool) {
    let mut cell = warm(4, 1);
    cell.doctor = doctor;
    lose_table(&mut cell, 4);
    for _ in 0..60 {
        cell.run(Duration::from_secs(1));
        if expected {
            for n in 0..4 {
                assert_eq!(verify(&cell, n), Ok("spice".into()), "daemon {n}");
            }
        }
    }
    for n in 0..4 {
        assert_eq!(verify(&cell, n).is_ok(), expected, "daemon {n}");
    }
}

cases! { outage_of_the_table;
    keys_work_on_while_all_daemons_vouch(hide_nothing, true),
    keys_stop_when_nobody_vouches(|beat, _| beat.has_pending_writes = true, false),
    keys_stop_when_rows_of_peers_are_missing(|beat, _| beat.digest = 1, false),
}

/// Proves that an outage is told from a cut: one silent daemon could be writing.
fn cut_during_outage(silent: usize, expected: Reason) {
    let mut cell = warm(3, 2);
    lose_table(&mut cell, 3);
    cell.no_platform.remove(&silent);
    for n in 0..3 {
        cell.cut.insert((n.min(silent), n.max(silent)));
    }
    cell.run(BOUND + Duration::from_secs(1));
    for n in (0..3).filter(|n| *n != silent) {
        assert_eq!(verify(&cell, n), Err(expected), "daemon {n}");
    }
    assert!(verify(&cell, silent).is_ok());
    let ticket = withdraw(&mut cell, silent);
    cell.run(Duration::from_secs(1));
    assert!(matches!(cell.answer(ticket), Some(Answer::Written { .. })));
    assert_eq!(verify(&cell, silent), Err(Reason::Unauthorized));
    cell.cut.clear();
    cell.run(Duration::from_secs(4));
    for n in 0..3 {
        assert_eq!(verify(&cell, n), Err(Reason::Unauthorized), "daemon {n}");
    }
}

cases! { cut_during_outage;
    cut_daemon_can_write(0, Reason::KeyUnverifiable),
    last_daemon_can_write(2, Reason::KeyUnverifiable),
}

/// Proves that a writer whose answer was lost vouches for nobody until it knows the end.
fn writer_that_lost_an_answer(doctor: Doctor, expected: &Result<TeamId, Reason>) {
    let mut cell = warm(2, 9);
    cell.doctor = doctor;
    cell.weather.answer_loss = 100;
    cell.cut.insert((0, 1));
    cell.no_platform.insert(1);
    withdraw(&mut cell, 0);
    while cell.table.row(&key_row()).value.is_some() {
        cell.run(Duration::from_millis(1));
    }
    lose_table(&mut cell, 2);
    cell.cut.clear();
    cell.run(Duration::from_secs(10));
    assert_eq!(verify(&cell, 1), *expected);
}

cases! { writer_that_lost_an_answer;
    open_write_is_told_to_peers(hide_nothing, &Err(Reason::KeyUnverifiable)),
    hidden_open_write_leaves_the_key_good(hide_open_writes, &Ok("spice".into())),
}

/// Proves that a view counts as fresh through a peer that reads the table.
#[test]
fn daemon_without_table_relies_on_a_peer_with_it() {
    let mut cell = warm(3, 3);
    cell.no_platform.insert(0);
    cell.cut.insert((0, 1));
    cell.run(Duration::from_secs(30));
    assert!(verify(&cell, 0).is_ok());
    withdraw(&mut cell, 1);
    cell.run(BOUND);
    assert_eq!(verify(&cell, 0), Err(Reason::Unauthorized));
}

/// Proves that the age of a view counts while the process does not run.
#[test]
fn daemon_that_was_paused_verifies_nothing_at_first() {
    let mut cell = warm(2, 4);
    cell.pause(0, Duration::from_secs(10));
    cell.run(Duration::from_millis(100));
    withdraw(&mut cell, 1);
    cell.run(Duration::from_millis(9_899));
    assert_eq!(verify(&cell, 0), Err(Reason::KeyUnverifiable));
    cell.run(Duration::from_secs(1));
    assert_eq!(verify(&cell, 0), Err(Reason::Unauthorized));
}

/// Proves that proposals stop a key before the slow write of its withdrawal ends.
#[test]
fn proposed_withdrawal_stops_the_key_at_once() {
    let mut cell = warm(3, 5);
    cell.weather.late = 100;
    withdraw(&mut cell, 0);
    cell.run(Duration::from_millis(20));
    for n in 0..3 {
        assert_eq!(verify(&cell, n), Err(Reason::KeyUnverifiable), "daemon {n}");
    }
    assert!(cell.table.row(&key_row()).value.is_some());
}

/// Proves that proposals end with a write that took no effect.
#[test]
fn key_is_good_again_after_a_withdrawal_that_failed() {
    let mut cell = warm(3, 6);
    cell.no_platform.insert(0);
    let ticket = withdraw(&mut cell, 0);
    cell.run(Duration::from_secs(1));
    assert_eq!(verify(&cell, 1), Err(Reason::KeyUnverifiable));
    cell.no_platform.clear();
    cell.run(Duration::from_secs(5));
    assert!(matches!(cell.answer(ticket), Some(Answer::NotRun { .. })));
    for n in 0..3 {
        assert_eq!(verify(&cell, n), Ok("spice".into()), "daemon {n}");
    }
}

/// Proves that a daemon which others do not know of withdraws no key.
#[test]
fn unknown_daemon_withdraws_no_key() {
    let mut cell = warm(3, 7);
    cell.cut.insert((0, 1));
    cell.restart(0);
    cell.run(Duration::from_secs(3));
    let ticket = withdraw(&mut cell, 0);
    cell.run(Duration::from_secs(1));
    let refused = Answer::NotRun {
        reason: Reason::PeersUnaware,
        retry_after: Some(Duration::from_secs(1)),
    };
    assert_eq!(cell.answer(ticket), Some(&refused));
}

/// Proves that a daemon started during an outage of the table serves from its peers' rows.
#[test]
fn daemon_started_without_table_gets_rows_and_freshness_from_peers() {
    let mut cell = warm(3, 8);
    lose_table(&mut cell, 3);
    cell.run(Duration::from_secs(5));
    cell.restart(1);
    cell.run(Duration::from_secs(4));
    assert_eq!(verify(&cell, 1), Err(Reason::KeyUnverifiable));
    assert!(cell.state(1).records.row(&key_row()).is_some());
    cell.no_platform.remove(&2);
    cell.run(Duration::from_secs(4));
    assert_eq!(verify(&cell, 1), Ok("spice".into()));
}

/// One random run; returns the longest time for which a withdrawn key was accepted.
fn longest_after_withdrawal(seed: u64, doctor: Doctor) -> Duration {
    let daemons = 4;
    let mut cell = warm(daemons, seed);
    cell.doctor = doctor;
    cell.weather = Weather {
        peer_loss: 20,
        doubled: 10,
        delay_ms: 40,
        answer_loss: 20,
        late: 10,
    };
    let mut longest = Duration::ZERO;
    for round in 0..120 {
        if round % 4 == 0 {
            shake(&mut cell, daemons);
        }
        let n = cell.rng().random_range(0..daemons);
        match cell.rng().random_range(0..6) {
            0 => drop(withdraw(&mut cell, n)),
            1 => grant(&mut cell, n),
            _ => {}
        }
        for _ in 0..10 {
            cell.run(Duration::from_millis(100));
            let accepted = (0..daemons).any(|n| verify(&cell, n).is_ok());
            if let (true, Some(since)) = (accepted, withdrawn_since(&cell)) {
                longest = longest.max(cell.now.saturating_sub(since));
            }
        }
    }
    longest
}

/// Cuts and heals at random, and now and then restarts or pauses a daemon.
fn shake(cell: &mut Cell, daemons: usize) {
    cell.cut.clear();
    cell.no_platform.clear();
    for a in 0..daemons {
        if cell.rng().random_bool(0.6) {
            cell.no_platform.insert(a);
        }
        for b in 0..a {
            if cell.rng().random_bool(0.2) {
                cell.cut.insert((b, a));
            }
        }
    }
    let n = cell.rng().random_range(0..daemons);
    match cell.rng().random_range(0..12) {
        0 => cell.restart(n),
        1 => cell.pause(n, Duration::from_secs(4)),
        _ => {}
    }
}

/// When the key was withdrawn, if the table shows it so.
fn withdrawn_since(cell: &Cell) -> Option<Duration> {
    let key = key_row();
    let last = cell
        .commits
        .iter()
        .rev()
        .find(|commit| *commit.row.key == *key)?;
    last.row.value.is_none().then_some(last.at)
}

/// Proves the bound on a withdrawn key's life over random cuts, outages, restarts and pauses. With
/// heartbeats that hide writes under way and missing rows, some run must break it.
fn withdrawn_key_stops(doctor: Doctor, holds: bool) {
    let longest = (0..40)
        .map(|seed| longest_after_withdrawal(seed, doctor))
        .max()
        .unwrap_or_default();
    assert_eq!(longest <= BOUND, holds, "accepted for {longest:?}");
}

fn hide_nothing(_: &mut Heartbeat, _: u64) {}

fn hide_age(beat: &mut Heartbeat, _: u64) {
    beat.table_age = Duration::ZERO;
}

fn hide_open_writes(beat: &mut Heartbeat, _: u64) {
    beat.has_pending_writes = false;
}

fn hide_missing_rows(beat: &mut Heartbeat, digest: u64) {
    beat.digest = digest;
}

cases! { withdrawn_key_stops;
    withdrawn_key_stops_within_the_bound(hide_nothing, true),
    age_of_peers_views_is_needed(hide_age, false),
    rows_of_peers_are_needed(hide_missing_rows, false),
}
