//! Worker VM stand-in: a model without I/O, and the server around it.

mod instance;
mod membership;
mod model;
mod server;

pub use model::Faults;
pub use model::TaskRun;
pub use model::VmModel;
pub use server::Options;
pub use server::run;
