//! Messages between daemons: gRPC with tonic over hyper's HTTP/2.

mod channel;
mod convert;
mod server;

pub use channel::Channels;
pub use channel::PeerClient;
pub use server::PeerRequest;
pub use server::serve;
