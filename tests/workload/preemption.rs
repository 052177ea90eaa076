//! Preemption: a burst of urgent jobs on VMs that are full of other work.

use std::time::Duration;

use ragwortstall::core::model::Resources;
use ragwortstall::core::workload::catalog::AdviceTiming;
use ragwortstall::core::workload::decision::Decision;
use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::event::Action;
use ragwortstall::core::workload::submission::Step;
use ragwortstall::core::workload::submission::Submission;

use crate::catalog::OTHER_KEY;
use crate::harness::Harness;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;
use crate::support::cases;
use crate::vm::STOP_TIME;

/// Number of VMs; each has 16 cores.
const VMS: usize = 4;

/// Id of the batch job that fills the VMs.
pub(crate) const BATCH: &str = "00000000000000b0";

/// Number of tasks of the batch job, each of which takes half a VM.
const BATCH_TASKS: u32 = 8;

/// Run time of a batch task, in milliseconds.
const BATCH_MILLIS: u64 = 20_000;

/// Run time after which runs may be stopped, and a margin, in milliseconds.
pub(crate) const MIN_RUN_MILLIS: u64 = 2_500;

/// Time of several rounds with the messages that they send, in milliseconds.
const ROUNDS_MILLIS: u64 = 300;

/// Time within which urgent tasks have to start, in milliseconds.
fn start_millis() -> u64 {
    u64::try_from(STOP_TIME.as_millis()).expect("a short time") + ROUNDS_MILLIS
}

/// Returns a step of half-VM tasks that save checkpoints.
pub(crate) fn batch_step() -> Step {
    let mut batch = step(BATCH_TASKS, BATCH_MILLIS, &[]);
    batch.demand = Resources::new(8_000, 8_000, 0, 1);
    batch.traits.checkpointing = true;
    batch
}

fn urgent_job(tasks: u32) -> Submission {
    let mut urgent = step(tasks, 600, &[]);
    urgent.demand.cpu_milli = 4_000;
    job(vec![urgent])
}

/// Returns a cell with a batch queue of this priority.
pub(crate) fn cell(advice: Option<AdviceTiming>, priority: u32, batch_priority: u32) -> Harness {
    let mut harness = Harness::new(2, VMS);
    harness.advice = advice;
    harness.priority = priority;
    harness.batch_priority = Some(batch_priority);
    harness.restart_all();
    harness
}

/// Returns a cell whose VMs run a batch job that fills them, for long enough that its runs may be
/// stopped.
pub(crate) fn full_cell() -> Harness {
    let mut harness = cell(None, 0, 2);
    fill(&mut harness, batch_step());
    harness
}

pub(crate) fn fill(harness: &mut Harness, batch: Step) {
    let reply = harness.submit_batch(0, BATCH, job(vec![batch]));
    assert_eq!(reply, Reply::Accepted);
    harness.run_for(MIN_RUN_MILLIS);
    let running: usize = harness.vms.values().map(|vm| vm.runs.len()).sum();
    assert_eq!(running, BATCH_TASKS as usize);
}

pub(crate) fn submit_urgent(harness: &mut Harness, id: &str, tasks: u32) {
    let reply = harness.submit_as(OTHER_KEY, 1, id, urgent_job(tasks));
    assert_eq!(reply, Reply::Accepted);
}

/// Returns the number of starts of tasks of a job.
fn starts(harness: &Harness, id: &str) -> usize {
    let starts = harness.starts.iter();
    starts.filter(|start| &*start.1.job == id).count()
}

/// Returns the number of runs that were preempted.
fn preemptions(harness: &Harness) -> usize {
    let decisions = harness.decisions.iter();
    let preempted = decisions.filter(|decision| matches!(decision, Decision::Preempted { .. }));
    preempted.count()
}

/// Guards against runs that are stopped in vain on a VM that has shrunk: what they free does not reach
/// beyond its capacity.
#[test]
fn runs_on_a_vm_that_has_shrunk_below_them_are_not_stopped_in_vain() {
    let mut harness = full_cell();
    harness
        .vms
        .get_mut("vm-0")
        .expect("a VM")
        .capacity
        .cpu_milli = 8_000;
    harness.write_vm_rows();
    harness.run_for(20);
    submit_urgent(&mut harness, ID, 1);
    harness.run_for(start_millis());
    assert_eq!(starts(&harness, ID), 1);
    assert_eq!(preemptions(&harness), 1);
}

/// Guards against urgent jobs that wait until batch tasks end by themselves.
#[test]
fn urgent_tasks_start_within_the_stop_time_on_full_vms() {
    let mut harness = full_cell();
    submit_urgent(&mut harness, ID, 2);
    harness.run_for(start_millis());
    assert_eq!(starts(&harness, ID), 2);
    assert_eq!(preemptions(&harness), 1);
    harness.run_for(1_000);
    let reply = harness.call_as(OTHER_KEY, 0, ID, Action::Get);
    assert_eq!(reply, Reply::State(JobState::Completed));
}

/// Guards against batch tasks that start from the beginning after they were stopped, or never.
#[test]
fn a_preempted_task_resumes_from_its_checkpoint_and_completes() {
    let mut harness = full_cell();
    submit_urgent(&mut harness, ID, 2);
    harness.run_for(BATCH_MILLIS + 2_000);
    assert_eq!(starts(&harness, BATCH), BATCH_TASKS as usize + 1);
    assert_eq!(harness.state(0, BATCH), Some(JobState::Completed));
}

/// Guards against a burst that stops all batch work at the same time.
#[test]
fn at_most_a_quarter_of_the_capacity_is_being_freed_at_a_time() {
    let mut harness = full_cell();
    for ix in 0..8 {
        submit_urgent(&mut harness, &format!("00000000000000a{ix}"), 4);
    }
    // The first runs are still being stopped.
    harness.run_for(start_millis() - ROUNDS_MILLIS - 200);
    assert_eq!(preemptions(&harness), BATCH_TASKS as usize / 4);
}

/// Guards against more stops than the urgent tasks need, round by round, while the first stops take
/// their time.
#[test]
fn later_rounds_stop_no_more_runs_for_the_same_tasks() {
    let mut harness = full_cell();
    submit_urgent(&mut harness, ID, 2);
    harness.run_for(3_000);
    assert_eq!(preemptions(&harness), 1);
}

/// Guards against batch tasks that take the freed room before the urgent ones.
#[test]
fn freed_room_is_not_given_to_waiting_batch_tasks() {
    let mut harness = full_cell();
    let waiting = job(vec![batch_step()]);
    let reply = harness.submit_batch(0, "00000000000000b1", waiting);
    assert_eq!(reply, Reply::Accepted);
    submit_urgent(&mut harness, ID, 2);
    harness.run_for(start_millis());
    assert_eq!(starts(&harness, "00000000000000b1"), 0);
    assert_eq!(starts(&harness, ID), 2);
}

/// Guards against runs that are stopped again and again before they make progress.
#[test]
fn a_run_is_not_stopped_before_it_has_made_progress() {
    let mut harness = cell(None, 0, 2);
    let reply = harness.submit_batch(0, BATCH, job(vec![batch_step()]));
    assert_eq!(reply, Reply::Accepted);
    harness.run_for(500);
    submit_urgent(&mut harness, ID, 2);
    harness.run_for(1_000);
    assert_eq!(preemptions(&harness), 0);
    harness.run_for(1_000 + start_millis());
    assert_eq!(starts(&harness, ID), 2);
}

/// Asserts that urgent tasks stop no run of a step that is changed in this way.
fn assert_not_preempted(change: fn(&mut Step)) {
    let mut harness = cell(None, 0, 2);
    let mut batch = batch_step();
    change(&mut batch);
    fill(&mut harness, batch);
    submit_urgent(&mut harness, ID, 2);
    harness.run_for(3_000);
    assert_eq!(preemptions(&harness), 0);
    assert_eq!(starts(&harness, ID), 0);
}

cases! {
    assert_not_preempted;
    tasks_without_checkpoints_are_not_preempted(|step| step.traits.checkpointing = false),
    members_of_gangs_are_not_preempted(|step| step.traits.gang = true),
    long_running_tasks_are_not_preempted(|step| step.traits.long_running = true),
    tasks_with_a_disruption_budget_are_not_preempted(|step| step.max_unavailable = Some(1)),
}

/// Asserts that nothing is stopped with these priorities of the two queues.
fn assert_nothing_is_stopped(priority: u32, batch_priority: u32) {
    let mut harness = cell(None, priority, batch_priority);
    fill(&mut harness, batch_step());
    submit_urgent(&mut harness, ID, 2);
    harness.run_for(3_000);
    let stops = harness.decisions.iter();
    let stops = stops.filter(|decision| matches!(decision, Decision::StopOrdered { .. }));
    assert_eq!(stops.count(), 0);
}

cases! {
    assert_nothing_is_stopped;
    queues_of_the_same_priority_do_not_preempt_each_other(0, 0),
    without_an_urgent_queue_nothing_is_stopped(1, 2),
}

/// Id of a job whose tasks are never stopped.
const FIXED: &str = "00000000000000f0";

/// Returns a cell in which half of each VM runs the batch job, and the other half another one that
/// ends after `fixed_millis` and cannot be stopped.
fn half_fixed_cell(fixed_millis: u64) -> Harness {
    let mut harness = cell(None, 0, 2);
    let mut fixed = batch_step();
    fixed.count = BATCH_TASKS / 2;
    fixed.max_per_vm = 1;
    let mut batch = fixed.clone();
    batch.max_per_vm = 1;
    fixed.traits.checkpointing = false;
    fixed.estimate_ms = fixed_millis;
    let reply = harness.submit_batch(0, FIXED, job(vec![fixed]));
    assert_eq!(reply, Reply::Accepted);
    harness.run_for(100);
    let reply = harness.submit_batch(0, BATCH, job(vec![batch]));
    assert_eq!(reply, Reply::Accepted);
    harness.run_for(MIN_RUN_MILLIS);
    assert!(harness.vms.values().all(|vm| vm.runs.len() == 2));
    harness
}

/// Returns a job whose only task takes a whole VM.
fn whole_vm_job() -> Submission {
    let mut urgent = urgent_job(1);
    urgent.steps[0].demand.cpu_milli = 16_000;
    urgent
}

/// Guards against batch tasks that take the room beside a victim while it is being stopped, so that
/// the urgent task does not fit after all.
#[test]
fn room_beside_a_victim_is_kept_for_the_urgent_task() {
    let mut harness = half_fixed_cell(MIN_RUN_MILLIS + 500);
    let reply = harness.submit_as(OTHER_KEY, 1, ID, whole_vm_job());
    assert_eq!(reply, Reply::Accepted);
    let waiting = job(vec![batch_step()]);
    let reply = harness.submit_batch(0, "00000000000000b1", waiting);
    assert_eq!(reply, Reply::Accepted);
    harness.run_for(500 + start_millis());
    assert_eq!(preemptions(&harness), 1);
    assert_eq!(starts(&harness, ID), 1);
    // The other VMs are open to batch tasks.
    assert_eq!(starts(&harness, "00000000000000b1"), VMS - 1);
}

/// Guards against stops for jobs whose callers have given up.
#[test]
fn nothing_is_stopped_for_an_overdue_job() {
    let mut harness = half_fixed_cell(9_000);
    let reply = harness.submit_as(OTHER_KEY, 1, ID, whole_vm_job());
    assert_eq!(reply, Reply::Accepted);
    harness.run_for(9_000);
    assert_eq!(preemptions(&harness), 0);
    assert_eq!(starts(&harness, ID), 0);
    // A job that is on time has a run stopped.
    let reply = harness.submit_as(OTHER_KEY, 1, "00000000000000a2", whole_vm_job());
    assert_eq!(reply, Reply::Accepted);
    harness.run_for(200);
    assert_eq!(preemptions(&harness), 1);
}

/// Guards against a run that is stopped for ever, or room that is lost, after the answer to its stop.
#[test]
fn a_lost_stop_is_repeated() {
    let mut harness = full_cell();
    harness.lost_stops = 1;
    submit_urgent(&mut harness, ID, 2);
    harness.run_for(start_millis() + 1_000);
    assert_eq!(starts(&harness, ID), 2);
    assert_eq!(preemptions(&harness), 1);
}

/// Guards against room that stays empty after the urgent job was cancelled.
#[test]
fn room_freed_for_a_cancelled_job_is_used_by_others() {
    let mut harness = full_cell();
    submit_urgent(&mut harness, ID, 2);
    harness.run_for(200);
    let reply = harness.call_as(OTHER_KEY, 0, ID, Action::Cancel);
    assert_eq!(reply, Reply::Cancelled);
    harness.run_for(start_millis() + ROUNDS_MILLIS);
    assert_eq!(starts(&harness, ID), 0);
    assert_eq!(starts(&harness, BATCH), BATCH_TASKS as usize + 1);
}

/// Guards against tasks that run twice, or urgent tasks that never start, if the placer is lost
/// while it stops runs.
#[test]
fn urgent_tasks_start_with_the_successor_of_a_placer_that_was_stopping_runs() {
    for millis in (0..900).step_by(60) {
        let mut harness = full_cell();
        submit_urgent(&mut harness, ID, 2);
        harness.run_for(millis);
        let placer = harness.placer().expect("a placer");
        harness.kill(placer);
        harness.run_for(20);
        harness.restart(placer);
        // The harness asserts that no task runs twice and that no VM exceeds its capacity.
        harness.run_for(9_000);
        assert_eq!(starts(&harness, ID), 2, "placer lost after {millis} ms");
        harness.run_for(BATCH_MILLIS);
        assert_eq!(harness.state(0, BATCH), Some(JobState::Completed));
    }
}

/// Guards against a victim that ends by itself and is counted as room that is still to come.
#[test]
fn a_victim_that_ends_by_itself_leaves_its_room_to_the_urgent_task() {
    let mut harness = cell(None, 0, 2);
    let mut batch = batch_step();
    batch.estimate_ms = MIN_RUN_MILLIS + 40;
    fill(&mut harness, batch);
    submit_urgent(&mut harness, ID, 2);
    harness.run_for(start_millis());
    assert_eq!(starts(&harness, ID), 2);
}

const ADVICE: AdviceTiming = AdviceTiming {
    base_latency: Duration::from_millis(300),
    latency_per_vm: Duration::from_millis(1),
    ticket_validity: Duration::from_millis(2_500),
};

/// Guards against urgent tasks that never get advice, as no VM has room to ask about.
#[test]
fn advice_is_asked_about_vms_that_have_room_without_their_victims() {
    let mut harness = cell(Some(ADVICE), 0, 2);
    harness.unadvised_vms = ["vm-0".into(), "vm-1".into(), "vm-2".into()].into();
    fill(&mut harness, batch_step());
    submit_urgent(&mut harness, ID, 2);
    harness.run_for(start_millis() + 400);
    assert_eq!(starts(&harness, ID), 2);
    let mut victims = harness
        .decisions
        .iter()
        .filter_map(|decision| match decision {
            Decision::Preempted { vm, .. } => Some(&**vm),
            _ => None,
        });
    assert!(victims.all(|vm| vm == "vm-3"));
    assert_eq!(preemptions(&harness), 1);
}

/// Guards against urgent jobs that wait longer and longer while batch work refills the VMs, and
/// against batch work that makes no progress because its runs are stopped again and again.
#[test]
fn urgent_and_batch_work_both_progress_while_urgent_jobs_keep_coming() {
    let mut harness = cell(Some(ADVICE), 0, 2);
    harness.unadvised_vms = ["vm-0".into()].into();
    let mut batch = batch_step();
    batch.count = 4 * BATCH_TASKS;
    batch.estimate_ms = 4_000;
    let reply = harness.submit_batch(0, BATCH, job(vec![batch]));
    assert_eq!(reply, Reply::Accepted);
    harness.run_for(MIN_RUN_MILLIS);
    let ids: Vec<String> = (0..20).map(|ix| format!("00000000000001{ix:02}")).collect();
    for id in &ids {
        submit_urgent(&mut harness, id, 2);
        harness.run_for(400);
    }
    harness.run_for(3_000);
    // At worst, all runs have just started, and advice is needed.
    let longest_wait = MIN_RUN_MILLIS + start_millis() + ROUNDS_MILLIS;
    let waits = harness
        .decisions
        .iter()
        .filter_map(|decision| match decision {
            Decision::Placed { id, waited_ms, .. } => Some((id, *waited_ms)),
            _ => None,
        });
    for (id, waited_ms) in waits.filter(|(id, _)| ids.iter().any(|other| **other == ***id)) {
        assert!(waited_ms < longest_wait, "{id} waited {waited_ms} ms");
    }
    let done = ids.iter().filter(|id| {
        let reply = harness.call_as(OTHER_KEY, 0, id, Action::Get);
        reply == Reply::State(JobState::Completed)
    });
    assert_eq!(done.count(), ids.len());
    harness.run_for(15_000);
    assert_eq!(harness.state(0, BATCH), Some(JobState::Completed));
}

/// Guards against stops on VMs that may not run the urgent tasks.
#[test]
fn nothing_is_stopped_where_advice_allows_no_vm() {
    let mut harness = cell(Some(ADVICE), 0, 2);
    harness.unadvised_vms = harness.vms.keys().cloned().collect();
    fill(&mut harness, batch_step());
    submit_urgent(&mut harness, ID, 2);
    harness.run_for(3_000);
    assert_eq!(preemptions(&harness), 0);
}

/// Guards against a team that has batch work stopped beyond its fair share.
#[test]
fn a_team_beyond_its_fair_share_stops_nothing() {
    let mut harness = full_cell();
    // The team of the batch job uses all VMs, so it is beyond its share once another has work.
    submit_urgent(&mut harness, ID, 1);
    let own = "00000000000000a2";
    assert_eq!(harness.submit(0, own, urgent_job(4)), Reply::Accepted);
    harness.run_for(start_millis());
    assert_eq!(starts(&harness, ID), 1);
    assert_eq!(preemptions(&harness), 1);
}

/// Guards against stops for tasks that the cap of their team does not allow to start.
#[test]
fn nothing_is_stopped_beyond_the_cap_of_the_claimants_team() {
    let mut harness = Harness::new(2, VMS);
    harness.batch_priority = Some(2);
    harness.cap = Resources::new(64_000, 0, 0, 0);
    harness.restart_all();
    fill(&mut harness, batch_step());
    assert_eq!(harness.submit(0, ID, urgent_job(2)), Reply::Accepted);
    harness.run_for(3_000);
    assert_eq!(preemptions(&harness), 0);
}
