//! Grace for which a placer may renew leases while the table does not answer and the fleet changes.

use std::time::Duration;

use ragwortstall::core::workload::policy::authority::NamedGrace;

use crate::support::cases;

const SHORT: Duration = Duration::from_secs(2);
const LONG: Duration = Duration::from_millis(2_500);

/// Guards against a placer that renews leases for longer than any heartbeat that its successor may
/// have received allows.
fn assert_shortest(change: fn(&mut NamedGrace), expected: Duration) {
    let mut grace = NamedGrace::new();
    grace.send(SHORT);
    change(&mut grace);
    assert_eq!(grace.shortest(), expected);
}

cases! {
    assert_shortest;
    a_stored_heartbeat_of_the_smaller_fleet_binds(NamedGrace::confirm, SHORT),
    a_heartbeat_of_a_larger_fleet_does_not_lengthen_it_before_it_is_stored(|grace| {
        grace.confirm();
        grace.send(LONG);
    }, SHORT),
    a_stored_heartbeat_of_a_larger_fleet_lengthens_it(|grace| {
        grace.confirm();
        grace.send(LONG);
        grace.confirm();
    }, LONG),
    a_late_heartbeat_of_a_smaller_fleet_binds_beside_a_stored_one(|grace| {
        grace.send(LONG);
        grace.send_late(SHORT);
        grace.confirm();
    }, SHORT),
    a_heartbeat_without_an_answer_binds(|grace| {
        grace.send(LONG);
    }, SHORT),
}
