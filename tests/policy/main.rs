//! Tests of the workload reducer's decisions under load, each on plain values.

mod admission;
mod shares;
mod timeliness;
