//! Retries within their budget, ejection, and endpoints that leave.

use ragwortstall::core::Effect;
use ragwortstall::core::Effects;
use ragwortstall::core::effect::Answer;
use ragwortstall::core::effect::Reason;
use ragwortstall::core::event::AttemptOutcome;
use ragwortstall::core::event::PeerMessage;
use ragwortstall::core::model::Member;
use ragwortstall::core::model::MemberState;
use ragwortstall::core::model::Now;
use ragwortstall::core::routing::RoutingOptions;

use crate::harness::PATIENCE;
use crate::harness::answers;
use crate::harness::dispatches;
use crate::harness::endpoint;
use crate::harness::entry;
use crate::harness::head;
use crate::harness::lone_router;
use crate::harness::ms;
use crate::harness::unsettled;
use crate::support::cases;

fn endpoints(count: u32) -> Vec<Member> {
    (0..count)
        .map(|i| endpoint(&format!("e{i}:1"), "east", 8))
        .collect()
}

/// Sends `requests` to endpoints that all fail; returns attempts made and first attempts.
fn fail_all(retry_percent: u32, end: AttemptOutcome, requests: u64) -> (u64, u64) {
    let options = RoutingOptions {
        retry_percent,
        ..unsettled()
    };
    let mut router = lone_router(options, &endpoints(2_000));
    let mut attempts = 0;
    let mut first = 0;
    for ticket in 0..requests {
        let now = ms(ticket / 10);
        let mut fx = Effects::new();
        router.handle_request(now, ticket, head(true, None), None, &mut fx);
        while let Some((ticket, attempt, _)) = dispatches(&fx).pop() {
            attempts += 1;
            first += u64::from(attempt == 0);
            fx.clear();
            router.handle_attempt_end(now, ticket, attempt, end, &mut fx);
        }
        assert_eq!(answers(&fx).len(), 1);
    }
    (attempts, first)
}

/// Proves the retry budget: under total failure, attempts stay within the budget's percentage and
/// its reserve. A budget of 1000 percent stands for none, and must exceed it.
fn attempts_stay_in_budget(retry_percent: u32, end: AttemptOutcome, holds: bool) {
    let (attempts, first) = fail_all(retry_percent, end, 1_000);
    let allowed = first + first / 10 + 20;
    assert_eq!(attempts <= allowed, holds, "{attempts} for {first}");
}

cases! { attempts_stay_in_budget;
    budget_bounds_retries_after_breaks(10, AttemptOutcome::Incomplete, true),
    budget_bounds_retries_after_refused_connections(10, AttemptOutcome::NotSent, true),
    budget_bounds_retries_after_declines(10, AttemptOutcome::Declined, true),
    no_retries_without_budget(0, AttemptOutcome::Incomplete, true),
    retry_storm_without_the_budget(1_000, AttemptOutcome::Incomplete, false),
}

/// Proves ejection: of the endpoints one always fails, and gets its strikes and the probes only.
#[test]
fn failing_endpoint_is_probed_with_backoff() {
    let mut router = lone_router(unsettled(), &endpoints(4));
    let mut sent = Vec::new();
    for ticket in 0..6_000 {
        let now = ms(10 * ticket);
        let mut fx = Effects::new();
        router.tick(now, &mut fx);
        router.handle_request(now, ticket, head(false, None), None, &mut fx);
        for (ticket, attempt, to) in dispatches(&fx) {
            let bad = &*to == "e0:1";
            let end = if bad {
                sent.push(now);
                AttemptOutcome::Incomplete
            } else {
                AttemptOutcome::Complete
            };
            router.handle_attempt_end(now, ticket, attempt, end, &mut Effects::new());
        }
    }
    // Two strikes, and probes 0.5, 1, 2, 4, 8, 16 and 30 seconds apart within a minute.
    assert!((6..=9).contains(&sent.len()), "{sent:?}");
    let gaps: Vec<_> = sent
        .windows(2)
        .skip(1)
        .map(|w| w[1].saturating_sub(w[0]))
        .collect();
    assert!(gaps.windows(2).all(|w| w[1] >= w[0]), "{gaps:?}");
}

/// Proves that an ejected endpoint comes back with its first success.
#[test]
fn recovered_endpoint_takes_its_part_again() {
    let mut router = lone_router(unsettled(), &endpoints(2));
    let mut later = 0;
    for ticket in 0..1_000 {
        let now = ms(10 * ticket);
        let mut fx = Effects::new();
        router.handle_request(now, ticket, head(false, None), None, &mut fx);
        for (ticket, attempt, to) in dispatches(&fx) {
            let broken = &*to == "e0:1" && now < ms(1_000);
            later += u32::from(&*to == "e0:1" && now >= ms(5_000));
            let end = if broken {
                AttemptOutcome::Incomplete
            } else {
                AttemptOutcome::Complete
            };
            router.handle_attempt_end(now, ticket, attempt, end, &mut Effects::new());
        }
    }
    assert!(later > 150, "{later} of 500");
}

/// Proves that with every endpoint ejected a request that cannot wait is told so at once.
#[test]
fn no_endpoint_left_is_answered_at_once() {
    let mut router = lone_router(unsettled(), &endpoints(1));
    let mut fx = Effects::new();
    router.handle_request(Now::ZERO, 0, head(false, None), None, &mut fx);
    router.handle_attempt_end(Now::ZERO, 0, 0, AttemptOutcome::NotSent, &mut fx);
    fx.clear();
    let mut short = head(false, None);
    short.timeout = ms(100);
    router.handle_request(ms(1), 1, short, None, &mut fx);
    let [
        (
            1,
            Answer::NotRun {
                reason,
                retry_after,
            },
        ),
    ] = &answers(&fx)[..]
    else {
        panic!("{fx:?}");
    };
    assert_eq!(*reason, Reason::NoEndpoint);
    assert!(retry_after.is_some_and(|after| after >= ms(400)));
}

/// Proves that an endpoint that is listed as leaving, or not listed, gets nothing new. While the
/// list has it as live, it must get some.
fn endpoint_after_leaving(second: Option<MemberState>, gets_more: bool) {
    let mut router = lone_router(unsettled(), &endpoints(2));
    let mut members = vec![entry("me", "east"), endpoint("e1:1", "east", 8)];
    if let Some(state) = second {
        let mut leaving = endpoint("e0:1", "east", 8);
        leaving.state = state;
        members.push(leaving);
    }
    router.set_members(ms(1), &members, &mut Effects::new());
    let mut fx = Effects::new();
    for ticket in 0..8 {
        router.handle_request(ms(2), ticket, head(true, None), None, &mut fx);
    }
    let got = dispatches(&fx).iter().any(|(_, _, to)| &**to == "e0:1");
    assert_eq!(got, gets_more, "{fx:?}");
}

cases! { endpoint_after_leaving;
    leaving_endpoint_gets_nothing(Some(MemberState::Leaving), false),
    unlisted_endpoint_gets_nothing(None, false),
    live_endpoint_gets_its_part(Some(MemberState::Live), true),
}

/// Proves that the first attempt at an idempotent request is broken off early, so that one lost
/// on a silent connection can be repeated; any other attempt gets all the time that is left.
fn first_attempt_timeout(idempotent: bool, attempt: u32, patience: Now) {
    let mut router = lone_router(unsettled(), &endpoints(2));
    let mut fx = Effects::new();
    router.handle_request(Now::ZERO, 0, head(true, None), None, &mut fx);
    router.handle_attempt_end(ms(10), 0, 0, AttemptOutcome::Complete, &mut fx);
    fx.clear();
    router.handle_request(ms(10), 1, head(idempotent, None), None, &mut fx);
    for failed in 0..attempt {
        fx.clear();
        router.handle_attempt_end(ms(10), 1, failed, AttemptOutcome::NotSent, &mut fx);
    }
    let sent = fx.iter().find_map(|effect| match effect {
        Effect::Dispatch { timeout, .. } => Some(*timeout),
        _ => None,
    });
    assert_eq!(sent, Some(patience));
}

cases! { first_attempt_timeout;
    first_idempotent_attempt_ends_early(true, 0, ms(1_000)),
    second_idempotent_attempt_gets_all_the_time(true, 1, PATIENCE),
    other_attempts_get_all_the_time(false, 0, PATIENCE),
}

/// Proves that a broken attempt is repeated at another endpoint, for whose slots a loan is asked,
/// and at the same one only when no loan comes.
#[test]
fn broken_attempt_is_repeated_elsewhere() {
    let mut router = lone_router(unsettled(), &[]);
    router.set_peer_reachable(Now::ZERO, "other", true);
    let members = [
        entry("me", "east"),
        entry("other", "west"),
        endpoint("a:1", "east", 8),
        endpoint("b:1", "west", 8),
    ];
    let mut fx = Effects::new();
    router.set_members(Now::ZERO, &members, &mut fx);
    router.handle_request(Now::ZERO, 0, head(true, None), None, &mut fx);
    assert_eq!(dispatches(&fx), [(0, 0, "a:1".into())]);
    fx.clear();
    router.handle_attempt_end(ms(10), 0, 0, AttemptOutcome::Incomplete, &mut fx);
    let [
        Effect::Peer {
            to,
            message: PeerMessage::Borrow { endpoint, .. },
            ..
        },
    ] = &fx[..]
    else {
        panic!("{fx:?}");
    };
    assert_eq!((&**to, &**endpoint), ("other", "b:1"));
    fx.clear();
    router.tick(ms(200), &mut fx);
    assert!(dispatches(&fx).is_empty(), "{fx:?}");
    router.tick(ms(300), &mut fx);
    assert_eq!(dispatches(&fx), [(0, 1, "a:1".into())]);
}

/// Proves that an endpoint that declined is left out for a while.
#[test]
fn declining_endpoint_is_left_out() {
    let mut router = lone_router(unsettled(), &endpoints(1));
    let mut fx = Effects::new();
    router.handle_request(Now::ZERO, 0, head(false, None), None, &mut fx);
    fx.clear();
    router.handle_attempt_end(Now::ZERO, 0, 0, AttemptOutcome::Declined, &mut fx);
    router.tick(ms(10), &mut fx);
    assert!(dispatches(&fx).is_empty(), "{fx:?}");
    router.tick(ms(30), &mut fx);
    assert_eq!(dispatches(&fx), [(0, 1, "e0:1".into())]);
}
