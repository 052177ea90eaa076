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
use crate::harness::ms;
use crate::harness::no_settle_time;
use crate::harness::single_router;
use crate::support::cases;

/// How the simulated table handles transactions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TableMode {
    /// Checks the expected versions.
    Correct,
    /// Commits even if the expected versions do not match.
    BlindWrites,
}

/// State of all requests with one id.
#[derive(Debug, Default)]
struct RequestState {
    /// Number of attempts that ran or may have run.
    possible_runs: u32,
    /// Number of answers saying that the request did not run.
    not_run_answers: u32,
}

/// Three routers that share a simulated table.
struct Harness {
    table_mode: TableMode,
    rng: SmallRng,
    now: Now,
    table: Table,
    routers: Vec<Router>,
    /// Transactions that take effect after their sender was told that the outcome is unknown.
    late_txns: VecDeque<Txn>,
    pending_txns: Vec<(usize, Token, Txn)>,
    attempts: Vec<(usize, Ticket, u32)>,
    request_ids: BTreeMap<Ticket, u64>,
    requests: BTreeMap<u64, RequestState>,
    answer_count: u64,
}

impl Harness {
    fn new(seed: u64, table_mode: TableMode) -> Self {
        Self {
            table_mode,
            rng: SmallRng::seed_from_u64(seed),
            now: Now::ZERO,
            table: Table::default(),
            routers: (1..4)
                .map(|seed| router_with_endpoints(seed, &["a:1", "b:1"]))
                .collect(),
            late_txns: VecDeque::new(),
            pending_txns: Vec::new(),
            attempts: Vec::new(),
            request_ids: BTreeMap::new(),
            requests: BTreeMap::new(),
            answer_count: 0,
        }
    }

    fn run(mut self) -> Self {
        for turn in 0..4_000_u64 {
            self.now += ms(5);
            match self.rng.random_range(0..10) {
                0..4 => self.send_request(turn),
                4..7 => self.complete_txn(),
                7 => self.commit_late_txn(),
                _ => self.complete_attempt(),
            }
            let daemon = self.rng.random_range(0..self.routers.len());
            let now = self.now;
            self.step(daemon, |router, fx| router.tick(now, fx));
        }
        self
    }

    /// Sends a new request, or repeats one of the last few, to a random daemon.
    fn send_request(&mut self, turn: u64) {
        let daemon = self.rng.random_range(0..self.routers.len());
        let id = turn / 8 - self.rng.random_range(0..=(turn / 8).min(3));
        self.request_ids.insert(turn, id);
        let mut head = head(false, Some(&format!("r{id}")));
        head.timeout = ms(self.rng.random_range(10..1_000));
        let now = self.now;
        self.step(daemon, |router, fx| {
            router.handle_request(now, turn, head, Some("noorani"), fx);
        });
    }

    fn complete_txn(&mut self) {
        if self.pending_txns.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.pending_txns.len());
        let (daemon, token, txn) = self.pending_txns.remove(at);
        let outcome = match self.rng.random_range(0..10) {
            0 => TxnOutcome::NotSent,
            1 => {
                self.commit(&txn);
                TxnOutcome::Unknown
            }
            2 => {
                self.late_txns.push_back(txn);
                TxnOutcome::Unknown
            }
            3 => TxnOutcome::Unknown,
            _ => self.commit(&txn).into(),
        };
        let now = self.now;
        self.step(daemon, |router, fx| {
            assert!(router.handle_txn_outcome(now, token, &outcome, fx));
        });
    }

    fn commit_late_txn(&mut self) {
        if let Some(txn) = self.late_txns.pop_front() {
            self.commit(&txn);
        }
    }

    fn commit(&mut self, txn: &Txn) -> Outcome {
        let mut txn = txn.clone();
        if self.table_mode == TableMode::BlindWrites {
            for write in &mut txn.writes {
                write.expect = self.table.row(&write.key).version;
            }
        }
        self.table.commit(&txn)
    }

    fn complete_attempt(&mut self) {
        if self.attempts.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.attempts.len());
        let (daemon, ticket, attempt) = self.attempts.remove(at);
        let outcome = match self.rng.random_range(0..8) {
            0 => AttemptOutcome::NotSent,
            1 => AttemptOutcome::Declined,
            2 => AttemptOutcome::Incomplete,
            _ => AttemptOutcome::Complete,
        };
        if matches!(outcome, AttemptOutcome::NotSent | AttemptOutcome::Declined) {
            self.state_of(ticket).possible_runs -= 1;
        }
        let now = self.now;
        self.step(daemon, |router, fx| {
            router.handle_attempt_end(now, ticket, attempt, outcome, fx);
        });
    }

    fn state_of(&mut self, ticket: Ticket) -> &mut RequestState {
        self.requests.entry(self.request_ids[&ticket]).or_default()
    }

    fn step(&mut self, daemon: usize, f: impl FnOnce(&mut Router, &mut Effects)) {
        let mut fx = Effects::new();
        f(&mut self.routers[daemon], &mut fx);
        for (ticket, attempt, _) in dispatches(&fx) {
            self.state_of(ticket).possible_runs += 1;
            self.attempts.push((daemon, ticket, attempt));
        }
        for (ticket, answer) in answers(&fx) {
            self.answer_count += 1;
            let not_run = matches!(answer, Answer::NotRun { .. });
            self.state_of(ticket).not_run_answers += u32::from(not_run);
        }
        for effect in fx {
            if let Effect::Commit { token, txn } = effect {
                assert!(
                    self.pending_txns.iter().all(|(d, ..)| *d != daemon),
                    "daemon {daemon} has two transactions in flight"
                );
                self.pending_txns.push((daemon, token, txn));
            }
        }
    }
}

/// Guards against running a request twice when it is repeated with the same id at any daemon while
/// transactions are lost, delayed or refused. With a table that ignores expected versions some
/// request must run twice.
fn repeated_requests(table_mode: TableMode, holds: bool) {
    let mut twice = 0;
    for seed in 0..8 {
        let harness = Harness::new(seed, table_mode).run();
        let ran = harness
            .requests
            .values()
            .filter(|state| state.possible_runs > 0)
            .count();
        assert!(ran > 100, "{ran} ran");
        assert!(
            harness.answer_count > 1_000,
            "{} answered",
            harness.answer_count
        );
        twice += harness
            .requests
            .values()
            .filter(|state| state.possible_runs > 1)
            .count();
    }
    assert_eq!(twice == 0, holds, "{twice} ran twice");
}

cases! { repeated_requests;
    repeated_requests_run_once(TableMode::Correct, true),
    blind_writes_run_requests_twice(TableMode::BlindWrites, false),
}

/// Returns a router with one endpoint.
fn router_with_endpoint(seed: u64) -> Router {
    router_with_endpoints(seed, &["a:1"])
}

fn router_with_endpoints(seed: u64, endpoints: &[&str]) -> Router {
    let options = RoutingOptions {
        seed,
        ..no_settle_time()
    };
    let endpoints: Vec<_> = endpoints.iter().map(|id| endpoint(id, "east", 8)).collect();
    single_router(options, &endpoints)
}

/// Guards against two daemons dispatching the same request because each takes the other's claim row
/// for its own: the value of a claim is unique to the process that made it. With the same seed, and
/// so with equal values, both must dispatch.
fn concurrent_claims(seeds: [u64; 2], dispatched: usize) {
    let mut table = Table::default();
    let mut sent = 0;
    for seed in seeds {
        let mut router = router_with_endpoint(seed);
        let (token, txn) = commits(&request_with_id(&mut router, Now::ZERO, 0, "r0")).remove(0);
        let mut fx = Effects::new();
        router.handle_txn_outcome(ms(5), token, &table.commit(&txn).into(), &mut fx);
        sent += dispatches(&fx).len();
    }
    assert_eq!(sent, dispatched);
}

cases! { concurrent_claims;
    one_of_two_concurrent_claims_is_dispatched([1, 2], 1),
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

fn request_with_id(router: &mut Router, now: Now, ticket: Ticket, id: &str) -> Effects {
    let mut fx = Effects::new();
    router.handle_request(now, ticket, head(false, Some(id)), Some("noorani"), &mut fx);
    fx
}

/// Claims that arrive while a transaction is in flight go into the next one together.
#[test]
fn waiting_claims_share_a_transaction() {
    let mut router = router_with_endpoint(1);
    let mut table = Table::default();
    let first = commits(&request_with_id(&mut router, Now::ZERO, 0, "r0"));
    assert_eq!(first.len(), 1);
    assert!(first[0].0 >= ROUTING_TOKEN_BASE);
    for ticket in 1..6 {
        let fx = request_with_id(&mut router, Now::ZERO, ticket, &format!("r{ticket}"));
        assert!(fx.is_empty(), "{fx:?}");
    }
    let mut fx = Effects::new();
    let outcome = table.commit(&first[0].1).into();
    router.handle_txn_outcome(ms(5), first[0].0, &outcome, &mut fx);
    assert_eq!(dispatches(&fx).len(), 1);
    let second = commits(&fx);
    assert_eq!(second.len(), 1);
    assert_eq!(second[0].1.writes.len(), 5);
}

/// While the table is unreachable, requests are answered at once as not run, and one claim at a
/// time probes whether the table answers again.
#[test]
fn requests_are_refused_at_once_while_the_table_is_unreachable() {
    let mut router = router_with_endpoint(1);
    let (token, _) = commits(&request_with_id(&mut router, Now::ZERO, 0, "r0")).remove(0);
    let mut fx = Effects::new();
    router.handle_txn_outcome(ms(5), token, &TxnOutcome::NotSent, &mut fx);
    fx.extend(request_with_id(&mut router, ms(6), 1, "r1"));
    let refused = |answer: &Answer| {
        let reason = Reason::PlatformUnavailable;
        matches!(answer, Answer::NotRun { reason: r, retry_after: Some(_) } if *r == reason)
    };
    let probe = request_with_id(&mut router, ms(300), 2, "r2");
    assert_eq!(commits(&probe).len(), 1);
    fx.extend(request_with_id(&mut router, ms(301), 3, "r3"));
    let answers = answers(&fx);
    assert_eq!(answers.len(), 3, "{fx:?}");
    assert!(
        answers.iter().all(|(_, answer)| refused(answer)),
        "{answers:?}"
    );
}

/// A claim whose transaction got no answer is settled by sending the write again.
fn lost_commit_answer(took_effect: bool) {
    let mut router = router_with_endpoint(1);
    let mut table = Table::default();
    let (token, txn) = commits(&request_with_id(&mut router, Now::ZERO, 0, "r0")).remove(0);
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

cases! { lost_commit_answer;
    lost_answer_of_a_claim_that_took_effect(true),
    lost_answer_of_a_claim_that_did_not(false),
}

/// A repeated request is answered that the first may have run. Once the first provably did not run,
/// the id can be claimed again.
#[test]
fn id_can_be_reused_after_its_request_did_not_run() {
    let mut router = router_with_endpoint(1);
    let mut table = Table::default();
    let (token, txn) = commits(&request_with_id(&mut router, Now::ZERO, 0, "r0")).remove(0);
    let mut fx = Effects::new();
    router.handle_txn_outcome(ms(5), token, &table.commit(&txn).into(), &mut fx);
    let mut other = router_with_endpoint(9);
    let (token, txn) = commits(&request_with_id(&mut other, Now::ZERO, 1, "r0")).remove(0);
    fx.clear();
    other.handle_txn_outcome(ms(9), token, &table.commit(&txn).into(), &mut fx);
    let unknown = Answer::Unknown {
        reason: Reason::DuplicateRequest,
    };
    assert_eq!(answers(&fx), [(1, unknown)]);

    // The endpoint refuses connections until the request's deadline.
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
    let mut fx = request_with_id(&mut other, ms(2_200), 2, "r0");
    let (token, txn) = commits(&fx).remove(0);
    fx.clear();
    other.handle_txn_outcome(ms(2_210), token, &table.commit(&txn).into(), &mut fx);
    let (token, txn) = commits(&fx).remove(0);
    fx.clear();
    other.handle_txn_outcome(ms(2_220), token, &table.commit(&txn).into(), &mut fx);
    assert_eq!(dispatches(&fx).len(), 1);
}

/// Guards against claims that stay in the table after their retention time.
#[test]
fn expired_claim_is_withdrawn() {
    let mut router = router_with_endpoint(1);
    let mut table = Table::default();
    let (token, txn) = commits(&request_with_id(&mut router, Now::ZERO, 0, "r0")).remove(0);
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
