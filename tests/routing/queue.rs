//! Queues, their bounds, and the choice of an endpoint.

use ragwortstall::core::Effects;
use ragwortstall::core::effect::Answer;
use ragwortstall::core::effect::Reason;
use ragwortstall::core::event::AttemptOutcome;
use ragwortstall::core::model::Now;
use ragwortstall::core::routing::Router;
use ragwortstall::core::routing::RoutingOptions;

use crate::harness::answers;
use crate::harness::dispatches;
use crate::harness::endpoint;
use crate::harness::head;
use crate::harness::lone_router;
use crate::harness::ms;
use crate::harness::unsettled;

/// A router whose only slot is taken, with a mean attempt of 100 ms.
fn busy_router(options: RoutingOptions) -> Router {
    let mut router = lone_router(options, &[endpoint("a:1", "east", 1)]);
    let mut fx = Effects::new();
    router.handle_request(Now::ZERO, 0, head(false, None), None, &mut fx);
    router.handle_attempt_end(ms(100), 0, 0, AttemptOutcome::Complete, &mut fx);
    router.handle_request(ms(100), 1, head(false, None), None, &mut fx);
    router
}

fn refusal(fx: &Effects, ticket: u64) -> Option<Reason> {
    answers(fx).iter().find_map(|(t, answer)| match answer {
        Answer::NotRun { reason, .. } if *t == ticket => Some(*reason),
        _ => None,
    })
}

/// Proves the bound of the queue's length.
#[test]
fn full_queue_refuses_at_once() {
    let options = RoutingOptions {
        queue_capacity: 2,
        ..unsettled()
    };
    let mut router = busy_router(options);
    let mut fx = Effects::new();
    for ticket in 2..5 {
        router.handle_request(ms(100), ticket, head(false, None), None, &mut fx);
    }
    assert_eq!(refusal(&fx, 4), Some(Reason::Overloaded));
    assert_eq!(answers(&fx).len(), 1);
}

/// Proves the bound of the queue by deadline: a request whose wait would outlast its caller is
/// refused at once, one with more patience waits.
#[test]
fn hopeless_wait_refuses_at_once() {
    let mut router = busy_router(unsettled());
    let mut fx = Effects::new();
    for ticket in 2..6 {
        router.handle_request(ms(100), ticket, head(false, None), None, &mut fx);
    }
    assert!(answers(&fx).is_empty());
    let mut long = head(false, None);
    long.timeout = ms(10_000);
    router.handle_request(ms(100), 6, long, None, &mut fx);
    assert!(answers(&fx).is_empty());
    // The mean is 194 ms then and 499 ms are left, which is enough for two of the three that wait.
    router.handle_attempt_end(ms(1_600), 1, 0, AttemptOutcome::Complete, &mut fx);
    router.tick(ms(1_601), &mut fx);
    let refused: Vec<_> = answers(&fx)
        .iter()
        .filter(|(_, answer)| matches!(answer, Answer::NotRun { .. }))
        .map(|(ticket, _)| *ticket)
        .collect();
    assert_eq!(refused, [5]);
}

/// Proves that the earliest deadline goes first.
#[test]
fn earliest_deadline_is_dispatched_first() {
    let mut router = busy_router(unsettled());
    let mut fx = Effects::new();
    router.handle_request(ms(100), 2, head(false, None), None, &mut fx);
    let mut urgent = head(false, None);
    urgent.timeout = ms(300);
    router.handle_request(ms(100), 3, urgent, None, &mut fx);
    router.handle_attempt_end(ms(150), 1, 0, AttemptOutcome::Complete, &mut fx);
    assert_eq!(dispatches(&fx), [(3, 0, "a:1".into())]);
}

/// Proves that a request without any endpoint is refused at once, with when to come back.
#[test]
fn unknown_service_refuses_at_once() {
    let mut router = lone_router(unsettled(), &[]);
    let mut fx = Effects::new();
    router.handle_request(Now::ZERO, 0, head(false, None), None, &mut fx);
    assert_eq!(refusal(&fx, 0), Some(Reason::NoEndpoint));
}

/// Proves that work stays in its own zone while that has slots, and is spread evenly there.
#[test]
fn own_zone_is_used_first_and_evenly() {
    let endpoints: Vec<_> = (0..8)
        .map(|i| endpoint(&format!("{i}:1"), if i < 4 { "east" } else { "west" }, 8))
        .collect();
    let mut router = lone_router(unsettled(), &endpoints);
    let mut fx = Effects::new();
    for ticket in 0..16 {
        router.handle_request(Now::ZERO, ticket, head(false, None), None, &mut fx);
    }
    let mut counts = [0; 8];
    for (_, _, to) in dispatches(&fx) {
        counts[to[..1].parse::<usize>().unwrap()] += 1;
    }
    assert_eq!(counts[4..], [0; 4]);
    assert!(
        counts[..4].iter().all(|count| (2..=6).contains(count)),
        "{counts:?}"
    );
}
