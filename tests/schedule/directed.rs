//! Schedules made for one mechanism each: they hold with it and break without it.

use std::time::Duration;

use super::drifting;
use super::plan::Fault;
use super::plan::Plan;
use super::plan::Setup;
use super::plan::Side;
use super::plan::Timed;
use super::plan::Work;
use super::run_plan;
use super::support::cases;

/// Times at which the answers of a VM are cut, over one renewal interval.
const CUTS: u64 = 12;

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn work(at: Duration, count: u32) -> Work {
    Work {
        at,
        daemon: 1,
        team: 0,
        count,
        run_time: secs(9),
        again: false,
        cancel: None,
        gang: false,
    }
}

fn timed(at: Duration, lasts: Duration, fault: Fault) -> Timed {
    Timed { at, lasts, fault }
}

/// A placer dies while its successor cannot reach one VM, on which tasks run.
fn hidden_tasks(vm: usize) -> Plan {
    let cut = Fault::CutBoth(Side::Daemon(1), Side::Vm(vm));
    Plan {
        seed: 1,
        faults: vec![
            timed(secs(8), secs(12), cut),
            timed(secs(9), secs(15), Fault::KillDaemon(0)),
        ],
        work: vec![work(secs(5), 6), work(secs(12), 6)],
    }
}

fn one_zone() -> Setup {
    Setup {
        zones: 1,
        vms_per_zone: 5,
        ..Setup::default()
    }
}

/// What breaks, if anything does, whichever VM the successor cannot reach.
fn hidden_tasks_break(setup: Setup) -> Vec<String> {
    (0..setup.vms_per_zone)
        .filter_map(|vm| run_plan(setup, &hidden_tasks(vm)).err())
        .collect()
}

#[test]
fn hidden_tasks_are_kept_apart() {
    assert_eq!(hidden_tasks_break(one_zone()), Vec::<String>::new());
}

/// Proves that a new placer starts nothing that may run on a VM it has not heard.
#[test]
fn without_holding_back() {
    let mut setup = one_zone();
    // Else the team's limit would keep the tasks back as well.
    setup.safeguards.reserve_unknown_capacity = false;
    setup.safeguards.escrow = false;
    setup.safeguards.defer_existing_jobs = false;
    let broken = hidden_tasks_break(setup);
    assert!(
        broken.iter().any(|broken| broken.contains(" on vm")),
        "{broken:?}"
    );
}

/// Proves that limits are kept by counting VMs that were not heard as full.
#[test]
fn without_unknown_capacity() {
    let mut setup = one_zone();
    setup.safeguards.reserve_unknown_capacity = false;
    let broken = hidden_tasks_break(setup);
    assert!(
        broken.iter().any(|broken| broken.contains("team t0 runs")),
        "{broken:?}"
    );
}

/// Renewals reach a VM whose answers do not come back, until its holder takes it for lost.
fn answers_cut(setup: Setup) -> Vec<String> {
    let setup = Setup {
        opposed_drift: true,
        ..setup
    };
    (0..CUTS)
        .filter_map(|cut| {
            let at = secs(6) + Duration::from_millis(50 * cut);
            let cut = Fault::Cut(Side::Vm(0), Side::Zone(0));
            let long = Work {
                run_time: secs(20),
                ..work(secs(5), 7)
            };
            let plan = Plan {
                seed: 1,
                faults: vec![timed(at, secs(12), cut)],
                work: vec![long],
            };
            run_plan(setup, &plan).err()
        })
        .collect()
}

#[test]
fn with_drift_margin() {
    assert_eq!(answers_cut(drifting(50_000)), Vec::<String>::new());
}

/// Proves that a VM is taken for lost too early without the margin.
#[test]
fn without_drift_margin() {
    let broken = answers_cut(drifting(0));
    assert!(
        broken.iter().any(|broken| broken.contains(" on vm")),
        "{broken:?}"
    );
}

/// Two gangs of one team, in two zones, that fit its limit only one after the other.
fn gangs_take_turns(second: u64) {
    let gang = |at, daemon, count| Work {
        at,
        daemon,
        team: 1,
        count,
        run_time: secs(3),
        gang: true,
        ..work(at, count)
    };
    let plan = Plan {
        seed: 1,
        faults: Vec::new(),
        work: vec![
            gang(secs(8), 0, 3),
            gang(secs(8) + Duration::from_millis(second), 2, 5),
        ],
    };
    assert_eq!(run_plan(Setup::default(), &plan), Ok(()));
}

cases! { gangs_take_turns;
    gangs_at_once(0),
    gangs_half_a_second_apart(500),
    gangs_two_seconds_apart(2_000),
}
