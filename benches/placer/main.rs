//! Benchmark of the placer's rounds while more tasks wait than the VMs can run. Prints the processor
//! time of the reducer for each second of simulated time, its longest step, and the searches of the
//! fleet, by number of VMs and of waiting tasks.
//!
//! The cell is the simulated one of the tests, so that table, VMs and advice take no processor time
//! of the reducer.

#![allow(
    dead_code,
    unused_imports,
    unused_macros,
    reason = "the simulated cell is shared with the tests, which use more of it"
)]

#[path = "../../tests/workload/catalog.rs"]
mod catalog;
#[path = "../../tests/workload/harness/mod.rs"]
mod harness;
#[path = "../../tests/workload/jobs.rs"]
mod jobs;
#[path = "../../tests/support/mod.rs"]
mod support;
#[path = "../../tests/workload/table.rs"]
mod table;
#[path = "../../tests/workload/vm.rs"]
mod vm;
#[path = "../../tests/workload/vm_rows.rs"]
mod vm_rows;

use std::time::Duration;

use ragwortstall::core::model::Resources;
use ragwortstall::core::workload::catalog::AdviceTiming;
use ragwortstall::core::workload::submission::Step;

use crate::harness::Harness;
use crate::jobs::job;

/// Numbers of VMs.
const FLEETS: [usize; 2] = [350, 3_000];

/// Numbers of tasks that wait beyond those that the VMs run.
const WAITING_TASKS: [usize; 3] = [100, 1_000, 10_000];

/// Daemons, through each of which one advice query is sent at a time.
const DAEMONS: usize = 30;

/// Tasks of a job.
const WIDTH: u32 = 10;

/// Tasks that run on a VM at the same time.
const TASKS_PER_VM: usize = 2;

/// One job of this many belongs to the batch queue, whose runs may be stopped for the other queue.
const BATCH_JOBS: usize = 2;

/// Simulated time that is measured, in seconds.
const MEASURED_SECONDS: u32 = 3;

const ADVICE: AdviceTiming = AdviceTiming {
    base_latency: Duration::from_millis(18),
    latency_per_vm: Duration::from_micros(260),
    ticket_validity: Duration::from_millis(2_500),
};

fn main() {
    println!("VMs   waiting  advice  reducer ms/s  longest step ms  searches/s  starts/s");
    for vms in FLEETS {
        for waiting in WAITING_TASKS {
            for advice in [None, Some(ADVICE)] {
                measure(vms, waiting, advice);
            }
        }
    }
}

/// Prints the load of a placer whose VMs are full while `waiting` tasks wait.
fn measure(vms: usize, waiting: usize, advice: Option<AdviceTiming>) {
    let mut cell = Harness::with_advice(DAEMONS, vms, advice);
    cell.batch_priority = Some(2);
    cell.restart_all();
    let jobs = (vms * TASKS_PER_VM + waiting) / WIDTH as usize;
    for number in 0..jobs {
        let (daemon, id) = (number % DAEMONS, format!("{number:016x}"));
        let mut step = wide_step(number);
        if number % BATCH_JOBS == 0 {
            step.traits.checkpointing = true;
            step.estimate_ms *= 5;
            cell.send_batch(daemon, &id, job(vec![step]));
        } else {
            cell.send_submission(daemon, &id, job(vec![step]));
        }
    }
    cell.run_for(1_000);
    let placer = cell.placer().expect("a placer");
    let (scans, starts) = (cell.work(placer).vm_scans, cell.starts.len());
    cell.take_step_times(placer);
    cell.run_for(u64::from(MEASURED_SECONDS) * 1_000);
    let times = cell.take_step_times(placer);
    let millis = |time: Duration| time.as_secs_f64() * 1_000.0;
    let searches = cell.work(placer).vm_scans - scans;
    let starts = cell.starts.len() - starts;
    println!(
        "{vms:<5} {waiting:<8} {:<7} {:<13.1} {:<16.2} {:<11} {}",
        if advice.is_some() { "yes" } else { "no" },
        millis(times.total / MEASURED_SECONDS),
        millis(times.longest),
        searches / u64::from(MEASURED_SECONDS),
        starts / MEASURED_SECONDS as usize,
    );
}

/// Returns a step of which two tasks fit on a VM. Sizes and run times differ, so that ends of runs
/// are spread and no step stands for all others.
fn wide_step(number: usize) -> Step {
    let number = u32::try_from(number).unwrap_or(u32::MAX);
    let mut step = jobs::step(WIDTH, 600 + u64::from(number % 11) * 100, &[]);
    step.demand = Resources::new(6_000 + number % 7 * 250, 20_000 + number % 5 * 1_000, 0, 1);
    step
}
