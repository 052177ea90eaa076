//! Decisions under load, as plain functions and types: they read values that they are given, and
//! have no clock, table or effects.

pub mod admission;
pub mod advice_use;
pub mod authority;
pub mod crashes;
pub mod estimates;
pub mod evacuation;
pub mod forwarders;
pub mod isolation;
pub mod order;
pub mod preemption;
pub mod round_interval;
pub mod shares;
pub mod stall;
pub mod timeliness;
pub mod wait_reasons;
