//! Tests of the workload reducer's decisions under load, each on plain values.

mod evacuation;
mod forwarders;
mod preemption;
mod shares;
mod timeliness;
