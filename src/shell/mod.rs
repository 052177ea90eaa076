//! The daemon's I/O on the compio runtime: converts requests, timers and responses into events,
//! passes them to a reducer in [`crate::core`] and executes the effects that it returns.

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
