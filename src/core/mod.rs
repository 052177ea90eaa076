//! Reducer that makes all scheduling decisions.
//!
//! Its interface is `step(&mut State, now, Event) -> Effects`; it does no I/O and reads no clock.

pub mod effect;
pub mod event;
pub mod job;
pub mod key;
pub mod lease;
pub mod limit;
pub mod model;
pub mod peers;
pub mod placer;
pub mod polls;
pub mod record;
pub mod routing;
pub mod sched;
pub mod state;
pub mod timeline;
pub mod workload;

mod calls;
mod step;

pub use effect::Effect;
pub use effect::Effects;
pub use event::Event;
pub use state::Options;
pub use state::Safeguards;
pub use state::State;
pub use step::step;
