//! Division of the daemons that forward advice queries between queues.
//!
//! A query of a batch queue may take many times as long as one of an urgent queue, and cannot be
//! recalled. Without a reserve, batch work in a burst occupies all daemons, and urgent work waits
//! for its advice although the VMs have room.

/// Part of the forwarders that is reserved for queues of the highest priority, as a divisor.
const RESERVED_DIVISOR: usize = 4;

/// Returns the number of forwarders, of all `forwarders`, that queries of any queue may occupy at the
/// same time.
#[must_use]
pub fn shared_forwarders(forwarders: usize) -> usize {
    (forwarders - forwarders / RESERVED_DIVISOR).max(1)
}
