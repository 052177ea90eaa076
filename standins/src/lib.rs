//! Stand-ins for the systems that the daemons talk to: the platform, worker VMs and endpoints,
//! and clients that do not behave.
//! Tests and the demonstration use them; they are not part of a release.

pub mod crowd;
pub mod endpoint;
pub mod platform;
pub mod worker;

mod admission;

use admission::admission;
