//! Runs the workload reducer: passes it calls, answers and timer events, and performs its effects.

pub mod meters;

mod advice;
mod load;
mod probe;
mod runner;

pub use advice::serve as serve_advice;
pub use probe::probe;
pub use runner::Backend;
pub use runner::Runner;
