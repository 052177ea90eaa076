//! Tasks that crash the VMs that start them, tasks beside these, and VMs that crash by themselves.

use std::time::Duration;

use ragwortstall::core::workload::decision::Decision;
use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::event::Feed;
use ragwortstall::core::workload::submission::Step;
use ragwortstall::core::workload::task::TaskName;

use crate::harness::Harness;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::part_number;
use crate::jobs::step;
use crate::support::cases;

/// Number of starts of a task after three VMs have crashed under it that break the limit.
const TOO_MANY_STARTS: usize = 3;

/// Time within which a task that crashes its VMs is given up, in milliseconds.
const GIVE_UP_MS: u64 = 40_000;

fn task(id: &str, index: u32) -> TaskName {
    TaskName {
        job: id.into(),
        occurrence: 0,
        step: 0,
        index,
    }
}

fn id(n: u64) -> String {
    format!("{n:016x}")
}

/// Submits a job through the first daemon that runs.
fn submit(harness: &mut Harness, id: &str, steps: Vec<Step>) {
    let daemon = (0..3).find(|&daemon| harness.is_up(daemon));
    let reply = harness.submit(daemon.expect("a daemon"), id, job(steps));
    assert_eq!(reply, Reply::Accepted);
}

/// Returns a cell with a job whose task of this index crashes its VMs.
fn cell_with_crashing_task(vms: usize, new_ids: bool, spec: Step, index: u32) -> Harness {
    let mut harness = Harness::new(3, vms);
    harness.crashes.new_ids = new_ids;
    harness.crashes.tasks.insert(task(ID, index));
    submit(&mut harness, ID, vec![spec]);
    harness
}

fn assert_given_up(harness: &mut Harness, index: u32) {
    assert!(harness.starts_after_third_crash(&task(ID, index)) < TOO_MANY_STARTS);
    let daemon = harness.placer().expect("a placer");
    assert_eq!(harness.state(daemon, ID), Some(JobState::Failed));
}

fn assert_job_fails(new_ids: bool, change: fn(&mut Step)) {
    let mut spec = step(4, 500, &[]);
    change(&mut spec);
    let mut harness = cell_with_crashing_task(6, new_ids, spec, 1);
    harness.run_for(GIVE_UP_MS);
    assert_given_up(&mut harness, 1);
}

// Guards against a task that crashes VM after VM, as runs that are lost with their VMs are not
// counted.
cases! {
    assert_job_fails;
    a_job_fails_whose_task_crashes_its_vms(false, |_| ()),
    a_job_fails_whose_task_crashes_vms_that_return_under_new_ids(true, |_| ()),
    a_gang_fails_whose_member_crashes_its_vms(false, |spec| spec.traits.gang = true),
    a_gang_fails_whose_member_crashes_vms_that_return_under_new_ids(
        true, |spec| spec.traits.gang = true
    ),
    a_job_with_checkpoints_fails_whose_task_crashes_its_vms(
        true, |spec| spec.traits.checkpointing = true
    ),
}

/// Loses the answers of all VMs to starts, also of those with new ids.
fn lose_start_answers(harness: &mut Harness) {
    harness.lost_start_answers = harness.vms.keys().cloned().collect();
    for vm in 0..harness.vms.len() {
        let ids = (2..20).map(|lifetime| format!("vm-{vm}-{lifetime}").into());
        harness.lost_start_answers.extend(ids);
    }
}

/// Guards against crashes that do not count, as the VM crashed before its answer to the start
/// arrived.
#[test]
fn a_crash_counts_though_the_start_was_not_answered() {
    for new_ids in [false, true] {
        let mut harness = Harness::new(3, 6);
        harness.crashes.new_ids = new_ids;
        harness.crashes.tasks.insert(task(ID, 0));
        lose_start_answers(&mut harness);
        submit(&mut harness, ID, vec![step(1, 500, &[])]);
        harness.run_for(GIVE_UP_MS);
        assert_given_up(&mut harness, 0);
    }
}

/// Kills the placer after each of the first crashes and restarts it later.
fn assert_counted_over_takeovers(new_ids: bool, kill_after_ms: u64) {
    let harness = cell_with_crashing_task(6, new_ids, step(2, 500, &[]), 1);
    replace_placer_after_crashes(harness, kill_after_ms);
}

/// The same for VMs that crash before they have answered the start.
fn assert_counted_without_answers(new_ids: bool, are_silent: bool, kill_after_ms: u64) {
    let mut harness = Harness::new(3, 6);
    harness.crashes.new_ids = new_ids;
    harness.crashes.are_silent = are_silent;
    harness.crashes.tasks.insert(task(ID, 1));
    lose_start_answers(&mut harness);
    submit(&mut harness, ID, vec![step(2, 500, &[])]);
    replace_placer_after_crashes(harness, kill_after_ms);
}

fn replace_placer_after_crashes(mut harness: Harness, kill_after_ms: u64) {
    for crash in 1..=3 {
        while harness.crashes.log.len() < crash {
            harness.run_for(1);
            assert!(
                harness.now < Duration::from_secs(60),
                "only {crash} crashes"
            );
        }
        harness.run_for(kill_after_ms);
        let placer = harness.placer().expect("a placer");
        harness.kill(placer);
        harness.run_for(2_500);
        harness.restart(placer);
    }
    harness.run_for(GIVE_UP_MS);
    assert_given_up(&mut harness, 1);
}

// Guards against crash counts that end with the placer that counted them, or that lack the crashes
// that it had not yet recognised.
cases! {
    assert_counted_over_takeovers;
    crashes_are_counted_over_takeovers_before_the_vm_is_back(false, 300),
    crashes_are_counted_over_takeovers_after_the_vm_is_back(false, 3_600),
    crashes_under_new_ids_are_counted_over_takeovers_before_the_vm_is_back(true, 300),
    crashes_under_new_ids_are_counted_over_takeovers_after_the_lease(true, 3_800),
}

// Guards against a task that crashes VM after VM, as the crashes of those that had not answered its
// start do not count for the next placer.
cases! {
    assert_counted_without_answers;
    unanswered_crashes_are_counted_over_takeovers_before_the_vm_is_back(false, false, 300),
    unanswered_crashes_are_counted_over_takeovers_after_the_vm_is_back(false, false, 3_600),
    unanswered_crashes_under_new_ids_are_counted_before_the_vm_is_back(true, false, 300),
    unanswered_crashes_under_new_ids_are_counted_after_the_lease(true, false, 3_800),
    silent_crashes_are_counted_over_takeovers_before_the_vm_is_back(false, true, 2_000),
    silent_crashes_under_new_ids_are_counted_after_the_lease(true, true, 3_800),
}

/// Guards against a crash that is forgotten, as the new placer could not read the job when the VM came
/// back.
#[test]
fn a_crash_counts_though_the_job_is_read_later() {
    let mut harness = cell_with_crashing_task(6, false, step(1, 500, &[]), 0);
    while harness.crashes.log.is_empty() {
        harness.run_for(1);
    }
    harness.run_for(300);
    let part = format!("jobs-{}", part_number(ID));
    harness.unreadable_parts.insert(part.clone().into());
    let placer = harness.placer().expect("a placer");
    harness.kill(placer);
    harness.run_for(9_000);
    assert_eq!(harness.starts.len(), 1);
    harness.unreadable_parts.clear();
    harness.run_for(GIVE_UP_MS);
    let first = harness
        .decisions
        .iter()
        .find_map(|decision| match decision {
            Decision::RunCrashed { run, .. } => Some(*run),
            _ => None,
        });
    assert_eq!(first, Some(1));
    assert_given_up(&mut harness, 0);
}

/// Guards against crashes that are not counted, as the news of the VM's return is late: the placer
/// receives no rows of VMs for a time.
#[test]
fn a_task_is_held_while_the_returns_of_its_vms_are_not_known() {
    let mut harness = cell_with_crashing_task(8, true, step(1, 500, &[]), 0);
    let placer = harness.placer().expect("a placer");
    harness.lost_watch_answers.insert((placer, Feed::Vms));
    harness.run_for(20_000);
    assert!(harness.starts_after_third_crash(&task(ID, 0)) < TOO_MANY_STARTS);
    harness.lost_watch_answers.clear();
    harness.write_vm_rows();
    harness.run_for(GIVE_UP_MS);
    assert_given_up(&mut harness, 0);
}

/// Guards against a late return of the crashed VMs: the task would start again and again before the
/// first crash is known.
#[test]
fn a_task_is_given_up_though_its_vms_return_late() {
    let mut harness = Harness::new(3, 8);
    harness.crashes.downtime = Duration::from_secs(12);
    harness.crashes.tasks.insert(task(ID, 0));
    submit(&mut harness, ID, vec![step(1, 500, &[])]);
    harness.run_for(2 * GIVE_UP_MS);
    assert_given_up(&mut harness, 0);
}

/// Guards against jobs that fail although their tasks only ran beside one that crashed the VMs.
#[test]
fn jobs_beside_a_crashing_task_complete() {
    for new_ids in [false, true] {
        let mut harness = Harness::new(3, 4);
        harness.crashes.new_ids = new_ids;
        harness.crashes.tasks.insert(task(ID, 0));
        for n in 0..6 {
            submit(&mut harness, &id(100 + n), vec![step(4, 2_500, &[])]);
        }
        submit(&mut harness, ID, vec![step(3, 2_500, &[])]);
        harness.run_for(2 * GIVE_UP_MS);
        assert_given_up(&mut harness, 0);
        for n in 0..6 {
            let state = harness.state(0, &id(100 + n));
            assert_eq!(state, Some(JobState::Completed), "job {n}");
        }
    }
}

/// Guards against several crashing tasks on one VM, of which each hides the others, and against
/// crashes that take the whole cell.
#[test]
fn several_crashing_tasks_leave_most_of_the_cell_running() {
    let mut harness = Harness::new(3, 16);
    harness.crashes.new_ids = true;
    for n in 0..6 {
        harness.crashes.tasks.insert(task(&id(200 + n), 0));
        harness.crashes.tasks.insert(task(&id(200 + n), 1));
        submit(&mut harness, &id(200 + n), vec![step(3, 800, &[])]);
    }
    for n in 0..30 {
        submit(&mut harness, &id(300 + n), vec![step(4, 800, &[])]);
        harness.run_for(400);
    }
    harness.run_for(2 * GIVE_UP_MS);
    for n in 0..6 {
        assert_eq!(
            harness.state(0, &id(200 + n)),
            Some(JobState::Failed),
            "{n}"
        );
        for index in 0..2 {
            let name = task(&id(200 + n), index);
            assert!(harness.starts_after_third_crash(&name) < TOO_MANY_STARTS);
        }
    }
    for n in 0..30 {
        assert_eq!(
            harness.state(0, &id(300 + n)),
            Some(JobState::Completed),
            "{n}"
        );
    }
    // The first start of a task that crashes its VM cannot be foreseen.
    assert!(
        harness.crashes.most_down <= 12,
        "{}",
        harness.crashes.most_down
    );
}

/// Guards against jobs that fail as a VM crashes by itself again and again.
#[test]
fn jobs_on_a_vm_that_crashes_by_itself_complete() {
    for new_ids in [false, true] {
        let mut harness = Harness::new(3, 3);
        harness.crashes.new_ids = new_ids;
        harness.crashes.downtime = Duration::from_millis(1_500);
        let mut submitted = 0;
        for _ in 0..8 {
            for _ in 0..3 {
                submit(
                    &mut harness,
                    &id(400 + submitted),
                    vec![step(5, 1_900, &[])],
                );
                submitted += 1;
            }
            harness.run_for(1_000);
            let flapping = harness
                .vms
                .values()
                .find(|vm| &*vm.machine == "vm-1" && vm.connected);
            if let Some(vm) = flapping.map(|vm| vm.id.clone()) {
                harness.crash_vm(&vm);
            }
            harness.run_for(2_200);
        }
        harness.run_for(GIVE_UP_MS);
        for n in 0..submitted {
            assert_eq!(
                harness.state(0, &id(400 + n)),
                Some(JobState::Completed),
                "{n}"
            );
        }
    }
}

/// Guards against a VM that was only cut off being taken for one that has crashed.
#[test]
fn a_vm_that_was_cut_off_has_not_crashed() {
    let mut harness = Harness::new(3, 2);
    submit(&mut harness, ID, vec![step(1, 30_000, &[])]);
    harness.run_for(500);
    for _ in 0..4 {
        let vm = harness.starts.last().expect("a start").3.clone();
        harness.vms.get_mut(&vm).expect("a VM").connected = false;
        harness.run_for(5_000);
        harness.vms.get_mut(&vm).expect("a VM").connected = true;
        harness.run_for(1_500);
    }
    harness.run_for(32_000);
    assert_eq!(harness.starts.len(), 5);
    assert_eq!(harness.state(0, ID), Some(JobState::Completed));
    let is_crash = |decision: &&Decision| matches!(decision, Decision::VmCrashed { .. });
    assert_eq!(harness.decisions.iter().filter(is_crash).count(), 0);
}

/// Guards against planned ends of VMs being taken for crashes.
#[test]
fn a_vm_that_drains_and_leaves_has_not_crashed() {
    let mut harness = Harness::new(3, 2);
    harness.crashes.new_ids = true;
    submit(&mut harness, ID, vec![step(1, 4_000, &[])]);
    for _ in 0..4 {
        harness.run_for(600);
        let vm = harness.starts.last().expect("a start").3.clone();
        harness.vms.get_mut(&vm).expect("a VM").draining = true;
        harness.write_vm_rows();
        harness.run_for(100);
        harness.crash_vm(&vm);
        harness.run_for(4_500);
    }
    harness.run_for(6_000);
    assert_eq!(harness.state(0, ID), Some(JobState::Completed));
    let is_crash = |decision: &&Decision| matches!(decision, Decision::VmCrashed { .. });
    assert_eq!(harness.decisions.iter().filter(is_crash).count(), 0);
}
