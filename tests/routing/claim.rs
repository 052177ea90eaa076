//! Claims of request ids in the table.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use ragwortstall::core::Effect;
use ragwortstall::core::Effects;
use ragwortstall::core::effect::Answer;
use ragwortstall::core::effect::Reason;
use ragwortstall::core::event::AttemptOutcome;
use ragwortstall::core::event::TxnOutcome;
use ragwortstall::core::model::Now;
use ragwortstall::core::model::ROUTING_TOKEN_BASE;
use ragwortstall::core::model::Ticket;
use ragwortstall::core::model::Token;
use ragwortstall::core::model::Txn;
use ragwortstall::core::routing::Router;
use ragwortstall::core::routing::RoutingOptions;
use ragwortstall_standins::platform::Outcome;
use ragwortstall_standins::platform::Table;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::harness::answers;
use crate::harness::dispatches;
use crate::harness::endpoint;
use crate::harness::head;
use crate::harness::lone_router;
use crate::harness::ms;
use crate::harness::unsettled;
use crate::support::cases;

/// How the table treats transactions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TableKind {
    /// As it should, but its answers may be lost.
    Sound,
    /// Commits also where the expected versions do not match.
    BlindWrites,
}

#[derive(Debug, Default)]
struct Job {
    /// Attempts that ran or may have run.
    ran: u32,
    /// Tickets that were told that theirs did not run, and repeats that were sent since.
    not_run: u32,
}

struct Cell {
    kind: TableKind,
    rng: SmallRng,
    now: Now,
    table: Table,
    routers: Vec<Router>,
    /// Transactions that will still take effect though their sender was told nothing.
    late: VecDeque<Txn>,
    under_way: Vec<(usize, Token, Txn)>,
    attempts: Vec<(usize, Ticket, u32)>,
    tickets: BTreeMap<Ticket, u64>,
    jobs: BTreeMap<u64, Job>,
    answered: u64,
}

impl Cell {
    fn new(seed: u64, kind: TableKind) -> Self {
        Self {
            kind,
            rng: SmallRng::seed_from_u64(seed),
            now: Now::ZERO,
            table: Table::default(),
            routers: (1..4)
                .map(|seed| claimant_with(seed, &["a:1", "b:1"]))
                .collect(),
            late: VecDeque::new(),
            under_way: Vec::new(),
            attempts: Vec::new(),
            tickets: BTreeMap::new(),
            jobs: BTreeMap::new(),
            answered: 0,
        }
    }

    fn run(mut self) -> Self {
        for turn in 0..4_000_u64 {
            self.now += ms(5);
            match self.rng.random_range(0..10) {
                0..4 => self.request(turn),
                4..7 => self.end_transaction(),
                7 => self.apply_late(),
                _ => self.end_attempt(),
            }
            let daemon = self.rng.random_range(0..self.routers.len());
            let now = self.now;
            self.step(daemon, |router, fx| router.tick(now, fx));
        }
        self
    }

    /// A caller sends a request, or repeats a recent one, to any daemon.
    fn request(&mut self, turn: u64) {
        let daemon = self.rng.random_range(0..self.routers.len());
        let id = turn / 8 - self.rng.random_range(0..=(turn / 8).min(3));
        self.tickets.insert(turn, id);
        let mut head = head(false, Some(&format!("r{id}")));
        head.timeout = ms(self.rng.random_range(10..1_000));
        let now = self.now;
        self.step(daemon, |router, fx| {
            router.handle_request(now, turn, head, Some("noorani"), fx);
        });
    }

    fn end_transaction(&mut self) {
        if self.under_way.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.under_way.len());
        let (daemon, token, txn) = self.under_way.remove(at);
        let end = match self.rng.random_range(0..10) {
            0 => TxnOutcome::NotSent,
            1 => {
                self.commit(&txn);
                TxnOutcome::Unknown
            }
            2 => {
                self.late.push_back(txn);
                TxnOutcome::Unknown
            }
            3 => TxnOutcome::Unknown,
            _ => self.commit(&txn).into(),
        };
        let now = self.now;
        self.step(daemon, |router, fx| {
            assert!(router.handle_txn_outcome(now, token, &end, fx));
        });
    }

    fn apply_late(&mut self) {
        if let Some(txn) = self.late.pop_front() {
            self.commit(&txn);
        }
    }

    fn commit(&mut self, txn: &Txn) -> Outcome {
        let mut txn = txn.clone();
        if self.kind == TableKind::BlindWrites {
            for write in &mut txn.writes {
                write.expect = self.table.row(&write.key).version;
            }
        }
        self.table.commit(&txn)
    }

    fn end_attempt(&mut self) {
        if self.attempts.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.attempts.len());
        let (daemon, ticket, attempt) = self.attempts.remove(at);
        let end = match self.rng.random_range(0..8) {
            0 => AttemptOutcome::NotSent,
            1 => AttemptOutcome::Declined,
            2 => AttemptOutcome::Incomplete,
            _ => AttemptOutcome::Complete,
        };
        if matches!(end, AttemptOutcome::NotSent | AttemptOutcome::Declined) {
            self.job(ticket).ran -= 1;
        }
        let now = self.now;
        self.step(daemon, |router, fx| {
            router.handle_attempt_end(now, ticket, attempt, end, fx);
        });
    }

    fn job(&mut self, ticket: Ticket) -> &mut Job {
        self.jobs.entry(self.tickets[&ticket]).or_default()
    }

    fn step(&mut self, daemon: usize, f: impl FnOnce(&mut Router, &mut Effects)) {
        let mut fx = Effects::new();
        f(&mut self.routers[daemon], &mut fx);
        for (ticket, attempt, _) in dispatches(&fx) {
            self.job(ticket).ran += 1;
            self.attempts.push((daemon, ticket, attempt));
        }
        for (ticket, answer) in answers(&fx) {
            self.answered += 1;
            let not_run = matches!(answer, Answer::NotRun { .. });
            self.job(ticket).not_run += u32::from(not_run);
        }
        for effect in fx {
            if let Effect::Commit { token, txn } = effect {
                assert!(
                    self.under_way.iter().all(|(d, ..)| *d != daemon),
                    "two at once"
                );
                self.under_way.push((daemon, token, txn));
            }
        }
    }
}

/// Proves that a request under one id runs at most once however often it is repeated, at whichever
/// daemon, with lost, late and refused transactions. With a table that ignores expected versions it
/// must fail.
fn repeats_run_once(kind: TableKind, holds: bool) {
    let mut twice = 0;
    for seed in 0..8 {
        let cell = Cell::new(seed, kind).run();
        let ran = cell.jobs.values().filter(|job| job.ran > 0).count();
        assert!(ran > 100, "{ran} ran");
        assert!(cell.answered > 1_000, "{} answered", cell.answered);
        twice += cell.jobs.values().filter(|job| job.ran > 1).count();
    }
    assert_eq!(twice == 0, holds, "{twice} ran twice");
}

cases! { repeats_run_once;
    repeated_requests_run_once(TableKind::Sound, true),
    blind_writes_run_requests_twice(TableKind::BlindWrites, false),
}

/// A router with an endpoint.
fn claimant(seed: u64) -> Router {
    claimant_with(seed, &["a:1"])
}

fn claimant_with(seed: u64, endpoints: &[&str]) -> Router {
    let options = RoutingOptions {
        seed,
        ..unsettled()
    };
    let endpoints: Vec<_> = endpoints.iter().map(|id| endpoint(id, "east", 8)).collect();
    lone_router(options, &endpoints)
}

/// Proves that a claim's value tells which start of which daemon made it: of two that claim an id
/// at the same time one dispatches. With values alike both must take the row for their own.
fn claims_at_the_same_time(seeds: [u64; 2], dispatched: usize) {
    let mut table = Table::default();
    let mut sent = 0;
    for seed in seeds {
        let mut router = claimant(seed);
        let (token, txn) = commits(&claim(&mut router, Now::ZERO, 0, "r0")).remove(0);
        let mut fx = Effects::new();
        router.handle_txn_outcome(ms(5), token, &table.commit(&txn).into(), &mut fx);
        sent += dispatches(&fx).len();
    }
    assert_eq!(sent, dispatched);
}

cases! { claims_at_the_same_time;
    one_of_two_claims_is_dispatched([1, 2], 1),
    claims_with_the_same_value_are_both_dispatched([1, 1], 2),
}

fn commits(fx: &Effects) -> Vec<(Token, Txn)> {
    fx.iter()
        .filter_map(|effect| match effect {
            Effect::Commit { token, txn } => Some((*token, txn.clone())),
            _ => None,
        })
        .collect()
}

fn claim(router: &mut Router, now: Now, ticket: Ticket, id: &str) -> Effects {
    let mut fx = Effects::new();
    router.handle_request(now, ticket, head(false, Some(id)), Some("noorani"), &mut fx);
    fx
}

/// Proves the group commit: one transaction is under way, and all that wait go into the next.
#[test]
fn waiting_claims_share_a_transaction() {
    let mut router = claimant(1);
    let mut table = Table::default();
    let first = commits(&claim(&mut router, Now::ZERO, 0, "r0"));
    assert_eq!(first.len(), 1);
    assert!(first[0].0 >= ROUTING_TOKEN_BASE);
    for ticket in 1..6 {
        let fx = claim(&mut router, Now::ZERO, ticket, &format!("r{ticket}"));
        assert!(fx.is_empty(), "{fx:?}");
    }
    let mut fx = Effects::new();
    let end = table.commit(&first[0].1).into();
    router.handle_txn_outcome(ms(5), first[0].0, &end, &mut fx);
    assert_eq!(dispatches(&fx).len(), 1);
    let second = commits(&fx);
    assert_eq!(second.len(), 1);
    assert_eq!(second[0].1.writes.len(), 5);
}

/// Proves that an unreachable table is answered at once, as not run; one claim at a time looks
/// whether it is back.
#[test]
fn unreachable_table_refuses_at_once() {
    let mut router = claimant(1);
    let (token, _) = commits(&claim(&mut router, Now::ZERO, 0, "r0")).remove(0);
    let mut fx = Effects::new();
    router.handle_txn_outcome(ms(5), token, &TxnOutcome::NotSent, &mut fx);
    fx.extend(claim(&mut router, ms(6), 1, "r1"));
    let refused = |answer: &Answer| {
        let reason = Reason::PlatformUnavailable;
        matches!(answer, Answer::NotRun { reason: r, retry_after: Some(_) } if *r == reason)
    };
    let probe = claim(&mut router, ms(300), 2, "r2");
    assert_eq!(commits(&probe).len(), 1);
    fx.extend(claim(&mut router, ms(301), 3, "r3"));
    let answers = answers(&fx);
    assert_eq!(answers.len(), 3, "{fx:?}");
    assert!(
        answers.iter().all(|(_, answer)| refused(answer)),
        "{answers:?}"
    );
}

/// Proves that a claim whose transaction's answer was lost is settled by writing it again.
fn lost_answer(took_effect: bool) {
    let mut router = claimant(1);
    let mut table = Table::default();
    let (token, txn) = commits(&claim(&mut router, Now::ZERO, 0, "r0")).remove(0);
    if took_effect {
        table.commit(&txn);
    }
    let mut fx = Effects::new();
    router.handle_txn_outcome(ms(5), token, &TxnOutcome::Unknown, &mut fx);
    assert!(dispatches(&fx).is_empty());
    let (token, txn) = commits(&fx).remove(0);
    fx.clear();
    router.handle_txn_outcome(ms(9), token, &table.commit(&txn).into(), &mut fx);
    assert_eq!(dispatches(&fx).len(), 1);
}

cases! { lost_answer;
    lost_answer_of_a_claim_that_took_effect(true),
    lost_answer_of_a_claim_that_did_not(false),
}

/// Proves that a repeat is told that the first may have run, and that the id is free again once
/// the first was proved not to have run.
#[test]
fn id_is_free_after_its_request_did_not_run() {
    let mut router = claimant(1);
    let mut table = Table::default();
    let (token, txn) = commits(&claim(&mut router, Now::ZERO, 0, "r0")).remove(0);
    let mut fx = Effects::new();
    router.handle_txn_outcome(ms(5), token, &table.commit(&txn).into(), &mut fx);
    let mut other = claimant(9);
    let (token, txn) = commits(&claim(&mut other, Now::ZERO, 1, "r0")).remove(0);
    fx.clear();
    other.handle_txn_outcome(ms(9), token, &table.commit(&txn).into(), &mut fx);
    let unknown = Answer::Unknown {
        reason: Reason::DuplicateRequest,
    };
    assert_eq!(answers(&fx), [(1, unknown)]);

    // The endpoint refuses connections until the caller's patience has run out.
    fx.clear();
    router.handle_attempt_end(ms(10), 0, 0, AttemptOutcome::NotSent, &mut fx);
    router.tick(ms(2_100), &mut fx);
    assert!(
        matches!(answers(&fx)[..], [(0, Answer::NotRun { .. })]),
        "{fx:?}"
    );
    let (token, txn) = commits(&fx).remove(0);
    fx.clear();
    router.handle_txn_outcome(ms(2_110), token, &table.commit(&txn).into(), &mut fx);
    let mut fx = claim(&mut other, ms(2_200), 2, "r0");
    let (token, txn) = commits(&fx).remove(0);
    fx.clear();
    other.handle_txn_outcome(ms(2_210), token, &table.commit(&txn).into(), &mut fx);
    let (token, txn) = commits(&fx).remove(0);
    fx.clear();
    other.handle_txn_outcome(ms(2_220), token, &table.commit(&txn).into(), &mut fx);
    assert_eq!(dispatches(&fx).len(), 1);
}

/// Proves that a claim is withdrawn once it has expired.
#[test]
fn expired_claim_is_withdrawn() {
    let mut router = claimant(1);
    let mut table = Table::default();
    let (token, txn) = commits(&claim(&mut router, Now::ZERO, 0, "r0")).remove(0);
    let mut fx = Effects::new();
    router.handle_txn_outcome(ms(5), token, &table.commit(&txn).into(), &mut fx);
    router.handle_attempt_end(ms(10), 0, 0, AttemptOutcome::Complete, &mut fx);
    fx.clear();
    router.tick(ms(3_000_000), &mut fx);
    assert!(commits(&fx).is_empty());
    router.tick(ms(3_700_000), &mut fx);
    let (_, txn) = commits(&fx).remove(0);
    table.commit(&txn);
    assert_eq!(table.row("claim/labels/noorani/r0").value, None);
}
