//! Schedules that each target one mechanism: the invariants hold with it and are violated without
//! it.

use std::time::Duration;

use super::drifting;
use super::plan::Fault;
use super::plan::LinkEnd;
use super::plan::Plan;
use super::plan::Setup;
use super::plan::Submission;
use super::plan::TimedFault;
use super::run_plan;
use super::support::cases;

/// Number of times within a renewal interval at which the answers of a VM start to be lost.
const PARTITION_TIMES: u64 = 12;

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn submission(at: Duration, count: u32) -> Submission {
    Submission {
        at,
        daemon: 1,
        team: 0,
        count,
        run_time: secs(9),
        repeated: false,
        cancel: None,
        gang: false,
    }
}

fn timed_fault(at: Duration, duration: Duration, fault: Fault) -> TimedFault {
    TimedFault {
        at,
        duration,
        fault,
    }
}

/// Returns a plan in which the placer is killed while its successor cannot reach a VM that runs
/// tasks.
fn takeover_with_unreachable_vm(vm: usize) -> Plan {
    let partition = Fault::Partition(LinkEnd::Daemon(1), LinkEnd::Vm(vm));
    Plan {
        seed: 1,
        faults: vec![
            timed_fault(secs(8), secs(12), partition),
            timed_fault(secs(9), secs(15), Fault::KillDaemon(0)),
        ],
        submissions: vec![submission(secs(5), 6), submission(secs(12), 6)],
    }
}

fn one_zone() -> Setup {
    Setup {
        zones: 1,
        vms_per_zone: 5,
        ..Setup::default()
    }
}

/// Returns the violations over all choices of the VM that the successor cannot reach.
fn takeover_violations(setup: Setup) -> Vec<String> {
    (0..setup.vms_per_zone)
        .filter_map(|vm| run_plan(setup, &takeover_with_unreachable_vm(vm)).err())
        .collect()
}

#[test]
fn tasks_on_an_unreachable_vm_are_not_started_again() {
    assert_eq!(takeover_violations(one_zone()), Vec::<String>::new());
}

/// Guards against a new placer starting tasks that may still run on a VM that has not reported to
/// it.
#[test]
fn tasks_run_twice_if_existing_jobs_are_not_deferred() {
    let mut setup = one_zone();
    // Otherwise the team's limit would keep the tasks from starting as well.
    setup.safeguards.reserve_unknown_capacity = false;
    setup.safeguards.escrow = false;
    setup.safeguards.defer_existing_jobs = false;
    let violations = takeover_violations(setup);
    assert!(
        violations
            .iter()
            .any(|violation| violation.contains(" on vm")),
        "{violations:?}"
    );
}

/// Guards against a new placer exceeding a limit because it does not know what runs on a VM that
/// has not reported to it: such a VM counts as full.
#[test]
fn team_exceeds_its_limit_if_unknown_capacity_is_not_reserved() {
    let mut setup = one_zone();
    setup.safeguards.reserve_unknown_capacity = false;
    let violations = takeover_violations(setup);
    assert!(
        violations
            .iter()
            .any(|violation| violation.contains("team t0 runs")),
        "{violations:?}"
    );
}

/// Returns the violations when renewals reach a VM but its answers are lost, until the placer
/// considers the VM lost.
fn lost_renewal_answer_violations(setup: Setup) -> Vec<String> {
    let setup = Setup {
        opposed_drift: true,
        ..setup
    };
    (0..PARTITION_TIMES)
        .filter_map(|step| {
            let at = secs(6) + Duration::from_millis(50 * step);
            let partition = Fault::OneWayPartition(LinkEnd::Vm(0), LinkEnd::Zone(0));
            let long_submission = Submission {
                run_time: secs(20),
                ..submission(secs(5), 7)
            };
            let plan = Plan {
                seed: 1,
                faults: vec![timed_fault(at, secs(12), partition)],
                submissions: vec![long_submission],
            };
            run_plan(setup, &plan).err()
        })
        .collect()
}

#[test]
fn drift_margin_prevents_duplicate_tasks() {
    assert_eq!(
        lost_renewal_answer_violations(drifting(50_000)),
        Vec::<String>::new()
    );
}

/// Guards against considering a VM lost while its tasks still run: without the margin for clock
/// drift this must happen.
#[test]
fn tasks_run_twice_without_drift_margin() {
    let violations = lost_renewal_answer_violations(drifting(0));
    assert!(
        violations
            .iter()
            .any(|violation| violation.contains(" on vm")),
        "{violations:?}"
    );
}

/// Two gangs of one team in two zones, whose limit allows only one at a time, must both run.
fn gangs_run_one_after_the_other(delay_ms: u64) {
    let gang = |at, daemon, count| Submission {
        at,
        daemon,
        team: 1,
        count,
        run_time: secs(3),
        gang: true,
        ..submission(at, count)
    };
    let plan = Plan {
        seed: 1,
        faults: Vec::new(),
        submissions: vec![
            gang(secs(8), 0, 3),
            gang(secs(8) + Duration::from_millis(delay_ms), 2, 5),
        ],
    };
    assert_eq!(run_plan(Setup::default(), &plan), Ok(()));
}

cases! { gangs_run_one_after_the_other;
    two_gangs_submitted_at_once(0),
    two_gangs_submitted_half_a_second_apart(500),
    two_gangs_submitted_two_seconds_apart(2_000),
}
