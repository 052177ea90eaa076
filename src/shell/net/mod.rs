//! HTTP over compio sockets: a server and a client with pooled connections.

mod client;
mod deadline;
mod error;
mod exec;
mod label;
mod pool;
mod progress;
mod server;
mod timer;

pub use client::Client;
pub use client::ClientOptions;
pub use client::connect;
pub use error::Error;
pub use error::Result;
pub use exec::LocalExecutor;
pub use label::CallLabel;
pub use pool::ConnId;
pub use server::Body;
pub use server::StopReceiver;
pub use server::StopSender;
pub use server::collect;
pub use server::json;
pub use server::listen;
pub use server::serve_http1;
pub use server::serve_http2;
pub use server::stop_channel;
pub use server::text;
pub use timer::RuntimeTimer;
