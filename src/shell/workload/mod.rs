//! Runs the workload reducer: feeds it calls, answers and the time, and carries its effects out.

pub mod meters;

mod advice;
mod reach;
mod runner;

pub use advice::serve as serve_advice;
pub use reach::reach;
pub use runner::Outside;
pub use runner::Runner;
