//! Tests of the request router: requests, slots shared by several routers, and claims of request
//! ids.

#[path = "../support/mod.rs"]
mod support;

mod claim;
mod ejection;
mod harness;
mod life;
mod loans;
mod queue;
mod slots;
