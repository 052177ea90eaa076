//! A placer that is cut off from the table and may have been replaced.

use std::time::Duration;

use ragwortstall::core::model::Resources;
use ragwortstall::core::workload::Event;
use ragwortstall::core::workload::effect::Request;
use ragwortstall::core::workload::event::Answer;
use ragwortstall::core::workload::event::Feed;
use ragwortstall::core::workload::event::FeedRow;
use ragwortstall::core::workload::event::OrderError;

use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;
use crate::terms::Daemon;
use crate::vm::SimVm;

/// Interval between two ticks.
const TICK: Duration = Duration::from_millis(50);

/// Time for which the VM of the task has been silent when the table falls silent, too.
const VM_SILENCE_BEFORE: Duration = Duration::from_millis(2_200);

/// Time for which both are silent. The lease that the placer knows of expires in it.
const TABLE_SILENCE: Duration = Duration::from_millis(1_900);

/// Adds two VMs, a job of one task, and starts the task. Returns the VM that runs it.
fn start_task(daemon: &mut Daemon) -> Box<str> {
    let capacity = Resources::new(16_000, 64_000, 0, u32::MAX);
    let vms = ["vm-0", "vm-1"].map(|id| FeedRow::Vm(SimVm::new(id, capacity).row()));
    daemon.answer_feed(Feed::Vms, vms.into());
    let row = serde_json::json!({
        "queue": "labels",
        "service": "pool",
        "team": "dairy",
        "at": {"secs": 1_700_000_000, "nanos": 0},
        "job": job(vec![step(1, 60_000, &[])]),
    });
    let mut row = daemon.row(ID, &row.to_string());
    row.part = "jobs-0".into();
    daemon.answer_feed(Feed::Jobs, vec![FeedRow::Internal(row)]);
    for _ in 0..40 {
        daemon.tick(TICK);
        daemon.answer_all_commits();
        daemon.answer_renewals(None);
        if let Some(vm) = daemon.answer_start() {
            return vm;
        }
    }
    panic!("the task is not started");
}

/// Lets time pass in which a VM is silent, and the table if `table_answers` is false. Returns the
/// VMs on which tasks were started.
fn run(daemon: &mut Daemon, time: Duration, silent: &str, table_answers: bool) -> Vec<Box<str>> {
    let mut started = Vec::new();
    for _ in 0..time.as_millis() / TICK.as_millis() {
        daemon.tick(TICK);
        if table_answers {
            daemon.answer_all_commits();
        }
        daemon.answer_renewals(Some(silent));
        started.extend(daemon.answer_start());
    }
    started
}

/// Guards against a task that is started again because the lease that this placer renewed has
/// expired, while another placer, which has replaced it, has renewed the VM's lease.
#[test]
fn a_placer_that_may_have_been_replaced_starts_no_task_of_a_silent_vm_again() {
    let mut daemon = Daemon::new();
    daemon.claim(None);
    daemon.load(&[]);
    let vm = start_task(&mut daemon);
    let before = run(&mut daemon, VM_SILENCE_BEFORE, &vm, true);
    assert!(
        before.is_empty(),
        "started again on {before:?} while the lease holds"
    );
    let started = run(&mut daemon, TABLE_SILENCE, &vm, false);
    assert!(started.is_empty(), "started again on {started:?}");
}

impl Daemon {
    pub(crate) fn answer_all_commits(&mut self) {
        while self
            .requests
            .iter()
            .any(|req| matches!(req, Request::Commit { .. }))
        {
            self.answer_commit();
        }
    }

    /// Answers all renewals: those of the silent VM with an error, the others with a report.
    pub(crate) fn answer_renewals(&mut self, silent: Option<&str>) {
        let is_renewal = |req: &Request| matches!(req, Request::Renew { .. });
        while self.requests.iter().any(is_renewal) {
            let req = self.take(is_renewal);
            let Request::Renew { renewal, .. } = &req else {
                return;
            };
            if silent == Some(&*renewal.vm) {
                let error = Err(OrderError::NoAnswer("no answer".into()));
                let answer = Answer::Renewed(renewal.clone(), error);
                self.apply(Event::Answer(answer));
            } else {
                self.report(&req);
            }
        }
    }

    /// Answers a start; returns its VM.
    fn answer_start(&mut self) -> Option<Box<str>> {
        let is_start = |req: &Request| matches!(req, Request::Start(_));
        let ix = self.requests.iter().position(is_start)?;
        let Request::Start(start) = self.requests.remove(ix) else {
            return None;
        };
        let vm = start.order.vm.clone();
        self.apply(Event::Answer(Answer::Started(start.order, Ok(0))));
        Some(vm)
    }
}
