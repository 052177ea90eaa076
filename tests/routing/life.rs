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
use crate::harness::lone_router;
use crate::harness::ms;
use crate::harness::unsettled;
use crate::support::cases;

/// One random event.
#[derive(Clone, Debug)]
enum Op {
    Request { idempotent: bool, patience_ms: u64 },
    End { which: usize, end: AttemptOutcome },
    Hangup { which: usize },
    Tick { after_ms: u64 },
}

/// What one request has come to.
#[derive(Debug, Default)]
struct Fate {
    idempotent: bool,
    answer: Option<Answer>,
    hung_up: bool,
    attempts: Vec<Option<AttemptOutcome>>,
}

/// How the harness treats what the endpoints say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shell {
    Honest,
    /// Tells the router that a broken attempt was never sent.
    HidesBreaks,
}

struct Model {
    router: Router,
    shell: Shell,
    now: Now,
    fates: BTreeMap<Ticket, Fate>,
    open: Vec<(Ticket, u32)>,
    wrong: Vec<String>,
}

impl Model {
    fn new(shell: Shell) -> Self {
        let endpoints = [endpoint("a:1", "east", 2), endpoint("b:1", "west", 2)];
        Self {
            router: lone_router(unsettled(), &endpoints),
            shell,
            now: Now::ZERO,
            fates: BTreeMap::new(),
            open: Vec::new(),
            wrong: Vec::new(),
        }
    }

    fn apply(&mut self, op: &Op) {
        let mut fx = Effects::new();
        match *op {
            Op::Request {
                idempotent,
                patience_ms,
            } => {
                let ticket = self.fates.len() as Ticket;
                let fate = Fate {
                    idempotent,
                    ..Fate::default()
                };
                self.fates.insert(ticket, fate);
                let mut head = head(idempotent, None);
                head.timeout = ms(patience_ms);
                self.router
                    .handle_request(self.now, ticket, head, None, &mut fx);
            }
            Op::End { which, end } => self.end(which, end, &mut fx),
            Op::Hangup { which } => {
                let ticket = which as Ticket % self.fates.len().max(1) as Ticket;
                if let Some(fate) = self.fates.get_mut(&ticket) {
                    fate.hung_up = true;
                    self.router.handle_hangup(self.now, ticket, &mut fx);
                }
            }
            Op::Tick { after_ms } => {
                self.now += ms(after_ms);
                self.router.tick(self.now, &mut fx);
            }
        }
        self.observe(&fx);
    }

    fn end(&mut self, which: usize, end: AttemptOutcome, fx: &mut Effects) {
        if self.open.is_empty() {
            return;
        }
        let (ticket, attempt) = self.open.remove(which % self.open.len());
        let fate = self.fates.get_mut(&ticket).unwrap();
        fate.attempts[attempt as usize] = Some(end);
        let told = match (self.shell, end) {
            (Shell::HidesBreaks, AttemptOutcome::Incomplete) => AttemptOutcome::NotSent,
            _ => end,
        };
        self.router
            .handle_attempt_end(self.now, ticket, attempt, told, fx);
    }

    fn observe(&mut self, fx: &Effects) {
        for (ticket, attempt, _) in dispatches(fx) {
            let fate = self.fates.get_mut(&ticket).unwrap();
            if fate.answer.is_some() || fate.hung_up {
                self.wrong.push(format!("{ticket} sent after its end"));
            }
            if !fate.idempotent && fate.attempts.iter().any(|end| may_have_run(*end)) {
                self.wrong.push(format!("{ticket} may run twice"));
            }
            fate.attempts.push(None);
            self.open.push((ticket, attempt));
        }
        for (ticket, answer) in answers(fx) {
            let fate = self.fates.get_mut(&ticket).unwrap();
            if let Some(wrong) = judge(fate, &answer) {
                self.wrong.push(format!("{ticket}: {wrong}"));
            }
            fate.answer = Some(answer);
        }
    }

    /// After all deadlines every request that still has a caller has its answer.
    fn finish(mut self) -> Vec<String> {
        self.apply(&Op::Tick { after_ms: 60_000 });
        let silent = self
            .fates
            .iter()
            .filter(|(_, fate)| fate.answer.is_none() && !fate.hung_up);
        let silent: Vec<_> = silent.map(|(t, _)| format!("{t} unanswered")).collect();
        self.wrong.extend(silent);
        if self.router.in_flight() > 0 {
            self.wrong.push("requests left over".into());
        }
        self.wrong
    }
}

fn may_have_run(end: Option<AttemptOutcome>) -> bool {
    !matches!(
        end,
        Some(AttemptOutcome::NotSent | AttemptOutcome::Declined)
    )
}

fn judge(fate: &Fate, answer: &Answer) -> Option<&'static str> {
    if fate.answer.is_some() {
        return Some("answered twice");
    }
    if fate.hung_up {
        return Some("answered after hangup");
    }
    let ran = fate.attempts.iter().any(|end| may_have_run(*end));
    match answer {
        Answer::NotRun { .. } if ran => Some("told not run, but it may have run"),
        Answer::Unknown { .. } if !ran => Some("told unknown, but nothing was sent"),
        Answer::Deliver { attempt }
            if fate.attempts[*attempt as usize] != Some(AttemptOutcome::Complete) =>
        {
            Some("delivered an answer that is not whole")
        }
        _ => None,
    }
}

fn op() -> impl Strategy<Value = Op> {
    let end = prop_oneof![
        4 => Just(AttemptOutcome::Complete),
        1 => Just(AttemptOutcome::NotSent),
        1 => Just(AttemptOutcome::Declined),
        2 => Just(AttemptOutcome::Incomplete),
    ];
    prop_oneof![
        4 => (any::<bool>(), 0_u64..400).prop_map(|(idempotent, patience_ms)| Op::Request {
            idempotent,
            patience_ms,
        }),
        4 => (any::<usize>(), end).prop_map(|(which, end)| Op::End { which, end }),
        1 => any::<usize>().prop_map(|which| Op::Hangup { which }),
        3 => (0_u64..200).prop_map(|after_ms| Op::Tick { after_ms }),
    ]
}

/// Proves that each request has one truthful answer, and that one that is not idempotent is sent
/// again only after an attempt that provably did not run. With a shell that hides breaks from the
/// router the check must fail.
fn answers_are_single_and_true(shell: Shell, holds: bool) {
    let config = Config {
        cases: 400,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&vec(op(), 1..120), |ops| {
        let mut model = Model::new(shell);
        for op in &ops {
            model.apply(op);
        }
        let wrong = model.finish();
        proptest::prop_assert!(wrong.is_empty(), "{wrong:?}");
        Ok(())
    });
    assert_eq!(result.is_ok(), holds, "{result:?}");
}

cases! { answers_are_single_and_true;
    each_request_has_one_truthful_answer(Shell::Honest, true),
    hidden_breaks_are_found(Shell::HidesBreaks, false),
}
