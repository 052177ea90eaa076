//! Metrics derived from decisions and from the daemon's status.

use std::collections::BTreeSet;
use std::time::Duration;

use metrics::counter;
use metrics::gauge;
use metrics::histogram;
use metrics_exporter_prometheus::BuildError;
use metrics_exporter_prometheus::Matcher;
use metrics_exporter_prometheus::PrometheusBuilder;

use crate::core::workload::decision::Decision;
use crate::core::workload::effect::JobState;
use crate::core::workload::event::Feed;
use crate::core::workload::policy::advice_use::AdviceUse;
use crate::core::workload::status::PlacerStatus;
use crate::core::workload::status::Status;
use crate::core::workload::task::RunOutcome;

/// Upper bounds of the buckets of all histograms, in seconds.
const BUCKETS_SECONDS: [f64; 14] = [
    0.000_1, 0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0,
];

/// Label value for tasks without a team.
const NO_TEAM: &str = "";

/// Labels of a gauge of waiting tasks: queue and team.
type Labels = (Box<str>, Box<str>);

/// Gauges of the daemon's status.
#[derive(Debug, Default)]
pub struct StatusGauges {
    /// Queues and teams with waiting tasks in the last report, whose gauges are reset by the next.
    waiting: BTreeSet<Labels>,
    /// Queues and teams with published waits in the last report, likewise.
    waits: BTreeSet<Labels>,
}

/// Returns a builder of a recorder whose histograms have fixed buckets.
pub fn recorder_builder() -> Result<PrometheusBuilder, BuildError> {
    let seconds = Matcher::Suffix("_seconds".into());
    PrometheusBuilder::new().set_buckets_for_metric(seconds, &BUCKETS_SECONDS)
}

/// Records a decision in the counters and histograms.
pub fn record(decision: &Decision) {
    match decision {
        Decision::Accepted { repeat: true, .. } => count_submission("repeated"),
        Decision::Accepted { .. } => count_submission("accepted"),
        Decision::Unsettled { .. } => count_submission("unknown"),
        Decision::Refused { .. } => counter!("ragwortstall_refusals_total").increment(1),
        Decision::RefusedForOverload { queue, .. } => count_overload(queue),
        Decision::JobState {
            state,
            took_ms,
            objective_ms,
            ..
        } => record_job_state(*state, *took_ms, *objective_ms),
        Decision::Placed { waited_ms, run, .. } => {
            histogram!("ragwortstall_task_wait_seconds").record(seconds(*waited_ms));
            counter!("ragwortstall_starts_ordered_total").increment(1);
            if *run > 1 {
                counter!("ragwortstall_starts_repeated_total").increment(1);
            }
        }
        Decision::NotStarted { .. } => counter!("ragwortstall_starts_failed_total").increment(1),
        Decision::StartResent { .. } => counter!("ragwortstall_starts_resent_total").increment(1),
        Decision::Ended { end, .. } => count_run_ended(outcome_name(*end)),
        Decision::RunLost { .. } => count_run_ended("lost"),
        Decision::RunCrashed { .. } => counter!("ragwortstall_runs_crashed_total").increment(1),
        Decision::StartUncertain { .. } => {
            counter!("ragwortstall_starts_uncertain_total").increment(1);
        }
        Decision::VmCrashed { .. } => counter!("ragwortstall_vm_crashes_total").increment(1),
        Decision::VmResized { .. } => counter!("ragwortstall_vm_resizes_total").increment(1),
        Decision::StopOrdered { .. } => counter!("ragwortstall_stops_ordered_total").increment(1),
        Decision::ProgressSplit { .. } => {
            counter!("ragwortstall_progress_split_total").increment(1);
        }
        Decision::ProgressRejected { .. } => {
            counter!("ragwortstall_progress_rejected_total").increment(1);
        }
        Decision::RoleTaken { .. } => counter!("ragwortstall_takeovers_total").increment(1),
        Decision::RoleReady { took_ms, .. } => {
            histogram!("ragwortstall_load_seconds").record(seconds(*took_ms));
        }
        Decision::Settled { took_ms, .. } => {
            histogram!("ragwortstall_settled_seconds").record(seconds(*took_ms));
        }
        _ => {}
    }
}

impl StatusGauges {
    /// Sets the gauges to the daemon's status.
    #[allow(clippy::cast_precision_loss)]
    pub fn report(&mut self, status: &Status) {
        gauge!("ragwortstall_config_version").set(status.config_version as f64);
        gauge!("ragwortstall_config_age_seconds").set(status.config_age.as_secs_f64());
        if let Some(age) = status.table_age {
            gauge!("ragwortstall_table_age_seconds").set(age.as_secs_f64());
        }
        gauge!("ragwortstall_evacuated_zones").set(status.evacuated_zones as f64);
        let view_age = status.evacuation_view_age;
        let view_age = view_age.map_or(f64::NAN, |age| age.as_secs_f64());
        gauge!("ragwortstall_evacuation_view_age_seconds").set(view_age);
        report_feed_ages(status);
        if let Some((epoch, age)) = status.heartbeat {
            gauge!("ragwortstall_holder_epoch").set(epoch as f64);
            gauge!("ragwortstall_holder_age_seconds").set(age.as_secs_f64());
        }
        let placer = status.placer.clone().unwrap_or_default();
        gauge!("ragwortstall_placer_epoch").set(placer.epoch as f64);
        gauge!("ragwortstall_vms").set(placer.vms as f64);
        gauge!("ragwortstall_vm_scans").set(placer.work.vm_scans as f64);
        gauge!("ragwortstall_rounds").set(placer.work.rounds as f64);
        gauge!("ragwortstall_steps_examined").set(placer.work.steps_examined as f64);
        gauge!("ragwortstall_preempted_runs").set(placer.preempted_runs as f64);
        gauge!("ragwortstall_vms_usable").set(placer.usable_vms as f64);
        gauge!("ragwortstall_vms_stalled").set(placer.stalled_vms as f64);
        gauge!("ragwortstall_runs").set(placer.runs as f64);
        gauge!("ragwortstall_room_milli_cores").set(f64::from(placer.capacity.cpu_milli));
        gauge!("ragwortstall_free_milli_cores").set(f64::from(placer.free.cpu_milli));
        gauge!("ragwortstall_free_mebibytes").set(f64::from(placer.free.mem_mib));
        report_wait_times(&placer);
        report_advice(&placer.advice);
        self.report_waiting(&placer);
        self.report_waits(&placer);
    }

    /// Sets the gauges of waiting tasks. The cardinality of the labels is bounded, as the queues
    /// and teams are those of the configuration.
    #[allow(clippy::cast_precision_loss)]
    fn report_waiting(&mut self, placer: &PlacerStatus) {
        for labels in std::mem::take(&mut self.waiting) {
            waiting_gauge(&labels).set(0.0);
        }
        for ((queue, team), tasks) in &placer.waiting {
            let team = team.clone().unwrap_or(NO_TEAM.into());
            let labels = (queue.clone(), team);
            waiting_gauge(&labels).set(*tasks as f64);
            self.waiting.insert(labels);
        }
    }

    /// Sets the gauges of published waits.
    fn report_waits(&mut self, placer: &PlacerStatus) {
        for labels in std::mem::take(&mut self.waits) {
            wait_gauge(&labels).set(0.0);
        }
        for ((queue, team), wait) in &placer.waits {
            let team = team.clone().unwrap_or(NO_TEAM.into());
            let labels = (queue.clone(), team);
            wait_gauge(&labels).set(wait.as_secs_f64());
            self.waits.insert(labels);
        }
    }
}

/// Sets the gauges of the times for which tasks have waited. The cardinality of the labels is bounded
/// by the configured queues and the kinds of reasons.
fn report_wait_times(placer: &PlacerStatus) {
    for ((queue, reason), time) in &placer.wait_times {
        let labels = [
            ("queue", queue.to_string()),
            ("reason", reason.name().into()),
        ];
        gauge!("ragwortstall_task_wait_reason_seconds", &labels).set(time.as_secs_f64());
    }
}

/// Sets the gauges of the use of the advice service. The cardinality of the labels is bounded by the
/// configured queues.
#[allow(clippy::cast_precision_loss)]
fn report_advice(advice: &AdviceUse) {
    gauge!("ragwortstall_advice_idle_seconds").set(advice.idle.as_secs_f64());
    for (queue, counts) in &advice.queues {
        let labels = [("queue", queue.to_string())];
        gauge!("ragwortstall_advice_queries", &labels).set(counts.queries as f64);
        gauge!("ragwortstall_advice_failures", &labels).set(counts.failures as f64);
        gauge!("ragwortstall_advice_vms_asked", &labels).set(counts.vms_asked as f64);
        gauge!("ragwortstall_advice_vms_asked_again", &labels).set(counts.vms_asked_again as f64);
        gauge!("ragwortstall_advice_vms_approved", &labels).set(counts.vms_approved as f64);
        gauge!("ragwortstall_advice_ticketed_starts", &labels).set(counts.ticketed_starts as f64);
    }
}

/// Sets the gauges of the followed tables' ages. A table that is not followed, or has not answered
/// yet, has no age: its gauge is not a number, as zero would mean a fresh answer.
fn report_feed_ages(status: &Status) {
    for feed in Feed::ALL {
        let followed = status.feed_ages.iter().find(|(other, _)| *other == feed);
        let age = followed.and_then(|(_, age)| *age);
        let age = age.map_or(f64::NAN, |age| age.as_secs_f64());
        gauge!("ragwortstall_feed_age_seconds", "feed" => feed.name()).set(age);
    }
}

fn waiting_gauge((queue, team): &Labels) -> metrics::Gauge {
    gauge!("ragwortstall_waiting_tasks", "queue" => queue.to_string(), "team" => team.to_string())
}

fn wait_gauge((queue, team): &Labels) -> metrics::Gauge {
    gauge!("ragwortstall_wait_seconds", "queue" => queue.to_string(), "team" => team.to_string())
}

fn count_overload(queue: &str) {
    counter!("ragwortstall_refusals_total").increment(1);
    counter!("ragwortstall_overload_refusals_total", "queue" => queue.to_owned()).increment(1);
}

fn count_submission(outcome: &'static str) {
    counter!("ragwortstall_submissions_total", "outcome" => outcome).increment(1);
}

fn count_run_ended(end: &'static str) {
    counter!("ragwortstall_runs_ended_total", "end" => end).increment(1);
}

fn record_job_state(state: JobState, took_ms: u64, objective_ms: u64) {
    let name = match state {
        JobState::Queued => return,
        JobState::Running => {
            if took_ms > objective_ms {
                counter!("ragwortstall_jobs_started_late_total").increment(1);
            }
            return histogram!("ragwortstall_first_start_seconds").record(seconds(took_ms));
        }
        JobState::Completed => "completed",
        JobState::Failed => "failed",
        JobState::Cancelled => "cancelled",
    };
    counter!("ragwortstall_jobs_ended_total", "state" => name).increment(1);
    if state == JobState::Completed {
        histogram!("ragwortstall_job_seconds").record(seconds(took_ms));
        if took_ms > objective_ms {
            counter!("ragwortstall_jobs_late_total").increment(1);
        }
    }
}

fn outcome_name(outcome: RunOutcome) -> &'static str {
    match outcome {
        RunOutcome::Done => "done",
        RunOutcome::Failed => "failed",
        RunOutcome::Stopped => "stopped",
        RunOutcome::LeaseExpired => "lapsed",
        RunOutcome::GangMemberEnded => "broken",
        RunOutcome::GangTimedOut => "alone",
    }
}

fn seconds(millis: u64) -> f64 {
    Duration::from_millis(millis).as_secs_f64()
}
