//! What operators see of preemption in the log.

use ragwortstall::core::workload::catalog::QueueId;
use ragwortstall::core::workload::decision::Decision;

use crate::jobs::ID;
use crate::preemption::BATCH;
use crate::preemption::MIN_RUN_MILLIS;
use crate::preemption::batch_step;
use crate::preemption::cell;
use crate::preemption::fill;
use crate::preemption::full_cell;
use crate::preemption::submit_urgent;

/// Guards against preemption that a configuration switches on unnoticed, and against a line in each
/// round.
#[test]
fn the_log_names_the_queues_that_may_preempt_others_once() {
    let mut harness = cell(None, 0, 2);
    harness.decisions.clear();
    harness.restart_all();
    fill(&mut harness, batch_step());
    submit_urgent(&mut harness, ID, 2);
    harness.run_for(2_000);
    let urgent = harness
        .decisions
        .iter()
        .filter_map(|decision| match decision {
            Decision::PreemptionChanged { urgent } => Some(urgent.clone()),
            _ => None,
        });
    let urgent: Vec<Box<[QueueId]>> = urgent.collect();
    assert_eq!(urgent, [vec!["labels".into()].into()]);
}

/// Guards against operators who cannot see who stopped a run, for whom, and at what loss.
#[test]
fn the_log_names_both_sides_of_a_preemption() {
    let mut harness = full_cell();
    submit_urgent(&mut harness, ID, 2);
    harness.run_for(1_000);
    let found = harness
        .decisions
        .iter()
        .find_map(|decision| match decision {
            Decision::Preempted {
                id,
                claimant,
                queue,
                lost_core_ms,
                ..
            } => Some((id.clone(), claimant.clone(), queue.clone(), *lost_core_ms)),
            _ => None,
        });
    let (id, claimant, queue, lost_core_ms) = found.expect("a preemption");
    assert_eq!((&*id, &*claimant, &*queue), (BATCH, ID, "labels"));
    assert!(lost_core_ms > MIN_RUN_MILLIS * 8 / 2, "{lost_core_ms}");
    let is_stop = |decision: &Decision| matches!(decision, Decision::StopOrdered { reason, .. } if *reason == "preempted");
    assert!(harness.decisions.iter().any(is_stop));
    let placer = harness.placer().expect("a placer");
    let status = harness.status(placer).placer.expect("a placer's status");
    assert_eq!(status.preempted_runs, 1);
}
