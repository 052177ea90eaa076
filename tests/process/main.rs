//! Tests of the real programs, each running as a separate process on loopback addresses.

mod cell;
mod endpoints;
mod faults;
mod path;
mod team;
