//! Helpers shared by the commands.

mod files;
mod quantity;
mod random;
mod resources;

pub use files::read_document;
pub use files::read_input;
pub use quantity::parse_cpu_milli;
pub use quantity::parse_mem_mib;
pub use random::random_hex;
pub use resources::ResourceArgs;
