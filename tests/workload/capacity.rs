//! Daemons on unequal hosts: those with more capacity take the placer role first.

use std::time::Duration;

use ragwortstall::core::workload::capacity::HostCapacity;
use ragwortstall::core::workload::decision::Decision;
use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::table::HEARTBEATS;
use ragwortstall::core::workload::table::RowId;
use ragwortstall::core::workload::table::Transaction;

use crate::harness::Harness;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;

const LARGE: HostCapacity = HostCapacity {
    millicores: 500,
    bandwidth_kbps: 200_000,
    memory_mib: 260,
};

const SMALL: HostCapacity = HostCapacity {
    millicores: 120,
    bandwidth_kbps: 10_000,
    memory_mib: 260,
};

/// Half the capacity of [`LARGE`], the least that is fit for the placer.
const MEDIUM: HostCapacity = HostCapacity {
    millicores: 250,
    bandwidth_kbps: 100_000,
    memory_mib: 260,
};

/// Longest time in milliseconds until a takeover after the loss of a host: the time without a
/// heartbeat, the random delay, the delay for capacity, and calls.
const TAKEOVER_MILLIS: u64 = 2_500;

/// Runs the cell until it has a placer that is not `former`; returns it and the time that passed.
fn next_placer(harness: &mut Harness, former: usize) -> (usize, Duration) {
    let since = harness.now;
    for _ in 0..TAKEOVER_MILLIS {
        if let Some(next) = harness.placer()
            && next != former
        {
            return (next, harness.now.saturating_sub(since));
        }
        harness.run_for(1);
    }
    panic!("no other placer than daemon {former} within {TAKEOVER_MILLIS} ms");
}

/// Returns the number of times that a daemon has handed the role over.
fn hand_overs(harness: &Harness) -> usize {
    let is_hand_over = |decision: &&Decision| match decision {
        Decision::RoleLost { reason, .. } => reason.contains("handed over"),
        _ => false,
    };
    harness.decisions.iter().filter(is_hand_over).count()
}

/// Returns a cell of one large and two small hosts in which the large one is down and daemon 1, on
/// a small one, is the placer.
fn cell_without_its_large_host() -> Harness {
    let mut harness = Harness::with_hosts(&[LARGE, SMALL, SMALL], 2);
    assert_eq!(harness.placer(), Some(0));
    harness.kill_host(0);
    assert_eq!(next_placer(&mut harness, 0).0, 1);
    harness
}

#[test]
fn the_larger_host_takes_over_though_its_random_delay_is_longer() {
    let mut harness = Harness::with_hosts(&[LARGE, SMALL, SMALL, LARGE], 2);
    assert_eq!(harness.placer(), Some(0));
    harness.kill_host(0);
    assert_eq!(next_placer(&mut harness, 0).0, 3);
    harness.run_for(3_000);
    assert_eq!(harness.placer_count(), 1);
}

/// Guards against a small host with a short random delay that claims the role before the only
/// other fit host, whose delays are the longest of all.
#[test]
fn a_fit_host_claims_the_role_before_each_small_one() {
    let mut hosts = vec![SMALL; 12];
    hosts[10] = LARGE;
    hosts[9] = MEDIUM;
    let mut harness = Harness::with_hosts(&hosts, 2);
    assert_eq!(harness.placer(), Some(10));
    harness.kill_host(10);
    assert_eq!(next_placer(&mut harness, 10).0, 9);
}

/// Guards against a small host that leaves the role to fit hosts of which none is alive.
#[test]
fn a_small_host_takes_over_when_all_known_fit_hosts_are_dead() {
    let mut harness = Harness::with_hosts(&[LARGE, SMALL, LARGE, MEDIUM], 2);
    for fit in [3, 2, 0] {
        harness.kill_host(fit);
    }
    assert_eq!(next_placer(&mut harness, 0).0, 1);
}

/// Guards against an additional delay of small hosts where no fit host is left to defer to.
#[test]
fn a_small_host_defers_to_no_host_if_only_the_lost_placer_was_fit() {
    let mut harness = Harness::with_hosts(&[LARGE, SMALL, SMALL], 2);
    harness.kill_host(0);
    let (_, took) = next_placer(&mut harness, 0);
    assert!(took < Duration::from_millis(1_800), "{took:?}");
}

/// Guards against a restarted process on a small host that claims its former role although a fit
/// host could have it.
#[test]
fn a_restarted_placer_on_a_small_host_leaves_the_role_to_a_large_one() {
    let mut harness = cell_without_its_large_host();
    harness.restart(0);
    harness.run_for(300);
    let epoch = harness.epoch().expect("a placer");
    harness.kill(1);
    harness.run_for(100);
    harness.restart(1);
    assert_eq!(next_placer(&mut harness, 1).0, 0);
    assert_eq!(harness.epoch(), Some(epoch + 1));
}

#[test]
fn the_larger_host_takes_over_soon_after_the_placers_process_has_ended() {
    let mut harness = Harness::with_hosts(&[LARGE, SMALL, SMALL, LARGE], 2);
    assert_eq!(harness.placer(), Some(0));
    harness.kill(0);
    let (next, took) = next_placer(&mut harness, 0);
    assert_eq!(next, 3);
    assert!(took < Duration::from_millis(600), "{took:?}");
}

#[test]
fn large_hosts_find_out_that_the_placers_process_has_ended_in_a_cell_of_many_small_ones() {
    let mut hosts = vec![LARGE; 8];
    hosts.resize(40, SMALL);
    let mut harness = Harness::with_hosts(&hosts, 2);
    let mut placer = harness.placer().expect("a placer");
    for _ in 0..4 {
        harness.kill(placer);
        let (next, took) = next_placer(&mut harness, placer);
        assert!(hosts[next] == LARGE, "daemon {next}");
        assert!(took < Duration::from_millis(600), "{took:?}");
        harness.run_for(1_000);
        placer = next;
    }
}

#[test]
fn a_large_host_has_the_role_soon_after_the_first_start() {
    // Daemon 0 claims the role before it knows the others.
    let mut harness = Harness::with_hosts(&[SMALL, SMALL, LARGE], 2);
    harness.run_for(2_000);
    assert_eq!(harness.placer(), Some(2));
    assert_eq!(harness.placer_count(), 1);
    assert_eq!(hand_overs(&harness), 1);
}

#[test]
fn a_small_host_takes_over_when_the_large_one_is_gone() {
    let mut harness = cell_without_its_large_host();
    let epoch = harness.epoch();
    let submission = job(vec![step(4, 500, &[])]);
    assert_eq!(harness.submit(2, ID, submission), Reply::Accepted);
    harness.run_for(3_000);
    assert_eq!(harness.state(2, ID), Some(JobState::Completed));
    // The large host was known before and did not claim: the role stays.
    harness.run_for(15_000);
    assert_eq!((harness.placer(), harness.epoch()), (Some(1), epoch));
}

#[test]
fn an_idle_placer_on_a_small_host_hands_over_to_a_large_one_that_appears() {
    let mut harness = cell_without_its_large_host();
    harness.restart(0);
    harness.run_for(4_000);
    assert_eq!(harness.placer(), Some(0));
    assert_eq!(harness.placer_count(), 1);
    assert_eq!(hand_overs(&harness), 1);
    let submission = job(vec![step(4, 500, &[])]);
    assert_eq!(harness.submit(2, ID, submission), Reply::Accepted);
    harness.run_for(3_000);
    assert_eq!(harness.state(2, ID), Some(JobState::Completed));
    assert_eq!(harness.starts.len(), 4);
}

/// Returns the same cell with a job of four tasks of 12 s that have been started.
fn busy_cell_without_its_large_host() -> Harness {
    let mut harness = cell_without_its_large_host();
    let submission = job(vec![step(4, 12_000, &[])]);
    assert_eq!(harness.submit(2, ID, submission), Reply::Accepted);
    harness.run_for(500);
    assert_eq!(harness.starts.len(), 4);
    harness
}

#[test]
fn a_busy_placer_on_a_small_host_hands_over_to_a_large_one_that_appears() {
    let mut harness = busy_cell_without_its_large_host();
    harness.restart(0);
    harness.run_for(4_000);
    assert_eq!(harness.placer(), Some(0));
    assert_eq!(harness.placer_count(), 1);
    assert_eq!(hand_overs(&harness), 1);
    assert_eq!(harness.state(2, ID), Some(JobState::Running));
    harness.run_for(8_500);
    assert_eq!(harness.state(2, ID), Some(JobState::Completed));
    assert_eq!(harness.starts.len(), 4);
    assert_eq!((harness.placer(), hand_overs(&harness)), (Some(0), 1));
}

#[test]
fn a_busy_placer_on_a_small_host_hands_over_to_a_large_one_that_was_cut_off() {
    let mut harness = Harness::with_hosts(&[LARGE, SMALL, SMALL], 2);
    let submission = job(vec![step(4, 12_000, &[])]);
    assert_eq!(harness.submit(2, ID, submission), Reply::Accepted);
    harness.run_for(500);
    harness.set_table_reachable(0, false);
    assert_eq!(next_placer(&mut harness, 0).0, 1);
    harness.set_table_reachable(0, true);
    harness.run_for(6_000);
    assert_eq!(harness.placer(), Some(0));
    assert_eq!(hand_overs(&harness), 1);
    harness.run_for(4_500);
    assert_eq!(harness.state(2, ID), Some(JobState::Completed));
    assert_eq!(harness.starts.len(), 4);
}

#[test]
fn a_busy_placer_finds_the_large_host_that_is_alive_among_dead_ones() {
    let mut harness = Harness::with_hosts(&[LARGE, SMALL, LARGE, LARGE], 2);
    for large in [2, 3, 0] {
        harness.kill_host(large);
    }
    assert_eq!(next_placer(&mut harness, 0).0, 1);
    let submission = job(vec![step(4, 12_000, &[])]);
    assert_eq!(harness.submit(1, ID, submission), Reply::Accepted);
    harness.run_for(500);
    harness.restart(3);
    harness.run_for(6_000);
    assert_eq!(harness.placer(), Some(3));
    assert_eq!(hand_overs(&harness), 1);
    harness.run_for(6_500);
    assert_eq!(harness.state(1, ID), Some(JobState::Completed));
    assert_eq!(harness.starts.len(), 4);
}

#[test]
fn a_busy_placer_on_a_small_host_keeps_the_role_while_the_large_one_is_dead() {
    for with_host in [false, true] {
        let mut harness = Harness::with_hosts(&[LARGE, SMALL, SMALL], 2);
        if with_host {
            harness.kill_host(0);
        } else {
            harness.kill(0);
        }
        assert_eq!(next_placer(&mut harness, 0).0, 1);
        let epoch = harness.epoch();
        let probes = harness.probes;
        let submission = job(vec![step(4, 40_000, &[])]);
        assert_eq!(harness.submit(2, ID, submission), Reply::Accepted);
        harness.run_for(38_000);
        assert_eq!(harness.state(2, ID), Some(JobState::Running));
        assert_eq!((harness.placer(), harness.epoch()), (Some(1), epoch));
        assert_eq!(hand_overs(&harness), 0);
        let probes = harness.probes - probes;
        assert!((20..=38).contains(&probes), "{probes} probes in 38 s");
    }
}

#[test]
fn a_busy_placer_seldom_hands_over_to_a_large_host_that_listens_but_cannot_claim() {
    let mut harness = Harness::with_hosts(&[LARGE, SMALL, SMALL], 2);
    harness.set_table_reachable(0, false);
    assert_eq!(next_placer(&mut harness, 0).0, 1);
    let lasting = job(vec![step(1, 59_000, &[])]);
    assert_eq!(harness.submit(1, ID, lasting), Reply::Accepted);
    for ix in 0..20 {
        let id = format!("00000000000001{ix:02}");
        let submission = job(vec![step(2, 500, &[])]);
        assert_eq!(harness.submit(1, &id, submission), Reply::Accepted);
        harness.run_for(3_000);
        assert_eq!(harness.state(1, &id), Some(JobState::Completed), "{id}");
    }
    assert!(
        (1..=3).contains(&hand_overs(&harness)),
        "{} in 60 s",
        hand_overs(&harness)
    );
    assert_eq!(harness.placer_count(), 1);
    assert_eq!(harness.state(1, ID), Some(JobState::Completed));
    assert_eq!(harness.starts.len(), 41);
}

#[test]
fn a_busy_placer_on_a_large_host_or_among_equal_ones_probes_no_daemon() {
    for hosts in [
        [LARGE, SMALL, SMALL],
        [SMALL; 3],
        [HostCapacity::default(); 3],
    ] {
        let mut harness = Harness::with_hosts(&hosts, 2);
        let epoch = harness.epoch();
        let submission = job(vec![step(4, 35_000, &[])]);
        assert_eq!(harness.submit(2, ID, submission), Reply::Accepted);
        harness.run_for(34_000);
        assert_eq!((harness.placer(), harness.epoch()), (Some(0), epoch));
        assert_eq!(harness.probes, 0);
    }
}

/// Returns the time from the restart of the large host until a busy placer's hand-over, in
/// milliseconds.
fn time_to_busy_hand_over() -> u64 {
    let mut harness = busy_cell_without_its_large_host();
    harness.restart(0);
    for millis in 0..4_000 {
        if hand_overs(&harness) > 0 {
            return millis;
        }
        harness.run_for(1);
    }
    panic!("no hand-over within 4 s");
}

#[test]
fn a_hand_over_that_the_table_refuses_ends_no_running_task() {
    let hand_over = time_to_busy_hand_over();
    // The release is sent 3 ms before the placer learns that it is committed.
    for before in 3..13 {
        let mut harness = busy_cell_without_its_large_host();
        harness.restart(0);
        harness.run_for(hand_over - before);
        harness.commits_refused_until = harness.now + Duration::from_secs(6);
        harness.run_for(14_000);
        assert_eq!(harness.state(2, ID), Some(JobState::Completed));
        assert_eq!(harness.starts.len(), 4, "refused {before} ms before");
        assert_eq!(harness.placer(), Some(0));
    }
}

#[test]
fn a_placer_that_is_drained_while_it_hands_the_role_over_exits() {
    let mut placers = Vec::new();
    for drained_after in (1_800..2_600).step_by(50) {
        let mut harness = cell_without_its_large_host();
        harness.restart(0);
        // A commit takes 0.2 s, so that some drains start while the role is being handed over.
        harness.table_latency = Duration::from_millis(50);
        harness.run_for(drained_after);
        placers.push(harness.placer());
        harness.drain(1);
        harness.run_for(1_500);
        assert!(!harness.is_up(1), "drained after {drained_after} ms");
        harness.run_for(1_000);
        assert_eq!(harness.placer(), Some(0));
        assert_eq!(harness.placer_count(), 1);
    }
    assert_eq!(placers.first(), Some(&Some(1)));
    assert_eq!(placers.last(), Some(&Some(0)));
}

#[test]
fn a_small_host_takes_over_from_a_large_one_that_is_drained() {
    let mut harness = Harness::with_hosts(&[LARGE, SMALL, SMALL], 2);
    let submission = job(vec![step(4, 2_000, &[])]);
    assert_eq!(harness.submit(2, ID, submission), Reply::Accepted);
    harness.run_for(500);
    harness.drain(0);
    assert_eq!(next_placer(&mut harness, 0).0, 1);
    harness.run_for(4_000);
    assert_eq!(harness.state(2, ID), Some(JobState::Completed));
    assert_eq!(harness.starts.len(), 4);
}

#[test]
fn the_role_is_seldom_handed_over_while_the_large_host_cannot_claim_it() {
    let mut harness = cell_without_its_large_host();
    harness.run_for(100_000);
    assert!(
        (1..=4).contains(&hand_overs(&harness)),
        "{} in 100 s",
        hand_overs(&harness)
    );
    assert_eq!(harness.placer_count(), 1);
}

#[test]
fn a_placer_claims_the_role_again_if_no_other_daemon_does() {
    let mut harness = Harness::with_hosts(&[LARGE, SMALL], 2);
    harness.kill_host(0);
    harness.run_for(33_000);
    assert_eq!(hand_overs(&harness), 1);
    harness.run_for(1_000);
    assert_eq!(harness.placer(), Some(1));
    let submission = job(vec![step(4, 500, &[])]);
    assert_eq!(harness.submit(1, ID, submission), Reply::Accepted);
    harness.run_for(2_000);
    assert_eq!(harness.state(1, ID), Some(JobState::Completed));
}

#[test]
fn the_role_returns_to_a_large_host_that_was_cut_off() {
    let mut harness = Harness::with_hosts(&[LARGE, SMALL, SMALL], 2);
    harness.set_table_reachable(0, false);
    harness.run_for(5_000);
    assert_eq!(harness.placer(), Some(1));
    harness.set_table_reachable(0, true);
    harness.run_for(40_000);
    assert_eq!(harness.placer(), Some(0));
    assert_eq!(harness.placer_count(), 1);
}

#[test]
fn the_role_stays_in_a_cell_of_equal_hosts() {
    for hosts in [[SMALL; 3], [HostCapacity::default(); 3]] {
        let mut harness = Harness::with_hosts(&hosts, 2);
        let epoch = harness.epoch();
        assert_eq!(harness.placer(), Some(0));
        harness.run_for(20_000);
        assert_eq!((harness.placer(), harness.epoch()), (Some(0), epoch));
        assert_eq!(harness.placer_count(), 1);
    }
}

#[test]
fn a_daemon_that_publishes_no_capacity_counts_as_equal() {
    let mut harness = Harness::with_hosts(&[HostCapacity::default(), LARGE], 2);
    let epoch = harness.epoch();
    // The row of a daemon of an earlier version.
    let row = RowId::new(HEARTBEATS, "daemons", "entry-9");
    let txn = Transaction {
        put: vec![(row, br#"{"peer":"entry-9"}"#.to_vec())],
        ..Transaction::default()
    };
    harness.table.commit(&txn);
    harness.run_for(40_000);
    let is_unreadable = |decision: &Decision| matches!(decision, Decision::RowUnreadable { .. });
    assert!(!harness.decisions.iter().any(is_unreadable));
    assert_eq!((harness.placer(), harness.epoch()), (Some(0), epoch));
}
