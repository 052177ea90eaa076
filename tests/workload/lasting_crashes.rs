//! Tasks that run until their job is cancelled, on VMs that crash: by themselves or by these tasks.

use std::time::Duration;

use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::submission::Step;
use ragwortstall::core::workload::task::TaskName;

use crate::harness::Harness;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;
use crate::support::cases;

/// Number of crashes of VMs under a task, more than after which a job that ends is given up.
const CRASHES: usize = 6;

/// Time within which a lasting task runs again after its last run, in milliseconds.
const RESTART_MS: u64 = 6_000;

/// Shortest time between two starts of a task that has crashed many VMs, in milliseconds.
const MIN_START_INTERVAL_MS: u64 = 3_900;

/// Time for which a crashing task is observed, in milliseconds.
const OBSERVED_MS: u64 = 80_000;

/// Largest number of VMs of 16 that six tasks take down at the same time.
const MAX_DOWN: usize = 6;

/// What is varied.
#[derive(Clone, Copy)]
struct Case {
    /// Whether VMs return under new ids.
    new_ids: bool,
    /// Time after which a VM is back, in milliseconds; longer than the test if it is gone for good.
    down_ms: u64,
    /// Age of a run at which its VM crashes, in milliseconds.
    runs_for_ms: u64,
    /// Changes the step.
    change: fn(&mut Step),
}

const CASE: Case = Case {
    new_ids: false,
    down_ms: 1_500,
    runs_for_ms: 4_000,
    change: |_| (),
};

const GONE_MS: u64 = 1_000_000;

fn task(id: &str, index: u32) -> TaskName {
    TaskName {
        job: id.into(),
        occurrence: 0,
        step: 0,
        index,
    }
}

fn lasting_step(count: u32) -> Step {
    let mut spec = step(count, 500, &[]);
    spec.traits.long_running = true;
    spec
}

fn submit(harness: &mut Harness, id: &str, spec: Step) {
    let reply = harness.submit(0, id, job(vec![spec]));
    assert_eq!(reply, Reply::Accepted);
}

/// Returns the VM that runs a task.
fn host(harness: &Harness, task: &TaskName) -> Option<Box<str>> {
    let mut vms = harness.vms.values();
    let host = vms.find(|vm| vm.connected && vm.runs.contains_key(task));
    host.map(|vm| vm.id.clone())
}

/// Runs the cell until a VM runs a task, and returns the VM.
fn await_run(harness: &mut Harness, task: &TaskName, within_ms: u64) -> Box<str> {
    let end = harness.now + Duration::from_millis(within_ms);
    loop {
        if let Some(vm) = host(harness, task) {
            return vm;
        }
        let state = harness.state(0, ID);
        assert!(harness.now < end, "{task} does not run, job {state:?}");
        harness.run_for(1);
    }
}

/// Crashes the VM of a task again and again.
fn assert_runs_on(vms: usize, case: Case) {
    let mut harness = Harness::new(3, vms);
    harness.crashes.new_ids = case.new_ids;
    harness.crashes.downtime = Duration::from_millis(case.down_ms);
    let mut spec = lasting_step(3);
    (case.change)(&mut spec);
    submit(&mut harness, ID, spec);
    let name = task(ID, 0);
    await_run(&mut harness, &name, 2_000);
    for _ in 0..CRASHES {
        harness.run_for(case.runs_for_ms);
        let vm = await_run(&mut harness, &name, RESTART_MS);
        harness.crash_vm(&vm);
        await_run(&mut harness, &name, RESTART_MS);
    }
    harness.run_for(RESTART_MS);
    assert_eq!(harness.state(0, ID), Some(JobState::Running));
    for index in 0..3 {
        assert!(host(&harness, &task(ID, index)).is_some(), "task {index}");
    }
}

// Guards against a lasting job that fails although only VMs have crashed under its tasks, and against
// a task of it that is away for longer than the time within which it has to run again.
cases! {
    assert_runs_on;
    a_lasting_job_outlives_crashes_of_its_vms(8, CASE),
    a_lasting_job_outlives_crashes_of_vms_that_return_under_new_ids(
        8, Case { new_ids: true, ..CASE }
    ),
    a_lasting_job_outlives_vms_that_are_gone_for_good(12, Case { down_ms: GONE_MS, ..CASE }),
    a_lasting_job_outlives_many_short_runs(16, Case { runs_for_ms: 300, ..CASE }),
    a_lasting_job_outlives_short_runs_on_vms_that_are_gone_for_good(
        16, Case { down_ms: GONE_MS, runs_for_ms: 300, ..CASE }
    ),
    a_lasting_job_outlives_quick_restarts_of_its_only_vm(
        1, Case { down_ms: 300, runs_for_ms: 900, ..CASE }
    ),
    a_lasting_gang_outlives_crashes_of_its_vms(
        8, Case { change: |spec| spec.traits.gang = true, ..CASE }
    ),
}

/// Guards against a lasting job that fails as its only VM goes down and up three times within 3.6 s.
#[test]
fn a_lasting_job_outlives_a_vm_that_goes_down_and_up_three_times() {
    let mut harness = Harness::new(3, 1);
    harness.crashes.downtime = Duration::from_millis(300);
    submit(&mut harness, ID, lasting_step(1));
    let name = task(ID, 0);
    await_run(&mut harness, &name, 2_000);
    harness.run_for(2_000);
    for _ in 0..3 {
        harness.crash_vm("vm-0");
        harness.run_for(1_200);
    }
    await_run(&mut harness, &name, RESTART_MS);
    harness.run_for(12_000);
    assert_eq!(harness.state(0, ID), Some(JobState::Running));
    assert!(host(&harness, &name).is_some());
}

/// Guards against a lasting task that is held for longer than the time within which it has to run again,
/// as its VM is gone for good after two others have crashed.
#[test]
fn a_lasting_task_runs_again_after_two_crashes_and_a_vm_that_is_gone_for_good() {
    let mut harness = Harness::new(3, 12);
    harness.crashes.downtime = Duration::from_millis(1_500);
    submit(&mut harness, ID, lasting_step(1));
    let name = task(ID, 0);
    for _ in 0..2 {
        let vm = await_run(&mut harness, &name, RESTART_MS);
        harness.run_for(4_000);
        harness.crash_vm(&vm);
    }
    let vm = await_run(&mut harness, &name, RESTART_MS);
    harness.run_for(4_000);
    harness.crash_vm_silently(&vm);
    await_run(&mut harness, &name, RESTART_MS);
    harness.run_for(RESTART_MS);
    assert_eq!(harness.state(0, ID), Some(JobState::Running));
}

/// Guards against a task that crashes each VM that starts it and, as it is never given up, takes VM
/// after VM; and against one that is no longer started.
fn assert_crashes_are_slow(new_ids: bool, is_gang: bool) {
    let mut harness = Harness::new(3, 6);
    harness.crashes.new_ids = new_ids;
    let name = task(ID, 1);
    harness.crashes.tasks.insert(name.clone());
    let mut spec = lasting_step(4);
    spec.traits.gang = is_gang;
    submit(&mut harness, ID, spec);
    harness.run_for(OBSERVED_MS);
    assert_eq!(harness.state(0, ID), Some(JobState::Running));
    let starts = harness.starts.iter().filter(|start| start.1 == name);
    let times: Vec<Duration> = starts.map(|start| start.0).collect();
    let gaps: Vec<Duration> = times
        .windows(2)
        .map(|pair| pair[1].saturating_sub(pair[0]))
        .collect();
    let after_fourth = gaps.iter().skip(4);
    let min = Duration::from_millis(MIN_START_INTERVAL_MS);
    assert!(after_fourth.clone().all(|&gap| gap >= min), "{gaps:?}");
    let max = Duration::from_millis(RESTART_MS);
    assert!(gaps.iter().all(|&gap| gap <= max), "{gaps:?}");
    assert!(harness.now < times.last().copied().expect("a start") + max);
    assert!(
        harness.crashes.most_down <= 2,
        "{}",
        harness.crashes.most_down
    );
}

cases! {
    assert_crashes_are_slow;
    a_lasting_task_that_crashes_its_vms_is_slowed_down(false, false),
    a_lasting_task_that_crashes_vms_with_new_ids_is_slowed_down(true, false),
    a_lasting_gang_that_crashes_its_vms_is_slowed_down(false, true),
    a_lasting_gang_that_crashes_vms_with_new_ids_is_slowed_down(true, true),
}

/// Guards against jobs that fail, or never end, beside a lasting task that crashes its VMs for ever.
#[test]
fn jobs_beside_a_lasting_task_that_crashes_its_vms_complete() {
    for new_ids in [false, true] {
        let mut harness = Harness::new(3, 6);
        harness.crashes.new_ids = new_ids;
        harness.crashes.tasks.insert(task(ID, 0));
        submit(&mut harness, ID, lasting_step(1));
        let ids: Vec<String> = (0..24).map(|n| format!("{:016x}", 500 + n)).collect();
        for id in &ids {
            submit(&mut harness, id, step(4, 2_500, &[]));
            harness.run_for(1_500);
        }
        harness.run_for(OBSERVED_MS);
        for id in &ids {
            assert_eq!(harness.state(0, id), Some(JobState::Completed), "{id}");
        }
        assert_eq!(harness.state(0, ID), Some(JobState::Running));
    }
}

/// Guards against several lasting tasks that crash their VMs and together take most of the cell, so that
/// other jobs fail or never end.
#[test]
fn several_lasting_tasks_that_crash_their_vms_leave_room_for_others() {
    let mut harness = Harness::new(3, 16);
    harness.crashes.new_ids = true;
    for index in 0..6 {
        harness.crashes.tasks.insert(task(ID, index));
    }
    submit(&mut harness, ID, lasting_step(8));
    let ids: Vec<String> = (0..30).map(|n| format!("{:016x}", 600 + n)).collect();
    for id in &ids {
        submit(&mut harness, id, step(4, 800, &[]));
        harness.run_for(400);
    }
    harness.run_for(OBSERVED_MS);
    for id in &ids {
        assert_eq!(harness.state(0, id), Some(JobState::Completed), "{id}");
    }
    assert_eq!(harness.state(0, ID), Some(JobState::Running));
    for index in 6..8 {
        assert!(host(&harness, &task(ID, index)).is_some(), "task {index}");
    }
    let most_down = harness.crashes.most_down;
    assert!(most_down <= MAX_DOWN, "{most_down}");
}

/// Guards against a lasting job that fails as another placer counts the crashes, also those that it finds
/// in rows, and against a task that is held by it.
#[test]
fn a_lasting_job_outlives_crashes_of_its_vms_over_takeovers() {
    let mut harness = Harness::new(3, 8);
    harness.crashes.downtime = Duration::from_millis(1_500);
    submit(&mut harness, ID, lasting_step(2));
    let name = task(ID, 0);
    for _ in 0..CRASHES {
        let vm = await_run(&mut harness, &name, RESTART_MS);
        harness.run_for(2_000);
        harness.crash_vm(&vm);
        harness.run_for(400);
        let placer = harness.placer().expect("a placer");
        harness.kill(placer);
        harness.run_for(6_000);
        harness.restart(placer);
        await_run(&mut harness, &name, RESTART_MS);
    }
    harness.run_for(RESTART_MS);
    let placer = harness.placer().expect("a placer");
    assert_eq!(harness.state(placer, ID), Some(JobState::Running));
}
