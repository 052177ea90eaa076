//! Placement: VM capacity, idempotent submission, starts with an unknown outcome, lost VMs and
//! services.

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
use crate::zone::DECISION_LIMIT;
use crate::zone::SimulatedZone;
use crate::zone::VM_CAPACITY;
use crate::zone::batch;
use crate::zone::ended_task;
use crate::zone::gang;
use crate::zone::queued_job;
use crate::zone::service;

/// Runs a round and returns its start decisions.
fn starts(sched: &mut Scheduler) -> Vec<(Box<str>, StartTask)> {
    let decisions = sched.decide(Now::ZERO, DECISION_LIMIT);
    let starts = decisions.into_iter().filter_map(|decision| match decision {
        Decision::Start { vm, start } => Some((vm, start)),
        _ => None,
    });
    starts.collect()
}

/// Exactly as many tasks must start as fit on the VMs.
fn starts_what_fits(vms: usize, spec: JobSpec, expected: usize) {
    let mut zone = SimulatedZone::new(vms, &["bakers"]);
    zone.submit(spec);
    zone.decide();
    assert_eq!(zone.started.len(), expected);
    assert!(zone.decide().is_empty());
}

cases! { starts_what_fits;
    batch_that_fits_starts_completely(2, batch("job", 4, 16), 4),
    batch_that_fits_partly_starts_partly(2, batch("job", 5, 16), 4),
    gang_that_fits_starts_completely(2, gang("job", 4, 16), 4),
    task_that_fills_a_vm_starts_once_per_vm(1, batch("job", 2, 32), 1),
}

/// Guards against a search that checks only the resource by which it is ordered. One VM has enough
/// free processors and the other enough free memory, but neither has both.
#[test]
fn task_does_not_start_if_no_vm_has_enough_of_every_resource() {
    let mut zone = SimulatedZone::new(2, &["bakers"]);
    let sized = |id, cores: u32, gib: u32| JobSpec {
        size: Resources::new(cores * 1_000, gib * 1_024, 0, 1),
        ..batch(id, 1, cores)
    };
    zone.submit(sized("memory", 3, 120));
    zone.decide();
    zone.submit(sized("processors", 30, 1));
    zone.decide();
    assert_ne!(zone.started[0].1, zone.started[1].1);
    zone.submit(sized("both", 16, 16));
    assert!(zone.decide().is_empty());
}

fn submission_returns(spec: JobSpec, expected: Result<(), Reason>) {
    let mut zone = SimulatedZone::new(2, &["bakers"]);
    assert_eq!(zone.try_submit(spec), expected);
}

cases! { submission_returns;
    task_larger_than_any_vm_never_fits(batch("job", 1, 33), Err(Reason::NeverFits)),
    gang_larger_than_the_zone_never_fits(gang("job", 5, 16), Err(Reason::NeverFits)),
    batch_larger_than_the_zone_is_accepted(batch("job", 5, 16), Ok(())),
}

/// Guards against a second start of a task that a VM reports as running, whether the report or the
/// submission comes first. After the loss of the VM, it starts as the next attempt.
fn running_task_is_not_started(report_first: bool) {
    let mut first = SimulatedZone::new(1, &["bakers"]);
    first.submit(batch("job", 1, 1));
    first.decide();
    let task = first.vms["vm000"][0].clone();
    let spec = VmSpec {
        id: "vm000".into(),
        rack: "rack0".into(),
        capacity: VM_CAPACITY,
    };
    let mut sched = SimulatedZone::new(0, &["bakers"]).sched;
    let job = queued_job(batch("job", 1, 1));
    if !report_first {
        assert_eq!(sched.submit(Now::ZERO, job.clone()), Ok(()));
    }
    sched.add_vm(Now::ZERO, spec.clone(), &[crate::zone::running_task(&task)]);
    assert_eq!(sched.submit(Now::ZERO, job), Ok(()));
    assert!(starts(&mut sched).is_empty());
    sched.remove_vm(Now::ZERO, "vm000");
    sched.add_vm(Now::ZERO, spec, &[]);
    let restarts = starts(&mut sched);
    assert_eq!(restarts.len(), 1);
    assert_eq!(restarts[0].1.task.attempt, 1);
}

cases! { running_task_is_not_started;
    running_task_reported_before_its_submission_is_not_started(true),
    running_task_reported_after_its_submission_is_not_started(false),
}

/// A start whose outcome is unknown keeps its resources until it is reverted, even if reports of
/// its VM do not list the task.
#[test]
fn start_with_unknown_outcome_keeps_its_resources() {
    let mut sched = SimulatedZone::new(1, &["bakers"]).sched;
    assert_eq!(
        sched.submit(Now::ZERO, queued_job(batch("job", 2, 32))),
        Ok(())
    );
    let first = starts(&mut sched);
    assert_eq!(first.len(), 1);
    for _ in 0..5 {
        sched.record_report(Now::ZERO, "vm000", &[]);
    }
    assert!(starts(&mut sched).is_empty());
    sched.revert_start(Now::ZERO, "vm000", &first[0].1.task);
    assert_eq!(starts(&mut sched).len(), 1);
}

/// A task that its VM has listed counts as lost after two reports without it, and is restarted.
#[test]
fn task_missing_from_two_reports_is_restarted() {
    let mut zone = SimulatedZone::new(1, &["bakers"]);
    zone.submit(batch("job", 1, 32));
    zone.decide();
    zone.report();
    zone.vms.values_mut().for_each(Vec::clear);
    zone.report();
    assert!(zone.decide().is_empty());
    zone.report();
    assert_eq!(zone.decide().len(), 1);
}

#[test]
fn job_submitted_twice_is_queued_once() {
    let mut zone = SimulatedZone::new(2, &["bakers"]);
    zone.submit(batch("job", 1, 1));
    zone.submit(batch("job", 1, 1));
    assert_eq!(zone.decide().len(), 1);
    zone.submit(batch("job", 1, 1));
    assert!(zone.decide().is_empty());
}

/// Tasks on a suspended VM count against their team's allotment until the VM is removed.
#[test]
fn tasks_on_a_suspended_vm_count_against_the_allotment() {
    let mut zone = SimulatedZone::new(2, &["bakers"]);
    zone.set_allotment("bakers", Resources::new(32_000, 131_072, 0, 1));
    zone.submit(batch("job", 2, 1));
    zone.decide();
    assert_eq!(zone.started.len(), 1);
    let vm = zone.started[0].1.clone();
    zone.sched.suspend_vm(Now::ZERO, &vm);
    assert!(zone.decide().is_empty());
    zone.remove_vm(&vm);
    assert_eq!(zone.decide().len(), 1);
}

/// Guards against an exceeded allotment while the team may have tasks on VMs that have not reported
/// yet.
#[test]
fn possible_tasks_on_unreported_vms_count_against_the_allotment() {
    let mut zone = SimulatedZone::new(2, &["bakers"]);
    let mut policy = TeamPolicy {
        weight: 1,
        allotment: Resources::new(32_000, 131_072, 0, 10),
        ceiling: Resources::MAX,
        unknown: Resources::new(32_000, 131_072, 0, 100),
    };
    zone.sched.set_team(Now::ZERO, "bakers", policy.clone());
    zone.submit(batch("job", 1, 1));
    assert!(zone.decide().is_empty());
    policy.unknown = Resources::ZERO;
    zone.sched.set_team(Now::ZERO, "bakers", policy);
    assert_eq!(zone.decide().len(), 1);
}

/// No task of a team starts before its policy is known; its demand is still reported.
#[test]
fn team_without_a_policy_starts_no_tasks() {
    let mut zone = SimulatedZone::new(2, &[]);
    zone.submit(batch("job", 1, 1));
    assert!(zone.decide().is_empty());
    assert_eq!(zone.sched.team_demands().len(), 1);
}

#[test]
fn service_instances_are_spread_over_racks() {
    let mut zone = SimulatedZone::new(8, &["bakers"]);
    zone.sched.set_service(Now::ZERO, service("labels", 4, 4));
    zone.decide();
    let racks: BTreeSet<usize> = zone
        .started
        .iter()
        .map(|(_, vm, _)| vm[2..].parse::<usize>().expect("VMs are numbered") / 2)
        .collect();
    assert_eq!(racks.len(), 4);
}

/// The instance on a lost VM must be replaced once, in the next round and with a new attempt
/// number.
#[test]
fn service_instance_on_a_lost_vm_is_replaced() {
    let mut zone = SimulatedZone::new(8, &["bakers"]);
    zone.sched.set_service(Now::ZERO, service("labels", 4, 4));
    zone.decide();
    let (_, vm, start) = zone.started[0].clone();
    zone.remove_vm(&vm);
    zone.decide();
    assert_eq!(zone.started.len(), 5);
    let replacement = &zone.started[4].2.task;
    assert_eq!(replacement.index, start.task.index);
    assert_ne!(*replacement, start.task);
}

#[test]
fn running_instances_of_a_service_follow_its_count() {
    let mut zone = SimulatedZone::new(8, &["bakers"]);
    for (count, expected) in [(4, 4), (2, 2), (6, 6), (0, 0)] {
        zone.sched
            .set_service(zone.now, service("labels", count, 4));
        zone.run(Duration::from_secs(1), Duration::from_millis(100));
        assert_eq!(zone.count_tasks(|_| true), expected);
    }
}

#[test]
fn non_restartable_task_on_a_lost_vm_is_recorded_as_failed() {
    let mut zone = SimulatedZone::new(2, &["bakers"]);
    let mut job = batch("job", 1, 1);
    job.restartable = false;
    zone.submit(job);
    zone.decide();
    let (_, vm, start) = zone.started[0].clone();
    zone.remove_vm(&vm);
    let end = ended_task(&start, TaskOutcome::Failed);
    assert_eq!(zone.decide(), vec![Decision::Lost { vm, end }]);
}

#[test]
fn tasks_of_a_cancelled_job_are_stopped_and_not_restarted() {
    let mut zone = SimulatedZone::new(1, &["bakers"]);
    zone.submit(batch("job", 3, 16));
    zone.decide();
    assert_eq!(zone.started.len(), 2);
    zone.sched.cancel(Now::ZERO, "job");
    assert_eq!(zone.decide().len(), 2);
    zone.end_due_tasks();
    assert!(zone.decide().is_empty());
    assert_eq!(zone.sched.free(), VM_CAPACITY);
}

/// Guards against a leak of entries for tasks and jobs that have ended.
#[test]
fn ended_jobs_and_tasks_are_removed_from_the_tables() {
    let mut zone = SimulatedZone::new(2, &["bakers"]);
    zone.submit(batch("job", 4, 16));
    zone.decide();
    zone.run(Duration::from_secs(120), Duration::from_secs(10));
    assert_eq!(zone.ended.len(), 4);
    assert_eq!(zone.sched.footprint().tasks, 0);
    assert_eq!(zone.sched.footprint().jobs, 0);
}
