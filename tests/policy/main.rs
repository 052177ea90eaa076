//! Tests of the workload reducer's decisions under load, each on plain values.

mod estimates;
mod shares;
mod stall;
mod timeliness;
