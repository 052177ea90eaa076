//! HTTP over compio sockets: a server loop and a client with pooled connections.

mod client;
mod error;
mod exec;
mod gate;
mod pool;
mod server;
mod timer;

pub use client::Client;
pub use client::ClientOptions;
pub use client::connect;
pub use error::Error;
pub use error::Result;
pub use exec::LocalExecutor;
pub use gate::Gate;
pub use gate::Pass;
pub use server::Body;
pub use server::Stop;
pub use server::Stopper;
pub use server::collect;
pub use server::json;
pub use server::listen;
pub use server::serve_http1;
pub use server::serve_http2;
pub use server::stop_pair;
pub use server::text;
pub use timer::RuntimeTimer;
