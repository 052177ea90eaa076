//! Operators' records and keys over several reducers, with messages delayed, lost, duplicated and
//! reordered, daemons paused and restarted, and the platform unreachable.

#[path = "../support/mod.rs"]
mod support;

mod cell;
mod check;
mod history;
mod keys;
mod views;
mod writes;
