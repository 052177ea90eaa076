//! The workload reducer against a simulated table, VMs and advice service, in virtual time.

mod catalog;
mod faults;
mod jobs;
mod listing;
mod load;
mod pace;
mod status;
mod table;
mod takeover;
mod terms;
mod vm;
mod world;

#[path = "../support/mod.rs"]
mod support;
