//! Bounds on costs that do not depend on the machine: bytes per task, search steps per start and
//! decisions per round.

use std::time::Duration;

use ragwortstall::core::model::JobSpec;
use ragwortstall::core::sched::Decision;

use crate::zone::SimulatedZone;
use crate::zone::batch;
use crate::zone::with_run_time;

/// Maximum size of a placed task's entries in the scheduler's tables.
const MAX_BYTES_PER_TASK: usize = 320;

/// Maximum number of VMs and tasks examined per start.
const MAX_STEPS_PER_START: u64 = 64;

const DAY: Duration = Duration::from_secs(86_400);

/// Returns a zone of 600 VMs that run 5,000 tasks.
fn large_zone() -> SimulatedZone {
    let mut zone = SimulatedZone::new(600, &["bakers", "spicers"]);
    for n in 0..200 {
        let cores = 1 + n % 4;
        zone.submit(with_run_time(DAY, batch(&format!("job{n}"), 25, cores)));
    }
    zone.decide();
    zone
}

#[test]
fn memory_per_task_and_search_steps_per_start_are_bounded() {
    let zone = large_zone();
    let footprint = zone.sched.footprint();
    assert_eq!(footprint.tasks, 5_000);
    assert!(footprint.task_bytes / footprint.tasks <= MAX_BYTES_PER_TASK);
    assert!(zone.sched.search_steps() / 5_000 <= MAX_STEPS_PER_START);
}

/// Guards against a mass cancellation that exceeds the decision limit of a round or delays new
/// tasks until all stops have been sent.
#[test]
fn stops_of_a_mass_cancellation_are_spread_over_rounds() {
    let mut zone = large_zone();
    for n in 0..10_000 {
        zone.submit(with_run_time(DAY, batch(&format!("waiting{n}"), 1, 32)));
    }
    zone.decide();
    let steps_before = zone.sched.search_steps();
    let placed = zone.sched.footprint().tasks;
    for n in 0..10_000 {
        zone.sched.cancel(zone.now, &format!("waiting{n}"));
    }
    for n in 0..200 {
        zone.sched.cancel(zone.now, &format!("job{n}"));
    }
    assert_eq!(zone.sched.search_steps(), steps_before);
    let new = JobSpec {
        urgent: true,
        ..batch("new", 1, 1)
    };
    zone.submit(new);
    let mut rounds = Vec::new();
    for _ in 0..100 {
        zone.now += Duration::from_millis(10);
        rounds.push(zone.sched.decide(zone.now, 256));
    }
    assert!(rounds.iter().all(|round| round.len() <= 256));
    assert_eq!(rounds.iter().map(Vec::len).sum::<usize>(), placed + 1);
    let is_start = |decision: &Decision| matches!(decision, Decision::Start { .. });
    let start = rounds.iter().position(|round| round.iter().any(is_start));
    assert_eq!(
        start,
        Some(0),
        "the first round contains both stops and the start"
    );
}

/// Guards against a round that exceeds its decision limit when many tasks must restart at once, as
/// after the loss of a rack.
#[test]
fn restarts_after_the_loss_of_100_vms_are_spread_over_rounds() {
    let mut zone = large_zone();
    let lost_vms: Vec<Box<str>> = zone.vms.keys().take(100).cloned().collect();
    let lost_tasks: usize = lost_vms.iter().map(|vm| zone.vms[vm].len()).sum();
    for vm in &lost_vms {
        zone.remove_vm(vm);
    }
    let mut started = 0;
    while started < lost_tasks {
        let decisions = zone.sched.decide(zone.now, 256).len();
        assert!(decisions > 0 && decisions <= 256);
        started += decisions;
    }
    assert_eq!(started, lost_tasks);
}
