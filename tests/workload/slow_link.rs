//! Daemons whose links are slow, and followed tables that do not answer.

use std::collections::BTreeSet;
use std::time::Duration;

use ragwortstall::core::workload::decision::Decision;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::event::Action;
use ragwortstall::core::workload::event::Feed;
use ragwortstall::core::workload::submission::Submission;

use crate::harness::Harness;
use crate::jobs::job;
use crate::jobs::part_number;
use crate::jobs::step;

/// Rate of a link of 10 Mbit/s, in bytes per millisecond.
const SLOW_LINK: u64 = 1_250;

/// Length of the payloads, in bytes.
const PAYLOAD_BYTES: usize = 4_000;

/// Number of jobs that a slow link transfers in less than the time that a load may take.
const JOBS: u64 = 800;

/// Number of jobs for which a slow link needs longer than that.
const MANY_JOBS: u64 = 1_200;

/// Time for which a takeover is observed, in milliseconds.
const TAKEOVER_MS: u64 = 25_000;

/// Time at the end of that for which the role must not change, in milliseconds.
const STEADY_MS: u64 = 10_000;

/// Interval between questions to the daemons, in milliseconds.
const ASK_INTERVAL_MS: u64 = 200;

/// Time for which watches get no answer.
const LOST_WATCHES: Duration = Duration::from_secs(9);

/// Run time of tasks that do not end during a test, in milliseconds.
const LONG_MS: u64 = 120_000;

/// Cell with the jobs that it has accepted and the answers of daemons that were wrong.
struct Queue {
    harness: Harness,
    accepted: u64,
    /// Times, daemons, reported numbers and true numbers.
    too_low: Vec<(Duration, usize, u64, u64)>,
}

impl Queue {
    fn new(daemons: usize, vms: usize) -> Self {
        Self {
            harness: Harness::new(daemons, vms),
            accepted: 0,
            too_low: Vec::new(),
        }
    }

    /// Submits `count` jobs through a daemon, one after the other.
    fn submit(&mut self, daemon: usize, count: u64, submission: &Submission) {
        for _ in 0..count {
            let id = format!("{:016x}", self.accepted);
            let reply = self.harness.submit(daemon, &id, submission.clone());
            assert_eq!(reply, Reply::Accepted);
            self.accepted += 1;
        }
    }

    /// Returns the number of jobs without a started task.
    fn waiting(&self) -> u64 {
        let starts = self.harness.starts.iter();
        let started: BTreeSet<_> = starts.map(|start| &start.1.job).collect();
        self.accepted - started.len() as u64
    }

    /// Returns the number of waiting jobs that a daemon reports; `None` if it reports none.
    fn reported(&mut self, daemon: usize) -> Option<u64> {
        match self.harness.call(daemon, "", Action::Get) {
            Reply::Waiting(count) => Some(count),
            Reply::Unavailable(_) => None,
            other => panic!("unexpected reply {other:?}"),
        }
    }

    /// Asks daemons for the number of waiting jobs and keeps answers under half of it. Returns
    /// whether all of them report at least that.
    fn ask(&mut self, daemons: &[usize]) -> bool {
        let truth = self.waiting();
        let mut all_report = true;
        for &daemon in daemons {
            let reported = self.reported(daemon);
            all_report &= reported.is_some_and(|count| count * 2 >= truth);
            if let Some(count) = reported.filter(|count| count * 2 < truth) {
                self.too_low.push((self.harness.now, daemon, count, truth));
            }
        }
        all_report
    }

    /// Asks daemons regularly until a time; returns whether all reported a number in the end.
    fn ask_until(&mut self, end: Duration, daemons: &[usize]) -> bool {
        while self.harness.now < end {
            self.ask(daemons);
            self.harness.run_for(ASK_INTERVAL_MS);
        }
        self.ask(daemons)
    }

    fn assert_none_too_low(&self) {
        let too_low = &self.too_low;
        assert!(
            too_low.is_empty(),
            "{} answers under half, as (time, daemon, reported, true): {:?}, {:?}",
            too_low.len(),
            too_low.first(),
            too_low.last()
        );
    }
}

/// Returns a job of one task with a large payload.
fn large_job(millis: u64) -> Submission {
    Submission {
        payload: "x".repeat(PAYLOAD_BYTES).into(),
        ..job(vec![step(1, millis, &[])])
    }
}

/// Kills the placer of a cell with slow links that has `jobs` large jobs; returns the other daemons.
fn start_takeover(jobs: u64) -> (Queue, Vec<usize>) {
    let mut queue = Queue::new(3, 2);
    queue.submit(0, jobs, &large_job(LONG_MS));
    for daemon in 0..3 {
        queue.harness.set_link_rate(daemon, SLOW_LINK);
    }
    let placer = queue.harness.placer().expect("a placer");
    queue.harness.decisions.clear();
    queue.harness.kill_host(placer);
    let others = (0..3).filter(|daemon| *daemon != placer).collect();
    (queue, others)
}

/// Makes the placer's watches of the jobs fail; returns the placer and the end of the fault.
fn lose_watches_of_jobs(queue: &mut Queue) -> (usize, Duration) {
    let placer = queue.harness.placer().expect("a placer");
    let fault = (placer, Feed::Jobs);
    queue.harness.lost_watch_answers.insert(fault);
    (placer, queue.harness.now + LOST_WATCHES)
}

/// Runs the cell until the end of the fault and ends it.
fn end_fault(queue: &mut Queue, end: Duration) {
    while queue.harness.now < end {
        queue.harness.run_for(1);
    }
    queue.harness.lost_watch_answers.clear();
}

/// Takes over a queue of `jobs` jobs and asserts that a placer keeps the role.
fn assert_role_is_kept(jobs: u64) {
    let (mut queue, _) = start_takeover(jobs);
    let harness = &mut queue.harness;
    harness.run_for(TAKEOVER_MS - STEADY_MS);
    let epoch = harness.epoch();
    let mut epochs = BTreeSet::from([epoch]);
    for _ in 0..STEADY_MS / ASK_INTERVAL_MS {
        harness.run_for(ASK_INTERVAL_MS);
        epochs.insert(harness.epoch());
    }
    let taken = harness.decisions.iter();
    let taken = taken.filter(|line| matches!(line, Decision::RoleTaken { .. }));
    let taken = taken.count();
    assert!(
        epoch.is_some() && epochs.len() == 1 && taken <= 3,
        "placers' epochs in the last 10 s: {epochs:?}, role taken {taken} times"
    );
}

/// Guards against reads of a load that share a link, time out and are repeated for ever.
#[test]
fn a_placer_on_a_slow_link_finishes_its_load_and_keeps_the_role() {
    assert_role_is_kept(JOBS);
}

/// Guards against a role that changes for ever, as each load is cut off after a fixed time.
#[test]
fn a_placer_whose_load_takes_long_but_goes_on_is_not_replaced() {
    assert_role_is_kept(MANY_JOBS);
}

/// Guards against a number of zero that a placer reports before it knows the jobs.
#[test]
fn a_placer_that_loads_does_not_report_waiting_jobs_as_absent() {
    let (mut queue, others) = start_takeover(JOBS);
    let end = queue.harness.now + Duration::from_millis(TAKEOVER_MS);
    let all_report = queue.ask_until(end, &others);
    queue.assert_none_too_low();
    assert!(all_report, "no number is reported after the takeover");
}

/// Guards against a number that leaves out the jobs of which the placer has not heard.
#[test]
fn a_placer_that_does_not_hear_of_new_jobs_does_not_report_them_as_absent() {
    let mut queue = Queue::new(2, 2);
    queue.submit(0, 32, &job(vec![step(1, LONG_MS, &[])]));
    queue.harness.run_for(1_000);
    assert_eq!(queue.waiting(), 0, "the VMs are not full");
    let (placer, end) = lose_watches_of_jobs(&mut queue);
    queue.submit(1 - placer, 60, &job(vec![step(1, 1_000, &[])]));
    queue.harness.run_for(3_000);
    queue.ask_until(end, &[0, 1]);
    end_fault(&mut queue, end);
    let all_report = queue.ask_until(end + Duration::from_secs(5), &[0, 1]);
    queue.assert_none_too_low();
    assert!(all_report, "no number is reported after the fault");
}

/// Guards against watches that transfer the same rows at a time, so that none ends.
#[test]
fn a_placer_on_a_slow_link_that_has_fallen_behind_catches_up() {
    let mut queue = Queue::new(2, 4);
    let (placer, end) = lose_watches_of_jobs(&mut queue);
    queue.harness.set_link_rate(placer, SLOW_LINK);
    queue.submit(1 - placer, 400, &large_job(100));
    assert!(queue.harness.now < end, "the jobs were accepted too late");
    end_fault(&mut queue, end);
    queue.harness.run_for(8_000);
    let placer = queue.harness.placer();
    let waiting = queue.waiting();
    assert_eq!(waiting, 0, "jobs not started; the placer is {placer:?}");
}

/// Guards against calls for the same rows that share a link.
#[test]
fn a_daemon_asks_a_silent_table_for_its_rows_in_one_call_at_a_time() {
    let mut harness = Harness::new(3, 2);
    harness.feed_calls.greatest.clear();
    harness.table_silent_until = harness.now + Duration::from_secs(5);
    harness.run_for(5_000);
    let greatest = &harness.feed_calls.greatest;
    assert!(!greatest.is_empty(), "no calls were sent");
    assert!(
        greatest.values().all(|&count| count == 1),
        "greatest numbers of calls at a time: {greatest:?}"
    );
}

/// Returns a job of `steps` steps, each after all earlier ones.
fn long_chain(steps: u16) -> Submission {
    let steps = (0..steps).map(|ix| {
        let after: Vec<u16> = (0..ix).collect();
        step(1, LONG_MS, &after)
    });
    Submission {
        payload: "x".repeat(PAYLOAD_BYTES).into(),
        ..job(steps.collect())
    }
}

/// Returns whether a job is in one of the eight parts that a load reads first.
fn is_read_first(id: &str) -> bool {
    part_number(id) < 8
}

/// Guards against a load that is given up although its pages arrive all the while, as none of them is
/// complete in the time that a load may take without a page. Each daemon then gives it up in turn.
#[test]
fn a_placer_whose_large_pages_arrive_is_not_taken_for_one_without_progress() {
    let mut harness = Harness::new(3, 2);
    let submission = long_chain(90);
    let ids = (0_u64..).map(|number| format!("{number:016x}"));
    for id in ids.filter(|id| is_read_first(id)).take(200) {
        assert_eq!(harness.submit(0, &id, submission.clone()), Reply::Accepted);
    }
    for daemon in 0..3 {
        harness.set_link_rate(daemon, SLOW_LINK);
    }
    let placer = harness.placer().expect("a placer");
    harness.decisions.clear();
    harness.kill_host(placer);
    harness.run_for(TAKEOVER_MS);
    let epoch = harness.epoch();
    let lost = harness.decisions.iter();
    let lost = lost.filter(|line| matches!(line, Decision::RoleLost { .. }));
    let lost: Vec<_> = lost.collect();
    assert!(
        epoch.is_some() && lost.is_empty(),
        "epoch of the placer: {epoch:?}; the role was lost {} times: {:?}",
        lost.len(),
        lost.last()
    );
}
