//! Platform stand-in: transactional table, object store and membership list, with fault injection.

mod members;
mod server;
mod table;

pub use members::Members;
pub use server::Faults;
pub use server::Platform;
pub use server::serve;
pub use table::Outcome;
pub use table::Table;
