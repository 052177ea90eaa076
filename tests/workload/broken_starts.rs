//! Starts whose connections break while the VM is sound, as a VM may close an idle connection at any
//! time.

use std::collections::BTreeSet;
use std::time::Duration;

use ragwortstall::core::workload::decision::Decision;
use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::effect::Request;
use ragwortstall::core::workload::effect::StartOrder;
use ragwortstall::core::workload::event::Answer;
use ragwortstall::core::workload::event::Feed;
use ragwortstall::core::workload::event::FeedRow;
use ragwortstall::core::workload::event::OrderError;
use ragwortstall::core::workload::event::OrderId;
use ragwortstall::core::workload::event::StartError;

use crate::harness::Break;
use crate::harness::Harness;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;
use crate::overtaken_orders::LONG;
use crate::overtaken_orders::MAX_ORDERS;
use crate::overtaken_orders::TICK;
use crate::overtaken_orders::cancel_job;
use crate::overtaken_orders::daemon_with_waiting_starts;
use crate::overtaken_orders::drain_vm;
use crate::overtaken_orders::evacuate_zone;
use crate::overtaken_orders::lose_role;
use crate::overtaken_orders::vm;
use crate::support::cases;
use crate::terms::Daemon;

/// Number of members of the gang, each on a VM of its own.
const MEMBERS: usize = 8;

/// Maximum number of times that the start of a run is sent again.
const MAX_RESENDS: usize = 2;

/// Time within which all members of the gang run, in milliseconds.
const START_MS: u64 = 300;

/// Time within which the job completes, in milliseconds.
const COMPLETION_MS: u64 = 4_000;

/// Time within which a task starts anew whose start its VM did not receive, in milliseconds.
const NEW_START_MS: u64 = 15_000;

fn count(harness: &Harness, matches: fn(&Decision) -> bool) -> usize {
    let decisions = harness.decisions.iter();
    decisions.filter(|decision| matches(decision)).count()
}

fn is_resend(decision: &Decision) -> bool {
    matches!(decision, Decision::StartResent { .. })
}

fn is_stop(decision: &Decision) -> bool {
    matches!(decision, Decision::StopOrdered { .. })
}

/// Returns a cell in which the next starts on some VMs end with a broken connection.
fn harness_with(vms: usize, broken: usize, breaks: &[Break]) -> Harness {
    let mut harness = Harness::new(3, vms);
    let ids = harness.vms.keys().take(broken).cloned();
    harness.broken_starts = ids.map(|id| (id, breaks.to_vec())).collect();
    harness
}

fn assert_completes(harness: &mut Harness, millis: u64) {
    harness.run_for(millis);
    let daemon = harness.placer().expect("a placer");
    assert_eq!(harness.state(daemon, ID), Some(JobState::Completed));
}

/// Guards against a gang of which some members wait for seconds for a report of their VMs and are stopped
/// and started anew, as their starts met connections that the VMs closed: the others end alone.
fn assert_gang_starts_at_once(broken: usize, breaks: &[Break]) {
    let mut harness = harness_with(MEMBERS, broken, breaks);
    let mut spec = step(8, 2_000, &[]);
    spec.traits.gang = true;
    spec.max_per_vm = 1;
    assert_eq!(harness.submit(0, ID, job(vec![spec])), Reply::Accepted);
    harness.run_for(START_MS);
    let started: BTreeSet<_> = harness.starts.iter().map(|start| &start.1).collect();
    assert_eq!(started.len(), MEMBERS, "members that have started");
    assert_completes(&mut harness, COMPLETION_MS);
    assert!(harness.starts.iter().all(|start| start.2 == 1));
    assert_eq!(harness.starts.len(), MEMBERS);
    assert_eq!(count(&harness, is_resend), broken * breaks.len());
    assert_eq!(count(&harness, is_stop), 0, "{:?}", harness.decisions);
}

cases! {
    assert_gang_starts_at_once;
    a_gang_starts_although_vms_close_connections(3, &[Break::BeforeReceipt]),
    a_gang_starts_although_answers_are_lost_with_their_connections(3, &[Break::BeforeAnswer]),
    a_gang_starts_although_all_vms_close_connections_twice(
        MEMBERS,
        &[Break::BeforeReceipt, Break::BeforeReceipt]
    ),
    a_gang_starts_although_vms_close_connections_before_and_after_starts(
        MEMBERS,
        &[Break::BeforeReceipt, Break::BeforeAnswer]
    ),
}

/// Guards against a start that is sent again without end, and against a run that is given up as its start
/// was refused, although the VM may have received it before.
fn assert_resends_are_bounded(breaks: &[Break]) {
    let mut harness = harness_with(1, 1, breaks);
    let submission = job(vec![step(1, 500, &[])]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(START_MS);
    assert_eq!(count(&harness, is_resend), MAX_RESENDS);
    assert_completes(&mut harness, NEW_START_MS);
    assert_eq!(harness.starts.len(), 1);
}

cases! {
    assert_resends_are_bounded;
    a_start_is_sent_again_twice_at_most(&[Break::BeforeReceipt; 3]),
    a_start_that_arrived_at_first_is_sent_again_twice_at_most(&[Break::BeforeAnswer; 3]),
}

/// Guards against a member of a gang that is started after another one was refused, and ends alone.
#[test]
fn no_member_of_a_gang_that_lacks_another_is_started_again() {
    let mut harness = harness_with(2, 0, &[]);
    harness.vms.get_mut("vm-0").expect("a VM").full = true;
    let breaks = vec![Break::BeforeReceipt];
    harness.broken_starts.insert("vm-1".into(), breaks);
    let mut spec = step(2, 500, &[]);
    spec.traits.gang = true;
    spec.max_per_vm = 1;
    assert_eq!(harness.submit(0, ID, job(vec![spec])), Reply::Accepted);
    harness.run_for(START_MS);
    assert!(harness.broken_starts["vm-1"].is_empty(), "no start broke");
    assert_eq!(count(&harness, is_resend), 0);
    harness.vms.get_mut("vm-0").expect("a VM").full = false;
    assert_completes(&mut harness, NEW_START_MS);
}

/// Guards against a task that runs a second time, as its run has ended before its start is sent again and
/// is refused as an old one.
#[test]
fn a_task_that_ends_before_its_start_is_sent_again_runs_once() {
    let mut harness = harness_with(1, 1, &[Break::BeforeAnswer]);
    let submission = job(vec![step(1, 1, &[])]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    assert_completes(&mut harness, NEW_START_MS);
    assert_eq!(harness.starts.len(), 1);
}

/// Guards against a task that runs twice, or never again, as the connection of its start broke because the
/// VM began a new lifetime. The harness asserts that no task runs in two places.
fn assert_job_outlives_restart(kind: Break) {
    let mut harness = harness_with(2, 2, &[kind]);
    let submission = job(vec![step(17, 1_500, &[])]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    assert_completes(&mut harness, NEW_START_MS);
}

cases! {
    assert_job_outlives_restart;
    a_job_outlives_restarts_that_break_connections(Break::Restart),
    a_job_outlives_restarts_after_starts_that_break_connections(Break::RestartAfterStart),
}

/// Begins a new lifetime of the VM, which reports before the starts in flight fail.
fn begin_lifetime(daemon: &mut Daemon) {
    let mut vm = vm();
    vm.started_ms += 1;
    daemon.answer_feed(Feed::Vms, vec![FeedRow::Vm(vm.row())]);
    let restarted_at = daemon.now();
    for _ in 0..5 {
        daemon.pass_with_clock(TICK, restarted_at);
    }
}

/// Ends the starts in flight with a broken connection; returns these.
fn break_starts(daemon: &mut Daemon) -> Vec<StartOrder> {
    let starts = daemon.take_starts();
    for start in &starts {
        let error = StartError::Order(OrderError::Broken("closed".into()));
        daemon.apply_answer(Answer::Started(start.order.clone(), Err(error)));
    }
    starts
}

/// Guards against a start that is sent again after something that forbids it.
fn no_start_is_sent_again_after(event: fn(&mut Daemon)) {
    let mut daemon = daemon_with_waiting_starts();
    event(&mut daemon);
    let sent = break_starts(&mut daemon);
    assert_eq!(sent.len(), MAX_ORDERS);
    for _ in 0..LONG.as_millis() / TICK.as_millis() {
        for start in daemon.take_starts() {
            let is_same = |sent: &StartOrder| sent.order.run == start.order.run;
            let mut same = sent
                .iter()
                .filter(|sent| sent.order.task == start.order.task);
            assert!(!same.any(is_same), "{start:?}");
        }
        daemon.pass(TICK);
    }
}

cases! {
    no_start_is_sent_again_after;
    no_start_of_a_cancelled_job_is_sent_again(cancel_job),
    no_start_of_a_placer_that_has_lost_its_role_is_sent_again(lose_role),
    no_start_is_sent_again_to_a_draining_vm(drain_vm),
    no_start_is_sent_again_to_an_evacuated_zone(evacuate_zone),
    no_start_is_sent_again_to_a_later_lifetime(begin_lifetime),
}

/// Guards against a task that is started anew while its run may exist: the VM has refused the start that
/// was sent again, but may have received the first one, or may still receive it.
fn a_refused_start_is_stopped_before_another(error: &StartError) {
    let mut daemon = daemon_with_waiting_starts();
    break_starts(&mut daemon);
    let again = daemon.take_starts();
    assert_eq!(again.len(), MAX_ORDERS);
    for start in &again {
        let answer = Answer::Started(start.order.clone(), Err(error.clone()));
        daemon.apply_answer(answer);
    }
    let mut anew = 0;
    for _ in 0..LONG.as_millis() / TICK.as_millis() {
        for start in daemon.take_starts() {
            let task = &start.order.task;
            if let Some(first) = again.iter().find(|first| first.order.task == *task) {
                anew += 1;
                assert!(is_stop_sent(&daemon, &first.order), "{start:?}");
            }
            // The starts of other tasks don't keep the stops waiting.
            let error = StartError::Order(OrderError::NotSent("refused".into()));
            daemon.apply_answer(Answer::Started(start.order, Err(error)));
        }
        daemon.pass(TICK);
    }
    assert_eq!(anew, 0, "no stop was answered");
    assert!(
        again
            .iter()
            .all(|start| is_stop_sent(&daemon, &start.order))
    );
}

/// Returns whether the stop of a run was sent, which is not answered.
fn is_stop_sent(daemon: &Daemon, run: &OrderId) -> bool {
    let mut requests = daemon.requests.iter();
    requests.any(|req| match req {
        Request::Stop { order, .. } => (&order.task, order.run) == (&run.task, run.run),
        _ => false,
    })
}

cases! {
    a_refused_start_is_stopped_before_another;
    a_start_that_is_old_when_sent_again_may_have_arrived(&StartError::OldRun),
    a_start_that_is_late_when_sent_again_may_have_arrived(&StartError::Late),
    a_start_without_room_when_sent_again_may_have_arrived(&StartError::NoRoom),
    a_start_without_ticket_when_sent_again_may_have_arrived(&StartError::BadTicket),
    a_start_to_another_lifetime_when_sent_again_may_have_arrived(&StartError::Order(
        OrderError::WrongLifetime
    )),
    a_start_without_connection_when_sent_again_may_have_arrived(&StartError::Order(
        OrderError::NotSent("refused".into())
    )),
}

/// Guards against starts that are sent again beyond the limit on orders in flight, with the deadline of
/// the lease that the first ones asked for, or after starts that have not been sent yet.
#[test]
fn a_start_that_is_sent_again_is_an_order_like_others() {
    let mut daemon = daemon_with_waiting_starts();
    let later = Duration::from_millis(200);
    daemon.tick(later);
    let sent = break_starts(&mut daemon);
    let again = daemon.take_starts();
    assert_eq!(again.len(), MAX_ORDERS);
    for (first, second) in sent.iter().zip(&again) {
        assert_eq!(second.order.task, first.order.task);
        assert_eq!(second.order.run, first.order.run);
        assert_eq!(second.order.vm, first.order.vm);
        assert!(second.deadline_ms >= first.deadline_ms + 200);
    }
}
