//! Lifetimes of VMs: from one start to its end, with a clock of its own.
//!
//! A VM that restarts keeps its id and address, so that an order may be answered by a lifetime that the
//! placer does not know yet. What an answer says counts only for the lifetime that gave it.

use std::time::Duration;

use crate::core::model::Now;
use crate::core::workload::cx::millis;
use crate::core::workload::effect::Acknowledgement;
use crate::core::workload::placer::state::fleet::Reports;
use crate::core::workload::placer::state::fleet::Vm;
use crate::core::workload::placer::state::stall::StallState;

/// Lowest rate of a VM's clock relative to true time.
const MIN_CLOCK_RATE: f64 = 0.98;

/// Time past the lease deadline, on the VM's clock, before the placer treats the lease as expired.
const EXPIRY_MARGIN_MS: u64 = 60;

/// Time after a VM's start in which it counts as restarted lately, with room for clocks that differ.
const RECENT_RESTART: Duration = Duration::from_secs(20);

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
    /// Begins a new lifetime: resets the state that belongs to the former one. A restarted VM has a new
    /// clock, and no lease but those from orders for the former lifetime that it has carried out, each for
    /// at most `longest_order` from its sending. The runs that are left may execute in the new lifetime.
    pub fn begin_lifetime(&mut self, started_ms: u64, now: Now, longest_order: Duration) {
        let foreign_lease_end = self.deadline_sent_at + longest_order;
        self.foreign_lease_until = self.foreign_lease_until.max(foreign_lease_end);
        self.started_ms = started_ms;
        self.ignored_started_ms = 0;
        self.row_start_at
            .take_if(|_| started_ms == self.row_started_ms);
        self.lifetime_since = now;
        // Without a report of the former lifetime, an earlier placer may have started or stopped tasks in
        // this one.
        if self.clock.is_some() {
            self.roster_state = self.roster_state.after_restart();
            self.inherits_stops = false;
        }
        self.clock = None;
        self.lease_end_ms = 0;
        self.reports = Reports::None;
        self.confirmed_at = Now::ZERO;
        self.capacity_uncertain_until = Now::ZERO;
        self.uncounted_runs = 0;
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

    /// Returns whether the answer to a renewal that was sent at `sent` is of the known lifetime or a later
    /// one: the known one had begun before, as a report or a row has shown.
    pub fn is_after_known_lifetime(&self, sent: Now) -> bool {
        let last_report = self.clock.map_or(Now::ZERO, |clock| clock.received_at);
        sent >= self.lifetime_since.max(last_report)
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
    /// `None` if no clock reading is known, or a row shows another lifetime, whose clock is not known.
    pub fn lease_deadline_ms(&self, now: Now, length: Duration) -> Option<u64> {
        let reading = self.clock.filter(|_| self.row_start_at.is_none())?;
        Some(reading.estimated_ms(now) + millis(length))
    }

    /// Records that an order or a renewal with this lease deadline is sent.
    pub fn record_deadline(&mut self, now: Now, deadline_ms: u64) {
        self.deadline_sent_at = now;
        self.lease_end_ms = self.lease_end_ms.max(deadline_ms);
    }

    /// Returns whether every lease requested by this placer has expired, even if the VM's clock is
    /// slow.
    pub fn is_lease_expired(&self, now: Now) -> bool {
        let reading = self.clock.as_ref();
        let is_over =
            |reading: &ClockReading| reading.min_ms(now) > self.lease_end_ms + EXPIRY_MARGIN_MS;
        now > self.foreign_lease_until && reading.is_some_and(is_over)
    }

    /// Returns whether every lease in a lifetime that has not reported yet has expired, which only orders
    /// for a former lifetime can have requested.
    pub fn is_unreported_lease_expired(&self, now: Now) -> bool {
        self.clock.is_none() && now > self.lifetime_since.max(self.foreign_lease_until)
    }

    /// Returns whether the VM has restarted lately, so that an earlier placer may have sent it orders with
    /// deadlines on the clock of a former lifetime.
    pub fn has_restarted_lately(&self, unix_time: Duration) -> bool {
        let started = Duration::from_millis(self.started_ms);
        let is_recent = self.started_ms != 0 && started + RECENT_RESTART > unix_time;
        is_recent && self.started_ms != self.registered_started_ms
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
