//! Benchmark of the scheduler's placement policy against two baseline policies, in virtual time and
//! with fixed seeds.
//!
//! Prints a table for each workload, writes the results to `bench-out/`, and fails if a bound is
//! missed that is not listed in `KNOWN-RED.txt` as `bound: NAME`.
//!
//! Arguments that name workloads restrict the run to these. With the argument `capacity`, the
//! benchmark measures the resource costs of a daemon for `docs/CAPACITY.md` instead: all of them,
//! or the sections named after it (`capacity jobs`).

mod baseline;
mod bounds;
mod capacity;
mod daemon;
mod letter;
mod measure;
mod noorani;
mod pecan;
mod policy;
mod report;
mod share;
mod sim;
mod workload;

use std::fs;
use std::process::ExitCode;

use ragwortstall::core::sched::Scheduler;

use crate::baseline::Baseline;
use crate::baseline::PlacementRule;
use crate::report::Run;
use crate::report::WorkloadRuns;
use crate::workload::Workload;

fn main() -> ExitCode {
    let names: Vec<String> = std::env::args()
        .skip(1)
        .filter(|arg| !arg.starts_with('-'))
        .collect();
    if names.iter().any(|name| name == "capacity") {
        capacity::run(&names);
        return ExitCode::SUCCESS;
    }
    let is_selected =
        |workload: &Workload| names.is_empty() || names.iter().any(|name| name == workload.name);
    let workloads = [noorani::workload(), pecan::workload(), letter::workload()];
    let mut all = Vec::new();
    let mut bounds = Vec::new();
    for workload in workloads.into_iter().filter(is_selected) {
        let runs = run(workload);
        report::print_table(&runs);
        let [scheduler, baselines @ ..] = &runs.runs[..] else {
            continue;
        };
        let baselines: Vec<_> = baselines.iter().map(|run| &run.measures).collect();
        bounds.extend(bounds::check(
            &runs.workload,
            &scheduler.measures,
            &baselines,
        ));
        all.push(runs);
    }
    let unexpected = report::print_bounds(&bounds, &known_missed_bounds());
    if let Err(err) = report::write(&all) {
        println!("bench-out: {err}");
        return ExitCode::FAILURE;
    }
    if unexpected > 0 {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}

fn run(workload: Workload) -> WorkloadRuns {
    let mut scheduler = Scheduler::new(workload.weights);
    let mut first_fit = Baseline::new(PlacementRule::FirstComeFirstFit);
    let mut best_fit = Baseline::new(PlacementRule::BestFit);
    let runs = vec![
        Run {
            policy: "ragwortstall",
            measures: sim::run(&workload, &mut scheduler),
        },
        Run {
            policy: "first-come",
            measures: sim::run(&workload, &mut first_fit),
        },
        Run {
            policy: "best-fit",
            measures: sim::run(&workload, &mut best_fit),
        },
    ];
    WorkloadRuns { workload, runs }
}

/// Returns the names of the bounds that `KNOWN-RED.txt` lists as missed.
fn known_missed_bounds() -> Vec<String> {
    let text = fs::read_to_string("KNOWN-RED.txt").unwrap_or_default();
    let names = text.lines().filter_map(|line| line.strip_prefix("bound:"));
    names.map(|name| name.trim().into()).collect()
}
