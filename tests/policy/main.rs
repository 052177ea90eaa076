//! Tests of the workload reducer's decisions under load, each on plain values.

mod admission;
mod authority;
mod crashes;
mod estimates;
mod evacuation;
mod forwarders;
mod isolation;
mod order;
mod preemption;
mod round_interval;
mod shares;
mod stall;
mod timeliness;
mod wait_reasons;

#[path = "../support/mod.rs"]
mod support;
