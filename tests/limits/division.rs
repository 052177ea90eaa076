//! Division of a fleet-wide limit among zones whose writes all succeed.

use std::time::Duration;

use ragwortstall::core::limit::Escrow;
use ragwortstall::core::limit::TeamUsage;
use ragwortstall::core::model::Resources;
use ragwortstall::core::model::Txn;
use ragwortstall_standins::platform::Table;

use crate::support::cases;

/// Returns the resources of `n` tasks of one core each.
fn cores(n: u32) -> Resources {
    Resources::new(n * 1_000, n * 1_000, 0, n)
}

/// Runs rounds in which each zone in turn reads all changes, plans and commits at once; returns the
/// allotment of each zone.
fn run(rounds: u32, limit: u32, wanted: &[u32]) -> Vec<Resources> {
    let mut table = Table::default();
    let mut zones: Vec<Escrow> = (0..wanted.len())
        .map(|i| Escrow::new(format!("z{i}").into()))
        .collect();
    for zone in &mut zones {
        zone.begin_tenure();
    }
    for round in 0..rounds {
        let now = Duration::from_secs(u64::from(round) + 1);
        for (zone, &wanted) in zones.iter_mut().zip(wanted) {
            zone.apply(&table.changes(&["escrow/"], 0));
            let usage = TeamUsage {
                team: "t".into(),
                limit: cores(limit),
                limit_version: 1,
                wanted: cores(wanted),
                ..TeamUsage::default()
            };
            let Some(write) = zone.plan_write(now, &usage) else {
                continue;
            };
            let writes = vec![write];
            zone.handle_write_outcome("t", &table.commit(&Txn { writes }).into());
        }
    }
    zones.iter().map(|zone| zone.allotment("t")).collect()
}

fn every_zone_gets_what_it_wants(limit: u32, wanted: &[u32]) {
    let held = run(10, limit, wanted);
    for (held, &wanted) in held.iter().zip(wanted) {
        assert!(held.holds(&cores(wanted)), "{held:?} for {wanted}");
    }
}

cases! { every_zone_gets_what_it_wants;
    one_zone_takes_the_whole_limit(10, &[10]),
    later_zone_gets_the_unused_part(10, &[0, 10]),
    limit_is_split_by_demand(20, &[3, 5, 12]),
    nine_zones_get_equal_shares(900, &[100; 9]),
}

/// Guards against an equal division of the limit between two zones whose gangs each need more than
/// half of it, with which neither gang would ever start. The gang that has waited longest must get
/// all it needs once the other tasks of its team, which run in the second zone, have ended. Those
/// tasks must not be preempted for it.
#[test]
fn limit_is_not_split_equally_between_waiting_gangs() {
    let mut table = Table::default();
    let mut zones = [Escrow::new("z0".into()), Escrow::new("z1".into())];
    for zone in &mut zones {
        zone.begin_tenure();
    }
    let gang_sizes = [4, 6];
    let mut started = [false; 2];
    for round in 0..24 {
        let gangs_submitted = round >= 4;
        for (i, zone) in zones.iter_mut().enumerate() {
            if i == 0 && !gangs_submitted {
                continue;
            }
            zone.apply(&table.changes(&["escrow/"], 0));
            started[i] |= gangs_submitted && zone.allotment("t").holds(&cores(gang_sizes[i]));
            let has_older_tasks = i == 1 && (2..12).contains(&round);
            let used =
                if has_older_tasks { 3 } else { 0 } + if started[i] { gang_sizes[i] } else { 0 };
            let is_waiting = gangs_submitted && !started[i];
            let needs = if is_waiting { used + gang_sizes[i] } else { 0 };
            let usage = TeamUsage {
                team: "t".into(),
                limit: cores(6),
                limit_version: 1,
                used: cores(used),
                wanted: cores(needs.max(3)),
                needs: cores(needs),
                ..TeamUsage::default()
            };
            if let Some(write) = zone.plan_write(Duration::from_secs(round + 1), &usage) {
                let writes = vec![write];
                zone.handle_write_outcome("t", &table.commit(&Txn { writes }).into());
            }
            assert!(zone.ceiling("t").holds(&cores(used)), "round {round}");
        }
    }
    assert_eq!(started, [true, false]);
}
