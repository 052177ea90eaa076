//! The `pecan-bayou` workload: many short sketch jobs, batches of portraits, and gang jobs that run
//! for hours.

use std::time::Duration;

use ragwortstall::core::model::Now;
use ragwortstall::core::model::Resources;
use ragwortstall::core::sched::Weights;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::workload::JobShape;
use crate::workload::SINGLE_TASK;
use crate::workload::Workload;
use crate::workload::WorkloadBuilder;
use crate::workload::WorkloadEvent;

const SEED: u64 = 0x7065_6361;

const HOUR: Duration = Duration::from_secs(3_600);

const MINUTE: Duration = Duration::from_secs(60);

/// Name and weight of each team, and the percentage of the jobs that it submits.
const TEAMS: [(&str, u32, f64); 6] = [
    ("county-fairs", 3, 45.0),
    ("rodeo-socials", 3, 30.0),
    ("quinceaneras", 2, 15.0),
    ("weddings", 1, 5.0),
    ("schools", 1, 3.0),
    ("city-hall", 1, 2.0),
];

const DURATION: Duration = Duration::from_secs(8 * 3_600);

const SKETCHES_PER_SECOND: f64 = 12.5;
const PORTRAITS_PER_MINUTE: f64 = 2.2;

const SKETCH: JobShape = JobShape {
    kind: "sketch",
    cores: 2,
    gib: 4,
    run_time: Duration::from_secs(12),
    ..SINGLE_TASK
};

const PORTRAIT: JobShape = JobShape {
    kind: "portrait",
    count: 24,
    cores: 4,
    gib: 12,
    run_time: Duration::from_secs(150),
    ..SINGLE_TASK
};

const SESSION: JobShape = JobShape {
    kind: "session",
    gang: true,
    count: 4,
    cores: 4,
    gib: 8,
    run_time: Duration::from_secs(3 * 3_600),
    ..SINGLE_TASK
};

const PROOF: JobShape = JobShape {
    kind: "proof",
    cores: 4,
    gib: 4,
    run_time: Duration::from_secs(20),
    urgent: true,
    ..SINGLE_TASK
};

/// Returns the workload, at the size of the present deployment.
pub fn workload() -> Workload {
    let mut builder = WorkloadBuilder::new(SmallRng::seed_from_u64(SEED));
    builder.add_service("booking", "city-hall", 50, 4, 8);
    for (team, _, percent) in TEAMS {
        let fraction = percent / 100.0;
        let load_factor = |at: Now| if at.as_secs() % 2_400 < 600 { 1.3 } else { 0.8 };
        for at in builder.poisson_times(Now::ZERO, DURATION, |at| {
            SKETCHES_PER_SECOND * fraction * load_factor(at)
        }) {
            let run_time = builder.vary(SKETCH.run_time);
            builder.add_job(at, team, &JobShape { run_time, ..SKETCH });
        }
        let rate = |at: Now| PORTRAITS_PER_MINUTE / 60.0 * fraction * load_factor(at + MINUTE * 5);
        for at in builder.poisson_times(Now::ZERO, DURATION, rate) {
            let run_time = builder.vary(PORTRAIT.run_time);
            builder.add_job(
                at,
                team,
                &JobShape {
                    run_time,
                    ..PORTRAIT
                },
            );
        }
        for at in builder.poisson_times(HOUR, HOUR * 4, |_| fraction * 8.0 / 3_600.0) {
            builder.add_job(at, team, &SESSION);
        }
        for at in builder.poisson_times(Now::ZERO, DURATION, |_| fraction / 60.0) {
            builder.add_job(at, team, &PROOF);
        }
    }
    add_faults(&mut builder);
    Workload {
        name: "pecan-bayou",
        weights: Weights {
            fairness: 1_000,
            packing: 500,
            waiting: 3_000,
        },
        vms: 50,
        vms_per_rack: 6,
        teams: TEAMS
            .iter()
            .map(|&(team, weight, _)| (team.into(), weight, Resources::MAX))
            .collect(),
        duration: DURATION,
        warm_up: MINUTE * 5,
        events: builder.into_events(),
        makespan_kind: None,
    }
}

fn add_faults(builder: &mut WorkloadBuilder) {
    builder.add_vm_fault(3, HOUR, HOUR * 2);
    builder.add_vm_outage(11, HOUR * 3, HOUR * 3 + MINUTE * 10);
    for n in 0..10 {
        builder.add_failing_job(HOUR + MINUTE * n, "schools", &SKETCH);
    }
    let mut cancelled = Vec::new();
    for n in 0..200 {
        cancelled.push(builder.add_job(HOUR * 5 + MINUTE * (n % 3), "county-fairs", &PORTRAIT));
    }
    for id in cancelled {
        builder
            .events
            .push((HOUR * 5 + MINUTE * 4, WorkloadEvent::Cancel(id)));
    }
}
