//! The reducer: every decision as `step(&mut State, now, Event) -> Effects`, without I/O or clock.

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
