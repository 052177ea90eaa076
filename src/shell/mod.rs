//! The daemon's I/O on the compio runtime: converts requests, timers and responses into events for
//! the reducer and executes its effects.

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
