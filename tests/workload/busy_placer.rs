//! A placer whose processor is slow, on a large fleet with a burst of jobs.

use std::collections::BTreeSet;
use std::time::Duration;

use ragwortstall::core::model::Resources;
use ragwortstall::core::workload::catalog::AdviceTiming;
use ragwortstall::core::workload::decision::Decision;
use ragwortstall::core::workload::submission::Step;

use crate::harness::Costs;
use crate::harness::Harness;
use crate::jobs::job;
use crate::jobs::step;

const VMS: usize = 540;

/// Daemons, through each of which one advice query is sent at a time.
const DAEMONS: usize = 12;

/// Jobs of the burst, with some seven times as much work as the VMs do in a second.
const BURST_JOBS: u64 = 1_500;

/// Jobs submitted in each step of [`LOAD_STEP_MS`], before the burst and after it.
const LOAD_JOBS: u64 = 1;

const LOAD_STEP_MS: u64 = 20;

/// Time from the burst until its jobs are done: about half as long again as the VMs need for it
/// beside the steady load.
const CALM_AFTER_MS: u64 = 12_000;

/// Processor time on a host with half a core. A search looks at all VMs.
const COSTS: Costs = Costs {
    event: Duration::from_micros(50),
    request: Duration::from_micros(100),
    search: Duration::from_micros(190),
};

/// Time of a burst in which rounds take long.
const BURST_MS: u64 = 5_000;

/// Time of a search on a fleet that is many times as large, as a multiple of that of [`COSTS`].
const SLOW_SEARCH_FACTOR: u32 = 20;

/// Age of a heartbeat at which its sender is replaced.
const MAX_HEARTBEAT_AGE: Duration = Duration::from_millis(1_100);

/// Jobs of that burst, each of another size.
const SIZES: u32 = 300;

const ADVICE: AdviceTiming = AdviceTiming {
    base_latency: Duration::from_millis(28),
    latency_per_vm: Duration::from_micros(400),
    ticket_validity: Duration::from_millis(2_500),
};

/// Cell with the numbers of its jobs.
struct Cell {
    harness: Harness,
    submitted: u64,
}

impl Cell {
    /// Starts a cell whose queue has advice.
    fn new() -> Self {
        let mut harness = Harness::with_advice(DAEMONS, VMS, Some(ADVICE));
        harness.run_for(2_000);
        harness.decisions.clear();
        harness.set_costs(COSTS);
        Self {
            harness,
            submitted: 0,
        }
    }

    /// Submits jobs, in turn through each daemon.
    fn submit(&mut self, count: u64) {
        for _ in 0..count {
            let daemon = usize::try_from(self.submitted).expect("few jobs") % DAEMONS;
            let id = format!("{:016x}", self.submitted);
            let submission = job(vec![quick_step()]);
            self.harness.send_submission(daemon, &id, submission);
            self.submitted += 1;
        }
    }

    /// Runs the cell under its steady load.
    fn run_for(&mut self, millis: u64) {
        for _ in 0..millis / LOAD_STEP_MS {
            self.submit(LOAD_JOBS);
            self.harness.run_for(LOAD_STEP_MS);
        }
    }

    /// Returns the number of jobs without a started task.
    fn waiting(&self) -> u64 {
        let starts = self.harness.starts.iter();
        let started: BTreeSet<_> = starts.map(|start| &start.1.job).collect();
        self.submitted - started.len() as u64
    }

    fn count(&self, is_counted: impl Fn(&Decision) -> bool) -> usize {
        let decisions = self.harness.decisions.iter();
        decisions.filter(|line| is_counted(line)).count()
    }
}

/// Returns a step of six tasks, of which two fit on a VM.
fn quick_step() -> Step {
    Step {
        demand: Resources::new(7_000, 10_000, 0, 1),
        ..step(6, 800, &[])
    }
}

/// Guards against a placer whose rounds leave it no time for heartbeats and renewals, so that it is
/// taken for dead, and its VMs for silent.
#[test]
fn a_placer_whose_rounds_take_long_sends_heartbeats_and_renewals_in_time() {
    let mut harness = Harness::new(DAEMONS, VMS);
    harness.decisions.clear();
    harness.set_costs(Costs {
        search: COSTS.search * SLOW_SEARCH_FACTOR,
        ..COSTS
    });
    for number in 0..SIZES {
        let daemon = number as usize % DAEMONS;
        let step = step_of_another_size(number);
        harness.send_submission(daemon, &format!("{number:016x}"), job(vec![step]));
    }
    harness.run_for(BURST_MS);
    let placer = harness.placer().expect("a placer");
    let follower = (placer + 1) % DAEMONS;
    let (_, heartbeat_age) = harness.status(follower).heartbeat.expect("a heartbeat");
    let usable_vms = harness.status(placer).placer.expect("a placer").usable_vms;
    assert!(heartbeat_age < MAX_HEARTBEAT_AGE, "{heartbeat_age:?}");
    assert_eq!(usable_vms, VMS as u64);
}

/// Returns a step that is smaller than those of lower numbers, so that the fleet is searched for it
/// although it had no room for those.
fn step_of_another_size(number: u32) -> Step {
    Step {
        demand: Resources::new(16_000 - number * 10, 10_000, 0, 1),
        ..step(6, 800, &[])
    }
}

/// Guards against a placer that gets ever later after a burst, as it searches the fleet for each
/// waiting job: it notes the ends of runs late, so that VMs are idle while jobs wait.
#[test]
fn a_placer_with_a_slow_processor_recovers_from_a_burst() {
    let mut cell = Cell::new();
    cell.run_for(1_000);
    cell.submit(BURST_JOBS);
    cell.run_for(CALM_AFTER_MS);
    let waiting = cell.waiting();
    let lost_roles = cell.count(|line| matches!(line, Decision::RoleLost { .. }));
    let lost_runs = cell.count(|line| matches!(line, Decision::RunLost { .. }));
    assert!(
        waiting < 20 && lost_roles == 0 && lost_runs == 0,
        "{waiting} of {} jobs wait; the role was lost {lost_roles} times, {lost_runs} runs were lost",
        cell.submitted
    );
}
