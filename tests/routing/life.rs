//! Life cycle of requests under random events.

use std::collections::BTreeMap;

use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop_oneof;
use proptest::strategy::Just;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use ragwortstall::core::Effects;
use ragwortstall::core::effect::Answer;
use ragwortstall::core::event::AttemptOutcome;
use ragwortstall::core::model::Now;
use ragwortstall::core::model::Ticket;
use ragwortstall::core::routing::Router;

use crate::harness::answers;
use crate::harness::dispatches;
use crate::harness::endpoint;
use crate::harness::head;
use crate::harness::ms;
use crate::harness::no_settle_time;
use crate::harness::single_router;
use crate::support::cases;

/// One random event.
#[derive(Clone, Debug)]
enum Op {
    Request {
        idempotent: bool,
        timeout_ms: u64,
    },
    EndAttempt {
        which: usize,
        outcome: AttemptOutcome,
    },
    Disconnect {
        which: usize,
    },
    Tick {
        after_ms: u64,
    },
}

/// Attempts and answer of one request.
#[derive(Debug, Default)]
struct RequestRecord {
    idempotent: bool,
    answer: Option<Answer>,
    disconnected: bool,
    attempts: Vec<Option<AttemptOutcome>>,
}

/// How the harness reports the outcomes of attempts to the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reporting {
    Accurate,
    /// Reports an incomplete attempt as not sent.
    HidesIncomplete,
}

/// A router and what it has done with each request.
struct Harness {
    router: Router,
    reporting: Reporting,
    now: Now,
    records: BTreeMap<Ticket, RequestRecord>,
    in_flight: Vec<(Ticket, u32)>,
    violations: Vec<String>,
}

impl Harness {
    fn new(reporting: Reporting) -> Self {
        let endpoints = [endpoint("a:1", "east", 2), endpoint("b:1", "west", 2)];
        Self {
            router: single_router(no_settle_time(), &endpoints),
            reporting,
            now: Now::ZERO,
            records: BTreeMap::new(),
            in_flight: Vec::new(),
            violations: Vec::new(),
        }
    }

    fn apply(&mut self, op: &Op) {
        let mut fx = Effects::new();
        match *op {
            Op::Request {
                idempotent,
                timeout_ms,
            } => {
                let ticket = self.records.len() as Ticket;
                let record = RequestRecord {
                    idempotent,
                    ..RequestRecord::default()
                };
                self.records.insert(ticket, record);
                let mut head = head(idempotent, None);
                head.timeout = ms(timeout_ms);
                self.router
                    .handle_request(self.now, ticket, head, None, &mut fx);
            }
            Op::EndAttempt { which, outcome } => self.end_attempt(which, outcome, &mut fx),
            Op::Disconnect { which } => {
                let ticket = which as Ticket % self.records.len().max(1) as Ticket;
                if let Some(record) = self.records.get_mut(&ticket) {
                    record.disconnected = true;
                    self.router.handle_disconnect(self.now, ticket, &mut fx);
                }
            }
            Op::Tick { after_ms } => {
                self.now += ms(after_ms);
                self.router.tick(self.now, &mut fx);
            }
        }
        self.observe(&fx);
    }

    fn end_attempt(&mut self, which: usize, outcome: AttemptOutcome, fx: &mut Effects) {
        if self.in_flight.is_empty() {
            return;
        }
        let (ticket, attempt) = self.in_flight.remove(which % self.in_flight.len());
        let record = self.records.get_mut(&ticket).unwrap();
        record.attempts[attempt as usize] = Some(outcome);
        let reported = match (self.reporting, outcome) {
            (Reporting::HidesIncomplete, AttemptOutcome::Incomplete) => AttemptOutcome::NotSent,
            _ => outcome,
        };
        self.router
            .handle_attempt_end(self.now, ticket, attempt, reported, fx);
    }

    fn observe(&mut self, fx: &Effects) {
        for (ticket, attempt, _) in dispatches(fx) {
            let record = self.records.get_mut(&ticket).unwrap();
            if record.answer.is_some() || record.disconnected {
                self.violations
                    .push(format!("{ticket} dispatched after its end"));
            }
            if !record.idempotent && record.attempts.iter().any(|outcome| may_have_run(*outcome)) {
                self.violations.push(format!("{ticket} may run twice"));
            }
            record.attempts.push(None);
            self.in_flight.push((ticket, attempt));
        }
        for (ticket, answer) in answers(fx) {
            let record = self.records.get_mut(&ticket).unwrap();
            if let Some(violation) = find_violation(record, &answer) {
                self.violations.push(format!("{ticket}: {violation}"));
            }
            record.answer = Some(answer);
        }
    }

    /// Lets all deadlines pass and returns the violations, such as connected callers without an
    /// answer.
    fn finish(mut self) -> Vec<String> {
        self.apply(&Op::Tick { after_ms: 60_000 });
        let unanswered = self
            .records
            .iter()
            .filter(|(_, record)| record.answer.is_none() && !record.disconnected);
        let unanswered: Vec<_> = unanswered.map(|(t, _)| format!("{t} unanswered")).collect();
        self.violations.extend(unanswered);
        if self.router.in_flight() > 0 {
            self.violations.push("router still holds requests".into());
        }
        self.violations
    }
}

fn may_have_run(outcome: Option<AttemptOutcome>) -> bool {
    !matches!(
        outcome,
        Some(AttemptOutcome::NotSent | AttemptOutcome::Declined)
    )
}

fn find_violation(record: &RequestRecord, answer: &Answer) -> Option<&'static str> {
    if record.answer.is_some() {
        return Some("answered twice");
    }
    if record.disconnected {
        return Some("answered after disconnection");
    }
    let may_run = record.attempts.iter().any(|outcome| may_have_run(*outcome));
    match answer {
        Answer::NotRun { .. } if may_run => Some("answered as not run, but may have run"),
        Answer::Unknown { .. } if !may_run => Some("answered as unknown, but did not run"),
        Answer::Deliver { attempt }
            if record.attempts[*attempt as usize] != Some(AttemptOutcome::Complete) =>
        {
            Some("delivered an incomplete response")
        }
        _ => None,
    }
}

fn op() -> impl Strategy<Value = Op> {
    let outcome = prop_oneof![
        4 => Just(AttemptOutcome::Complete),
        1 => Just(AttemptOutcome::NotSent),
        1 => Just(AttemptOutcome::Declined),
        2 => Just(AttemptOutcome::Incomplete),
    ];
    prop_oneof![
        4 => (any::<bool>(), 0_u64..400).prop_map(|(idempotent, timeout_ms)| Op::Request {
            idempotent,
            timeout_ms,
        }),
        4 => (any::<usize>(), outcome)
            .prop_map(|(which, outcome)| Op::EndAttempt { which, outcome }),
        1 => any::<usize>().prop_map(|which| Op::Disconnect { which }),
        3 => (0_u64..200).prop_map(|after_ms| Op::Tick { after_ms }),
    ]
}

/// Each request gets exactly one correct answer, and a non-idempotent request is retried only after
/// an attempt that provably did not run. If incomplete attempts are reported to the router as not
/// sent, the check must fail.
fn answers_are_correct(reporting: Reporting, holds: bool) {
    let config = Config {
        cases: 400,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&vec(op(), 1..120), |ops| {
        let mut harness = Harness::new(reporting);
        for op in &ops {
            harness.apply(op);
        }
        let violations = harness.finish();
        proptest::prop_assert!(violations.is_empty(), "{violations:?}");
        Ok(())
    });
    assert_eq!(result.is_ok(), holds, "{result:?}");
}

cases! { answers_are_correct;
    each_request_gets_one_correct_answer(Reporting::Accurate, true),
    hidden_incomplete_attempts_are_detected(Reporting::HidesIncomplete, false),
}
