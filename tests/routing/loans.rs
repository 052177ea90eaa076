//! Loans of slots between two routers.

use ragwortstall::core::Effect;
use ragwortstall::core::Effects;
use ragwortstall::core::model::Now;
use ragwortstall::core::routing::Router;
use ragwortstall::core::routing::RoutingOptions;

use crate::harness::endpoint;
use crate::harness::entry;
use crate::harness::head;
use crate::harness::ms;
use crate::support::cases;

/// Slots of each endpoint.
const SLOTS: u32 = 8;

/// Guards against forgetting that a peer is reachable if that was learned before the membership
/// list was read.
#[test]
fn peer_that_became_reachable_before_the_list_was_read_can_lend() {
    let mut router = Router::new("d3".into(), "west".into(), RoutingOptions::default());
    router.set_peer_reachable(Now::ZERO, "d0", true);
    let members = [
        entry("d0", "east"),
        entry("d3", "west"),
        endpoint("a:1", "east", SLOTS),
    ];
    let mut fx = Effects::new();
    router.set_members(ms(1), &members, &mut fx);
    router.handle_request(ms(2), 0, head(true, None), None, &mut fx);
    assert!(
        matches!(&fx[..], [Effect::Peer { to, .. }] if &**to == "d0"),
        "{fx:?}"
    );
}

/// Guards against flooding a fully loaded cell with loan requests.
#[test]
fn refused_loans_are_requested_again_with_backoff() {
    let mut router = Router::new("d3".into(), "west".into(), RoutingOptions::default());
    router.set_peer_reachable(Now::ZERO, "d0", true);
    let mut members = vec![entry("d0", "east"), entry("d3", "west")];
    members.extend((0..50).map(|n| endpoint(&format!("{n}:1"), "east", SLOTS)));
    let mut fx = Effects::new();
    router.set_members(Now::ZERO, &members, &mut fx);
    let mut long_head = head(true, None);
    long_head.timeout = ms(60_000);
    let mut loan_requests = 0;
    for time in (0..10_000).step_by(10) {
        router.handle_request(ms(time), time, long_head.clone(), None, &mut fx);
        router.tick(ms(time), &mut fx);
        for effect in std::mem::take(&mut fx) {
            let Effect::Peer { message, .. } = effect else {
                continue;
            };
            loan_requests += 1;
            router.handle_peer_reply(ms(time), "d0", ms(time), &message, None, &mut fx);
        }
    }
    assert!(
        (10..=70).contains(&loan_requests),
        "{loan_requests} loan requests in 10 s"
    );
}

/// Guards against slots used by borrower and lender at once: a loan that is not renewed must end at
/// the borrower, whose clock is slow, before the lender, whose clock is fast, counts the slots as
/// its own again. Without the lender's margin the check must fail.
fn loan_ends_at_the_borrower_first(margin: Now, holds: bool) {
    let now = |time: u64, speed: u64| ms(time * speed / 1_000);
    let (slow, fast) = (980, 1_020);
    let mut members = vec![entry("lender", "east"), entry("borrower", "west")];
    members.push(endpoint("a:1", "east", 8));
    let options = RoutingOptions {
        loan_margin: margin,
        settle_time: Now::ZERO,
        ..RoutingOptions::default()
    };
    let mut lender = Router::new("lender".into(), "east".into(), options);
    let mut borrower = Router::new("borrower".into(), "west".into(), options);
    lender.set_members(Now::ZERO, &members, &mut Effects::new());
    borrower.set_members(Now::ZERO, &members, &mut Effects::new());
    borrower.set_peer_reachable(Now::ZERO, "lender", true);

    let mut fx = Effects::new();
    let mut long_head = head(true, None);
    long_head.timeout = ms(60_000);
    borrower.handle_request(now(1_000, slow), 0, long_head, None, &mut fx);
    let Some(Effect::Peer { message, .. }) = fx.pop() else {
        panic!("no loan was requested");
    };
    let reply = lender.handle_peer_request(now(1_001, fast), "borrower", &message);
    let (received, sent) = (now(1_002, slow), now(1_000, slow));
    borrower.handle_peer_reply(received, "lender", sent, &message, Some(&reply), &mut fx);
    assert_eq!(borrower.slots(received, "a:1").borrowed, 1);

    let exceeded = (1_002..6_000).any(|time| {
        let lent = lender.slots(now(time, fast), "a:1").lent;
        borrower.slots(now(time, slow), "a:1").borrowed > lent
    });
    assert_eq!(!exceeded, holds);
    assert_eq!(lender.slots(now(6_000, fast), "a:1").lent, 0);
}

cases! { loan_ends_at_the_borrower_first;
    margin_covers_clocks_of_different_speeds(ms(200), true),
    without_margin_borrower_and_lender_use_the_slots(Now::ZERO, false),
}
