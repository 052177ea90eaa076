//! Bounds that the scheduler's measures must meet, some of them relative to the baselines.

use std::time::Duration;

use crate::measure::Measures;
use crate::workload::Workload;

/// 99th percentile of the time per decision.
const MAX_DECISION_TIME: Duration = Duration::from_millis(1);

/// Rate that one core must reach, at the size of the `letter` workload.
const MIN_DECISIONS_PER_SECOND: f64 = 5_000.0;

/// 99th percentile of the wait of urgent jobs.
const MAX_URGENT_WAIT: Duration = Duration::from_millis(3_800);

/// Kinds of job that are urgent, in all workloads.
const URGENT_KINDS: [&str; 3] = ["recall", "proof", "urgent"];

/// Factor by which a measure may exceed that of the best baseline, unless the workload's weights
/// favor what it measures.
const BASELINE_TOLERANCE: f64 = 1.1;

/// Work lost to preemption, in percent of the completed work. It is absolute, since the baselines
/// never preempt.
const MAX_PREEMPTED_PERCENT: f64 = 10.0;

/// Added to bounds on waits, since tasks start only in rounds that are this far apart.
const WAIT_RESOLUTION: Duration = Duration::from_millis(100);

/// A bound and the value measured against it.
#[derive(Clone, Debug)]
pub struct Bound {
    pub name: String,
    pub value: f64,
    pub limit: f64,
    pub is_met: bool,
}

/// Checks the scheduler's measures of one workload against all bounds.
pub fn check(workload: &Workload, scheduler: &Measures, baselines: &[&Measures]) -> Vec<Bound> {
    let mut bounds = Vec::new();
    let prefix = workload.name;
    let time = scheduler.decision_time(0.99).as_secs_f64();
    push_max(
        &mut bounds,
        format!("{prefix}-decision-p99"),
        time,
        MAX_DECISION_TIME.as_secs_f64(),
    );
    let rate = scheduler.decisions_per_second();
    if workload.name == "letter" {
        bounds.push(Bound {
            name: format!("{prefix}-decisions-a-second"),
            value: rate,
            limit: MIN_DECISIONS_PER_SECOND,
            is_met: rate >= MIN_DECISIONS_PER_SECOND,
        });
    }
    let preempted = scheduler.preempted_percent();
    push_max(
        &mut bounds,
        format!("{prefix}-preempted"),
        preempted,
        MAX_PREEMPTED_PERCENT,
    );
    for kind in URGENT_KINDS {
        if let Some(waits) = scheduler.waits.get(kind) {
            let wait = waits.quantile(0.99).as_secs_f64();
            push_max(
                &mut bounds,
                format!("{prefix}-{kind}-starts"),
                wait,
                MAX_URGENT_WAIT.as_secs_f64(),
            );
        }
    }
    let favors_waiting = workload.weights.waiting > workload.weights.fairness;
    let favors_shares = workload.weights.fairness > workload.weights.waiting;
    for (name, measure) in compared_measures() {
        let best = baselines
            .iter()
            .map(|run| measure(run))
            .fold(f64::MAX, f64::min);
        let tolerance = if favors_shares {
            1.0
        } else {
            BASELINE_TOLERANCE
        };
        push_max(
            &mut bounds,
            format!("{prefix}-{name}"),
            measure(scheduler),
            best * tolerance,
        );
    }
    for (kind, waits) in &scheduler.waits {
        for (name, fraction) in [("p50", 0.5), ("p99", 0.99)] {
            let best = baselines
                .iter()
                .filter_map(|run| run.waits.get(kind))
                .map(|waits| waits.quantile(fraction))
                .min()
                .unwrap_or(Duration::MAX);
            let tolerance = if favors_waiting {
                1.0
            } else {
                BASELINE_TOLERANCE
            };
            let bound = best.mul_f64(tolerance).saturating_add(WAIT_RESOLUTION);
            let wait = waits.quantile(fraction).as_secs_f64();
            push_max(
                &mut bounds,
                format!("{prefix}-wait-{kind}-{name}"),
                wait,
                bound.as_secs_f64(),
            );
        }
    }
    if let Some((makespan, left)) = scheduler.makespan {
        let makespans = baselines.iter().filter_map(|run| run.makespan);
        let best = makespans
            .clone()
            .map(|(time, _)| time)
            .min()
            .unwrap_or_default();
        let bound = best.mul_f64(BASELINE_TOLERANCE).as_secs_f64();
        push_max(
            &mut bounds,
            format!("{prefix}-makespan"),
            makespan.as_secs_f64(),
            bound,
        );
        push_max(
            &mut bounds,
            format!("{prefix}-overnight-left"),
            f64::from(left),
            0.0,
        );
    }
    bounds
}

type Measure = fn(&Measures) -> f64;

/// Returns the measures of shares and packing that are compared with the baselines; lower is
/// better.
fn compared_measures() -> [(&'static str, Measure); 4] {
    [
        ("share-worst", Measures::share_worst),
        ("share-mean", Measures::share_mean),
        ("held-over-used", |run| 1.0 / run.used_over_held().max(1e-9)),
        ("vms-over-least", Measures::vms_over_least),
    ]
}

/// Adds a bound for a value that may be at most `limit`.
fn push_max(bounds: &mut Vec<Bound>, name: String, value: f64, limit: f64) {
    bounds.push(Bound {
        name,
        value,
        limit,
        is_met: value <= limit + 1e-9,
    });
}
