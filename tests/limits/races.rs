//! A team's running tasks stay within its limit under races, lost answers, late writes and
//! takeovers.

use rand::Rng;

use crate::fleet::Faults;
use crate::fleet::Fleet;
use crate::fleet::Safeguards;
use crate::support::cases;

/// Number of zones of the cell for which the scheduler is designed.
const ZONES: usize = 9;

/// Rounds per second.
const ROUNDS_PER_SECOND: u32 = 10;

const ALL_FAULTS: Faults = Faults {
    lost_answers: 15,
    lost_writes: 10,
    late_writes: 15,
    takeovers: 2,
    lost_reads: 30,
};

/// Runs one random history; returns the first violated invariant as an error.
fn run(seed: u64, faults: Faults, safeguards: Safeguards, limits: &[u32]) -> Result<(), String> {
    let mut fleet = Fleet::new(ZONES, limits[0], seed, safeguards);
    fleet.faults = faults;
    let mut outdated = fleet.table.row("escrow/t");
    for round in 0..30 * ROUNDS_PER_SECOND {
        if round % (10 * ROUNDS_PER_SECOND) == 10 * ROUNDS_PER_SECOND - 1 {
            let next = fleet.rng().random_range(0..limits.len());
            fleet.set_limit(limits[next]);
        }
        let n = fleet.rng().random_range(0..ZONES);
        if fleet.chance(30) {
            fleet.zones[n].waiting = fleet.rng().random_range(0..12);
        }
        if fleet.chance(5) {
            fleet.zones[n].gang = fleet.rng().random_range(0..5);
        }
        if fleet.chance(20) {
            fleet.apply_row(n, &outdated);
            outdated = fleet.table.row("escrow/t");
        }
        fleet.step(4)?;
        let is_limit_fixed = limits.len() == 1;
        if is_limit_fixed && fleet.running() > limits[0] {
            let running = fleet.running();
            return Err(format!("{running} tasks run with a limit of {}", limits[0]));
        }
    }
    Ok(())
}

/// Guards against a team with more running tasks than its limit. No zone may run more than it holds
/// according to the row, and the row's total must not grow above the limit. After the limit was
/// lowered, the running tasks are thus within what the zones held at that time, and their number
/// only falls until it is within the new limit. If `hold` is false, some seed must violate this.
fn limit_invariants(faults: Faults, safeguards: Safeguards, limits: &[u32], hold: bool) {
    let violations: Vec<String> = (0..12)
        .filter_map(|seed| run(seed, faults, safeguards, limits).err())
        .collect();
    assert_eq!(violations.is_empty(), hold, "{violations:?}");
}

cases! { limit_invariants;
    limit_holds_without_faults(Faults::default(), Safeguards::ALL, &[20], true),
    limit_holds_with_all_faults(ALL_FAULTS, Safeguards::ALL, &[20], true),
    limit_holds_while_it_changes(ALL_FAULTS, Safeguards::ALL, &[20, 40, 9, 0], true),
    limit_is_violated_if_a_new_placer_trusts_the_row(
        ALL_FAULTS,
        Safeguards { new_tenures: false, ..Safeguards::ALL },
        &[20],
        false
    ),
}

/// Guards against a zone that starts tasks on a share which a late write then lowers. The write
/// that lowers the share ends with an unknown outcome, and the zone's load returns before the write
/// is committed.
fn late_lowering_write(safeguards: Safeguards, holds: bool) {
    let mut fleet = Fleet::new(2, 10, 1, safeguards);
    fleet.zones[0].waiting = 10;
    for _ in 0..ROUNDS_PER_SECOND {
        fleet.step(0).unwrap();
    }
    assert_eq!(fleet.zones[0].running, 10);
    fleet.zones[1].waiting = 10;
    for _ in 0..2 * ROUNDS_PER_SECOND {
        fleet.step(0).unwrap();
    }
    fleet.faults.late_writes = 100;
    fleet.zones[0].running = 0;
    let violation = (0..4 * ROUNDS_PER_SECOND).find_map(|round| {
        if round == ROUNDS_PER_SECOND {
            fleet.zones[0].waiting = 10;
        }
        fleet.step(0).err()
    });
    assert_eq!(violation.is_none(), holds, "{violation:?}");
}

cases! { late_lowering_write;
    late_lowering_write_limits_the_zone_before_its_commit(Safeguards::ALL, true),
    limit_is_violated_if_a_late_lowering_write_is_ignored(
        Safeguards { unknown_outcomes: false, ..Safeguards::ALL },
        false
    ),
}

/// Runs until no task is waiting and returns the number of rounds; panics after `max_rounds`.
fn run_until_all_started(fleet: &mut Fleet, max_rounds: u32) -> u32 {
    for round in 0..max_rounds {
        if fleet.zones.iter().all(|zone| zone.waiting == 0) {
            return round;
        }
        fleet.step(10).unwrap();
    }
    let zones = fleet.zones.iter();
    let counts: Vec<_> = zones.map(|zone| (zone.running, zone.waiting)).collect();
    panic!(
        "tasks still waiting after {max_rounds} rounds (running, waiting): {counts:?}, {:?}",
        fleet.row()
    );
}

/// Guards against starvation: all tasks must start, with the shares of idle zones where necessary.
fn all_tasks_start(limit: u32, waiting: &[u32], gangs: &[u32], faults: Faults) {
    for seed in 0..3 {
        let mut fleet = Fleet::new(waiting.len(), limit, seed, Safeguards::ALL);
        fleet.faults = faults;
        for (zone, (&waiting, &gang)) in fleet.zones.iter_mut().zip(waiting.iter().zip(gangs)) {
            zone.waiting = waiting;
            zone.gang = gang;
        }
        run_until_all_started(&mut fleet, 300 * ROUNDS_PER_SECOND);
    }
}

cases! { all_tasks_start;
    all_tasks_start_with_more_zones_than_the_limit_allows_tasks(
        4, &[3; 9], &[0; 9], Faults::default(),
    ),
    all_tasks_start_of_two_gangs_that_do_not_fit_together(5, &[3, 4], &[3, 4], Faults::default()),
    all_tasks_start_of_a_gang_and_independent_tasks(5, &[50, 5], &[0, 5], Faults::default()),
    all_tasks_start_with_gangs_in_every_zone(5, &[5; 9], &[5; 9], Faults::default()),
    all_tasks_start_with_all_faults(10, &[5, 20, 5, 40], &[5, 0, 0, 8], ALL_FAULTS),
}

/// Guards against a zone that blocks the others because it is partitioned from the table while its
/// gang is first in line.
#[test]
fn partitioned_zone_first_in_line_is_skipped() {
    let mut fleet = Fleet::new(3, 6, 1, Safeguards::ALL);
    fleet.zones[0].waiting = 6;
    for _ in 0..2 * ROUNDS_PER_SECOND {
        fleet.step(0).unwrap();
    }
    fleet.zones[1].waiting = 6;
    fleet.zones[1].gang = 6;
    for _ in 0..2 * ROUNDS_PER_SECOND {
        fleet.step(0).unwrap();
    }
    let row = fleet.row().unwrap();
    assert!(row.zones["z1"].since > 0, "{row:?}");
    fleet.zones[1].partitioned = true;
    fleet.zones[2].waiting = 20;
    for _ in 0..40 * ROUNDS_PER_SECOND {
        fleet.step(5).unwrap();
    }
    assert_eq!(fleet.zones[2].waiting, 0, "{:?}", fleet.row());
}

/// A zone must get the shares that idle zones hold within the time in which urgent jobs have to
/// start.
#[test]
fn idle_share_moves_within_seconds() {
    let mut fleet = Fleet::new(ZONES, 100, 1, Safeguards::ALL);
    fleet.zones[0].waiting = 100;
    for _ in 0..3 * ROUNDS_PER_SECOND {
        fleet.step(0).unwrap();
    }
    assert_eq!(fleet.zones[0].running, 100);
    for _ in 0..20 * ROUNDS_PER_SECOND {
        fleet.step(5).unwrap();
    }
    assert_eq!(fleet.zones[0].running, 0);
    fleet.zones[5].waiting = 30;
    for _ in 0..3 * ROUNDS_PER_SECOND {
        fleet.step(0).unwrap();
    }
    assert_eq!(fleet.zones[5].running, 30);
}

/// A lowered limit takes effect as tasks end. The number of running tasks must not grow before it
/// is within the limit.
#[test]
fn lowered_limit_takes_effect_as_tasks_end() {
    let mut fleet = Fleet::new(ZONES, 90, 1, Safeguards::ALL);
    for zone in &mut fleet.zones {
        zone.waiting = 1_000;
    }
    for _ in 0..10 * ROUNDS_PER_SECOND {
        fleet.step(0).unwrap();
    }
    assert!(fleet.running() > 80, "{}", fleet.running());
    fleet.set_limit(30);
    let mut last = fleet.running();
    for _ in 0..30 * ROUNDS_PER_SECOND {
        fleet.step(2).unwrap();
        if last > 30 {
            assert!(
                fleet.running() <= last,
                "{} tasks run after {last}",
                fleet.running()
            );
        }
        last = fleet.running();
    }
    assert!(last <= 30, "{last} tasks run");
}

/// Guards against a write for each small change of the load.
#[test]
fn slightly_varying_load_needs_few_writes() {
    let mut fleet = Fleet::new(ZONES, 900, 1, Safeguards::ALL);
    for round in 0..120 * ROUNDS_PER_SECOND {
        for n in 0..ZONES {
            let load = fleet.rng().random_range(40..60);
            let running = fleet.zones[n].running;
            fleet.zones[n].waiting = load.max(running) - running;
        }
        if round == 20 * ROUNDS_PER_SECOND {
            fleet.writes = 0;
        }
        fleet.step(10).unwrap();
    }
    println!("writes in 100 s: {}", fleet.writes);
    assert!(fleet.writes <= 20, "{}", fleet.writes);
}

/// Guards against zones that compete for one limit and repeatedly move the same share to and fro.
#[test]
fn contention_needs_few_writes() {
    let mut fleet = Fleet::new(ZONES, 90, 1, Safeguards::ALL);
    for round in 0..120 * ROUNDS_PER_SECOND {
        for zone in &mut fleet.zones {
            zone.waiting = 200;
        }
        if round == 20 * ROUNDS_PER_SECOND {
            fleet.writes = 0;
        }
        let writes_before = fleet.writes;
        fleet.step(5).unwrap();
        if fleet.writes > writes_before && round > 200 {
            println!("{round} {:?}", fleet.row());
        }
    }
    println!("writes in 100 s: {}", fleet.writes);
    assert!(fleet.writes <= 100, "{}", fleet.writes);
}
