//! Jobs of steps on leased VMs, kept in the platform's table: a reducer of its own.
//!
//! Each daemon takes submissions and answers callers from the table. One daemon, the placer, holds
//! the VMs of a part of the cell under an epoch that the table grants, and starts, stops and
//! renews what runs there.

pub mod catalog;
pub mod decision;
pub mod effect;
pub mod event;
pub mod options;
pub mod status;
pub mod submission;
pub mod table;
pub mod task;

mod calls;
mod cx;
mod feeds;
mod heartbeat;
mod intake;
mod placer;
mod probe;
mod role;
mod rows;
mod state;

pub use effect::Effect;
pub use effect::Effects;
pub use event::Event;
pub use options::Options;
pub use state::Workload;
