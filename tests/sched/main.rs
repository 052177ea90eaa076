//! Scheduler of one zone, run against simulated VMs in virtual time.

#[path = "../support/mod.rs"]
mod support;

mod cost;
mod gangs;
mod health;
mod invariants;
mod placing;
mod shares;
mod sizes;
mod urgent;
mod zone;
