//! Reducer for jobs that consist of steps. Their tasks run on leased VMs; their state is stored in
//! the platform's table service.
//!
//! Each daemon accepts submissions and answers callers from the table. One daemon, the placer,
//! leases the VMs of a part of the cell. It has an epoch, which is granted through the table and by
//! which VMs reject orders of earlier placers. It renews the leases and starts and stops tasks on
//! the VMs.

pub mod capacity;
pub mod catalog;
pub mod decision;
pub mod effect;
pub mod event;
pub mod options;
pub mod policy;
pub mod status;
pub mod submission;
pub mod table;
pub mod task;

mod address;
mod callers;
mod cx;
mod evacuation;
mod feeds;
mod former;
mod heartbeat;
mod hosts;
mod isolation;
mod loading;
mod placer;
mod probe;
mod ranges;
mod role;
mod rows;
mod state;
mod takeover_time;

pub use effect::Effect;
pub use effect::Effects;
pub use event::Event;
pub use options::Options;
pub use state::Workload;
