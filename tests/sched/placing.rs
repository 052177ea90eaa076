//! Capacity, idempotence, starts of unknown outcome, lost VMs and services.

use std::collections::BTreeSet;
use std::time::Duration;

use ragwortstall::core::effect::Reason;
use ragwortstall::core::model::JobSpec;
use ragwortstall::core::model::Now;
use ragwortstall::core::model::Resources;
use ragwortstall::core::model::StartTask;
use ragwortstall::core::model::TaskOutcome;
use ragwortstall::core::sched::Decision;
use ragwortstall::core::sched::Scheduler;
use ragwortstall::core::sched::TeamPolicy;
use ragwortstall::core::sched::VmSpec;

use crate::support::cases;
use crate::zone::CAPACITY;
use crate::zone::LIMIT;
use crate::zone::Zone;
use crate::zone::batch;
use crate::zone::end;
use crate::zone::gang;
use crate::zone::queued;
use crate::zone::service;

fn starts(sched: &mut Scheduler) -> Vec<(Box<str>, StartTask)> {
    let decisions = sched.decide(Now::ZERO, LIMIT);
    let starts = decisions.into_iter().filter_map(|decision| match decision {
        Decision::Start { vm, start } => Some((vm, start)),
        _ => None,
    });
    starts.collect()
}

/// Proves the capacity check: of all tasks exactly as many start as the VMs hold.
fn starts_what_fits(vms: usize, spec: JobSpec, expected: usize) {
    let mut zone = Zone::new(vms, &["bakers"]);
    zone.accept(spec);
    zone.decide();
    assert_eq!(zone.started.len(), expected);
    assert!(zone.decide().is_empty());
}

cases! { starts_what_fits;
    batch_that_fits(2, batch("job", 4, 16), 4),
    batch_that_fits_in_part(2, batch("job", 5, 16), 4),
    gang_that_fits(2, gang("job", 4, 16), 4),
    task_that_fills_a_vm(1, batch("job", 2, 32), 1),
}

/// Proves that every resource is checked, not only the one that the search is ordered by: one VM has
/// processors left and the other memory.
#[test]
fn no_vm_with_room_in_both_resources() {
    let mut zone = Zone::new(2, &["bakers"]);
    let sized = |id, cores: u32, gib: u32| JobSpec {
        size: Resources::new(cores * 1_000, gib * 1_024, 0, 1),
        ..batch(id, 1, cores)
    };
    zone.accept(sized("memory", 3, 120));
    zone.decide();
    zone.accept(sized("processors", 30, 1));
    zone.decide();
    assert_ne!(zone.started[0].1, zone.started[1].1);
    zone.accept(sized("both", 16, 16));
    assert!(zone.decide().is_empty());
}

fn refused(spec: JobSpec, expected: Result<(), Reason>) {
    let mut zone = Zone::new(2, &["bakers"]);
    assert_eq!(zone.submit(spec), expected);
}

cases! { refused;
    task_larger_than_any_vm(batch("job", 1, 33), Err(Reason::NeverFits)),
    gang_larger_than_the_zone(gang("job", 5, 16), Err(Reason::NeverFits)),
    batch_longer_than_the_zone(batch("job", 5, 16), Ok(())),
}

/// Proves that what a VM reports as running is never started again, in either order.
fn running_task_is_not_started(report_first: bool) {
    let mut first = Zone::new(1, &["bakers"]);
    first.accept(batch("job", 1, 1));
    first.decide();
    let live = first.vms["vm000"][0].clone();
    let spec = VmSpec {
        id: "vm000".into(),
        rack: "rack0".into(),
        capacity: CAPACITY,
    };
    let mut sched = Zone::new(0, &["bakers"]).sched;
    let job = queued(batch("job", 1, 1));
    if !report_first {
        assert_eq!(sched.submit(Now::ZERO, job.clone()), Ok(()));
    }
    sched.add_vm(Now::ZERO, spec.clone(), &[crate::zone::running(&live)]);
    assert_eq!(sched.submit(Now::ZERO, job), Ok(()));
    assert!(starts(&mut sched).is_empty());
    sched.remove_vm(Now::ZERO, "vm000");
    sched.add_vm(Now::ZERO, spec, &[]);
    let again = starts(&mut sched);
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].1.task.attempt, 1);
}

cases! { running_task_is_not_started;
    reported_before_it_is_offered(true),
    reported_after_it_was_offered(false),
}

/// Proves that a start of unknown outcome keeps its place: reports without it change nothing.
#[test]
fn start_of_unknown_outcome_keeps_its_resources() {
    let mut sched = Zone::new(1, &["bakers"]).sched;
    assert_eq!(sched.submit(Now::ZERO, queued(batch("job", 2, 32))), Ok(()));
    let first = starts(&mut sched);
    assert_eq!(first.len(), 1);
    for _ in 0..5 {
        sched.record_report(Now::ZERO, "vm000", &[]);
    }
    assert!(starts(&mut sched).is_empty());
    sched.revert_start(Now::ZERO, "vm000", &first[0].1.task);
    assert_eq!(starts(&mut sched).len(), 1);
}

/// Proves that a task which its VM listed and lists no more, without an end, is started again.
#[test]
fn task_that_its_vm_forgot_is_started_again() {
    let mut zone = Zone::new(1, &["bakers"]);
    zone.accept(batch("job", 1, 32));
    zone.decide();
    zone.report();
    zone.vms.values_mut().for_each(Vec::clear);
    zone.report();
    assert!(zone.decide().is_empty());
    zone.report();
    assert_eq!(zone.decide().len(), 1);
}

/// Proves that a job offered twice is queued once.
#[test]
fn known_job_is_ignored() {
    let mut zone = Zone::new(2, &["bakers"]);
    zone.accept(batch("job", 1, 1));
    zone.accept(batch("job", 1, 1));
    assert_eq!(zone.decide().len(), 1);
    zone.accept(batch("job", 1, 1));
    assert!(zone.decide().is_empty());
}

/// Proves the count against a team of what runs on a suspended VM.
#[test]
fn suspended_vm_counts_against_the_team() {
    let mut zone = Zone::new(2, &["bakers"]);
    zone.allot("bakers", Resources::new(32_000, 131_072, 0, 1));
    zone.accept(batch("job", 2, 1));
    zone.decide();
    assert_eq!(zone.started.len(), 1);
    let vm = zone.started[0].1.clone();
    zone.sched.suspend_vm(Now::ZERO, &vm);
    assert!(zone.decide().is_empty());
    zone.lose(&vm);
    assert_eq!(zone.decide().len(), 1);
}

/// Proves that a team starts nothing that it could have running on a VM which has not reported.
#[test]
fn unknown_vms_count_against_the_team() {
    let mut zone = Zone::new(2, &["bakers"]);
    let mut policy = TeamPolicy {
        weight: 1,
        allotment: Resources::new(32_000, 131_072, 0, 10),
        ceiling: Resources::MAX,
        unknown: Resources::new(32_000, 131_072, 0, 100),
    };
    zone.sched.set_team(Now::ZERO, "bakers", policy.clone());
    zone.accept(batch("job", 1, 1));
    assert!(zone.decide().is_empty());
    policy.unknown = Resources::ZERO;
    zone.sched.set_team(Now::ZERO, "bakers", policy);
    assert_eq!(zone.decide().len(), 1);
}

/// Proves that nothing is started for a team whose entitlements are not known.
#[test]
fn team_without_policy_starts_nothing() {
    let mut zone = Zone::new(2, &[]);
    zone.accept(batch("job", 1, 1));
    assert!(zone.decide().is_empty());
    assert_eq!(zone.sched.team_demands().len(), 1);
}

/// Proves the spread over racks: no rack has two instances while another has none.
#[test]
fn service_is_spread_over_racks() {
    let mut zone = Zone::new(8, &["bakers"]);
    zone.sched.set_service(Now::ZERO, service("labels", 4, 4));
    zone.decide();
    let racks: BTreeSet<usize> = zone
        .started
        .iter()
        .map(|(_, vm, _)| vm[2..].parse::<usize>().expect("VMs are numbered") / 2)
        .collect();
    assert_eq!(racks.len(), 4);
}

/// Proves that a failed VM's instances are replaced in the next round, each once, under a new name.
#[test]
fn service_is_kept_at_its_count() {
    let mut zone = Zone::new(8, &["bakers"]);
    zone.sched.set_service(Now::ZERO, service("labels", 4, 4));
    zone.decide();
    let (_, vm, start) = zone.started[0].clone();
    zone.lose(&vm);
    zone.decide();
    assert_eq!(zone.started.len(), 5);
    let replaced = &zone.started[4].2.task;
    assert_eq!(replaced.index, start.task.index);
    assert_ne!(*replaced, start.task);
}

/// Proves that a service follows its count down and up, and is stopped by a count of zero.
#[test]
fn service_follows_its_count() {
    let mut zone = Zone::new(8, &["bakers"]);
    for (count, expected) in [(4, 4), (2, 2), (6, 6), (0, 0)] {
        zone.sched
            .set_service(zone.now, service("labels", count, 4));
        zone.run(Duration::from_secs(1), Duration::from_millis(100));
        assert_eq!(zone.count(|_| true), expected);
    }
}

/// Proves that a task which may not run twice is handed over as ended when its VM is gone.
#[test]
fn lost_task_that_may_not_restart_is_reported() {
    let mut zone = Zone::new(2, &["bakers"]);
    let mut job = batch("job", 1, 1);
    job.restartable = false;
    zone.accept(job);
    zone.decide();
    let (_, vm, start) = zone.started[0].clone();
    zone.lose(&vm);
    let end = end(&start, TaskOutcome::Failed);
    assert_eq!(zone.decide(), vec![Decision::Lost { vm, end }]);
}

/// Proves that a cancelled job's tasks are stopped and not started again.
#[test]
fn cancelled_job_is_stopped() {
    let mut zone = Zone::new(1, &["bakers"]);
    zone.accept(batch("job", 3, 16));
    zone.decide();
    assert_eq!(zone.started.len(), 2);
    zone.sched.cancel(Now::ZERO, "job");
    assert_eq!(zone.decide().len(), 2);
    zone.end_due();
    assert!(zone.decide().is_empty());
    assert_eq!(zone.sched.free(), CAPACITY);
}

/// Proves that the scheduler remembers nothing of work that ended.
#[test]
fn ended_work_is_forgotten() {
    let mut zone = Zone::new(2, &["bakers"]);
    zone.accept(batch("job", 4, 16));
    zone.decide();
    zone.run(Duration::from_secs(120), Duration::from_secs(10));
    assert_eq!(zone.ended.len(), 4);
    assert_eq!(zone.sched.footprint().tasks, 0);
    assert_eq!(zone.sched.footprint().jobs, 0);
}
