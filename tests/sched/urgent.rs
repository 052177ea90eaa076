//! Urgent jobs and services in a full zone.

use std::time::Duration;

use ragwortstall::core::model::JobSpec;
use ragwortstall::core::model::Resources;
use ragwortstall::core::model::TaskOutcome;

use crate::support::cases;
use crate::zone::SimulatedZone;
use crate::zone::batch;
use crate::zone::gang;
use crate::zone::service;
use crate::zone::with_run_time;
use crate::zone::with_team;

const STEP: Duration = Duration::from_millis(100);

const HOUR: Duration = Duration::from_secs(3_600);

/// Maximum waiting time of an urgent job.
const MAX_URGENT_WAIT: Duration = Duration::from_millis(3_800);

/// Returns a zone of which `bakers` use three quarters and `spicers` the rest, for hours.
fn full_zone() -> SimulatedZone {
    let mut zone = SimulatedZone::new(4, &["bakers", "spicers", "picklers"]);
    zone.submit(with_run_time(HOUR * 5, batch("large", 6, 16)));
    zone.submit(with_team(
        "spicers",
        with_run_time(HOUR * 5, batch("small", 2, 16)),
    ));
    zone.decide();
    assert_eq!(zone.sched.free().cpu_milli, 0);
    zone.run(Duration::from_secs(20), STEP);
    zone
}

fn urgent(spec: JobSpec) -> JobSpec {
    JobSpec {
        urgent: true,
        ..with_team("picklers", spec)
    }
}

/// An urgent job must start in a full zone within [`MAX_URGENT_WAIT`], whether the preempted tasks
/// save their state in time or have to be stopped.
fn urgent_job_starts_in_a_full_zone(spec: JobSpec, checkpoint: Option<Duration>) {
    let mut zone = full_zone();
    zone.behaviour.checkpoint_time = checkpoint;
    let submitted = zone.now;
    let count = spec.count as usize;
    zone.submit(urgent(spec));
    zone.run(MAX_URGENT_WAIT, STEP);
    let started = zone.started.iter();
    let urgent = started.filter(|(_, _, start)| *start.task.job == *"urgent");
    assert_eq!(urgent.count(), count);
    assert!(
        zone.first_start("urgent")
            .expect("the urgent job should start")
            <= submitted + MAX_URGENT_WAIT
    );
}

cases! { urgent_job_starts_in_a_full_zone;
    one_urgent_task_starts(batch("urgent", 1, 16), Some(Duration::from_secs(1))),
    one_urgent_task_that_fills_a_vm_starts(batch("urgent", 1, 32), Some(Duration::from_secs(1))),
    several_urgent_tasks_start(batch("urgent", 4, 8), Some(Duration::from_secs(1))),
    urgent_gang_over_two_vms_starts(gang("urgent", 3, 16), Some(Duration::from_secs(1))),
    one_urgent_task_starts_while_checkpoints_are_ignored(batch("urgent", 1, 16), None),
    urgent_gang_starts_while_checkpoints_are_ignored(gang("urgent", 3, 16), None),
}

#[test]
fn victims_belong_to_the_team_furthest_over_its_share() {
    let mut zone = full_zone();
    zone.submit(urgent(batch("urgent", 1, 16)));
    zone.run(MAX_URGENT_WAIT, STEP);
    assert_eq!(zone.cores_of("picklers"), 16);
    assert_eq!(zone.cores_of("spicers"), 32);
    assert_eq!(zone.cores_of("bakers"), 80);
}

/// Of several teams over their shares, only the one furthest over its share must be preempted.
#[test]
fn team_slightly_over_its_share_is_not_preempted() {
    let mut zone = SimulatedZone::new(4, &["bakers", "spicers", "picklers"]);
    zone.submit(with_run_time(HOUR * 5, batch("large", 5, 16)));
    zone.submit(with_team(
        "spicers",
        with_run_time(HOUR * 5, batch("small", 3, 16)),
    ));
    zone.decide();
    zone.run(Duration::from_secs(20), STEP);
    zone.submit(urgent(batch("urgent", 3, 16)));
    zone.run(MAX_URGENT_WAIT, STEP);
    assert_eq!(zone.cores_of("picklers"), 48);
    assert_eq!(zone.cores_of("spicers"), 48);
}

#[test]
fn non_restartable_tasks_are_not_preempted_for_urgent_jobs() {
    let mut zone = SimulatedZone::new(2, &["bakers", "picklers"]);
    let mut job = with_run_time(HOUR, batch("job", 4, 16));
    job.restartable = false;
    zone.submit(job);
    zone.decide();
    zone.submit(urgent(batch("urgent", 1, 16)));
    zone.run(MAX_URGENT_WAIT * 2, STEP);
    assert_eq!(zone.cores_of("bakers"), 64);
    assert!(zone.other_decisions.is_empty());
}

/// A lost service instance must be replaced within [`MAX_URGENT_WAIT`], even in a full zone.
#[test]
fn lost_service_instance_is_replaced_in_a_full_zone() {
    let mut zone = SimulatedZone::new(4, &["bakers", "spicers"]);
    let service = with_team("spicers", service("labels", 2, 16));
    zone.sched.set_service(zone.now, service);
    zone.decide();
    zone.submit(with_run_time(HOUR, batch("filler", 6, 16)));
    zone.run(Duration::from_secs(5), STEP);
    assert_eq!(zone.sched.free().cpu_milli, 0);
    let vm = zone.started[0].1.clone();
    zone.remove_vm(&vm);
    zone.run(MAX_URGENT_WAIT, STEP);
    assert_eq!(zone.cores_of("spicers"), 32);
}

/// An urgent job must neither start nor preempt more tasks than its team's allotment holds.
#[test]
fn urgent_job_stays_within_the_allotment() {
    let mut zone = full_zone();
    zone.set_allotment("picklers", Resources::new(16_000, 131_072, 0, 10));
    zone.submit(urgent(batch("urgent", 4, 16)));
    zone.run(MAX_URGENT_WAIT * 2, STEP);
    assert_eq!(zone.cores_of("picklers"), 16);
    let ended = zone
        .ended
        .iter()
        .filter(|(_, end)| end.outcome == TaskOutcome::Checkpointed);
    assert_eq!(ended.count(), 1);
}
