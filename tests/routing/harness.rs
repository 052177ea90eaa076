//! Helpers: membership lists, request heads, and the contents of effects.

use std::time::Duration;

use ragwortstall::core::Effect;
use ragwortstall::core::Effects;
use ragwortstall::core::effect::Answer;
use ragwortstall::core::event::RequestHead;
use ragwortstall::core::model::EndpointId;
use ragwortstall::core::model::Member;
use ragwortstall::core::model::Now;
use ragwortstall::core::model::Ticket;
use ragwortstall::core::routing::Router;
use ragwortstall::core::routing::RoutingOptions;

/// Service used by all tests.
pub const SERVICE: &str = "labels";

/// Timeout of a request unless a test sets another.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

pub const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns the member entry of an entry VM.
pub fn entry(id: &str, zone: &str) -> Member {
    Member::entry(id, &format!("{id}:80"), &format!("{id}:90"), zone)
}

/// Returns the member entry of an endpoint.
pub fn endpoint(id: &str, zone: &str, slots: u32) -> Member {
    Member::endpoint(id, zone, SERVICE, slots, 64)
}

/// Returns the head of a request without an API key.
pub fn head(idempotent: bool, id: Option<&str>) -> RequestHead {
    RequestHead {
        service: SERVICE.into(),
        key: None,
        id: id.map(Box::from),
        idempotent,
        timeout: REQUEST_TIMEOUT,
    }
}

/// Returns settings in which share increases take effect at once, for tests of a single router.
pub fn no_settle_time() -> RoutingOptions {
    RoutingOptions {
        settle_time: Duration::ZERO,
        ..RoutingOptions::default()
    }
}

/// Returns the router of entry VM `me` in zone `east`, the only entry VM, with `endpoints`.
pub fn single_router(options: RoutingOptions, endpoints: &[Member]) -> Router {
    let mut router = Router::new("me".into(), "east".into(), options);
    let mut members = vec![entry("me", "east")];
    members.extend_from_slice(endpoints);
    router.set_members(Now::ZERO, &members, &mut Effects::new());
    router
}

/// Returns the ticket, attempt number and endpoint of each dispatch effect.
pub fn dispatches(fx: &[Effect]) -> Vec<(Ticket, u32, EndpointId)> {
    fx.iter()
        .filter_map(|effect| match effect {
            Effect::Dispatch {
                ticket,
                attempt,
                endpoint,
                ..
            } => Some((*ticket, *attempt, endpoint.clone())),
            _ => None,
        })
        .collect()
}

/// Returns the ticket and answer of each answer effect.
pub fn answers(fx: &[Effect]) -> Vec<(Ticket, Answer)> {
    fx.iter()
        .filter_map(|effect| match effect {
            Effect::Answer { ticket, answer } => Some((*ticket, answer.clone())),
            _ => None,
        })
        .collect()
}
