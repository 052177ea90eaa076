//! Leases on VMs: one holder at a time, lease times that count from when the request was sent, and
//! the conclusions that a holder draws from reports, refusals and missing answers.

mod support;

use std::time::Duration;

use ragwortstall::core::Effect;
use ragwortstall::core::Effects;
use ragwortstall::core::lease::LeaseChange;
use ragwortstall::core::lease::LeaseOptions;
use ragwortstall::core::lease::Leases;
use ragwortstall::core::model::Member;
use ragwortstall::core::model::MemberState;
use ragwortstall::core::model::Now;
use ragwortstall::core::model::Resources;
use ragwortstall::core::model::StartTask;
use ragwortstall::core::model::TaskRef;
use ragwortstall::core::model::VmSync;
use ragwortstall_standins::worker::VmModel;
use support::cases;

const ZONE: &str = "z1";

const CAPACITY: Resources = Resources::new(8_000, 16_384, 0, 100);

const TICK: Duration = Duration::from_millis(100);

/// Simulated VMs in virtual time. Messages between them and the holders are delivered without
/// delay, except where a test delivers them itself.
struct Harness {
    now: Now,
    vms: Vec<VmModel>,
}

impl Harness {
    fn new(count: usize) -> Self {
        let vms = (0..count)
            .map(|n| VmModel::new(format!("vm{n}").into(), CAPACITY))
            .collect();
        Self {
            now: Duration::from_secs(1),
            vms,
        }
    }

    fn members(&self) -> Vec<Member> {
        self.vms.iter().map(|vm| member(vm.id())).collect()
    }

    /// Returns a candidate for the role of placer that knows all VMs.
    fn holder(&self, name: &str) -> Leases {
        let mut leases = Leases::new(name.into(), ZONE.into(), LeaseOptions::default());
        leases.set_members(self.now, &self.members());
        leases.set_candidate(self.now, true);
        leases
    }

    /// Delivers every sync request in `fx` to its VM, and the answer to the holder.
    fn deliver(&mut self, holder: &mut Leases, fx: Effects) -> Vec<LeaseChange> {
        let mut changes = Vec::new();
        for (vm, sync) in syncs(fx) {
            let at = self.vms.iter().position(|model| *model.id() == *vm);
            let answer = at.and_then(|at| self.vms[at].sync(self.now, &sync));
            changes.extend(holder.handle_answer(self.now, &vm, self.now, answer));
        }
        changes
    }

    /// Advances the clock by `duration` with one active holder, and returns its lease changes.
    fn run(&mut self, holder: &mut Leases, duration: Duration) -> Vec<LeaseChange> {
        let until = self.now + duration;
        let mut changes = Vec::new();
        while self.now < until {
            self.now += TICK;
            let mut fx = Effects::new();
            changes.extend(holder.tick(self.now, &mut fx));
            changes.extend(self.deliver(holder, fx));
        }
        changes
    }

    /// Runs until the holder has the leases of a majority, and returns the time that it took.
    fn run_until_majority(&mut self, holder: &mut Leases) -> Duration {
        let start = self.now;
        while !holder.has_majority(self.now) {
            self.run(holder, TICK);
            assert!(
                self.now < start + Duration::from_secs(60),
                "no majority within 60 s"
            );
        }
        self.now.saturating_sub(start)
    }
}

fn member(id: &str) -> Member {
    Member::worker(id, "127.0.0.1:1", ZONE, "r1", CAPACITY)
}

fn syncs(fx: Effects) -> Vec<(Box<str>, VmSync)> {
    fx.into_iter()
        .filter_map(|effect| match effect {
            Effect::SyncVm { vm, sync, .. } => Some((vm, sync)),
            _ => None,
        })
        .collect()
}

fn start_task(index: u32) -> StartTask {
    StartTask {
        task: TaskRef {
            job: "j".into(),
            index,
            attempt: 0,
        },
        team: "t".into(),
        size: Resources::new(1_000, 1_024, 0, 1),
        run_time: Some(Duration::from_secs(600)),
        service: None,
    }
}

/// A successor must wait until the leases of a failed holder have expired, and no longer than the
/// bound.
fn takeover_waits_for_the_former_lease(vms: usize) {
    let mut harness = Harness::new(vms);
    let mut first = harness.holder("a");
    harness.run_until_majority(&mut first);
    harness.run(&mut first, Duration::from_secs(3));
    let mut second = harness.holder("b");
    let took = harness.run_until_majority(&mut second);
    let options = LeaseOptions::default();
    let bound = options.lease + options.renew_every + options.drift_margin(options.lease);
    assert!(took <= bound, "took {took:?}");
    assert!(
        !first.has_majority(harness.now),
        "two holders have a majority"
    );
}

cases! { takeover_waits_for_the_former_lease;
    takeover_of_one_vm_waits_for_the_former_lease(1),
    takeover_of_nine_vms_waits_for_the_former_leases(9),
}

/// Guards against a successor that waits for the expiry of leases that were released.
#[test]
fn released_leases_are_free_at_once() {
    let mut harness = Harness::new(5);
    let mut first = harness.holder("a");
    harness.run_until_majority(&mut first);
    first.set_candidate(harness.now, false);
    assert!(!first.has_majority(harness.now));
    harness.run(&mut first, TICK);
    let mut second = harness.holder("b");
    let took = harness.run_until_majority(&mut second);
    assert!(took <= Duration::from_millis(500), "took {took:?}");
}

/// After a start whose answer was lost, the next report must show whether it took effect.
fn lost_start_answer_is_resolved_by_the_next_report(delivered: bool) {
    let mut harness = Harness::new(1);
    let mut holder = harness.holder("a");
    harness.run_until_majority(&mut holder);
    holder.start("vm0", start_task(0));
    let mut fx = Effects::new();
    holder.flush(harness.now, &mut fx);
    for (vm, sync) in syncs(fx) {
        if delivered {
            harness.vms[0].sync(harness.now, &sync);
        }
        assert_eq!(
            holder.handle_answer(harness.now, &vm, harness.now, None),
            []
        );
    }
    let changes = harness.run(&mut holder, Duration::from_secs(3));
    let not_started = changes
        .iter()
        .any(|change| matches!(change, LeaseChange::NotStarted { .. }));
    assert_eq!(not_started, !delivered);
    assert_eq!(harness.vms[0].log().len(), usize::from(delivered));
}

cases! { lost_start_answer_is_resolved_by_the_next_report;
    start_that_took_effect_is_found_after_a_lost_answer(true),
    start_that_was_not_delivered_is_reported_as_not_started(false),
}

/// Guards against a delayed message that starts a task after its lease has expired.
#[test]
fn start_delivered_after_the_lease_expired_is_refused() {
    let mut harness = Harness::new(1);
    let mut holder = harness.holder("a");
    harness.run_until_majority(&mut holder);
    holder.start("vm0", start_task(0));
    let mut fx = Effects::new();
    holder.flush(harness.now, &mut fx);
    let (_, sync) = syncs(fx).remove(0);
    assert_eq!(sync.starts.len(), 1);
    harness.vms[0].sync(harness.now + Duration::from_secs(7), &sync);
    assert_eq!(harness.vms[0].log(), []);
}

/// Guards against a repeated start message that runs a task again while its VM still reports the
/// task's end.
#[test]
fn start_is_idempotent() {
    let mut harness = Harness::new(1);
    let mut holder = harness.holder("a");
    harness.run_until_majority(&mut holder);
    let start = StartTask {
        run_time: Some(Duration::from_secs(1)),
        ..start_task(0)
    };
    holder.start("vm0", start.clone());
    harness.run(&mut holder, Duration::from_secs(3));
    holder.start("vm0", start);
    harness.run(&mut holder, Duration::from_secs(3));
    assert_eq!(harness.vms[0].log().len(), 1);
}

/// A VM must count as lost only once all its tasks have stopped by its own clock.
#[test]
fn vm_counts_as_lost_only_after_its_tasks_have_stopped() {
    let mut harness = Harness::new(3);
    let mut holder = harness.holder("a");
    harness.run_until_majority(&mut holder);
    harness.run(&mut holder, Duration::from_secs(5));
    holder.start("vm0", start_task(0));
    harness.run(&mut holder, Duration::from_secs(5));
    assert_eq!(harness.vms[0].running().count(), 1);
    harness.vms[0].faults.silent = true;
    let lost = LeaseChange::Lost { vm: "vm0".into() };
    let silent_since = harness.now;
    while !harness.run(&mut holder, TICK).contains(&lost) {
        assert!(
            harness.now < silent_since + Duration::from_secs(90),
            "the VM is not lost within 90 s"
        );
    }
    let now = harness.now;
    harness.vms[0].advance(now);
    assert_eq!(harness.vms[0].running().count(), 0);
    assert!(holder.has_majority(harness.now));
}

/// A leaving VM must get no new tasks after at most a renewal interval, and must be used again once
/// it is no longer listed as leaving.
#[test]
fn leaving_vm_gets_no_new_tasks() {
    let mut harness = Harness::new(3);
    let mut holder = harness.holder("a");
    harness.run_until_majority(&mut holder);
    harness.run(&mut holder, Duration::from_secs(3));
    let mut members = harness.members();
    members[0].state = MemberState::Leaving;
    holder.set_members(harness.now, &members);
    let changes = harness.run(&mut holder, Duration::from_secs(5));
    let vm = || "vm0".into();
    let suspended = LeaseChange::Suspended { vm: vm() };
    let count = changes.iter().filter(|change| **change == suspended);
    assert_eq!(count.count(), 1);
    let is_acquired = |changes: &[LeaseChange]| {
        changes
            .iter()
            .any(|change| matches!(change, LeaseChange::Acquired { vm, .. } if **vm == *"vm0"))
    };
    assert!(!is_acquired(&changes));
    holder.set_members(harness.now, &harness.members());
    assert!(is_acquired(
        &harness.run(&mut holder, Duration::from_secs(3))
    ));
}

/// Guards against a deadlock of two candidates that each hold the leases of half of the VMs. One of
/// them must release its leases, and they must never both have a majority.
fn split_vote_is_resolved(first: &str, second: &str) {
    let mut harness = Harness::new(4);
    let mut holders = [harness.holder(first), harness.holder(second)];
    for (n, holder) in holders.iter_mut().enumerate() {
        let mut fx = Effects::new();
        holder.tick(harness.now, &mut fx);
        fx.retain(|effect| match effect {
            Effect::SyncVm { vm, .. } => (**vm < *"vm2") == (n == 0),
            _ => false,
        });
        harness.deliver(holder, fx);
        assert!(!holder.has_majority(harness.now));
    }
    // The requests that were not delivered time out.
    for (n, holder) in holders.iter_mut().enumerate() {
        for vm in 0..4 {
            if (vm < 2) != (n == 0) {
                holder.handle_answer(harness.now, &format!("vm{vm}"), harness.now, None);
            }
        }
    }
    let end = harness.now + Duration::from_secs(60);
    while harness.now < end {
        harness.now += TICK;
        for holder in &mut holders {
            let mut fx = Effects::new();
            holder.tick(harness.now, &mut fx);
            harness.deliver(holder, fx);
        }
        let placers = holders
            .iter()
            .filter(|holder| holder.has_majority(harness.now));
        match placers.count() {
            0 => {}
            1 => return,
            _ => panic!("two holders have a majority"),
        }
    }
    panic!("no candidate has a majority within 60 s");
}

cases! { split_vote_is_resolved;
    split_vote_is_resolved_in_name_order("a", "b"),
    split_vote_is_resolved_in_reverse_name_order("b", "a"),
    split_vote_is_resolved_with_longer_names("entry-1", "entry-2"),
}
