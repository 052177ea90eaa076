//! Time that the router takes to route a request, for a small and a large number of endpoints.

use std::time::Duration;
use std::time::Instant;

use ragwortstall::core::Effect;
use ragwortstall::core::Effects;
use ragwortstall::core::event::AttemptOutcome;
use ragwortstall::core::event::RequestHead;
use ragwortstall::core::model::Member;
use ragwortstall::core::model::MemberRole;
use ragwortstall::core::model::MemberState;
use ragwortstall::core::model::Now;
use ragwortstall::core::routing::Router;
use ragwortstall::core::routing::RoutingOptions;

use crate::bound::Bound;

/// Number of measured requests.
const REQUESTS: u64 = 100_000;

/// Number of requests in flight at the same time.
const IN_FLIGHT: u64 = 40;

/// Maximum number of endpoints of one service.
const MAX_ENDPOINTS: u32 = 500;

/// Measures the router with few and with many endpoints; only the latter has a limit.
pub fn measure() -> Bound {
    let few = nanos_per_request(50);
    let many = nanos_per_request(MAX_ENDPOINTS);
    println!("router: {few} ns for a request with 50 endpoints, {many} ns with {MAX_ENDPOINTS}");
    Bound::at_most("router_ns_per_request", many, 50_000)
}

fn nanos_per_request(endpoints: u32) -> u64 {
    let options = RoutingOptions {
        settle_time: Duration::ZERO,
        ..RoutingOptions::default()
    };
    let mut router = Router::new("d0".into(), "east".into(), options);
    let mut members = vec![member(
        "d0",
        MemberRole::Entry {
            peer: "d0:1".into(),
        },
    )];
    for n in 0..endpoints {
        let role = MemberRole::Endpoint {
            service: "labels".into(),
            slots: 8,
            connections: 64,
        };
        members.push(member(&format!("{n}:1"), role));
    }
    let mut fx = Effects::new();
    router.set_members(Now::ZERO, &members, &mut fx);
    let started_at = Instant::now();
    for ticket in 0..REQUESTS {
        let now = Duration::from_micros(100 * ticket);
        router.handle_request(now, ticket, head(), None, &mut fx);
        assert!(matches!(fx[..], [Effect::Dispatch { .. }]));
        fx.clear();
        if let Some(old) = ticket.checked_sub(IN_FLIGHT) {
            router.handle_attempt_end(now, old, 0, AttemptOutcome::Complete, &mut fx);
            fx.clear();
        }
    }
    let nanos = started_at.elapsed().as_nanos() / u128::from(REQUESTS);
    u64::try_from(nanos).unwrap_or(u64::MAX)
}

fn member(id: &str, role: MemberRole) -> Member {
    Member {
        id: id.into(),
        address: id.into(),
        zone: "east".into(),
        role,
        state: MemberState::Live,
    }
}

fn head() -> RequestHead {
    RequestHead {
        service: "labels".into(),
        key: None,
        id: None,
        idempotent: false,
        timeout: Duration::from_secs(10),
    }
}
