//! Limits on measurements, and the report on them.

use std::fs;

use crate::Result;

/// Limit on a measurement.
#[derive(Clone, Copy, Debug)]
enum Limit {
    AtMost(u64),
    AtLeast(u64),
}

/// A measurement with its limit.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    name: &'static str,
    value: u64,
    limit: Limit,
}

impl Bound {
    /// Returns a measurement that must not exceed `limit`.
    pub fn at_most(name: &'static str, value: u64, limit: u64) -> Self {
        let limit = Limit::AtMost(limit);
        Self { name, value, limit }
    }

    /// Returns a measurement that must not fall below `limit`.
    pub fn at_least(name: &'static str, value: u64, limit: u64) -> Self {
        let limit = Limit::AtLeast(limit);
        Self { name, value, limit }
    }

    fn is_met(&self) -> bool {
        match self.limit {
            Limit::AtMost(limit) => self.value <= limit,
            Limit::AtLeast(limit) => self.value >= limit,
        }
    }
}

/// Prints all measurements, and returns an error if one misses its limit and is not listed as
/// `bench: path/NAME` in `KNOWN-RED.txt`.
pub fn report(bounds: &[Bound]) -> Result<()> {
    let known_red = fs::read_to_string("KNOWN-RED.txt").unwrap_or_default();
    let mut missed = Vec::new();
    for bound in bounds {
        let line = format!("bench: path/{}", bound.name);
        let is_known = known_red.lines().any(|l| l == line);
        let state = match (bound.is_met(), is_known) {
            (true, _) => "met",
            (false, true) => "missed, known red",
            (false, false) => "missed",
        };
        println!(
            "{} = {} ({:?}): {state}",
            bound.name, bound.value, bound.limit
        );
        if state == "missed" {
            missed.push(bound.name);
        }
    }
    if missed.is_empty() {
        Ok(())
    } else {
        Err(format!("limits missed: {}", missed.join(", ")).into())
    }
}
