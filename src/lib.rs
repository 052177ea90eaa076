//! A cluster scheduler for services, batch runs and gang jobs.
//!
//! [`core`] contains all decision logic as a reducer without I/O. [`shell`] performs the I/O: it
//! passes requests, answers and timers to the reducer as events and carries out the reducer's
//! effects. [`config`] reads the daemon's settings.

pub mod config;
pub mod core;
pub mod proto;
pub mod shell;
