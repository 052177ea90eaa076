//! Leases on VMs: one holder at a time, counted from before the question, and what a holder may
//! conclude from reports, refusals and silence.

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

/// VMs, and holders that reach them all without delay unless a test says otherwise.
struct Bench {
    now: Now,
    vms: Vec<VmModel>,
}

impl Bench {
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

    fn holder(&self, name: &str) -> Leases {
        let mut leases = Leases::new(name.into(), ZONE.into(), LeaseOptions::default());
        leases.set_members(self.now, &self.members());
        leases.set_candidate(self.now, true);
        leases
    }

    /// Delivers every sync in `fx` to its VM and the answer to the holder.
    fn deliver(&mut self, holder: &mut Leases, fx: Effects) -> Vec<LeaseChange> {
        let mut changes = Vec::new();
        for (vm, sync) in syncs(fx) {
            let at = self.vms.iter().position(|model| *model.id() == *vm);
            let answer = at.and_then(|at| self.vms[at].sync(self.now, &sync));
            changes.extend(holder.handle_answer(self.now, &vm, self.now, answer));
        }
        changes
    }

    /// Runs one holder for a time.
    fn run(&mut self, holder: &mut Leases, time: Duration) -> Vec<LeaseChange> {
        let until = self.now + time;
        let mut changes = Vec::new();
        while self.now < until {
            self.now += TICK;
            let mut fx = Effects::new();
            changes.extend(holder.tick(self.now, &mut fx));
            changes.extend(self.deliver(holder, fx));
        }
        changes
    }

    /// Runs one holder until it is placer, and returns the time that took.
    fn run_until_placer(&mut self, holder: &mut Leases) -> Duration {
        let began = self.now;
        while !holder.has_majority(self.now) {
            self.run(holder, TICK);
            assert!(self.now < began + Duration::from_secs(60), "never placer");
        }
        self.now.saturating_sub(began)
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

fn task(index: u32) -> StartTask {
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

/// Proves that a successor waits for the lease of a dead holder, and no longer than the bound.
fn takeover(vms: usize) {
    let mut bench = Bench::new(vms);
    let mut first = bench.holder("a");
    bench.run_until_placer(&mut first);
    bench.run(&mut first, Duration::from_secs(3));
    let mut second = bench.holder("b");
    let took = bench.run_until_placer(&mut second);
    let options = LeaseOptions::default();
    let bound = options.lease + options.renew_every + options.drift_margin(options.lease);
    assert!(took <= bound, "took {took:?}");
    assert!(!first.has_majority(bench.now), "two placers");
}

cases! { takeover;
    takeover_of_one_vm(1),
    takeover_of_nine_vms(9),
}

/// Proves that leases given back are free at once: a successor need not wait for them to run out.
#[test]
fn handover_is_immediate() {
    let mut bench = Bench::new(5);
    let mut first = bench.holder("a");
    bench.run_until_placer(&mut first);
    first.set_candidate(bench.now, false);
    assert!(!first.has_majority(bench.now));
    bench.run(&mut first, TICK);
    let mut second = bench.holder("b");
    let took = bench.run_until_placer(&mut second);
    assert!(took <= Duration::from_millis(500), "took {took:?}");
}

/// Proves that a start whose answer was lost is settled by the next report, either way.
fn lost_answer(reached: bool) {
    let mut bench = Bench::new(1);
    let mut holder = bench.holder("a");
    bench.run_until_placer(&mut holder);
    holder.start("vm0", task(0));
    let mut fx = Effects::new();
    holder.flush(bench.now, &mut fx);
    for (vm, sync) in syncs(fx) {
        if reached {
            bench.vms[0].sync(bench.now, &sync);
        }
        assert_eq!(holder.handle_answer(bench.now, &vm, bench.now, None), []);
    }
    let changes = bench.run(&mut holder, Duration::from_secs(3));
    let not_started = changes
        .iter()
        .any(|change| matches!(change, LeaseChange::NotStarted { .. }));
    assert_eq!(not_started, !reached);
    assert_eq!(bench.vms[0].log().len(), usize::from(reached));
}

cases! { lost_answer;
    lost_answer_after_the_start(true),
    lost_answer_before_the_start(false),
}

/// Proves that a message held up on its way starts nothing once its lease has passed.
#[test]
fn late_start_is_refused() {
    let mut bench = Bench::new(1);
    let mut holder = bench.holder("a");
    bench.run_until_placer(&mut holder);
    holder.start("vm0", task(0));
    let mut fx = Effects::new();
    holder.flush(bench.now, &mut fx);
    let (_, sync) = syncs(fx).remove(0);
    assert_eq!(sync.starts.len(), 1);
    bench.vms[0].sync(bench.now + Duration::from_secs(7), &sync);
    assert_eq!(bench.vms[0].log(), []);
}

/// Proves that one start runs once: a VM that still reports its end does not start it again.
#[test]
fn start_is_idempotent() {
    let mut bench = Bench::new(1);
    let mut holder = bench.holder("a");
    bench.run_until_placer(&mut holder);
    let start = StartTask {
        run_time: Some(Duration::from_secs(1)),
        ..task(0)
    };
    holder.start("vm0", start.clone());
    bench.run(&mut holder, Duration::from_secs(3));
    holder.start("vm0", start);
    bench.run(&mut holder, Duration::from_secs(3));
    assert_eq!(bench.vms[0].log().len(), 1);
}

/// Proves that a VM is declared lost only once all its tasks have stopped by its own clock.
#[test]
fn lost_after_the_task_lease() {
    let mut bench = Bench::new(3);
    let mut holder = bench.holder("a");
    bench.run_until_placer(&mut holder);
    bench.run(&mut holder, Duration::from_secs(5));
    holder.start("vm0", task(0));
    bench.run(&mut holder, Duration::from_secs(5));
    assert_eq!(bench.vms[0].running().count(), 1);
    bench.vms[0].faults.silent = true;
    let lost = LeaseChange::Lost { vm: "vm0".into() };
    let cut = bench.now;
    while !bench.run(&mut holder, TICK).contains(&lost) {
        assert!(bench.now < cut + Duration::from_secs(90), "never lost");
    }
    let now = bench.now;
    bench.vms[0].advance(now);
    assert_eq!(bench.vms[0].running().count(), 0);
    assert!(holder.has_majority(bench.now));
}

/// Proves that a VM that is leaving gets nothing new within a renewal interval, and is used again
/// once it stays.
#[test]
fn leaving_vm_takes_nothing_new() {
    let mut bench = Bench::new(3);
    let mut holder = bench.holder("a");
    bench.run_until_placer(&mut holder);
    bench.run(&mut holder, Duration::from_secs(3));
    let mut members = bench.members();
    members[0].state = MemberState::Leaving;
    holder.set_members(bench.now, &members);
    let changes = bench.run(&mut holder, Duration::from_secs(5));
    let vm = || "vm0".into();
    let suspended = LeaseChange::Suspended { vm: vm() };
    let count = changes.iter().filter(|change| **change == suspended);
    assert_eq!(count.count(), 1);
    let held = |changes: &[LeaseChange]| {
        changes
            .iter()
            .any(|change| matches!(change, LeaseChange::Acquired { vm, .. } if **vm == *"vm0"))
    };
    assert!(!held(&changes));
    holder.set_members(bench.now, &bench.members());
    assert!(held(&bench.run(&mut holder, Duration::from_secs(3))));
}

/// Proves that rivals who each hold half of the VMs do not block each other for good: one makes
/// way, and never are both placers.
fn split_vote(first: &str, second: &str) {
    let mut bench = Bench::new(4);
    let mut holders = [bench.holder(first), bench.holder(second)];
    for (n, holder) in holders.iter_mut().enumerate() {
        let mut fx = Effects::new();
        holder.tick(bench.now, &mut fx);
        fx.retain(|effect| match effect {
            Effect::SyncVm { vm, .. } => (**vm < *"vm2") == (n == 0),
            _ => false,
        });
        bench.deliver(holder, fx);
        assert!(!holder.has_majority(bench.now));
    }
    // What was not delivered has timed out.
    for (n, holder) in holders.iter_mut().enumerate() {
        for vm in 0..4 {
            if (vm < 2) != (n == 0) {
                holder.handle_answer(bench.now, &format!("vm{vm}"), bench.now, None);
            }
        }
    }
    let end = bench.now + Duration::from_secs(60);
    while bench.now < end {
        bench.now += TICK;
        for holder in &mut holders {
            let mut fx = Effects::new();
            holder.tick(bench.now, &mut fx);
            bench.deliver(holder, fx);
        }
        let placers = holders
            .iter()
            .filter(|holder| holder.has_majority(bench.now));
        match placers.count() {
            0 => {}
            1 => return,
            _ => panic!("two placers"),
        }
    }
    panic!("no placer");
}

cases! { split_vote;
    split_vote_of_two("a", "b"),
    split_vote_in_the_other_order("b", "a"),
    split_vote_of_longer_names("entry-1", "entry-2"),
}
