//! Subcommands, one per module.

pub mod check;
pub mod explain;
pub mod job;
pub mod key;
pub mod queue;
pub mod record;
pub mod request;
pub mod run;
pub mod service;
pub mod status;
pub mod team;
pub mod timeline;

mod patch;
