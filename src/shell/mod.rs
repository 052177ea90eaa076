//! The daemon's input and output on compio: turns sockets, timers and answers into events and
//! carries the reducer's effects out.

pub mod clock;
pub mod daemon;
pub mod endpoint;
pub mod http;
pub mod log;
pub mod net;
pub mod peer;
pub mod platform;
pub mod worker;
pub mod workload;
