//! Retry budget, ejection of failing endpoints, and endpoints that leave.

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

use crate::harness::REQUEST_TIMEOUT;
use crate::harness::answers;
use crate::harness::dispatches;
use crate::harness::endpoint;
use crate::harness::entry;
use crate::harness::head;
use crate::harness::ms;
use crate::harness::no_settle_time;
use crate::harness::single_router;
use crate::support::cases;

fn endpoints(count: u32) -> Vec<Member> {
    (0..count)
        .map(|i| endpoint(&format!("e{i}:1"), "east", 8))
        .collect()
}

/// Sends requests to endpoints whose attempts all end with `outcome`. Returns the number of
/// attempts and the number of first attempts.
fn fail_all(retry_percent: u32, outcome: AttemptOutcome, requests: u64) -> (u64, u64) {
    let options = RoutingOptions {
        retry_percent,
        ..no_settle_time()
    };
    let mut router = single_router(options, &endpoints(2_000));
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
            router.handle_attempt_end(now, ticket, attempt, outcome, &mut fx);
        }
        assert_eq!(answers(&fx).len(), 1);
    }
    (attempts, first)
}

/// Guards against a retry storm: if every attempt fails, retries stay within 10 percent of the
/// first attempts plus the initial 20 tokens. A budget of 1000 percent stands for no budget and
/// must exceed this.
fn attempts_stay_in_budget(retry_percent: u32, outcome: AttemptOutcome, holds: bool) {
    let (attempts, first) = fail_all(retry_percent, outcome, 1_000);
    let allowed = first + first / 10 + 20;
    assert_eq!(
        attempts <= allowed,
        holds,
        "{attempts} attempts for {first} requests"
    );
}

cases! { attempts_stay_in_budget;
    budget_bounds_retries_after_incomplete_responses(10, AttemptOutcome::Incomplete, true),
    budget_bounds_retries_after_refused_connections(10, AttemptOutcome::NotSent, true),
    budget_bounds_retries_after_declines(10, AttemptOutcome::Declined, true),
    no_retries_without_budget(0, AttemptOutcome::Incomplete, true),
    unlimited_retries_exceed_the_budget(1_000, AttemptOutcome::Incomplete, false),
}

/// Of four endpoints one always fails. It gets only the attempts that lead to its ejection, and
/// then probes with increasing delays.
#[test]
fn failing_endpoint_is_probed_with_backoff() {
    let mut router = single_router(no_settle_time(), &endpoints(4));
    let mut sent = Vec::new();
    for ticket in 0..6_000 {
        let now = ms(10 * ticket);
        let mut fx = Effects::new();
        router.tick(now, &mut fx);
        router.handle_request(now, ticket, head(false, None), None, &mut fx);
        for (ticket, attempt, to) in dispatches(&fx) {
            let fails = &*to == "e0:1";
            let outcome = if fails {
                sent.push(now);
                AttemptOutcome::Incomplete
            } else {
                AttemptOutcome::Complete
            };
            router.handle_attempt_end(now, ticket, attempt, outcome, &mut Effects::new());
        }
    }
    // Two attempts until the ejection, then probes 0.5, 1, 2, 4, 8, 16 and 30 s apart.
    assert!((6..=9).contains(&sent.len()), "{sent:?}");
    let gaps: Vec<_> = sent
        .windows(2)
        .skip(1)
        .map(|w| w[1].saturating_sub(w[0]))
        .collect();
    assert!(gaps.windows(2).all(|w| w[1] >= w[0]), "{gaps:?}");
}

/// The first successful probe ends the ejection of an endpoint.
#[test]
fn recovered_endpoint_gets_its_share_again() {
    let mut router = single_router(no_settle_time(), &endpoints(2));
    let mut recovered_count = 0;
    for ticket in 0..1_000 {
        let now = ms(10 * ticket);
        let mut fx = Effects::new();
        router.handle_request(now, ticket, head(false, None), None, &mut fx);
        for (ticket, attempt, to) in dispatches(&fx) {
            let fails = &*to == "e0:1" && now < ms(1_000);
            recovered_count += u32::from(&*to == "e0:1" && now >= ms(5_000));
            let outcome = if fails {
                AttemptOutcome::Incomplete
            } else {
                AttemptOutcome::Complete
            };
            router.handle_attempt_end(now, ticket, attempt, outcome, &mut Effects::new());
        }
    }
    assert!(recovered_count > 150, "{recovered_count} of 500");
}

/// If every endpoint is ejected, a request whose deadline is before the next probe is refused at
/// once, with the delay until the probe.
#[test]
fn request_is_refused_at_once_if_all_endpoints_are_ejected() {
    let mut router = single_router(no_settle_time(), &endpoints(1));
    let mut fx = Effects::new();
    router.handle_request(Now::ZERO, 0, head(false, None), None, &mut fx);
    router.handle_attempt_end(Now::ZERO, 0, 0, AttemptOutcome::NotSent, &mut fx);
    fx.clear();
    let mut short_head = head(false, None);
    short_head.timeout = ms(100);
    router.handle_request(ms(1), 1, short_head, None, &mut fx);
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

/// An endpoint that is listed as leaving, or no longer listed, gets no new requests. The same
/// endpoint must get requests if it is listed as live.
fn endpoint_after_leaving(listed_state: Option<MemberState>, gets_requests: bool) {
    let mut router = single_router(no_settle_time(), &endpoints(2));
    let mut members = vec![entry("me", "east"), endpoint("e1:1", "east", 8)];
    if let Some(state) = listed_state {
        let mut leaving = endpoint("e0:1", "east", 8);
        leaving.state = state;
        members.push(leaving);
    }
    router.set_members(ms(1), &members, &mut Effects::new());
    let mut fx = Effects::new();
    for ticket in 0..8 {
        router.handle_request(ms(2), ticket, head(true, None), None, &mut fx);
    }
    let got_requests = dispatches(&fx).iter().any(|(_, _, to)| &**to == "e0:1");
    assert_eq!(got_requests, gets_requests, "{fx:?}");
}

cases! { endpoint_after_leaving;
    leaving_endpoint_gets_no_requests(Some(MemberState::Leaving), false),
    unlisted_endpoint_gets_no_requests(None, false),
    live_endpoint_gets_requests(Some(MemberState::Live), true),
}

/// The first attempt at an idempotent request times out early, so that it can be retried if its
/// connection is dead without having been closed. Any other attempt gets the time until the
/// deadline.
fn first_attempt_timeout(idempotent: bool, attempt: u32, expected: Now) {
    let mut router = single_router(no_settle_time(), &endpoints(2));
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
    assert_eq!(sent, Some(expected));
}

cases! { first_attempt_timeout;
    first_idempotent_attempt_times_out_early(true, 0, ms(1_000)),
    second_idempotent_attempt_gets_the_remaining_time(true, 1, REQUEST_TIMEOUT),
    non_idempotent_attempt_gets_the_remaining_time(false, 0, REQUEST_TIMEOUT),
}

/// An incomplete attempt is retried at another endpoint, for whose slots a loan is requested. The
/// same endpoint is used only if the loan is not granted in time.
#[test]
fn incomplete_attempt_is_retried_at_another_endpoint() {
    let mut router = single_router(no_settle_time(), &[]);
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

/// An endpoint that declined a request gets the next attempt only after a delay.
#[test]
fn declining_endpoint_is_skipped_for_a_while() {
    let mut router = single_router(no_settle_time(), &endpoints(1));
    let mut fx = Effects::new();
    router.handle_request(Now::ZERO, 0, head(false, None), None, &mut fx);
    fx.clear();
    router.handle_attempt_end(Now::ZERO, 0, 0, AttemptOutcome::Declined, &mut fx);
    router.tick(ms(10), &mut fx);
    assert!(dispatches(&fx).is_empty(), "{fx:?}");
    router.tick(ms(30), &mut fx);
    assert_eq!(dispatches(&fx), [(0, 1, "e0:1".into())]);
}
