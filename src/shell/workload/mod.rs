//! Runs the workload reducer: feeds it calls, answers and the time, and carries its effects out.

mod advice;
mod runner;

pub use advice::serve as serve_advice;
pub use runner::Outside;
pub use runner::Runner;
