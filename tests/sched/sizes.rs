//! Tasks whose usage differs from their declared size: accounting, learnt sizes, and reduction of
//! overcommitment.

use std::time::Duration;

use ragwortstall::core::model::ActionKind;
use ragwortstall::core::model::JobSpec;
use ragwortstall::core::model::Resources;
use ragwortstall::core::sched::Decision;

use crate::support::cases;
use crate::zone::SimulatedZone;
use crate::zone::batch;
use crate::zone::with_run_time;

const STEP: Duration = Duration::from_millis(500);

const HOUR: Duration = Duration::from_secs(3_600);

fn with_name(name: &str, spec: JobSpec) -> JobSpec {
    JobSpec {
        name: name.into(),
        ..spec
    }
}

/// A task must be charged the larger of its declared size and its observed usage. A VM filled by
/// the usage of one task must get no more tasks.
fn larger_of_declared_and_observed_is_charged(used: fn() -> Resources, expected: usize) {
    let mut zone = SimulatedZone::new(1, &["bakers"]);
    zone.submit(with_run_time(HOUR, batch("first", 1, 8)));
    zone.decide();
    zone.vms
        .values_mut()
        .flatten()
        .for_each(|task| task.used = used());
    zone.report();
    zone.submit(with_run_time(HOUR, batch("second", 4, 8)));
    zone.decide();
    assert_eq!(zone.started.len() - 1, expected);
}

cases! { larger_of_declared_and_observed_is_charged;
    declared_size_is_charged_at_equal_usage(|| Resources::new(8_000, 1_024, 0, 1), 3),
    declared_size_is_charged_at_lower_usage(|| Resources::new(100, 16, 0, 1), 3),
    higher_processor_usage_is_charged(|| Resources::new(17_000, 1_024, 0, 1), 1),
    higher_memory_usage_is_charged(|| Resources::new(8_000, 131_072, 0, 1), 0),
    memory_usage_above_vm_capacity_is_charged(|| Resources::new(8_000, u32::MAX, 0, 1), 0),
}

/// The next job of the same name must start with the observed size.
#[test]
fn size_is_learnt_by_name() {
    let mut zone = SimulatedZone::new(2, &["bakers"]);
    zone.behaviour.usage = |_| Some(Resources::new(8_000, 4_000, 0, 1));
    zone.submit(with_name("panels", batch("first", 1, 4)));
    zone.run(Duration::from_secs(5), STEP);
    zone.submit(with_name("panels", batch("second", 1, 4)));
    zone.submit(with_name("recalls", batch("third", 1, 4)));
    zone.decide();
    let sizes: Vec<u32> = zone
        .started
        .iter()
        .map(|(_, _, s)| s.size.cpu_milli)
        .collect();
    assert_eq!(sizes, [4_000, 8_000, 4_000]);
    assert!(zone.started[1].2.size.mem_mib >= 4_000);
}

/// Guards against a learnt size above the capacity of every VM, with which the job could never
/// start.
#[test]
fn learnt_size_stays_within_a_vm() {
    let mut zone = SimulatedZone::new(1, &["bakers"]);
    zone.behaviour.usage = |_| Some(Resources::new(90_000, 4_000, 0, 1));
    zone.submit(with_name("panels", batch("first", 1, 4)));
    zone.run(Duration::from_secs(5), STEP);
    zone.run(Duration::from_secs(120), STEP);
    zone.submit(with_name("panels", batch("second", 1, 4)));
    zone.run(Duration::from_secs(5), STEP);
    assert_eq!(zone.first_start("second").map(|_| ()), Some(()));
}

/// Returns the kinds of the actions sent so far.
fn action_kinds(zone: &SimulatedZone) -> Vec<ActionKind> {
    let kinds = zone
        .other_decisions
        .iter()
        .filter_map(|(_, decision)| match decision {
            Decision::Act { action, .. } => Some(action.kind),
            _ => None,
        });
    kinds.collect()
}

/// On an overcommitted VM, only the task that exceeds its size must be throttled, then
/// checkpointed, then stopped.
fn oversized_task_is_acted_on(used: Resources, ignores_checkpoint: bool, expected: &[ActionKind]) {
    let mut zone = SimulatedZone::new(1, &["bakers"]);
    zone.behaviour.checkpoint_time = (!ignores_checkpoint).then_some(Duration::from_secs(1));
    zone.submit(with_run_time(HOUR, batch("ordinary", 3, 8)));
    zone.submit(with_run_time(HOUR, batch("oversized", 1, 8)));
    zone.decide();
    for _ in 0..120 {
        let first_starts = zone
            .started
            .iter()
            .take(4)
            .map(|(_, _, start)| start.task.clone());
        let oversized: Vec<_> = first_starts
            .filter(|task| *task.job == *"oversized")
            .collect();
        for task in zone.vms.values_mut().flatten() {
            if oversized.contains(&task.start.task) {
                task.used = used;
            }
        }
        zone.run(STEP, STEP);
    }
    let kinds = action_kinds(&zone);
    assert_eq!(kinds, expected);
    assert_eq!(
        zone.count_tasks(|task| *task.start.task.job == *"ordinary"),
        3
    );
}

cases! { oversized_task_is_acted_on;
    processor_overuse_is_throttled_then_checkpointed(
        Resources::new(20_000, 1_024, 0, 1), false,
        &[ActionKind::Throttle, ActionKind::Checkpoint],
    ),
    processor_overuse_is_stopped_if_a_checkpoint_is_ignored(
        Resources::new(20_000, 1_024, 0, 1), true,
        &[ActionKind::Throttle, ActionKind::Checkpoint, ActionKind::Stop],
    ),
    memory_overuse_is_checkpointed_without_a_throttle(
        Resources::new(8_000, 131_000, 0, 1), false,
        &[ActionKind::Checkpoint],
    ),
}

/// No further action must follow a throttle that ends the overcommitment.
#[test]
fn task_runs_on_after_an_effective_throttle() {
    let mut zone = SimulatedZone::new(1, &["bakers"]);
    zone.behaviour.usage = |start| {
        let is_oversized = *start.task.job == *"oversized";
        is_oversized.then_some(Resources::new(20_000, 1_024, 0, 1))
    };
    zone.submit(with_run_time(HOUR, batch("ordinary", 3, 8)));
    zone.submit(with_run_time(HOUR, batch("oversized", 1, 8)));
    zone.run(Duration::from_secs(120), STEP);
    assert_eq!(action_kinds(&zone), [ActionKind::Throttle]);
    assert_eq!(zone.count_tasks(|_| true), 4);
}
