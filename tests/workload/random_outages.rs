//! Takeovers while random parts of the jobs table cannot be read, with faults of VMs and further
//! takeovers. The simulated VMs and the harness assert their limits throughout.

use std::time::Duration;

use ragwortstall::core::model::Resources;
use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::table::CommitOutcome;
use ragwortstall::core::workload::table::JOBS;
use ragwortstall::core::workload::table::RowId;
use ragwortstall::core::workload::table::Transaction;

use crate::harness::Harness;
use crate::jobs::job;
use crate::jobs::part_number;
use crate::jobs::step;

/// Number of jobs of a seed.
const JOB_COUNT: u64 = 24;

/// Number of daemons and of VMs.
const DAEMONS: usize = 3;
const VMS: usize = 4;

/// Processor time of a task, in millicores, of which a VM has room for five.
const TASK_MILLICORES: u32 = 3_000;

/// Cap of the team with odd seeds, in millicores, which is below the capacity of the VMs.
const CAP_MILLICORES: u32 = 24_000;

/// Time within which a daemon that has started accepts submissions.
const MAX_START_TIME: Duration = Duration::from_secs(5);

/// Time within which all jobs end once all parts can be read, in milliseconds.
const RECOVERY_MS: u64 = 40_000;

/// Generator of random numbers (xorshift).
struct Random(u64);

impl Random {
    /// Returns a number below `bound`.
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound
    }
}

fn id(n: u64) -> String {
    format!("{:016x}", n * 7 + 1)
}

fn submit_random_job(harness: &mut Harness, random: &mut Random, id: &str) {
    let tasks = 1 + u32::try_from(random.below(6)).expect("a few tasks");
    let mut first = step(tasks, 200 + random.below(4_000), &[]);
    first.demand.cpu_milli = TASK_MILLICORES;
    let second = step(1, 100 + random.below(2_000), &[0]);
    let daemon = (0..DAEMONS).find(|&daemon| harness.is_up(daemon));
    let daemon = daemon.expect("a daemon");
    let submission = job(vec![first, second]);
    // A daemon that has just started refuses submissions until it has its configuration.
    let end = harness.now + MAX_START_TIME;
    while harness.submit(daemon, id, submission.clone()) != Reply::Accepted {
        assert!(harness.now < end, "daemon {daemon} refuses submissions");
        run_within_cap(harness, 20);
    }
}

fn cancel(harness: &mut Harness, id: &str) {
    let part = format!("jobs-{}", part_number(id));
    let row = RowId::new(JOBS, &part, &format!("{id}/cancel"));
    let txn = Transaction {
        put: vec![(row, b"{}".to_vec())],
        ..Transaction::default()
    };
    assert!(matches!(harness.table.commit(&txn), CommitOutcome::Done(_)));
}

/// Runs the cell for a time and asserts that the team's runs stay within its cap.
fn run_within_cap(harness: &mut Harness, millis: u64) {
    for _ in 0..millis {
        harness.run_for(1);
        let runs = harness.vms.values().flat_map(|vm| vm.runs.values());
        let used: u32 = runs.map(|run| run.step.demand.cpu_milli).sum();
        let cap = harness.cap.cpu_milli;
        assert!(cap == 0 || used <= cap, "{used} at {:?}", harness.now);
    }
}

fn replace_placer(harness: &mut Harness) {
    let Some(placer) = harness.placer() else {
        return;
    };
    harness.kill(placer);
    run_within_cap(harness, 300);
    harness.restart(placer);
}

/// Disconnects, reconnects or restarts a random VM. The row of a restarted VM changes at once or with
/// that of the next one.
fn disturb_vm(harness: &mut Harness, random: &mut Random) {
    let ix = usize::try_from(random.below(VMS as u64)).expect("few VMs");
    let vm = harness.vms.values_mut().nth(ix).expect("a VM");
    match random.below(6) {
        0 | 1 => vm.connected = false,
        2 | 3 => vm.connected = true,
        _ => vm.restart(),
    }
    if random.below(2) == 0 {
        harness.write_vm_rows();
    }
}

fn run_seed(seed: u64) {
    let mut random = Random((seed + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let mut harness = Harness::new(DAEMONS, VMS);
    if seed % 2 == 1 {
        harness.cap = Resources::new(CAP_MILLICORES, 0, 0, 0);
    }
    for daemon in 0..DAEMONS {
        harness.kill(daemon);
        harness.restart(daemon);
    }
    harness.run_for(4_000);
    for n in 0..JOB_COUNT {
        submit_random_job(&mut harness, &mut random, &id(n));
        let millis = random.below(300);
        run_within_cap(&mut harness, millis);
        if n % 8 == 5 {
            let missing = (0..32).filter(|_| random.below(4) == 0);
            let missing: Vec<u8> = missing.collect();
            let missing = missing.iter().map(|part| format!("jobs-{part}").into());
            harness.unreadable_parts.extend(missing);
            replace_placer(&mut harness);
        }
        if n % 3 == 0 {
            disturb_vm(&mut harness, &mut random);
        }
        let cancelled = id(random.below(n + 1));
        if random.below(6) == 0 {
            cancel(&mut harness, &cancelled);
        }
        if random.below(3) == 0 {
            let read = harness.unreadable_parts.iter().next().cloned();
            read.map(|part| harness.unreadable_parts.remove(&part));
        }
        let millis = random.below(1_500);
        run_within_cap(&mut harness, millis);
    }
    for vm in harness.vms.values_mut() {
        vm.connected = true;
    }
    harness.unreadable_parts.clear();
    run_within_cap(&mut harness, RECOVERY_MS);
    let placer = harness.placer().expect("a placer");
    for n in 0..JOB_COUNT {
        let state = harness.state(placer, &id(n));
        let ended = matches!(state, Some(JobState::Completed | JobState::Cancelled));
        assert!(ended, "seed {seed}: job {} is {state:?}", id(n));
    }
}

/// Guards against tasks that run twice, caps that are exceeded and jobs that are lost.
#[test]
fn takeovers_with_missing_parts_keep_all_limits() {
    for seed in 0..8 {
        run_seed(seed);
    }
}
