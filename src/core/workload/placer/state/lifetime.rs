//! Lifetimes of VMs: from one start to its end, with a clock of its own.
//!
//! A VM that restarts keeps its id and address, so that an order may be answered by a lifetime that the
//! placer does not know yet. What an answer says counts only for the lifetime that gave it.

use std::time::Duration;

use crate::core::model::Now;
use crate::core::workload::cx::millis;
use crate::core::workload::effect::Acknowledgement;
use crate::core::workload::placer::state::fleet::Vm;
use crate::core::workload::placer::state::stall::StallState;

/// Lowest rate of a VM's clock relative to true time.
const MIN_CLOCK_RATE: f64 = 0.98;

/// Time past the lease deadline, on the VM's clock, before the placer treats the lease as expired.
const EXPIRY_MARGIN_MS: u64 = 60;

/// A reading of a VM's clock.
#[derive(Clone, Copy, Debug)]
pub(in crate::core::workload::placer) struct ClockReading {
    /// Time shown, in milliseconds.
    pub ms: u64,
    /// When the renewal whose answer carried the reading was sent.
    pub requested_at: Now,
    /// When that answer arrived.
    pub received_at: Now,
}

impl Vm {
    /// Begins a new lifetime: resets the state that belongs to the former one. A restarted VM has no
    /// lease and a new clock. The runs that are left may execute in the new lifetime.
    pub fn begin_lifetime(&mut self, started_ms: u64, now: Now) {
        self.started_ms = started_ms;
        self.lifetime_since = now;
        self.clock = None;
        self.lease_end_ms = 0;
        self.fenced = false;
        self.fully_reported = false;
        self.confirmed_at = Now::ZERO;
        self.roster_state = self.roster_state.after_restart();
        self.capacity_uncertain_until = Now::ZERO;
        self.uncounted_runs = 0;
        self.inherits_stops = false;
        self.inherited_stops_until = Now::ZERO;
        self.unexpected_runs.clear();
        self.orders.begin_lifetime();
        self.unanswered_since = None;
        self.preempted_until = Now::ZERO;
        self.processed_seq = 0;
        self.stored_seq = 0;
        self.report_connection = None;
        self.stall = StallState::default();
        for run in self.runs.values_mut() {
            run.discard_answers(now);
        }
    }

    /// Returns the acknowledgement of the ended runs whose effects are stored, if there are any.
    pub fn acknowledgement(&self) -> Option<Acknowledgement> {
        let connection = self.report_connection?;
        let seq = self.stored_seq;
        (seq > 0).then_some(Acknowledgement { seq, connection })
    }

    /// Returns whether the answer to an order that was sent at `sent` is of the current lifetime, by
    /// the time that it shows on the VM's clock. The clock of a later lifetime has started since the
    /// last reading, so that it shows less than the time since then.
    pub fn is_current_lifetime(&self, sent: Now, clock_ms: u64, now: Now) -> bool {
        let Some(reading) = &self.clock else {
            return false;
        };
        let since_reading = millis(now.saturating_sub(reading.requested_at));
        sent >= self.lifetime_since && clock_ms >= reading.min_ms(sent) && clock_ms > since_reading
    }

    /// Returns the deadline of a lease of `length` from `now`, in milliseconds of the VM's clock;
    /// `None` if no clock reading is known.
    pub fn lease_deadline_ms(&self, now: Now, length: Duration) -> Option<u64> {
        let reading = self.clock?;
        Some(reading.estimated_ms(now) + millis(length))
    }

    /// Returns whether every lease requested by this placer has expired, even if the VM's clock is
    /// slow.
    pub fn is_lease_expired(&self, now: Now) -> bool {
        let reading = self.clock.as_ref();
        reading.is_some_and(|reading| reading.min_ms(now) > self.lease_end_ms + EXPIRY_MARGIN_MS)
    }

    /// Returns whether every lease in a lifetime that has not reported yet has expired: of the orders
    /// that were sent before it was known, none can still hold the longest lease.
    pub fn is_unreported_lease_expired(&self, now: Now, max_lease: Duration) -> bool {
        self.clock.is_none() && now > self.lifetime_since + max_lease
    }
}

impl ClockReading {
    /// Returns the lowest time that the clock can show at `now`, in milliseconds.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn min_ms(&self, now: Now) -> u64 {
        let passed = now.saturating_sub(self.received_at).as_secs_f64() * MIN_CLOCK_RATE;
        self.ms + (passed * 1_000.0) as u64
    }

    /// Returns the time that the clock shows at `now`, in milliseconds, if it runs at the true rate
    /// and the reading was not delayed.
    fn estimated_ms(&self, now: Now) -> u64 {
        self.ms + millis(now.saturating_sub(self.received_at))
    }
}
