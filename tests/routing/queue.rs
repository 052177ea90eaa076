//! Bounded queues, and the choice of an endpoint.

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
use crate::harness::ms;
use crate::harness::no_settle_time;
use crate::harness::single_router;

/// Returns a router whose only slot is in use, and whose mean attempt duration is 100 ms.
fn busy_router(options: RoutingOptions) -> Router {
    let mut router = single_router(options, &[endpoint("a:1", "east", 1)]);
    let mut fx = Effects::new();
    router.handle_request(Now::ZERO, 0, head(false, None), None, &mut fx);
    router.handle_attempt_end(ms(100), 0, 0, AttemptOutcome::Complete, &mut fx);
    router.handle_request(ms(100), 1, head(false, None), None, &mut fx);
    router
}

fn refusal_reason(fx: &Effects, ticket: u64) -> Option<Reason> {
    answers(fx).iter().find_map(|(t, answer)| match answer {
        Answer::NotRun { reason, .. } if *t == ticket => Some(*reason),
        _ => None,
    })
}

/// A full queue refuses further requests at once.
#[test]
fn request_is_refused_at_once_if_the_queue_is_full() {
    let options = RoutingOptions {
        queue_capacity: 2,
        ..no_settle_time()
    };
    let mut router = busy_router(options);
    let mut fx = Effects::new();
    for ticket in 2..5 {
        router.handle_request(ms(100), ticket, head(false, None), None, &mut fx);
    }
    assert_eq!(refusal_reason(&fx, 4), Some(Reason::Overloaded));
    assert_eq!(answers(&fx).len(), 1);
}

/// A request that cannot be dispatched before its deadline is refused, at once or as soon as the
/// wait turns out to be too long. A request with a later deadline waits.
#[test]
fn request_that_cannot_be_dispatched_in_time_is_refused_at_once() {
    let mut router = busy_router(no_settle_time());
    let mut fx = Effects::new();
    for ticket in 2..6 {
        router.handle_request(ms(100), ticket, head(false, None), None, &mut fx);
    }
    assert!(answers(&fx).is_empty());
    let mut long_head = head(false, None);
    long_head.timeout = ms(10_000);
    router.handle_request(ms(100), 6, long_head, None, &mut fx);
    assert!(answers(&fx).is_empty());
    // The mean duration is then 194 ms and 499 ms are left, enough for two of three queued
    // requests.
    router.handle_attempt_end(ms(1_600), 1, 0, AttemptOutcome::Complete, &mut fx);
    router.tick(ms(1_601), &mut fx);
    let refused: Vec<_> = answers(&fx)
        .iter()
        .filter(|(_, answer)| matches!(answer, Answer::NotRun { .. }))
        .map(|(ticket, _)| *ticket)
        .collect();
    assert_eq!(refused, [5]);
}

/// The queued request with the earliest deadline is dispatched first.
#[test]
fn earliest_deadline_is_dispatched_first() {
    let mut router = busy_router(no_settle_time());
    let mut fx = Effects::new();
    router.handle_request(ms(100), 2, head(false, None), None, &mut fx);
    let mut short_head = head(false, None);
    short_head.timeout = ms(300);
    router.handle_request(ms(100), 3, short_head, None, &mut fx);
    router.handle_attempt_end(ms(150), 1, 0, AttemptOutcome::Complete, &mut fx);
    assert_eq!(dispatches(&fx), [(3, 0, "a:1".into())]);
}

/// A request to a service without endpoints is refused at once.
#[test]
fn request_to_an_unknown_service_is_refused_at_once() {
    let mut router = single_router(no_settle_time(), &[]);
    let mut fx = Effects::new();
    router.handle_request(Now::ZERO, 0, head(false, None), None, &mut fx);
    assert_eq!(refusal_reason(&fx, 0), Some(Reason::NoEndpoint));
}

/// Requests stay in the zone of the daemon while it has free slots, and are spread evenly there.
#[test]
fn requests_are_spread_evenly_within_the_own_zone() {
    let endpoints: Vec<_> = (0..8)
        .map(|i| endpoint(&format!("{i}:1"), if i < 4 { "east" } else { "west" }, 8))
        .collect();
    let mut router = single_router(no_settle_time(), &endpoints);
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
