//! Choice of the runs to stop while urgent tasks wait on VMs that are full of other work.

use std::collections::BTreeSet;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use ragwortstall::core::model::Resources;
use ragwortstall::core::workload::catalog::URGENT_PRIORITY;
use ragwortstall::core::workload::policy::preemption::Claim;
use ragwortstall::core::workload::policy::preemption::FREEING_DIVISOR;
use ragwortstall::core::workload::policy::preemption::MIN_RUN_TIME;
use ragwortstall::core::workload::policy::preemption::RunView;
use ragwortstall::core::workload::policy::preemption::Site;
use ragwortstall::core::workload::policy::preemption::Victim;
use ragwortstall::core::workload::policy::preemption::VmView;
use ragwortstall::core::workload::policy::preemption::budget;
use ragwortstall::core::workload::policy::preemption::choose_victims;
use ragwortstall::core::workload::policy::preemption::is_preemptible;
use ragwortstall::core::workload::policy::preemption::is_worthwhile;
use ragwortstall::core::workload::policy::timeliness::Timeliness;
use ragwortstall::core::workload::submission::Step;
use ragwortstall::core::workload::submission::Traits;

const BATCH_PRIORITY: u32 = 2;

/// Number of random cases of each check.
const CASES: u32 = 2_000;

/// Time since the confirmation of a run that may be stopped.
const OLD: Duration = Duration::from_secs(10);

fn cores(cores: u32) -> Resources {
    Resources::new(cores * 1_000, cores * 1_000, 0, 1)
}

fn claim(cores_each: u32, tasks: u32, vms: &[usize]) -> Claim {
    let sites = vms.iter().map(|&vm| Site {
        vm,
        limit: u32::MAX,
        may_stop: true,
    });
    Claim {
        priority: URGENT_PRIORITY,
        reservation: cores(cores_each),
        tasks,
        sites: sites.collect(),
    }
}

fn run(cores_used: u32, timeliness: Timeliness) -> RunView {
    RunView {
        priority: BATCH_PRIORITY,
        reservation: cores(cores_used),
        timeliness,
        slack: Duration::ZERO,
        age: OLD,
    }
}

/// Returns a VM without free CPU and memory; the number of tasks is not limited.
fn full_vm(runs: &[RunView]) -> VmView {
    VmView {
        free: Resources::new(0, 0, 0, u32::MAX),
        freeing: Resources::ZERO,
        excess: Resources::ZERO,
        runs: runs.to_vec(),
    }
}

/// Returns the chosen runs as pairs of VM and run.
fn chosen(claims: &[Claim], vms: &[VmView]) -> Vec<(usize, usize)> {
    let victims = choose_victims(claims, vms, Resources::MAX);
    victims
        .iter()
        .map(|victim| (victim.vm, victim.run))
        .collect()
}

/// Guards against stops of work that somebody still waits for, while overdue work keeps its VMs.
#[test]
fn runs_of_overdue_jobs_are_stopped_before_late_ones_and_those_on_time() {
    let vms = [
        full_vm(&[run(8, Timeliness::OnTime)]),
        full_vm(&[run(8, Timeliness::Late)]),
        full_vm(&[run(8, Timeliness::Overdue)]),
    ];
    let order = chosen(&[claim(8, 3, &[0, 1, 2])], &vms);
    assert_eq!(order, [(2, 0), (1, 0), (0, 0)]);
}

/// Guards against stops that make a job late although another has time to spare.
#[test]
fn among_jobs_on_time_the_one_with_the_most_slack_is_stopped() {
    let slack = |seconds| RunView {
        slack: Duration::from_secs(seconds),
        ..run(8, Timeliness::OnTime)
    };
    let vms = [full_vm(&[slack(3), slack(30), slack(10)])];
    assert_eq!(chosen(&[claim(8, 1, &[0])], &vms), [(0, 1)]);
}

/// Guards against the loss of a long run where a short one is lost as well.
#[test]
fn among_equals_the_youngest_run_is_stopped() {
    let aged = |seconds| RunView {
        age: Duration::from_secs(seconds),
        ..run(8, Timeliness::Overdue)
    };
    let vms = [full_vm(&[aged(30), aged(3), aged(9)])];
    assert_eq!(chosen(&[claim(8, 1, &[0])], &vms), [(0, 1)]);
}

/// Guards against many stops where one is enough.
#[test]
fn a_vm_where_fewer_runs_free_enough_is_preferred() {
    let vms = [
        full_vm(&[run(2, Timeliness::Overdue); 8]),
        full_vm(&[run(8, Timeliness::Overdue); 2]),
    ];
    assert_eq!(chosen(&[claim(8, 1, &[0, 1])], &vms), [(1, 0)]);
}

/// Guards against stops of runs that free too little of what the task lacks.
#[test]
fn runs_without_which_the_room_is_enough_are_not_stopped() {
    let small = RunView {
        age: MIN_RUN_TIME,
        ..run(1, Timeliness::Overdue)
    };
    let vms = [full_vm(&[small, run(8, Timeliness::Overdue)])];
    assert_eq!(chosen(&[claim(8, 1, &[0])], &vms), [(0, 1)]);
}

/// Guards against one stop for each small task: a freed run holds several.
#[test]
fn room_of_one_run_is_used_for_several_tasks() {
    let vms = [full_vm(&[run(8, Timeliness::Overdue); 2])];
    assert_eq!(chosen(&[claim(2, 4, &[0])], &vms).len(), 1);
    assert_eq!(chosen(&[claim(2, 5, &[0])], &vms).len(), 2);
}

/// Guards against a second set of stops in each round until the first runs have ended.
#[test]
fn runs_that_are_being_stopped_count_as_room() {
    let freeing = VmView {
        freeing: cores(8),
        ..full_vm(&[run(8, Timeliness::Overdue)])
    };
    let vms = [freeing, full_vm(&[run(8, Timeliness::Overdue)])];
    assert_eq!(chosen(&[claim(8, 1, &[0, 1])], &vms), []);
    assert_eq!(chosen(&[claim(8, 1, &[1])], &vms), [(1, 0)]);
    assert_eq!(chosen(&[claim(8, 2, &[0, 1])], &vms).len(), 1);
}

/// Guards against too few stops on a VM that has shrunk: its runs use more than its capacity.
#[test]
fn runs_beyond_the_capacity_are_made_up_for_first() {
    let shrunk = VmView {
        excess: Resources {
            tasks: 0,
            ..cores(8)
        },
        ..full_vm(&[run(8, Timeliness::Overdue); 3])
    };
    let vms = [shrunk];
    assert_eq!(chosen(&[claim(4, 1, &[0])], &vms).len(), 2);
    assert_eq!(chosen(&[claim(4, 3, &[0])], &vms).len(), 3);
}

/// Guards against stops while room is free for which the tasks only lack advice.
#[test]
fn free_room_counts_also_where_nothing_may_be_stopped() {
    let free = VmView {
        free: Resources {
            tasks: u32::MAX,
            ..cores(8)
        },
        ..full_vm(&[run(8, Timeliness::Overdue)])
    };
    let vms = [free, full_vm(&[run(8, Timeliness::Overdue)])];
    let mut open = claim(8, 2, &[0, 1]);
    open.sites[0].may_stop = false;
    assert_eq!(chosen(&[open], &vms), [(1, 0)]);
}

/// Guards against room that two claims both count on.
#[test]
fn room_that_is_freed_for_one_claim_is_not_counted_for_the_next() {
    let vms = [full_vm(&[run(8, Timeliness::Overdue); 3])];
    let claims = [claim(8, 1, &[0]), claim(8, 1, &[0])];
    assert_eq!(chosen(&claims, &vms).len(), 2);
}

/// Guards against a burst that stops everything at the same time.
#[test]
fn no_more_is_freed_than_the_budget() {
    let vms = [full_vm(&[run(8, Timeliness::Overdue); 8])];
    let capacity = cores(1).times(64);
    let limit = budget(&capacity, &cores(8));
    let victims = choose_victims(&[claim(8, 8, &[0])], &vms, limit);
    assert_eq!(victims.len(), 64 / FREEING_DIVISOR as usize / 8 - 1);
}

/// Guards against more tasks on a VM than the step's limit allows.
#[test]
fn no_more_room_is_made_on_a_vm_than_its_limit() {
    let vms = [full_vm(&[run(8, Timeliness::Overdue); 3])];
    let mut limited = claim(8, 3, &[0]);
    limited.sites[0].limit = 1;
    assert_eq!(chosen(&[limited], &vms).len(), 1);
}

/// Guards against stops that lose work or break what others depend on.
#[test]
fn only_independent_tasks_with_checkpoints_may_be_stopped() {
    let step = |change: fn(&mut Step)| {
        let mut step = Step {
            traits: Traits {
                checkpointing: true,
                ..Traits::default()
            },
            ..Step::default()
        };
        change(&mut step);
        is_preemptible(&step)
    };
    assert!(step(|_| ()));
    assert!(!step(|step| step.traits.checkpointing = false));
    assert!(!step(|step| step.traits.gang = true));
    assert!(!step(|step| step.traits.long_running = true));
    assert!(!step(|step| step.traits.filler = true));
    assert!(!step(|step| step.max_unavailable = Some(1)));
}

fn any_run() -> impl Strategy<Value = RunView> {
    let timeliness = (0..3_u8).prop_map(|ix| match ix {
        0 => Timeliness::OnTime,
        1 => Timeliness::Late,
        _ => Timeliness::Overdue,
    });
    (0..4_u32, 1..10_u32, timeliness, 0..9_u64, 0..9_u64).prop_map(
        |(priority, used, timeliness, slack, age)| RunView {
            priority,
            reservation: cores(used),
            timeliness,
            slack: Duration::from_secs(slack),
            age: Duration::from_secs(age),
        },
    )
}

fn any_vm() -> impl Strategy<Value = VmView> {
    // A VM that has shrunk below its runs has no free room.
    let free_and_excess = prop_oneof![
        (0..5_u32).prop_map(|free| (free, 0)),
        (1..5_u32).prop_map(|excess| (0, excess)),
    ];
    (free_and_excess, 0..5_u32, vec(any_run(), 0..6)).prop_map(|((free, excess), freeing, runs)| {
        VmView {
            free: Resources {
                tasks: u32::MAX,
                ..cores(free)
            },
            freeing: cores(freeing),
            excess: Resources {
                tasks: 0,
                ..cores(excess)
            },
            runs,
        }
    })
}

/// Returns claims on VMs with numbers below `vms`.
fn any_claim(vms: usize) -> impl Strategy<Value = Claim> {
    let site = (0..vms, 1..4_u32, 0..4_u8).prop_map(|(vm, limit, kind)| Site {
        vm,
        limit,
        may_stop: kind > 0,
    });
    (0..3_u32, 1..8_u32, 1..6_u32, vec(site, 0..vms)).prop_map(
        |(priority, each, tasks, mut sites)| {
            sites.sort_unstable_by_key(|site| site.vm);
            sites.dedup_by_key(|site| site.vm);
            Claim {
                priority,
                reservation: cores(each),
                tasks,
                sites,
            }
        },
    )
}

/// Returns the number of tasks of a claim that fit once these runs have ended.
fn slots(claim: &Claim, vms: &[VmView], victims: &[Victim]) -> u32 {
    let fits = claim.sites.iter().map(|site| {
        let vm = &vms[site.vm];
        let freed = victims.iter().filter(|victim| victim.vm == site.vm);
        let room = freed.fold(vm.free.plus(&vm.freeing), |room, victim| {
            room.plus(&vm.runs[victim.run].reservation)
        });
        let room = room.minus(&vm.excess);
        room.count_of(&claim.reservation).min(site.limit)
    });
    fits.sum()
}

const VMS: usize = 6;

/// Runs a check on random values, the same ones each time.
fn check<S: Strategy>(
    strategy: S,
    test: impl Fn(S::Value) -> std::result::Result<(), TestCaseError>,
) {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    if let Err(err) = runner.run(&strategy, test) {
        panic!("{err}");
    }
}

/// Guards, for any VMs and claims, against victims of equal or higher priority, runs that have
/// not made progress, runs that are stopped twice or on VMs that the claim may not use, and
/// against more than the budget.
#[test]
fn victims_are_allowed_ones_within_the_budget() {
    let claims = vec(any_claim(VMS), 0..5);
    let values = (vec(any_vm(), VMS), claims, 0..60_u32);
    check(values, |(vms, claims, limit)| {
        let limit = Resources::new(limit * 1_000, limit * 1_000, 0, limit);
        let victims = choose_victims(&claims, &vms, limit);
        let mut freed = Resources::ZERO;
        let mut seen = BTreeSet::new();
        for victim in &victims {
            let (claim, run) = (&claims[victim.claim], &vms[victim.vm].runs[victim.run]);
            prop_assert!(run.priority > claim.priority);
            prop_assert!(run.age >= MIN_RUN_TIME);
            let is_site = |site: &Site| site.vm == victim.vm && site.may_stop;
            prop_assert!(claim.sites.iter().any(is_site));
            prop_assert!(seen.insert((victim.vm, victim.run)));
            freed = freed.plus(&run.reservation);
        }
        prop_assert!(limit.holds(&freed));
        Ok(())
    });
}

/// Guards, for any VMs, against stops beyond the need: without the last one, the tasks do not all
/// fit.
#[test]
fn no_run_is_stopped_once_all_tasks_fit() {
    check((vec(any_vm(), VMS), any_claim(VMS)), |(vms, claim)| {
        let victims = choose_victims(std::slice::from_ref(&claim), &vms, Resources::MAX);
        if let Some((_, others)) = victims.split_last() {
            prop_assert!(slots(&claim, &vms, others) < claim.tasks);
        }
        Ok(())
    });
}

/// Guards, for any VMs, against tasks that wait although allowed stops would make room.
#[test]
fn all_tasks_fit_if_stops_of_all_allowed_runs_make_room() {
    check((vec(any_vm(), VMS), any_claim(VMS)), |(vms, claim)| {
        let victims = choose_victims(std::slice::from_ref(&claim), &vms, Resources::MAX);
        let mut all = Vec::new();
        for site in claim.sites.iter().filter(|site| site.may_stop) {
            let runs = vms[site.vm].runs.iter().enumerate();
            let is_allowed =
                |run: &RunView| run.priority > claim.priority && run.age >= MIN_RUN_TIME;
            let allowed = runs.filter(|(_, run)| is_allowed(run));
            all.extend(allowed.map(|(run, _)| Victim {
                claim: 0,
                vm: site.vm,
                run,
            }));
        }
        let possible = slots(&claim, &vms, &all).min(claim.tasks);
        prop_assert!(slots(&claim, &vms, &victims) >= possible);
        Ok(())
    });
}

/// Names an amount of CPU held by runs that may be stopped, of 80 cores, and whether that is enough
/// for a search.
macro_rules! stoppable_cores {
    ($($name:ident: $cores:literal => $worthwhile:literal;)*) => {$(
        #[test]
        fn $name() {
            let capacity = Resources::new(80_000, 320_000, 0, 0);
            let stoppable = Resources::new($cores * 1_000, $cores * 10, 0, 0);
            assert_eq!(is_worthwhile(&capacity, &stoppable), $worthwhile);
        }
    )*};
}

stoppable_cores! {
    nothing_is_searched_without_runs_to_stop: 0 => false;
    nothing_is_searched_while_urgent_tasks_wait_for_each_other: 9 => false;
    victims_are_searched_among_an_eighth_of_the_capacity: 10 => true;
}
