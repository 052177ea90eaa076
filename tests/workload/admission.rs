//! Refusal of jobs that could not be done in useful time.

use std::time::Duration;

use ragwortstall::core::workload::decision::Decision;
use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::event::Action;
use ragwortstall::core::workload::submission::Schedule;
use ragwortstall::core::workload::submission::Submission;

use crate::catalog::OTHER_KEY;
use crate::harness::Harness;
use crate::harness::START_TIME;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::part_number;
use crate::jobs::step;
use crate::support::cases;

/// Number of jobs of the burst, each of four seconds on all cores of the cell.
const BURST_JOBS: u64 = 20;

/// Number of steps of such a job, which depend on each other.
const BURST_STEPS: u16 = 8;

/// Id of another job.
const OTHER: &str = "00000000000000b1";

/// Cell with an overloaded team, and the daemon that receives further jobs.
struct Overloaded {
    harness: Harness,
    daemon: usize,
}

impl Overloaded {
    /// Starts a cell of two daemons whose team has submitted far more than the VMs can do in useful
    /// time.
    fn new() -> Self {
        let mut harness = Harness::new(2, 2);
        harness.run_for(4_000);
        for number in 0..BURST_JOBS {
            let id = burst_id(number);
            harness.send_submission(0, &id, burst_job());
        }
        harness.run_for(5_000);
        let placer = harness.placer().expect("a placer");
        Self {
            harness,
            daemon: 1 - placer,
        }
    }

    fn submit(&mut self, id: &str) -> Reply {
        self.harness.submit(self.daemon, id, small_job())
    }

    fn assert_refused(&mut self, id: &str) -> Duration {
        match self.submit(id) {
            Reply::Overloaded(delay) => delay,
            reply => panic!("the cell is not overloaded: {reply:?}"),
        }
    }

    fn starts_of(&self, id: &str) -> usize {
        let starts = self.harness.starts.iter();
        starts.filter(|start| &*start.1.job == id).count()
    }
}

fn burst_id(number: u64) -> String {
    format!("{:016x}", 0xb000 + number)
}

fn burst_job() -> Submission {
    let steps = (0..BURST_STEPS).map(|ix| {
        let after: Vec<u16> = ix.checked_sub(1).into_iter().collect();
        step(32, 500, &after)
    });
    job(steps.collect())
}

/// Returns a job of no use to its caller after 1.95 s.
fn small_job() -> Submission {
    job(vec![step(2, 200, &[])])
}

/// Guards against the acceptance of jobs whose callers are gone before they start, and against runs
/// of jobs that were refused.
#[test]
fn a_job_that_would_wait_too_long_is_refused_at_once_and_never_runs() {
    let mut cell = Overloaded::new();
    let before = cell.harness.now;
    cell.assert_refused(ID);
    assert!(cell.harness.now < before + Duration::from_millis(20));
    cell.harness.run_for(40_000);
    assert_eq!(cell.starts_of(ID), 0);
    assert_eq!(cell.harness.call(0, ID, Action::Get), Reply::NoJob);
}

/// Guards against a takeover that finds something of a refused job.
#[test]
fn a_refused_job_does_not_run_after_a_takeover() {
    let mut cell = Overloaded::new();
    cell.assert_refused(ID);
    cell.harness.kill(1 - cell.daemon);
    cell.harness.run_for(40_000);
    assert!(cell.harness.placer().is_some());
    assert_eq!(cell.starts_of(ID), 0);
}

#[test]
fn a_refusal_is_logged_with_the_wait_and_the_age_of_the_estimate() {
    let mut cell = Overloaded::new();
    cell.harness.decisions.clear();
    let delay = cell.assert_refused(ID);
    let line = cell.harness.decisions.iter().find_map(|line| {
        let Decision::RefusedForOverload { id, reason, .. } = line else {
            return None;
        };
        let line = serde_json::to_value(line).expect("a line");
        Some((id.clone(), reason.clone(), line))
    });
    let (id, reason, line) = line.expect("a log line");
    assert_eq!(&*id, ID);
    assert!(reason.starts_with("overload: wait of "), "{reason}");
    assert!(reason.ends_with(" ms, useful within 1750 ms"), "{reason}");
    assert_eq!(line["kind"], "refused");
    assert!(line["age_ms"].as_u64().is_some_and(|age| age < 1_000));
    let delay_ms = u64::try_from(delay.as_millis()).expect("a short delay");
    assert_eq!(line["retry_after_ms"], delay_ms);
}

/// Guards against a refusal because of another team's excess.
#[test]
fn another_team_is_served_while_a_team_is_overloaded() {
    let mut cell = Overloaded::new();
    cell.assert_refused(ID);
    for number in 0..20 {
        let id = format!("{:016x}", 0xc000 + number);
        let reply = cell
            .harness
            .submit_as(OTHER_KEY, cell.daemon, &id, small_job());
        assert_eq!(reply, Reply::Accepted);
        cell.harness.run_for(100);
    }
    cell.harness.run_for(1_000);
    let state = cell.harness.call_as(
        OTHER_KEY,
        cell.daemon,
        &format!("{:016x}", 0xc000),
        Action::Get,
    );
    assert_eq!(state, Reply::State(JobState::Completed));
}

/// Guards against the refusal of a repeat, whose caller would believe that the job does not run.
#[test]
fn a_repeat_of_an_accepted_job_is_accepted_under_overload() {
    let mut cell = Overloaded::new();
    cell.assert_refused(ID);
    let stored = burst_id(BURST_JOBS - 1);
    assert_eq!(cell.submit(&stored), Reply::Accepted);
    let repeat = cell
        .harness
        .decisions
        .iter()
        .rev()
        .find_map(|line| match line {
            Decision::Accepted { id, repeat, .. } if **id == *stored => Some(*repeat),
            _ => None,
        });
    assert_eq!(repeat, Some(true));
}

/// Guards against the refusal of a job that has ended, of which only a small row is left.
#[test]
fn a_repeat_of_an_ended_job_is_accepted_under_overload() {
    let mut cell = Overloaded::new();
    cell.harness.run_for(1_500);
    cell.assert_refused(ID);
    let ended = cell.harness.starts[0].1.job.clone();
    let state = cell.harness.state(cell.daemon, &ended);
    assert_eq!(state, Some(JobState::Completed));
    let starts = cell.starts_of(&ended);
    assert_eq!(cell.submit(&ended), Reply::Accepted);
    cell.harness.run_for(5_000);
    assert_eq!(cell.starts_of(&ended), starts);
}

/// Guards against a refusal of a job whose earlier transaction takes effect after its caller was told
/// that the outcome is unknown.
#[test]
fn a_repeat_whose_outcome_is_unknown_is_not_refused() {
    let mut cell = Overloaded::new();
    cell.assert_refused(ID);
    let unreadable: Box<str> = format!("jobs-{}", part_number(OTHER)).into();
    cell.harness.unreadable_parts.insert(unreadable);
    cell.harness.commit_answers_lost_until = cell.harness.now + Duration::from_secs(2);
    assert_eq!(cell.submit(OTHER), Reply::Unknown);
    cell.harness.unreadable_parts.clear();
    // The daemon tries the part again.
    cell.harness.run_for(500);
    cell.harness.reads.clear();
    assert_eq!(cell.submit(OTHER), Reply::Accepted);
    // A look at the row could miss a transaction that is still under way.
    let reads = cell.harness.reads.iter();
    assert_eq!(reads.filter(|read| &*read.1 == OTHER).count(), 0);
}

/// Guards against the same where another daemon handled the submission and its reply was lost.
#[test]
fn a_repeat_of_a_relayed_submission_without_a_reply_is_not_refused() {
    let mut cell = Overloaded::new();
    cell.harness.set_table_reachable(cell.daemon, false);
    cell.harness.run_for(2_500);
    cell.harness.lost_relay_replies = 1;
    assert_eq!(cell.submit(OTHER), Reply::Unknown);
    cell.harness.set_table_reachable(cell.daemon, true);
    cell.harness.run_for(2_000);
    cell.assert_refused(ID);
    cell.harness.reads.clear();
    assert_eq!(cell.submit(OTHER), Reply::Accepted);
    let reads = cell.harness.reads.iter();
    assert_eq!(reads.filter(|read| &*read.1 == OTHER).count(), 0);
}

fn is_overload_refusal(line: &Decision) -> bool {
    matches!(line, Decision::RefusedForOverload { .. })
}

/// Guards against a refusal without a look at the job's row.
#[test]
fn a_job_whose_row_cannot_be_read_takes_the_normal_path() {
    let mut cell = Overloaded::new();
    cell.assert_refused(OTHER);
    let unreadable: Box<str> = format!("jobs-{}", part_number(ID)).into();
    cell.harness.unreadable_parts.insert(unreadable);
    assert_eq!(cell.submit(ID), Reply::Accepted);
}

/// Guards against a submission that gets no reply, or another one, because the row of the same job is
/// being read for an earlier one.
#[test]
fn submissions_with_the_same_id_share_the_outcome_of_one_read() {
    let mut cell = Overloaded::new();
    cell.harness.table_latency = Duration::from_millis(50);
    cell.harness.reads.clear();
    cell.harness.decisions.clear();
    let known = cell.harness.reply_count();
    cell.harness.send_submission(cell.daemon, ID, small_job());
    cell.harness.run_for(10);
    cell.assert_refused(ID);
    let reads = cell.harness.reads.iter().filter(|read| &*read.1 == ID);
    assert_eq!(reads.count(), 1);
    let lines = cell.harness.decisions.iter();
    assert_eq!(lines.filter(|line| is_overload_refusal(line)).count(), 1);
    assert_eq!(cell.harness.reply_count(), known + 1);
}

/// Guards against a submission that is lost, or stored twice, where the read for it fails.
#[test]
fn submissions_with_the_same_id_share_the_acceptance_after_a_failed_read() {
    let mut cell = Overloaded::new();
    let unreadable: Box<str> = format!("jobs-{}", part_number(ID)).into();
    cell.harness.unreadable_parts.insert(unreadable);
    cell.harness.decisions.clear();
    let known = cell.harness.reply_count();
    cell.harness.send_submission(cell.daemon, ID, small_job());
    assert_eq!(cell.submit(ID), Reply::Accepted);
    assert_eq!(cell.harness.reply_count(), known + 1);
    let lines = cell.harness.decisions.iter();
    let accepted = lines.filter(|line| matches!(line, Decision::Accepted { .. }));
    assert_eq!(accepted.count(), 1);
}

/// Guards against a drain that ends before the caller has its reply.
#[test]
fn a_daemon_that_drains_replies_to_a_caller_whose_row_is_being_read() {
    let mut cell = Overloaded::new();
    cell.harness.table_latency = Duration::from_millis(50);
    let known = cell.harness.reply_count();
    cell.harness.send_submission(cell.daemon, ID, small_job());
    cell.harness.drain(cell.daemon);
    cell.harness.run_for(500);
    assert_eq!(cell.harness.reply_count(), known + 1);
    assert!(!cell.harness.is_up(cell.daemon));
}

/// Returns whether the daemon refuses a job for overload after a fault.
fn assert_normal_path(fault: impl FnOnce(&mut Overloaded)) {
    let mut cell = Overloaded::new();
    cell.assert_refused(OTHER);
    fault(&mut cell);
    cell.harness.decisions.clear();
    let reply = cell.submit(ID);
    assert!(
        matches!(reply, Reply::Accepted | Reply::Unavailable(_)),
        "{reply:?}"
    );
    assert!(!cell.harness.decisions.iter().any(is_overload_refusal));
}

cases! {
    assert_normal_path;
    a_daemon_with_a_stale_heartbeat_refuses_nothing(|cell| {
        // The placer cannot write heartbeats, and no other daemon can take the role.
        cell.harness.unreadable_parts.insert("p0".into());
        cell.harness.set_table_reachable(1 - cell.daemon, false);
        cell.harness.run_for(3_000);
    }),
    a_lost_placer_s_estimates_refuse_nothing(|cell| {
        cell.harness.decisions.clear();
        cell.harness.kill(1 - cell.daemon);
        // The heartbeat is not stale yet, and no other daemon has the role.
        let is_ended = |line: &Decision| matches!(line, Decision::HolderEnded { .. });
        while !cell.harness.decisions.iter().any(is_ended) {
            cell.harness.run_for(1);
        }
    }),
    a_placer_that_has_taken_over_publishes_nothing_at_first(|cell| {
        cell.harness.kill(1 - cell.daemon);
        while cell.harness.placer().is_none() {
            cell.harness.run_for(10);
        }
        cell.harness.run_for(3_000);
    }),
    a_table_that_is_down_gives_no_refusal_for_overload(|cell| {
        cell.harness.table_up = false;
        cell.harness.run_for(1_500);
    }),
}

/// Guards against the refusal of jobs that nobody waits for.
fn assert_never_refused(change: fn(&mut Submission)) {
    let mut cell = Overloaded::new();
    cell.assert_refused(OTHER);
    let mut submission = small_job();
    change(&mut submission);
    let reply = cell.harness.submit(cell.daemon, ID, submission);
    assert_eq!(reply, Reply::Accepted);
}

cases! {
    assert_never_refused;
    a_scheduled_job_is_never_refused(|job| {
        job.schedule = Some(Schedule {
            first: START_TIME + Duration::from_secs(600),
            interval: Duration::from_secs(60),
            occurrences: 2,
        });
    }),
    a_long_running_job_is_never_refused(|job| job.steps[0].traits.long_running = true),
    a_filler_is_never_refused(|job| job.steps[0].traits.filler = true),
}

/// Guards against a caller that was refused and is overtaken by later ones when it comes back.
#[test]
fn a_refused_caller_that_comes_back_is_accepted_and_goes_before_new_ones() {
    let mut cell = Overloaded::new();
    // Long enough to be on time after the wait for a running task.
    let wide = || job(vec![step(32, 400, &[]), step(32, 400, &[0])]);
    let reply = cell.harness.submit(cell.daemon, ID, wide());
    assert!(matches!(reply, Reply::Overloaded(_)), "{reply:?}");
    // The backlog falls, until a job is accepted but still has to wait.
    let later = "00000000000000c1";
    while !matches!(cell.submit(later), Reply::Accepted) {
        cell.harness.run_for(100);
    }
    let new_id = |number: u64| format!("{:016x}", 0xd000 + number);
    for number in 0..2 {
        cell.harness
            .send_submission(cell.daemon, &new_id(number), wide());
    }
    cell.harness.send_submission(cell.daemon, ID, wide());
    cell.harness.run_for(20_000);
    let first_start = |id: &str| {
        let mut starts = cell.harness.starts.iter();
        starts
            .find(|start| &*start.1.job == id)
            .map(|start| start.0)
    };
    let own = first_start(ID).expect("a start");
    for number in 0..2 {
        let other = first_start(&new_id(number)).expect("a start");
        assert!(own <= other, "{own:?} after {other:?}");
    }
}

/// Guards against callers that come back all at once, or so late that they are of no use.
#[test]
fn refused_callers_are_told_different_delays_within_bounds() {
    let mut cell = Overloaded::new();
    let ids = (0..16).map(|number| format!("{:016x}", 0xe000 + number));
    let delays: Vec<Duration> = ids.map(|id| cell.assert_refused(&id)).collect();
    let min = delays.iter().min().expect("delays");
    let max = delays.iter().max().expect("delays");
    assert!(*min >= Duration::from_millis(500) && *max <= Duration::from_secs(10));
    assert!(*max > min.mul_f64(1.05), "{min:?} to {max:?}");
}

/// Guards against a refusal of a job that the cell serves in time.
#[test]
fn nothing_is_refused_under_a_load_that_the_vms_can_take() {
    let mut harness = Harness::new(2, 2);
    harness.run_for(4_000);
    for number in 0..200_u64 {
        // Two thirds of the capacity, now and then one second of it at once.
        let count = if number % 50 == 49 { 10 } else { 1 };
        for part in 0..count {
            let id = format!("{:016x}", 0xf000 + number * 16 + part);
            let two_steps = job(vec![step(10, 50, &[]), step(12, 50, &[0])]);
            harness.send_submission(0, &id, two_steps);
        }
        harness.run_for(50);
    }
    assert!(!harness.decisions.iter().any(is_overload_refusal));
}

/// Guards against metrics that do not show for which team jobs are refused.
#[test]
fn the_placer_reports_the_published_waits() {
    let mut cell = Overloaded::new();
    cell.assert_refused(ID);
    let status = cell.harness.status(1 - cell.daemon);
    let waits = status.placer.expect("a placer's status").waits;
    let wait = waits.get(&("labels".into(), Some("dairy".into())));
    assert!(wait.is_some_and(|wait| wait.as_secs() >= 2), "{waits:?}");
    assert_eq!(waits.len(), 1);
}
