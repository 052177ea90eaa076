//! Admission of the daemons' connections to the stand-ins.

use std::rc::Rc;

use ragwortstall::core::model::RequestLimits;
use ragwortstall::shell::net::Admission;
use ragwortstall::shell::net::Bounds;
use ragwortstall::shell::net::Listener;

/// Bounds that the daemons do not reach.
const BOUNDS: Bounds = Bounds {
    connections: 100_000,
    held_bytes: 4 << 30,
};

/// Returns an admission that refuses no daemon.
pub(crate) fn admission() -> Rc<Admission> {
    Admission::new(Listener::Clients, BOUNDS, RequestLimits::default)
}
