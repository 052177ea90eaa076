//! Jobs of a queue that the configuration does not have when a placer learns of them.

use std::rc::Rc;
use std::time::Duration;

use ragwortstall::core::model::Resources;
use ragwortstall::core::workload::catalog::Catalog;
use ragwortstall::core::workload::catalog::Queue;
use ragwortstall::core::workload::decision::Decision;
use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::effect::Request;
use ragwortstall::core::workload::event::Answer;
use ragwortstall::core::workload::event::Feed;
use ragwortstall::core::workload::event::FeedRow;
use ragwortstall::core::workload::event::RenewalReport;
use ragwortstall::core::workload::table::JOBS;
use ragwortstall::core::workload::task::EndedTask;
use ragwortstall::core::workload::task::RunOutcome;
use serde::Deserialize;

use crate::catalog::batch_queue;
use crate::catalog::catalog;
use crate::harness::Harness;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;
use crate::row_limits::task;
use crate::support::cases;
use crate::terms::Daemon;
use crate::vm::SimVm;

/// Interval between two ticks.
const TICK: Duration = Duration::from_millis(20);

/// Number of failed runs after which a job of the batch queue fails.
const ATTEMPTS: u32 = 2;

/// Returns a configuration with the batch queue.
fn with_batch_queue() -> Catalog {
    let mut catalog = catalog(Resources::ZERO, None);
    catalog.version = 2;
    let queue = Queue {
        max_attempts: ATTEMPTS,
        ..batch_queue(1)
    };
    catalog.queues.push(Rc::new(queue));
    catalog
}

/// Placer with a job of one task, whose queue is not configured.
struct Cell {
    daemon: Daemon,
    /// Ends of the runs that have failed.
    ended: Vec<EndedTask>,
}

impl Cell {
    /// `terms` is the part of the job's row that an earlier version leaves out.
    fn new(terms: &str) -> Self {
        let mut daemon = Daemon::new();
        daemon.claim(None);
        daemon.load(&[]);
        let vm = SimVm::new("vm-0", Resources::new(16_000, 64_000, 0, u32::MAX));
        daemon.answer_feed(Feed::Vms, vec![FeedRow::Vm(vm.row())]);
        let steps = serde_json::to_string(&job(vec![step(1, 1_000, &[])])).expect("a job");
        let at = r#"{"secs":1700000000,"nanos":0}"#;
        let row = format!(
            r#"{{"queue":"batch","service":"pool","team":"dairy","at":{at},"job":{steps}{terms}}}"#
        );
        daemon.add_job_row(ID, &row);
        Self {
            daemon,
            ended: Vec::new(),
        }
    }

    /// Lets two seconds pass in which each run that starts fails. Returns the number of failures.
    fn run(&mut self) -> usize {
        let before = self.ended.len();
        for _ in 0..100 {
            self.daemon.tick(TICK);
            self.daemon.answer_all_commits();
            self.fail_start();
            let is_renewal = |req: &Request| matches!(req, Request::Renew { .. });
            while self.daemon.requests.iter().any(is_renewal) {
                let req = self.daemon.take(is_renewal);
                self.report(&req);
            }
        }
        self.ended.len() - before
    }

    /// Confirms the start of a run, which fails.
    fn fail_start(&mut self) {
        let requests = &mut self.daemon.requests;
        let is_start = |req: &Request| matches!(req, Request::Start(_));
        let Some(ix) = requests.iter().position(is_start) else {
            return;
        };
        let Request::Start(start) = requests.remove(ix) else {
            return;
        };
        let order = start.order.clone();
        self.daemon
            .apply_answer(Answer::Started(start.order, Ok(0)));
        self.ended.push(EndedTask {
            seq: self.ended.len() as u64 + 1,
            task: order.task,
            run: order.run,
            outcome: RunOutcome::Failed,
            checkpoint: "".into(),
        });
    }

    fn report(&mut self, req: &Request) {
        let Request::Renew { renewal, .. } = req else {
            return;
        };
        let report = RenewalReport {
            connection: 1,
            started_ms: 0,
            clock_ms: u64::try_from(self.daemon.now().as_millis()).expect("a short test"),
            running: Vec::new(),
            ended: self.ended.clone(),
        };
        self.daemon
            .apply_answer(Answer::Renewed(renewal.clone(), Ok(report)));
    }

    fn configure_queue(&mut self) {
        let config = FeedRow::Config(Box::new(with_batch_queue()));
        self.daemon.answer_feed(Feed::Config, vec![config]);
    }

    fn has_failed(&self) -> bool {
        let is_failure = |line: &Decision| matches!(line, Decision::JobState { state, .. } if *state == JobState::Failed);
        self.daemon.decisions.iter().any(is_failure)
    }
}

/// Guards against a job that fails by an assumed number of attempts, as its queue is not configured and
/// an earlier version, which does not store the number, has accepted it.
#[test]
fn a_failed_task_waits_for_the_attempts_of_its_queue_if_they_are_not_known() {
    let mut cell = Cell::new("");
    assert_eq!(cell.run(), 1);
    assert!(!cell.has_failed());
    cell.configure_queue();
    assert_eq!(cell.run(), ATTEMPTS as usize - 1);
    assert!(cell.has_failed());
}

/// Guards against a task that starts once too often when the number of attempts becomes known.
#[test]
fn a_job_whose_attempts_are_used_up_fails_once_their_number_is_known() {
    let mut cell = Cell::new("");
    assert_eq!(cell.run(), 1);
    let config = Catalog {
        queues: vec![Rc::new(Queue {
            max_attempts: 1,
            ..batch_queue(1)
        })],
        ..with_batch_queue()
    };
    let row = FeedRow::Config(Box::new(config));
    cell.daemon.answer_feed(Feed::Config, vec![row]);
    assert_eq!(cell.run(), 0);
    assert!(cell.has_failed());
}

/// Guards against a job that fails before its attempts are used up, or goes on after that, while its
/// queue is not configured.
fn attempts_of_the_row_count(attempts: u32) {
    let target = r#"{"secs":1,"nanos":0}"#;
    let terms = format!(
        r#","terms":{{"priority":1,"max_attempts":{attempts},"stretch":2.0,"target":{target}}}"#
    );
    let mut cell = Cell::new(&terms);
    assert_eq!(cell.run(), attempts as usize);
    assert!(cell.has_failed());
}

cases! {
    attempts_of_the_row_count;
    a_job_with_one_attempt_fails_after_the_first_failure(1),
    a_job_with_three_attempts_fails_after_the_third_failure(3),
}

/// Guards against a job that is given up after one failed attempt of two, as its queue is away while
/// another placer takes over.
#[test]
fn a_job_keeps_its_attempts_over_a_takeover_while_its_queue_is_away() {
    let mut harness = Harness::new(2, 2);
    harness.remaining_failures.insert(task(0), 1);
    let submission = job(vec![step(1, 6_000, &[])]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(500);
    harness.queue_is_away = true;
    harness.config_version += 1;
    let former = harness.placer().expect("a placer");
    harness.kill(former);
    let successor = 1 - former;
    harness.kill(successor);
    harness.restart(successor);
    harness.run_for(8_000);
    assert_eq!(harness.starts.len(), 2);
    harness.queue_is_away = false;
    harness.config_version += 1;
    harness.restart_all();
    harness.run_for(6_000);
    assert_eq!(harness.state(0, ID), Some(JobState::Completed));
}

/// Row of a job, as the version before the terms of queues reads it.
#[derive(Debug, Deserialize)]
struct FormerJob {
    queue: String,
    service: String,
    job: Option<serde_json::Value>,
}

/// Guards against a placer of the former version that cannot read the row of a job.
#[test]
fn the_former_version_reads_the_row_of_a_job_with_terms() {
    let mut harness = Harness::new(2, 2);
    harness.submit(0, ID, job(vec![step(1, 1_000, &[])]));
    harness.run_for(100);
    let rows = harness.table.changes(JOBS, 0);
    let row = rows.iter().find(|row| &*row.key == ID).expect("a row");
    let value = row.value.as_deref().expect("a value");
    assert!(String::from_utf8_lossy(value).contains("terms"));
    let row: FormerJob = serde_json::from_slice(value).expect("a readable row");
    assert_eq!((&*row.queue, &*row.service), ("labels", "pool"));
    assert!(row.job.is_some());
}
