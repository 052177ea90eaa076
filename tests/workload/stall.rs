//! VMs on which tasks make no progress although they answer.

use ragwortstall::core::workload::decision::Decision;
use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::submission::Submission;

use crate::harness::Harness;
use crate::jobs::job;
use crate::jobs::step;

/// Ids of the jobs with tasks on a hung VM.
const JOBS: [&str; 2] = ["00000000000000c1", "00000000000000c2"];

/// Creates a cell of 4 VMs in which the placer has learned the run times of the queue.
fn harness() -> Harness {
    let mut harness = Harness::new(2, 4);
    learn_run_times(&mut harness);
    harness
}

/// Runs enough tasks for the placer to learn the run times of the queue.
pub(crate) fn learn_run_times(harness: &mut Harness) {
    let submission = job(vec![step(20, 300, &[])]);
    let reply = harness.submit(0, "00000000000000c0", submission);
    assert_eq!(reply, Reply::Accepted);
    harness.run_for(1_500);
    assert_eq!(harness.starts.len(), 20);
}

/// Submits a job of this kind under each of two ids, and hangs a VM with tasks of both. Returns the
/// VM.
pub(crate) fn hang_vm(harness: &mut Harness, submission: &Submission) -> Box<str> {
    for id in JOBS {
        let reply = harness.submit(0, id, submission.clone());
        assert_eq!(reply, Reply::Accepted);
    }
    harness.run_for(150);
    let runs_of = |id: &str, vm: &crate::vm::SimVm| vm.runs.keys().any(|name| *name.job == *id);
    let hung = harness
        .vms
        .values_mut()
        .find(|vm| JOBS.iter().all(|id| runs_of(id, vm)))
        .expect("a VM with tasks of both jobs");
    hung.hung = true;
    hung.id.clone()
}

/// Returns the VMs that were found to be stalled.
pub(crate) fn stalls(harness: &Harness) -> Vec<Box<str>> {
    let stalled = harness
        .decisions
        .iter()
        .filter_map(|decision| match decision {
            Decision::VmStalled { vm, .. } => Some(vm.clone()),
            _ => None,
        });
    stalled.collect()
}

fn has_recovered(harness: &Harness) -> bool {
    let mut decisions = harness.decisions.iter();
    decisions.any(|decision| matches!(decision, Decision::VmRecovered { .. }))
}

/// Guards against jobs that are lost as their tasks stay on a VM that hangs.
#[test]
fn tasks_on_a_hung_vm_run_elsewhere() {
    let mut harness = harness();
    let hung = hang_vm(&mut harness, &job(vec![step(5, 500, &[])]));
    harness.run_for(5_000);
    assert_eq!(stalls(&harness), [hung]);
    for id in JOBS {
        assert_eq!(harness.state(0, id), Some(JobState::Completed));
    }
}

/// Guards against a VM that gets tasks while it is suspect.
#[test]
fn a_stalled_vm_gets_no_tasks_until_it_recovers() {
    let mut harness = harness();
    let hung = hang_vm(&mut harness, &job(vec![step(5, 500, &[])]));
    while stalls(&harness).is_empty() {
        harness.run_for(10);
    }
    let placer = harness.placer().expect("a placer");
    let status = harness.status(placer).placer.expect("a placer's status");
    assert_eq!((status.stalled_vms, status.usable_vms), (1, 3));
    let started = harness.starts.len();
    harness.vms.get_mut(&hung).expect("a VM").hung = false;
    let next = job(vec![step(60, 400, &[])]);
    assert_eq!(harness.submit(0, "00000000000000c3", next), Reply::Accepted);
    while !has_recovered(&harness) {
        let starts = harness.starts[started..].iter();
        assert_eq!(starts.filter(|start| start.3 == hung).count(), 0);
        harness.run_for(10);
    }
    harness.run_for(300);
    let next = job(vec![step(60, 400, &[])]);
    assert_eq!(harness.submit(0, "00000000000000c4", next), Reply::Accepted);
    harness.run_for(400);
    assert!(
        harness.starts[started..]
            .iter()
            .any(|start| start.3 == hung)
    );
}

/// Guards against a VM without tasks that is never tried again.
#[test]
fn a_stalled_vm_is_tried_again_after_a_while() {
    let mut harness = harness();
    let hung = hang_vm(&mut harness, &job(vec![step(5, 500, &[])]));
    while stalls(&harness).is_empty() {
        harness.run_for(10);
    }
    harness.run_for(3_300);
    assert!(has_recovered(&harness));
    let next = job(vec![step(64, 400, &[])]);
    assert_eq!(harness.submit(0, "00000000000000c3", next), Reply::Accepted);
    let started = harness.starts.len();
    harness.run_for(300);
    assert!(
        harness.starts[started..]
            .iter()
            .any(|start| start.3 == hung)
    );
}

/// Guards against two runs of a task at a time when a VM goes on while its runs are being stopped.
/// The harness asserts that no task runs twice.
#[test]
fn nothing_runs_twice_when_a_stalled_vm_goes_on() {
    for delay in (1_000..4_000).step_by(150) {
        let mut harness = harness();
        let hung = hang_vm(&mut harness, &job(vec![step(5, 500, &[])]));
        harness.run_for(delay);
        harness.vms.get_mut(&hung).expect("a VM").hung = false;
        harness.run_for(6_000);
        for id in JOBS {
            assert_eq!(harness.state(0, id), Some(JobState::Completed));
        }
    }
}

/// Guards against a run that is counted as stopped though its VM has not got the order.
#[test]
fn a_stop_without_an_answer_leaves_the_run_where_it_is() {
    let mut harness = harness();
    hang_vm(&mut harness, &job(vec![step(5, 500, &[])]));
    harness.lost_stops = 8;
    harness.run_for(8_000);
    for id in JOBS {
        assert_eq!(harness.state(0, id), Some(JobState::Completed));
    }
}

/// Guards against gangs that lose a member, and long-running tasks that lose their state.
#[test]
fn gangs_and_long_running_tasks_stay_on_a_stalled_vm() {
    let mut harness = harness();
    let mut gang = step(2, 500, &[]);
    gang.traits.gang = true;
    let mut lasting = step(2, 500, &[]);
    lasting.traits.long_running = true;
    let others = job(vec![gang, lasting]);
    assert_eq!(
        harness.submit(0, "00000000000000c3", others),
        Reply::Accepted
    );
    harness.run_for(200);
    hang_vm(&mut harness, &job(vec![step(5, 500, &[])]));
    for vm in harness.vms.values_mut() {
        vm.hung = vm.hung || vm.runs.keys().any(|name| &*name.job == "00000000000000c3");
    }
    harness.run_for(4_000);
    assert!(!stalls(&harness).is_empty());
    let starts = harness.starts.iter();
    let of_others = starts.filter(|start| &*start.1.job == "00000000000000c3");
    assert_eq!(of_others.count(), 4);
}

/// Guards against a VM that is stopped from working on a job that is long on every VM, and against
/// tasks that are moved again and again.
#[test]
fn a_job_that_takes_long_everywhere_completes_where_it_is() {
    let mut harness = harness();
    for vm in harness.vms.values_mut() {
        vm.slowdown = 12;
    }
    let long = job(vec![step(40, 500, &[])]);
    assert_eq!(harness.submit(0, JOBS[0], long), Reply::Accepted);
    harness.run_for(7_500);
    assert!(stalls(&harness).is_empty());
    assert_eq!(harness.state(0, JOBS[0]), Some(JobState::Completed));
}

/// Guards against tasks that never complete as each of their runs is stopped before its end: two
/// jobs take twelve times as long as declared.
#[test]
fn tasks_that_take_long_on_every_vm_complete() {
    let mut harness = harness();
    for vm in harness.vms.values_mut() {
        vm.slowdown = 12;
    }
    for id in JOBS {
        let long = job(vec![step(16, 500, &[])]);
        assert_eq!(harness.submit(0, id, long), Reply::Accepted);
    }
    harness.run_for(25_000);
    for id in JOBS {
        assert_eq!(harness.state(0, id), Some(JobState::Completed));
    }
}

/// Guards against a hang that is noticed only when the long poll of a renewal ends, which takes two
/// seconds in a large fleet.
#[test]
fn a_stall_is_noticed_before_the_wait_of_a_renewal_ends() {
    let mut harness = Harness::new(2, 200);
    learn_run_times(&mut harness);
    hang_vm(&mut harness, &job(vec![step(5, 500, &[])]));
    harness.run_for(1_900);
    assert_eq!(stalls(&harness).len(), 1);
}

/// Guards against runs that are stopped because their VM was paused as a whole: its runs are old when
/// it answers again, but they go on.
#[test]
fn a_vm_that_was_silent_is_not_suspect_when_it_answers_again() {
    let mut harness = harness();
    let paused = hang_vm(&mut harness, &job(vec![step(5, 500, &[])]));
    harness.vms.get_mut(&paused).expect("a VM").connected = false;
    harness.run_for(2_200);
    let vm = harness.vms.get_mut(&paused).expect("a VM");
    vm.connected = true;
    vm.hung = false;
    harness.run_for(3_000);
    assert!(stalls(&harness).is_empty());
    for id in JOBS {
        assert_eq!(harness.state(0, id), Some(JobState::Completed));
    }
}
