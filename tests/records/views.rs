//! Views of the records never revert, and a change reaches all daemons within seconds.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use ragwortstall::core::Event;
use ragwortstall::core::Options;
use ragwortstall::core::State;
use ragwortstall::core::effect::Answer;
use ragwortstall::core::event::Feed;
use ragwortstall::core::event::PlatformEvent;
use ragwortstall::core::model::Rev;
use ragwortstall::core::model::Row;
use ragwortstall::core::record::Records;
use ragwortstall::core::step;

use crate::cell::Cell;
use crate::cell::NetworkConditions;
use crate::support::cases;

/// Time within which a change must reach all daemons.
const PROPAGATION_TIME: Duration = Duration::from_secs(5);

fn row(key: u8, version: Rev) -> Row {
    Row {
        key: format!("team/{key}").into(),
        version,
        value: (!version.is_multiple_of(3)).then(|| format!("v{version}").into()),
    }
}

fn batches() -> impl Strategy<Value = Vec<Vec<(u8, Rev)>>> {
    vec(vec((0..4_u8, 1..30_u64), 0..6), 0..20)
}

/// A row is replaced only by one of a higher version, also if it is a withdrawal.
#[test]
fn view_has_the_highest_version_of_each_row_in_any_order() {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(500), rng);
    let result = runner.run(&batches(), |batches| {
        let mut records = Records::default();
        let mut highest: BTreeMap<u8, Rev> = BTreeMap::new();
        for batch in batches {
            let rows: Vec<Row> = batch
                .iter()
                .map(|&(key, version)| row(key, version))
                .collect();
            records.apply(&rows);
            for (key, version) in batch {
                let known = highest.entry(key).or_default();
                *known = version.max(*known);
            }
            for (&key, &version) in &highest {
                assert_eq!(
                    records.row(&format!("team/{key}")),
                    Some(&row(key, version))
                );
            }
        }
        Ok(())
    });
    assert!(result.is_ok(), "{result:?}");
}

/// Views have the same digest exactly if they have the same rows, in whatever order these arrived.
#[test]
fn digests_are_equal_exactly_if_the_rows_are() {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(200), rng);
    let rows = (vec((0..4_u8, 1..9_u64), 0..9), any::<bool>());
    let result = runner.run(&rows, |(rows, drop_last)| {
        let mut rows: Vec<Row> = rows.into_iter().map(|(key, at)| row(key, at)).collect();
        let mut one = Records::default();
        one.apply(&rows);
        if drop_last {
            rows.pop();
        }
        rows.reverse();
        let mut other = Records::default();
        other.apply(&rows);
        assert_eq!(one.digest() == other.digest(), one.rows_equal(&other));
        Ok(())
    });
    assert!(result.is_ok(), "{result:?}");
}

trait RowsEqual {
    fn rows_equal(&self, other: &Self) -> bool;
}

impl RowsEqual for Records {
    fn rows_equal(&self, other: &Self) -> bool {
        let sorted = |records: &Self| {
            let mut rows = records.rows_after(0);
            rows.sort_by(|a, b| a.key.cmp(&b.key));
            rows
        };
        sorted(self) == sorted(other)
    }
}

fn changes(sent: u64, rows: Vec<Row>, rev: Rev) -> Event {
    Event::Platform(PlatformEvent::Changes {
        feed: Feed::Records,
        sent: Duration::from_millis(sent),
        rows,
        rev,
    })
}

/// Guards against an answer of the table that is older than the view: it must lower neither rows
/// nor revision, and must not make keys count as fresh.
#[test]
fn stale_answer_of_the_table_is_ignored() {
    let mut state = State::new(Options::new("d0".into(), "z0".into()));
    let now = Duration::from_millis(100);
    step(&mut state, now, changes(50, vec![row(1, 5), row(2, 6)], 6));
    let older = changes(4_000, vec![row(1, 2), row(2, 4)], 4);
    step(&mut state, Duration::from_secs(5), older);
    assert_eq!(state.records.row("team/1"), Some(&row(1, 5)));
    assert_eq!(state.records.row("team/2"), Some(&row(2, 6)));
    assert_eq!(state.records.rev(), 6);
    assert!(!state.keys.is_fresh(Duration::from_secs(5)));
}

/// A change accepted by one daemon reaches all others in time, pushed by it or read from the table
/// or a peer.
fn change_reaches_all_daemons(network: NetworkConditions, without_platform: &[usize]) {
    for seed in 0..20 {
        let mut cell = Cell::new(4, seed);
        cell.run(Duration::from_secs(2));
        cell.network = network;
        cell.without_platform.extend(without_platform);
        cell.run(Duration::from_secs(3));
        let value = r#"{"schema":1,"limit":{}}"#;
        let ticket = cell.write(0, "team/a", 0, Some(value));
        while cell.answer(ticket).is_none() {
            cell.run(Duration::from_millis(10));
        }
        let Some(Answer::Written { version }) = cell.answer(ticket).cloned() else {
            panic!("seed {seed}: {:?}", cell.answer(ticket));
        };
        cell.run(PROPAGATION_TIME);
        for n in 0..4 {
            let row = cell.state(n).records.row("team/a");
            assert_eq!(
                row.map(|row| row.version),
                Some(version),
                "seed {seed}, daemon {n}"
            );
        }
    }
}

fn lossy_network(lost_message_percent: u32) -> NetworkConditions {
    NetworkConditions {
        lost_message_percent,
        duplicate_percent: 20,
        max_delay_ms: 100,
        ..NetworkConditions::default()
    }
}

cases! { change_reaches_all_daemons;
    without_faults(NetworkConditions::default(), &[]),
    through_the_table_only(lossy_network(100), &[]),
    through_peers_only(lossy_network(0), &[1, 2, 3]),
    through_peers_with_lost_messages(lossy_network(30), &[1, 2, 3]),
}

/// The version of a record never decreases in any view, with lost answers, late transactions and
/// platform outages.
#[test]
fn views_never_revert() {
    for seed in 0..20 {
        let mut cell = Cell::new(3, seed);
        cell.run(Duration::from_secs(1));
        cell.network = NetworkConditions {
            lost_answer_percent: 20,
            late_txn_percent: 20,
            ..lossy_network(30)
        };
        let mut seen = [0; 3];
        for round in 0..60 {
            let n = round % 3;
            cell.without_platform.clear();
            if round % 10 > 5 {
                cell.without_platform.insert((round / 10) % 3);
            }
            let version = cell.state(n).records.version("team/", "a");
            let value = (round % 4 != 0).then_some(r#"{"schema":1,"limit":{}}"#);
            cell.write(n, "team/a", version, value);
            for _ in 0..5 {
                cell.run(Duration::from_millis(100));
                for (n, seen) in seen.iter_mut().enumerate() {
                    let version = cell.state(n).records.version("team/", "a");
                    assert!(version >= *seen, "seed {seed}, daemon {n}");
                    *seen = version;
                }
            }
        }
        assert!(seen.iter().all(|version| *version > 0), "seed {seed}");
    }
}
