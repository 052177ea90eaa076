//! Takeovers while tasks are moved away from a draining VM.

use std::time::Duration;

use crate::harness::Harness;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;

/// Time that a VM takes to stop a run.
const STOP_TIME: Duration = Duration::from_millis(900);

/// Time after which a task that is moved runs on its new VM, in milliseconds.
const MOVE_MILLIS: u64 = 4_000;

/// Drains the VM of a task that runs until cancelled, restarts the placer `millis` later, and
/// asserts that the task's runs do not overlap. Returns the number of runs.
fn restart_placer_in_a_move(millis: u64) -> usize {
    let mut harness = Harness::with_stop_time(2, 2, STOP_TIME);
    let mut lasting = step(1, 60_000, &[]);
    lasting.traits.long_running = true;
    harness.submit(0, ID, job(vec![lasting]));
    harness.run_for(500);
    let first = harness.starts[0].3.clone();
    harness.vms.get_mut(&first).expect("a VM").draining = true;
    harness.write_vm_rows();
    harness.run_for(millis);
    let placer = harness.placer().expect("a placer");
    harness.kill(placer);
    harness.run_for(20);
    harness.restart(placer);
    for _ in 0..MOVE_MILLIS / 10 {
        harness.run_for(10);
        let vms = harness.vms.values();
        let runs: usize = vms.map(|vm| vm.runs.len()).sum();
        assert!(
            runs <= 1,
            "two runs at once, placer ended after {millis} ms"
        );
    }
    harness.starts.len()
}

/// Guards against a new placer that starts a task again while its run is being stopped: the VM then
/// lists that run neither as running nor as ended.
#[test]
fn a_task_that_is_being_moved_at_a_takeover_does_not_run_twice() {
    let runs: Vec<usize> = (0..300).step_by(10).map(restart_placer_in_a_move).collect();
    assert!(runs.contains(&2), "the task is not moved");
}
