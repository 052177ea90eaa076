//! Learned run times under a load whose declared run times are wrong.

use std::time::Duration;

use ragwortstall::core::workload::policy::estimates::RunTimeEstimates;
use ragwortstall::core::workload::policy::estimates::RunTimeRatios;

const SECOND: Duration = Duration::from_secs(1);

fn ratios(values: impl Iterator<Item = f64>) -> RunTimeRatios {
    let mut ratios = RunTimeRatios::default();
    values.for_each(|value| ratios.record(value));
    ratios
}

/// Guards against bounds that are far from the ratios, or below them.
#[test]
fn quantiles_are_upper_bounds_within_a_bucket() {
    let ratios = ratios((1..=100).map(|ix| f64::from(ix) / 25.0));
    let within = |quantile: f64, value: f64| {
        let bound = ratios.quantile(quantile).expect("runs");
        assert!(
            (value..=value * 1.2).contains(&bound),
            "{bound} for {value}"
        );
    };
    within(0.5, 2.0);
    within(0.9, 3.6);
    assert_eq!(ratios.count(), 100);
    let median = ratios.median().expect("runs");
    assert!((1.8..=2.2).contains(&median), "{median}");
}

/// Guards against estimates that follow a change of the workload only after a day.
#[test]
fn old_runs_count_less() {
    let mut ratios = ratios(std::iter::repeat_n(1.0, 10_000));
    (0..300).for_each(|_| ratios.record(4.0));
    let median = ratios.median().expect("runs");
    assert!(median >= 3.6, "{median}");
}

/// Guards against a panic or an overflow with values from outside.
#[test]
fn extreme_values_are_bounded() {
    let queue = "batch".into();
    let mut estimates = RunTimeEstimates::default();
    for _ in 0..20 {
        estimates.record(&queue, Duration::ZERO, SECOND);
    }
    assert!(estimates.ratios(&queue).is_none());
    for _ in 0..20 {
        estimates.record(&queue, Duration::from_millis(1), Duration::MAX);
    }
    // Ratios beyond the last bucket have no upper bound, so no run is late by them.
    let declared = Duration::from_millis(u64::MAX);
    assert_eq!(estimates.expected(&queue, declared), None);
    let steady = "steady".into();
    for _ in 0..20 {
        estimates.record(&steady, SECOND, SECOND);
    }
    assert!(estimates.expected(&steady, declared).is_some());
    assert_eq!(estimates.expected(&steady, Duration::ZERO), None);
}

/// Guards against run times that are expected after too few runs to tell what is usual.
#[test]
fn few_runs_give_no_expected_run_time() {
    let queue = "batch".into();
    let mut estimates = RunTimeEstimates::default();
    for _ in 0..9 {
        estimates.record(&queue, SECOND, SECOND);
    }
    assert_eq!(estimates.expected(&queue, SECOND), None);
    estimates.record(&queue, SECOND, SECOND);
    assert!(estimates.expected(&queue, SECOND).is_some());
}

/// Guards against estimates that change when they are stored and loaded at a takeover.
#[test]
fn stored_counts_restore_the_same_ratios() {
    let queue = "batch".into();
    let mut estimates = RunTimeEstimates::default();
    for ix in 1..2_000 {
        estimates.record(&queue, SECOND, SECOND * ix / 500);
    }
    let restored = RunTimeEstimates::from_counts(&estimates.counts()).expect("valid counts");
    assert_eq!(restored.ratios(&queue), estimates.ratios(&queue));
    assert_eq!(
        restored.expected(&queue, SECOND),
        estimates.expected(&queue, SECOND)
    );
}
