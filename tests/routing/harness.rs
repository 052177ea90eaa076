//! Membership lists, request heads, and what effects say.

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

/// Service that all tests use.
pub const SERVICE: &str = "labels";

/// Time that a caller waits unless a test says otherwise.
pub const PATIENCE: Duration = Duration::from_secs(2);

/// Returns milliseconds.
pub const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// An entry VM.
pub fn entry(id: &str, zone: &str) -> Member {
    Member::entry(id, &format!("{id}:80"), &format!("{id}:90"), zone)
}

/// An endpoint.
pub fn endpoint(id: &str, zone: &str, slots: u32) -> Member {
    Member::endpoint(id, zone, SERVICE, slots, 64)
}

/// Head of a request without a key.
pub fn head(idempotent: bool, id: Option<&str>) -> RequestHead {
    RequestHead {
        service: SERVICE.into(),
        key: None,
        id: id.map(Box::from),
        idempotent,
        timeout: PATIENCE,
    }
}

/// Settings without a settle time, for tests of a single router.
pub fn unsettled() -> RoutingOptions {
    RoutingOptions {
        settle_time: Duration::ZERO,
        ..RoutingOptions::default()
    }
}

/// A router of entry VM `me` in zone `east`, alone there, with some endpoints.
pub fn lone_router(options: RoutingOptions, endpoints: &[Member]) -> Router {
    let mut router = Router::new("me".into(), "east".into(), options);
    let mut members = vec![entry("me", "east")];
    members.extend_from_slice(endpoints);
    router.set_members(Now::ZERO, &members, &mut Effects::new());
    router
}

/// Attempts that effects send: ticket, attempt and endpoint.
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

/// Answers that effects give.
pub fn answers(fx: &[Effect]) -> Vec<(Ticket, Answer)> {
    fx.iter()
        .filter_map(|effect| match effect {
            Effect::Answer { ticket, answer } => Some((*ticket, answer.clone())),
            _ => None,
        })
        .collect()
}
