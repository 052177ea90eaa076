//! Runs the workload reducer: feeds it calls, answers and the time, and carries its effects out.

pub mod meters;

mod advice;
mod probe;
mod runner;

pub use advice::serve as serve_advice;
pub use probe::probe;
pub use runner::Backend;
pub use runner::Runner;
