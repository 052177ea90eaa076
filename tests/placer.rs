//! Scheduling rounds of the placer.

use std::time::Duration;

use ragwortstall::core::Event;
use ragwortstall::core::Options;
use ragwortstall::core::State;
use ragwortstall::core::step;

/// Guards against a scheduling round at each tick of the daemon. The router needs more frequent
/// ticks than the placer needs rounds.
#[test]
fn rounds_are_fewer_than_ticks() {
    let mut state = State::new(Options::new("d".into(), "z".into()));
    let mut rounds = 0;
    for tick in 0..50 {
        let now = Duration::from_millis(20 * tick);
        rounds += u32::from(state.placer.is_due(now));
        step(&mut state, now, Event::Tick);
    }
    assert_eq!(rounds, 13);
}
