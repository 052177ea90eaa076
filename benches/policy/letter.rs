//! The `letter` workload, at the size to design for: 2,800 VMs, 91 teams, 23,000 running tasks and
//! 840 task starts per second at the peak.

use std::time::Duration;

use ragwortstall::core::model::Now;
use ragwortstall::core::model::Resources;
use ragwortstall::core::sched::Weights;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::workload::JobShape;
use crate::workload::SINGLE_TASK;
use crate::workload::Workload;
use crate::workload::WorkloadBuilder;
use crate::workload::WorkloadEvent;

const SEED: u64 = 0x6c65_7474;

const MINUTE: Duration = Duration::from_secs(60);

const DURATION: Duration = Duration::from_secs(12 * 60);

const TEAMS: u32 = 91;

const VMS: usize = 2_800;

/// Jobs and services whose tasks run until the end of the workload.
const LONG_JOBS: u32 = 455;
const TASKS_PER_LONG_JOB: u32 = 26;
const SERVICES: u32 = 92;
const INSTANCES_PER_SERVICE: u32 = 50;

/// Rate at which tasks of short jobs are submitted during [`PEAK_PERIOD`].
const PEAK_TASKS_PER_SECOND: f64 = 840.0;
const OFF_PEAK_TASKS_PER_SECOND: f64 = 150.0;
const PEAK_PERIOD: [Now; 2] = [Duration::from_secs(180), Duration::from_secs(420)];

/// Tasks in each short job.
const TASKS_PER_JOB: u32 = 6;

const LONG: JobShape = JobShape {
    kind: "long",
    count: TASKS_PER_LONG_JOB,
    cores: 4,
    gib: 12,
    run_time: Duration::from_secs(4 * 3_600),
    ..SINGLE_TASK
};

const SHORT: JobShape = JobShape {
    kind: "short",
    count: TASKS_PER_JOB,
    cores: 2,
    gib: 6,
    run_time: Duration::from_secs(8),
    ..SINGLE_TASK
};

const GANG: JobShape = JobShape {
    kind: "gang",
    gang: true,
    count: 48,
    cores: 8,
    gib: 16,
    run_time: Duration::from_secs(60),
    ..SINGLE_TASK
};

const URGENT: JobShape = JobShape {
    kind: "urgent",
    count: 4,
    cores: 4,
    gib: 8,
    run_time: Duration::from_secs(20),
    urgent: true,
    ..SINGLE_TASK
};

/// Number of jobs that are submitted within ten seconds and cancelled all at once.
const CANCELLED_JOBS: u32 = 10_000;

/// Jobs that occupy the VMs, so that the jobs to be cancelled wait.
const FILLER: JobShape = JobShape {
    kind: "filler",
    count: 30,
    cores: 8,
    gib: 32,
    run_time: Duration::from_secs(600),
    ..SINGLE_TASK
};

pub fn workload() -> Workload {
    let mut builder = WorkloadBuilder::new(SmallRng::seed_from_u64(SEED));
    for n in 0..SERVICES {
        builder.add_service(
            &format!("service-{n}"),
            &team(n),
            INSTANCES_PER_SERVICE,
            2,
            4,
        );
    }
    for n in 0..LONG_JOBS {
        builder.add_job(Duration::from_millis(u64::from(n) * 20), &team(n), &LONG);
    }
    add_short_jobs(&mut builder);
    for n in 0..24_u32 {
        builder.add_job(MINUTE + Duration::from_secs(25) * n, &team(n * 7), &GANG);
        builder.add_job(MINUTE + Duration::from_secs(27) * n, &team(n * 5), &URGENT);
    }
    for n in 0..400_u32 {
        builder.add_job(
            MINUTE * 4 + Duration::from_millis(50) * n,
            &team(n),
            &FILLER,
        );
    }
    add_cancelled_jobs(&mut builder);
    for vm in 0..12 {
        builder.add_vm_outage(vm, MINUTE * 5, MINUTE * 7);
    }
    for vm in 100..103 {
        builder.add_vm_fault(vm, MINUTE * 2, MINUTE * 9);
    }
    for n in 0..20_u32 {
        builder.add_failing_job(MINUTE * 2 + Duration::from_secs(1) * n, &team(n), &SHORT);
    }
    Workload {
        name: "letter",
        weights: Weights::default(),
        vms: VMS,
        vms_per_rack: 12,
        teams: (0..TEAMS)
            .map(|n| (team(n).into(), 1 + n % 4, Resources::MAX))
            .collect(),
        duration: DURATION,
        warm_up: Duration::from_secs(30),
        events: builder.into_events(),
        makespan_kind: None,
    }
}

fn team(n: u32) -> String {
    format!("team-{}", n % TEAMS)
}

fn add_short_jobs(builder: &mut WorkloadBuilder) {
    let rate = |at: Now| {
        let is_peak = at >= PEAK_PERIOD[0] && at < PEAK_PERIOD[1];
        (if is_peak {
            PEAK_TASKS_PER_SECOND
        } else {
            OFF_PEAK_TASKS_PER_SECOND
        }) / f64::from(TASKS_PER_JOB)
    };
    for at in builder.poisson_times(Duration::from_secs(20), DURATION, rate) {
        let team = team(builder.rng.random_range(0..TEAMS));
        let run_time = builder.vary(SHORT.run_time);
        builder.add_job(at, &team, &JobShape { run_time, ..SHORT });
    }
}

/// Adds a burst of large jobs, and cancels all of them one minute after its start.
fn add_cancelled_jobs(builder: &mut WorkloadBuilder) {
    let mut cancelled = Vec::new();
    for n in 0..CANCELLED_JOBS {
        let at = MINUTE * 5 + Duration::from_millis(u64::from(n));
        let shape = JobShape {
            kind: "withdrawn",
            cores: 16,
            gib: 64,
            run_time: Duration::from_secs(300),
            ..SINGLE_TASK
        };
        cancelled.push(builder.add_job(at, &team(n), &shape));
    }
    for id in cancelled {
        builder.events.push((MINUTE * 6, WorkloadEvent::Cancel(id)));
    }
}
