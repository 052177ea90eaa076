//! Endpoint stand-in: an HTTP/1.1 server with a limited number of slots, a log of the requests that
//! it has started, and fault injection.

mod model;
mod register;
mod server;

pub use model::EndpointModel;
pub use model::Faults;
pub use register::Registration;
pub use server::EndpointServer;
