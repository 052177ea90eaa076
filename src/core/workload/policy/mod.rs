//! Decisions under load, as plain functions and types: they read values that they are given, and
//! have no clock, table or effects.

pub mod admission;
pub mod shares;
pub mod timeliness;
