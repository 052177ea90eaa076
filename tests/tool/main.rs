//! Tests of the command-line tool, run as a process against fake daemons.

#[path = "../support/mod.rs"]
mod support;

mod check;
mod explain;
mod fake;
mod job;
mod key;
mod patch;
mod record;
mod request;
mod run;
mod status;
mod timeline;
mod tool;
