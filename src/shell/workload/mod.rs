//! Runs the workload reducer: passes it calls, answers and timer events, and performs its effects.

pub mod meters;

mod advice;
mod load;
mod peers;
mod probe;
mod relay;
mod runner;

pub use peers::serve as serve_peers;
pub use probe::probe;
pub use runner::Backend;
pub use runner::Runner;
