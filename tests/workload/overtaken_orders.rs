//! Orders to VMs that wait for their turn, and are overtaken by what happens meanwhile.

use std::time::Duration;

use ragwortstall::core::model::Resources;
use ragwortstall::core::workload::catalog::AdviceTiming;
use ragwortstall::core::workload::effect::Request;
use ragwortstall::core::workload::effect::StartOrder;
use ragwortstall::core::workload::event::AdvisedVm;
use ragwortstall::core::workload::event::Answer;
use ragwortstall::core::workload::event::Feed;
use ragwortstall::core::workload::event::FeedRow;
use ragwortstall::core::workload::event::OrderError;
use ragwortstall::core::workload::event::StartError;
use ragwortstall::core::workload::submission::Step;

use crate::catalog::catalog;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;
use crate::support::cases;
use crate::terms::Daemon;
use crate::vm::SimVm;

/// Interval between two ticks.
pub(crate) const TICK: Duration = Duration::from_millis(20);

/// Number of tasks of the job, for all of which the VM has room.
const TASKS: u32 = 12;

/// Number of orders to a VM that may be in flight.
pub(crate) const MAX_ORDERS: usize = 3;

/// Time after which no order waits any more.
pub(crate) const LONG: Duration = Duration::from_secs(4);

/// Longest lease that a start may ask for, in milliseconds.
const LEASE_MS: u64 = 3_600;

pub(crate) fn vm() -> SimVm {
    SimVm::new("vm-0", Resources::new(16_000, 64_000, 0, u32::MAX))
}

/// Returns the row of a job of one step.
fn job_row(step: Step) -> String {
    let row = serde_json::json!({
        "queue": "labels",
        "service": "pool",
        "team": "dairy",
        "at": {"secs": 1_700_000_000, "nanos": 0},
        "job": job(vec![step]),
    });
    row.to_string()
}

/// Returns a placer that has sent the first starts of a job to its only VM, which answers none.
pub(crate) fn daemon_with_waiting_starts() -> Daemon {
    let mut daemon = Daemon::new();
    daemon.claim(None);
    daemon.load(&[]);
    daemon.answer_feed(Feed::Vms, vec![FeedRow::Vm(vm().row())]);
    daemon.add_job_row(ID, &job_row(step(TASKS, 60_000, &[])));
    for _ in 0..20 {
        daemon.pass(TICK);
    }
    assert_eq!(daemon.pending_starts().len(), MAX_ORDERS);
    daemon
}

pub(crate) fn cancel_job(daemon: &mut Daemon) {
    daemon.add_job_row(&format!("{ID}/cancel"), "{}");
}

pub(crate) fn lose_role(daemon: &mut Daemon) {
    daemon.lose_role();
}

pub(crate) fn drain_vm(daemon: &mut Daemon) {
    let mut vm = vm();
    vm.draining = true;
    daemon.answer_feed(Feed::Vms, vec![FeedRow::Vm(vm.row())]);
}

pub(crate) fn evacuate_zone(daemon: &mut Daemon) {
    daemon.evacuate(vm().zone);
}

/// Guards against starts that were decided on before something that forbids them, waited for one of
/// the places for orders to their VM, and are sent afterwards: tasks of a cancelled job began more than
/// three seconds after the cancellation.
fn waiting_starts_are_not_sent_after(event: fn(&mut Daemon)) {
    let mut daemon = daemon_with_waiting_starts();
    event(&mut daemon);
    let sent = daemon.fail_starts();
    assert_eq!(sent.len(), MAX_ORDERS);
    let mut later = 0;
    for _ in 0..LONG.as_millis() / TICK.as_millis() {
        daemon.pass(TICK);
        later += daemon.fail_starts().len();
    }
    assert_eq!(later, 0, "starts were sent later");
}

cases! {
    waiting_starts_are_not_sent_after;
    no_waiting_start_of_a_cancelled_job_is_sent(cancel_job),
    no_waiting_start_of_a_placer_that_has_lost_its_role_is_sent(lose_role),
    no_waiting_start_is_sent_to_a_draining_vm(drain_vm),
    no_waiting_start_is_sent_to_an_evacuated_zone(evacuate_zone),
}

/// Guards against a start whose deadline was set on the clock of a former lifetime of its VM, and which
/// gives all that runs there the longest lease.
#[test]
fn a_start_that_has_waited_gets_its_deadline_on_the_clock_of_the_new_lifetime() {
    let mut daemon = daemon_with_waiting_starts();
    let mut vm = vm();
    vm.started_ms += 1;
    daemon.answer_feed(Feed::Vms, vec![FeedRow::Vm(vm.row())]);
    let restarted_at = daemon.now();
    daemon.fail_starts();
    assert!(daemon.pending_starts().is_empty(), "sent before any report");
    for _ in 0..LONG.as_millis() / TICK.as_millis() {
        daemon.pass_with_clock(TICK, restarted_at);
        let clock_ms = daemon.now().saturating_sub(restarted_at).as_millis();
        let latest = u64::try_from(clock_ms).expect("a short test") + LEASE_MS;
        for start in daemon.fail_starts() {
            assert!(start.deadline_ms <= latest, "of another lifetime");
        }
    }
}

/// Guards against a gang of which some members start and the others are withdrawn, as their tickets expire
/// while their starts wait: those that have started wait in vain.
#[test]
fn all_members_of_a_gang_are_sent_although_their_tickets_expire_meanwhile() {
    let mut daemon = Daemon::new();
    daemon.claim(None);
    daemon.load(&[]);
    let advice = AdviceTiming {
        base_latency: Duration::from_millis(10),
        latency_per_vm: Duration::from_millis(1),
        ticket_validity: Duration::from_millis(200),
    };
    let mut catalog = catalog(Resources::ZERO, Some(advice));
    catalog.version = 2;
    daemon.answer_feed(Feed::Config, vec![FeedRow::Config(Box::new(catalog))]);
    daemon.answer_feed(Feed::Vms, vec![FeedRow::Vm(vm().row())]);
    let mut gang = step(TASKS, 60_000, &[]);
    gang.traits.gang = true;
    daemon.add_job_row(ID, &job_row(gang));
    while daemon.pending_starts().is_empty() {
        daemon.pass(TICK);
        daemon.answer_advice();
    }
    let mut sent = Vec::new();
    for _ in 0..LONG.as_millis() / TICK.as_millis() {
        // Each start in flight is answered after more than half of the time for which tickets are valid.
        for _ in 0..6 {
            daemon.tick(TICK);
            daemon.answer_all_commits();
        }
        sent.extend(daemon.confirm_starts());
    }
    assert_eq!(sent.len(), TASKS as usize);
    assert!(sent.iter().all(|start| start.ticket.is_some()));
}

/// Guards against the stops of a cancelled job that wait behind starts of other jobs, so that its tasks
/// run on.
#[test]
fn stops_go_before_the_starts_that_wait() {
    let mut daemon = daemon_with_waiting_starts();
    daemon.confirm_starts();
    assert_eq!(daemon.pending_starts().len(), MAX_ORDERS);
    cancel_job(&mut daemon);
    for _ in 0..4 {
        daemon.pass(TICK);
    }
    daemon.fail_starts();
    let is_stop = |req: &&Request| matches!(req, Request::Stop { .. });
    let stops = daemon.requests.iter().filter(is_stop).count();
    assert_eq!(stops, MAX_ORDERS);
    assert!(daemon.pending_starts().is_empty());
}

impl Daemon {
    /// Receives a row of the jobs table.
    pub(crate) fn add_job_row(&mut self, key: &str, value: &str) {
        let mut row = self.row(key, value);
        row.part = "jobs-0".into();
        self.answer_feed(Feed::Jobs, vec![FeedRow::Internal(row)]);
    }

    /// Lets time pass in which the table answers, and the VM answers renewals.
    pub(crate) fn pass(&mut self, time: Duration) {
        self.tick(time);
        self.answer_all_commits();
        self.answer_renewals(None);
    }

    /// Does the same with a VM whose clock has started at a time.
    pub(crate) fn pass_with_clock(&mut self, time: Duration, clock_start: Duration) {
        self.tick(time);
        self.answer_all_commits();
        let is_renewal = |req: &Request| matches!(req, Request::Renew { .. });
        while self.requests.iter().any(is_renewal) {
            let req = self.take(is_renewal);
            self.report_with_clock(&req, clock_start);
        }
    }

    pub(crate) fn pending_starts(&self) -> Vec<&StartOrder> {
        let starts = self.requests.iter().filter_map(|req| match req {
            Request::Start(start) => Some(&**start),
            _ => None,
        });
        starts.collect()
    }

    /// Takes the starts in flight.
    pub(crate) fn take_starts(&mut self) -> Vec<StartOrder> {
        let mut starts = Vec::new();
        for req in std::mem::take(&mut self.requests) {
            match req {
                Request::Start(start) => starts.push(*start),
                other => self.requests.push(other),
            }
        }
        starts
    }

    /// Lets the starts in flight time out; returns these.
    fn fail_starts(&mut self) -> Vec<StartOrder> {
        let starts = self.take_starts();
        for start in &starts {
            let error = StartError::Order(OrderError::NoAnswer("timed out".into()));
            self.apply_answer(Answer::Started(start.order.clone(), Err(error)));
        }
        starts
    }

    /// Confirms the starts in flight; returns these.
    fn confirm_starts(&mut self) -> Vec<StartOrder> {
        let clock_ms = u64::try_from(self.now().as_millis()).expect("a short test");
        let starts = self.take_starts();
        for start in &starts {
            let order = start.order.clone();
            self.apply_answer(Answer::Started(order, Ok(clock_ms)));
        }
        starts
    }

    /// Approves the VMs that a pending query for advice names.
    fn answer_advice(&mut self) {
        let is_query = |req: &Request| matches!(req, Request::Advise { .. });
        while self.requests.iter().any(is_query) {
            let Request::Advise { query, .. } = self.take(is_query) else {
                return;
            };
            let approved = query.vms.iter().map(|vm| AdvisedVm {
                vm: vm.clone(),
                ticket: "ticket".into(),
            });
            let approved = Ok(approved.collect());
            self.apply_answer(Answer::Advised(query, approved));
        }
    }
}
