//! Endpoint stand-in: an HTTP/1.1 server with slots, a log of what it ran, and faults that are set
//! from outside.

mod model;
mod register;
mod server;

pub use model::EndpointModel;
pub use model::Faults;
pub use register::Registration;
pub use server::EndpointServer;
