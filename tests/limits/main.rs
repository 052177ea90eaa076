//! Division of fleet-wide limits among zones, without faults and with races, lost answers and
//! takeovers.

#[path = "../support/mod.rs"]
mod support;

mod division;
mod fleet;
mod races;
