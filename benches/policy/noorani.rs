//! The `noorani` workload: many short panel jobs by day, and long batch runs that must end
//! overnight.

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

const SEED: u64 = 0x6e6f_6f72;

const HOUR: Duration = Duration::from_secs(3_600);

const MINUTE: Duration = Duration::from_secs(60);

/// Name and weight of each team, and the percentage of the panel jobs that it submits.
const TEAMS: [(&str, u32, f64); 6] = [
    ("spice-packers", 4, 50.0),
    ("biscuit-bakeries", 3, 30.0),
    ("dairy-coops", 1, 10.0),
    ("pickle-makers", 1, 5.0),
    ("consultants", 2, 3.0),
    ("auditors", 1, 2.0),
];

/// By day and by night.
const PANELS_PER_SECOND: [f64; 2] = [4.4, 0.5];

/// From 14:00 to 06:00.
const DURATION: Duration = Duration::from_secs(16 * 3_600);

const DAY_END: Now = Duration::from_secs(6 * 3_600);

const PANEL: JobShape = JobShape {
    kind: "panel",
    cores: 4,
    gib: 8,
    run_time: Duration::from_secs(60),
    ..SINGLE_TASK
};

const OVERNIGHT: JobShape = JobShape {
    kind: "overnight",
    count: 200,
    cores: 8,
    gib: 24,
    run_time: Duration::from_secs(40 * 60),
    deadline: Some(Duration::from_secs(13 * 3_600)),
    ..SINGLE_TASK
};

const RECALCULATION: JobShape = JobShape {
    kind: "recalculation",
    gang: true,
    count: 16,
    cores: 8,
    gib: 16,
    run_time: Duration::from_secs(10 * 60),
    ..SINGLE_TASK
};

const RECALL: JobShape = JobShape {
    kind: "recall",
    count: 4,
    cores: 4,
    gib: 4,
    run_time: Duration::from_secs(30),
    urgent: true,
    ..SINGLE_TASK
};

/// Returns the workload, at the size of the present deployment.
pub fn workload() -> Workload {
    let mut builder = WorkloadBuilder::new(SmallRng::seed_from_u64(SEED));
    builder.add_service("labels", "spice-packers", 50, 4, 8);
    add_panels(&mut builder);
    for (team, after) in [
        ("consultants", 1),
        ("biscuit-bakeries", 2),
        ("dairy-coops", 2),
        ("spice-packers", 3),
    ] {
        for part in 0..2 {
            let at = HOUR * after + MINUTE * 10 * part;
            builder.add_job(at, team, &OVERNIGHT);
        }
    }
    for n in 1..14_u32 {
        let (team, _, _) = TEAMS[n as usize % TEAMS.len()];
        builder.add_job(HOUR * n, team, &RECALCULATION);
    }
    for n in 1..36_u32 {
        let (team, _, _) = TEAMS[n as usize % TEAMS.len()];
        builder.add_job(MINUTE * 10 * n, team, &RECALL);
    }
    add_faults(&mut builder);
    Workload {
        name: "noorani",
        weights: Weights {
            fairness: 2_000,
            packing: 2_000,
            waiting: 500,
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
        makespan_kind: Some("overnight"),
    }
}

fn add_panels(builder: &mut WorkloadBuilder) {
    for (team, _, percent) in TEAMS {
        let rate = |at: Now| {
            let is_day = at < DAY_END;
            let is_busy = at.as_secs() % 3_600 < 900;
            let rate = if is_day {
                PANELS_PER_SECOND[0]
            } else {
                PANELS_PER_SECOND[1]
            };
            rate * percent / 100.0 * if is_busy { 1.4 } else { 0.9 }
        };
        for (n, at) in builder
            .poisson_times(Now::ZERO, DURATION, rate)
            .into_iter()
            .enumerate()
        {
            let run_time = builder.vary(PANEL.run_time);
            let restartable = n % 5 != 0;
            builder.add_job(
                at,
                team,
                &JobShape {
                    run_time,
                    restartable,
                    ..PANEL
                },
            );
        }
    }
}

fn add_faults(builder: &mut WorkloadBuilder) {
    builder.add_vm_fault(7, HOUR * 2, HOUR * 3);
    builder.add_vm_outage(20, HOUR * 4, HOUR * 4 + MINUTE * 20);
    for vm in 30..36 {
        builder.add_vm_outage(vm, HOUR * 8, HOUR * 8 + MINUTE * 30);
    }
    for n in 0..10 {
        builder.add_failing_job(HOUR + MINUTE * n, "auditors", &PANEL);
    }
}
