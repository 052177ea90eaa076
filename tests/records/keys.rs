//! A withdrawn key is refused within seconds, and other keys stay valid while the table is down.

use std::time::Duration;

use ragwortstall::core::effect::Answer;
use ragwortstall::core::effect::Reason;
use ragwortstall::core::event::Heartbeat;
use ragwortstall::core::key;
use ragwortstall::core::model::TeamId;
use rand::Rng;

use crate::cell::Cell;
use crate::cell::NetworkConditions;
use crate::support::cases;

const SECRET: &str = "pickles";

/// Modifies a heartbeat in transit; called with the digest of the receiver's rows.
type Tamper = fn(&mut Heartbeat, u64);

/// Maximum age of a view that the daemons rely on.
const MAX_VIEW_AGE: Duration = Duration::from_secs(3);

/// Time after its start at which each daemon relies on the others.
const WARM_UP: Duration = Duration::from_secs(70);

fn record_key() -> String {
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
        .row(&record_key())
        .map_or(0, |row| row.version);
    cell.write(
        n,
        &record_key(),
        version,
        Some(r#"{"schema":1,"team":"spice"}"#),
    );
}

fn withdraw(cell: &mut Cell, n: usize) -> u64 {
    let version = cell
        .state(n)
        .records
        .row(&record_key())
        .map_or(0, |row| row.version);
    cell.write(n, &record_key(), version, None)
}

/// Returns a cell in which every daemon accepts the key.
fn warmed_up_cell(daemons: usize, seed: u64) -> Cell {
    let mut cell = Cell::new(daemons, seed);
    cell.run(WARM_UP);
    grant(&mut cell, 0);
    cell.run(Duration::from_secs(2));
    for n in 0..daemons {
        assert_eq!(verify(&cell, n), Ok("spice".into()), "daemon {n}");
    }
    cell
}

fn make_table_unreachable(cell: &mut Cell, daemons: usize) {
    cell.without_platform = (0..daemons).collect();
}

/// While the table is down, keys stay valid as long as all daemons report equal rows and no pending
/// writes. If a heartbeat reports otherwise, keys become unverifiable.
fn table_outage(tamper: Tamper, expected: bool) {
    let mut cell = warmed_up_cell(4, 1);
    cell.tamper = tamper;
    make_table_unreachable(&mut cell, 4);
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

cases! { table_outage;
    keys_stay_valid_while_no_daemon_has_pending_writes(no_tampering, true),
    keys_are_unverifiable_while_peers_have_pending_writes(
        |beat, _| beat.has_pending_writes = true,
        false
    ),
    keys_are_unverifiable_while_rows_of_peers_are_missing(|beat, _| beat.digest = 1, false),
}

/// Guards against taking a partition for an outage of the table: an isolated daemon that can reach
/// the table could withdraw a key, so the others must not rely on their views.
fn partition_during_outage(isolated: usize, expected: Reason) {
    let mut cell = warmed_up_cell(3, 2);
    make_table_unreachable(&mut cell, 3);
    cell.without_platform.remove(&isolated);
    for n in 0..3 {
        cell.partitions.insert((n.min(isolated), n.max(isolated)));
    }
    cell.run(MAX_VIEW_AGE + Duration::from_secs(1));
    for n in (0..3).filter(|n| *n != isolated) {
        assert_eq!(verify(&cell, n), Err(expected), "daemon {n}");
    }
    assert!(verify(&cell, isolated).is_ok());
    let ticket = withdraw(&mut cell, isolated);
    cell.run(Duration::from_secs(1));
    assert!(matches!(cell.answer(ticket), Some(Answer::Written { .. })));
    assert_eq!(verify(&cell, isolated), Err(Reason::Unauthorized));
    cell.partitions.clear();
    cell.run(Duration::from_secs(4));
    for n in 0..3 {
        assert_eq!(verify(&cell, n), Err(Reason::Unauthorized), "daemon {n}");
    }
}

cases! { partition_during_outage;
    key_is_unverifiable_while_the_first_daemon_is_isolated(0, Reason::KeyUnverifiable),
    key_is_unverifiable_while_the_last_daemon_is_isolated(2, Reason::KeyUnverifiable),
}

/// Guards against a writer whose withdrawal took effect but got no answer: it must report a pending
/// write to its peers until it knows the outcome. With that hidden, the peer accepts the key.
fn writer_without_answer(tamper: Tamper, expected: &Result<TeamId, Reason>) {
    let mut cell = warmed_up_cell(2, 9);
    cell.tamper = tamper;
    cell.network.lost_answer_percent = 100;
    cell.partitions.insert((0, 1));
    cell.without_platform.insert(1);
    withdraw(&mut cell, 0);
    while cell.table.row(&record_key()).value.is_some() {
        cell.run(Duration::from_millis(1));
    }
    make_table_unreachable(&mut cell, 2);
    cell.partitions.clear();
    cell.run(Duration::from_secs(10));
    assert_eq!(verify(&cell, 1), *expected);
}

cases! { writer_without_answer;
    pending_write_is_reported_to_peers(no_tampering, &Err(Reason::KeyUnverifiable)),
    hidden_pending_write_leaves_the_key_valid(hide_pending_writes, &Ok("spice".into())),
}

/// A daemon that cannot reach the table relies on a peer that can.
#[test]
fn daemon_without_table_relies_on_a_peer_with_access() {
    let mut cell = warmed_up_cell(3, 3);
    cell.without_platform.insert(0);
    cell.partitions.insert((0, 1));
    cell.run(Duration::from_secs(30));
    assert!(verify(&cell, 0).is_ok());
    withdraw(&mut cell, 1);
    cell.run(MAX_VIEW_AGE);
    assert_eq!(verify(&cell, 0), Err(Reason::Unauthorized));
}

/// Guards against a paused process that takes its view for fresh when it continues.
#[test]
fn paused_daemon_verifies_no_key_until_its_view_is_fresh() {
    let mut cell = warmed_up_cell(2, 4);
    cell.pause(0, Duration::from_secs(10));
    cell.run(Duration::from_millis(100));
    withdraw(&mut cell, 1);
    cell.run(Duration::from_millis(9_899));
    assert_eq!(verify(&cell, 0), Err(Reason::KeyUnverifiable));
    cell.run(Duration::from_secs(1));
    assert_eq!(verify(&cell, 0), Err(Reason::Unauthorized));
}

/// A key is no longer accepted once its withdrawal is proposed, before the slow write is committed.
#[test]
fn proposed_withdrawal_makes_the_key_unverifiable_at_once() {
    let mut cell = warmed_up_cell(3, 5);
    cell.network.late_txn_percent = 100;
    withdraw(&mut cell, 0);
    cell.run(Duration::from_millis(20));
    for n in 0..3 {
        assert_eq!(verify(&cell, n), Err(Reason::KeyUnverifiable), "daemon {n}");
    }
    assert!(cell.table.row(&record_key()).value.is_some());
}

/// A proposal ends when its write provably took no effect.
#[test]
fn key_is_valid_again_after_a_failed_withdrawal() {
    let mut cell = warmed_up_cell(3, 6);
    cell.without_platform.insert(0);
    let ticket = withdraw(&mut cell, 0);
    cell.run(Duration::from_secs(1));
    assert_eq!(verify(&cell, 1), Err(Reason::KeyUnverifiable));
    cell.without_platform.clear();
    cell.run(Duration::from_secs(5));
    assert!(matches!(cell.answer(ticket), Some(Answer::NotRun { .. })));
    for n in 0..3 {
        assert_eq!(verify(&cell, n), Ok("spice".into()), "daemon {n}");
    }
}

/// Guards against a withdrawal through a daemon that some peer does not know: the peer relies on
/// the reports of the daemons that it knows, and would miss this write.
#[test]
fn daemon_unknown_to_a_peer_cannot_withdraw_a_key() {
    let mut cell = warmed_up_cell(3, 7);
    cell.partitions.insert((0, 1));
    cell.restart(0);
    cell.run(Duration::from_secs(3));
    let ticket = withdraw(&mut cell, 0);
    cell.run(Duration::from_secs(1));
    let expected_answer = Answer::NotRun {
        reason: Reason::PeersUnaware,
        retry_after: Some(Duration::from_secs(1)),
    };
    assert_eq!(cell.answer(ticket), Some(&expected_answer));
}

/// A daemon that starts while the table is down uses the rows of its peers.
#[test]
fn daemon_started_during_an_outage_gets_rows_and_freshness_from_peers() {
    let mut cell = warmed_up_cell(3, 8);
    make_table_unreachable(&mut cell, 3);
    cell.run(Duration::from_secs(5));
    cell.restart(1);
    cell.run(Duration::from_secs(4));
    assert_eq!(verify(&cell, 1), Err(Reason::KeyUnverifiable));
    assert!(cell.state(1).records.row(&record_key()).is_some());
    cell.without_platform.remove(&2);
    cell.run(Duration::from_secs(4));
    assert_eq!(verify(&cell, 1), Ok("spice".into()));
}

/// Runs random faults and returns the longest time for which a withdrawn key was accepted.
fn longest_acceptance(seed: u64, tamper: Tamper) -> Duration {
    let daemons = 4;
    let mut cell = warmed_up_cell(daemons, seed);
    cell.tamper = tamper;
    cell.network = NetworkConditions {
        lost_message_percent: 20,
        duplicate_percent: 10,
        max_delay_ms: 40,
        lost_answer_percent: 20,
        late_txn_percent: 10,
    };
    let mut longest = Duration::ZERO;
    for round in 0..120 {
        if round % 4 == 0 {
            change_faults(&mut cell, daemons);
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
            if let (true, Some(since)) = (accepted, withdrawal_time(&cell)) {
                longest = longest.max(cell.now.saturating_sub(since));
            }
        }
    }
    longest
}

/// Replaces the partitions and platform outages by random ones, and may restart or pause a daemon.
fn change_faults(cell: &mut Cell, daemons: usize) {
    cell.partitions.clear();
    cell.without_platform.clear();
    for a in 0..daemons {
        if cell.rng().random_bool(0.6) {
            cell.without_platform.insert(a);
        }
        for b in 0..a {
            if cell.rng().random_bool(0.2) {
                cell.partitions.insert((b, a));
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

/// Returns the time of the key's withdrawal, or `None` if the key is not withdrawn in the table.
fn withdrawal_time(cell: &Cell) -> Option<Duration> {
    let key = record_key();
    let last = cell
        .commits
        .iter()
        .rev()
        .find(|commit| *commit.row.key == *key)?;
    last.row.value.is_none().then_some(last.at)
}

/// A withdrawn key is accepted for no longer than the bound, with random partitions, outages,
/// restarts and pauses. If heartbeats hide the age of views or missing rows, some run must exceed
/// the bound.
fn withdrawn_key(tamper: Tamper, holds: bool) {
    let longest = (0..40)
        .map(|seed| longest_acceptance(seed, tamper))
        .max()
        .unwrap_or_default();
    assert_eq!(longest <= MAX_VIEW_AGE, holds, "accepted for {longest:?}");
}

fn no_tampering(_: &mut Heartbeat, _: u64) {}

fn hide_age(beat: &mut Heartbeat, _: u64) {
    beat.table_age = Duration::ZERO;
}

fn hide_pending_writes(beat: &mut Heartbeat, _: u64) {
    beat.has_pending_writes = false;
}

fn hide_missing_rows(beat: &mut Heartbeat, digest: u64) {
    beat.digest = digest;
}

cases! { withdrawn_key;
    withdrawn_key_is_refused_within_the_bound(no_tampering, true),
    key_is_accepted_too_long_if_view_ages_are_hidden(hide_age, false),
    key_is_accepted_too_long_if_missing_rows_are_hidden(hide_missing_rows, false),
}
