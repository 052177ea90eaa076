//! Metrics of decisions and of a daemon's status, in the text format of Prometheus.

use std::time::Duration;

use ragwortstall::core::model::Resources;
use ragwortstall::core::workload::decision::Decision;
use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::status::PlacerStatus;
use ragwortstall::core::workload::status::Status;
use ragwortstall::shell::workload::meters;
use ragwortstall::shell::workload::meters::StatusGauges;

/// Returns the metrics page after `work`.
fn page(work: impl FnOnce()) -> String {
    let recorder = meters::recorder_builder()
        .expect("buckets")
        .build_recorder();
    metrics::with_local_recorder(&recorder, work);
    recorder.handle().render()
}

fn job_state(state: JobState, took_ms: u64) -> Decision {
    Decision::JobState {
        id: "00000000000000a1".into(),
        state,
        reason: "".into(),
        took_ms,
        objective_ms: 900,
    }
}

#[test]
fn ended_jobs_are_counted_by_state_and_lateness() {
    let page = page(|| {
        meters::record(&job_state(JobState::Running, 80));
        meters::record(&job_state(JobState::Completed, 800));
        meters::record(&job_state(JobState::Completed, 1_000));
        meters::record(&job_state(JobState::Failed, 1_000));
    });
    let has = |line: &str| assert!(page.lines().any(|have| have == line), "{line} in\n{page}");
    has("ragwortstall_jobs_ended_total{state=\"completed\"} 2");
    has("ragwortstall_jobs_ended_total{state=\"failed\"} 1");
    has("ragwortstall_jobs_late_total 1");
    has("ragwortstall_first_start_seconds_bucket{le=\"0.05\"} 0");
    has("ragwortstall_first_start_seconds_bucket{le=\"0.1\"} 1");
}

#[test]
fn gauges_of_queues_without_waiting_tasks_are_reset_to_zero() {
    let mut placer = PlacerStatus {
        epoch: 7,
        free: Resources::new(1_500, 64, 0, 0),
        ..PlacerStatus::default()
    };
    let labels = ("labels".into(), Some("dairy".into()));
    placer.waiting.insert(labels, 12);
    let busy = Status {
        config_version: 3,
        config_age: Duration::from_secs(2),
        placer: Some(placer),
        ..Status::default()
    };
    let idle = Status::default();
    let report = |list: &[&Status]| {
        page(|| {
            let mut gauges = StatusGauges::default();
            for status in list {
                gauges.report(status);
            }
        })
    };
    let waiting = "ragwortstall_waiting_tasks{queue=\"labels\",team=\"dairy\"}";
    let first = report(&[&busy]);
    assert!(first.contains(&format!("{waiting} 12")), "{first}");
    assert!(first.contains("ragwortstall_free_milli_cores 1500"));
    assert!(first.contains("ragwortstall_config_age_seconds 2"));
    let second = report(&[&busy, &idle]);
    assert!(second.contains(&format!("{waiting} 0")), "{second}");
    assert!(second.contains("ragwortstall_placer_epoch 0"));
}

#[test]
fn the_view_of_the_evacuation_requests_has_no_age_before_the_first_read() {
    let report = |status: &Status| page(|| StatusGauges::default().report(status));
    let unread = report(&Status::default());
    assert!(unread.contains("ragwortstall_evacuated_zones 0"));
    assert!(unread.contains("ragwortstall_evacuation_view_age_seconds NaN"));
    let read = report(&Status {
        evacuated_zones: 2,
        evacuation_view_age: Some(Duration::from_millis(1_500)),
        ..Status::default()
    });
    assert!(read.contains("ragwortstall_evacuated_zones 2"));
    assert!(read.contains("ragwortstall_evacuation_view_age_seconds 1.5"));
}

fn refusal_for_overload(queue: &str) -> Decision {
    Decision::RefusedForOverload {
        id: "00000000000000a1".into(),
        queue: queue.into(),
        team: None,
        reason: "overload: wait of 9000 ms, useful within 1750 ms".into(),
        config: 1,
        age_ms: 120,
        retry_after_ms: 6_000,
    }
}

#[test]
fn refusals_for_overload_are_counted_by_queue_and_with_all_refusals() {
    let page = page(|| {
        meters::record(&refusal_for_overload("labels"));
        meters::record(&refusal_for_overload("labels"));
        meters::record(&refusal_for_overload("panels"));
    });
    let has = |line: &str| assert!(page.lines().any(|have| have == line), "{line} in\n{page}");
    has("ragwortstall_overload_refusals_total{queue=\"labels\"} 2");
    has("ragwortstall_overload_refusals_total{queue=\"panels\"} 1");
    has("ragwortstall_refusals_total 3");
}

/// Guards against a wait that is shown for a queue that is no longer overloaded.
#[test]
fn gauges_of_waits_that_are_no_longer_published_are_reset_to_zero() {
    let mut placer = PlacerStatus::default();
    let labels = ("labels".into(), Some("dairy".into()));
    placer.waits.insert(labels, Duration::from_millis(2_500));
    let busy = Status {
        placer: Some(placer),
        ..Status::default()
    };
    let page = |list: &[&Status]| {
        page(|| {
            let mut gauges = StatusGauges::default();
            for status in list {
                gauges.report(status);
            }
        })
    };
    let wait = "ragwortstall_wait_seconds{queue=\"labels\",team=\"dairy\"}";
    assert!(page(&[&busy]).contains(&format!("{wait} 2.5")));
    assert!(page(&[&busy, &Status::default()]).contains(&format!("{wait} 0")));
}
