//! One zone's share in one team's limit: the last known row, and writes whose outcome is unknown.

use std::time::Duration;

use super::EscrowRow;
use super::TeamUsage;
use super::ZoneShare;
use super::division;
use super::division::Observations;
use crate::core::event::TxnOutcome;
use crate::core::model::Now;
use crate::core::model::Resources;
use crate::core::model::Rev;
use crate::core::model::Row;
use crate::core::model::ZoneId;

/// Minimum interval between two writes of one team's row by one zone.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// Time during which a raised share is not released to other zones, so that tasks can start in it.
const RAISE_RETENTION: Duration = Duration::from_secs(2);

/// Time for which a zone may stay first in line while it holds what its first gang needs but the
/// gang has not started.
const GANG_TURN_DURATION: Duration = Duration::from_secs(10);

/// Time after which a zone that is first in line is skipped if it does not take what it needs.
const ABSENCE_TIMEOUT: Duration = Duration::from_secs(5);

/// A write of the row, which may take effect until the row's version exceeds `expect`.
#[derive(Clone, Debug)]
struct PendingWrite {
    expect: Rev,
    held: Resources,
    raises: bool,
    tenure: u64,
}

/// Last known content of the row.
#[derive(Clone, Debug, Default)]
struct KnownRow {
    version: Rev,
    /// `None` if this build cannot parse the row.
    body: Option<EscrowRow>,
}

/// Another zone that is first in line and could take what it needs, but has not done so.
#[derive(Clone, Debug)]
struct IdleZone {
    zone: ZoneId,
    share: ZoneShare,
    since: Now,
}

impl IdleZone {
    fn matches(&self, zone: &str, share: &ZoneShare) -> bool {
        self.zone.as_ref() == zone && self.share == *share
    }

    fn is_absent(&self, now: Now) -> bool {
        now.saturating_sub(self.since) >= ABSENCE_TIMEOUT
    }
}

/// One zone's share in one team's limit.
#[derive(Clone, Debug, Default)]
pub struct TeamEscrow {
    known: KnownRow,
    /// Whether a write of this tenure has taken effect, after which no earlier write can.
    has_written: bool,
    /// Maximum of the running resources recorded before a write of the tenure took effect.
    adopted_running: Resources,
    /// Amount to which usage should fall as tasks end.
    target: Option<Resources>,
    /// Amount to which usage must be reduced at once, because the limit was lowered.
    ceiling: Option<Resources>,
    in_flight: Option<PendingWrite>,
    /// Writes whose outcome is unknown and that may still take effect.
    unresolved: Vec<PendingWrite>,
    next_write_at: Now,
    /// Whether a write that raised the share has taken effect since the last plan.
    raised: bool,
    raise_kept_until: Now,
    /// Time since which the zone has held what its first gang needs.
    gang_covered_since: Option<Now>,
    idle_zone: Option<IdleZone>,
}

impl TeamEscrow {
    /// Applies the row if it is newer than the known one.
    pub fn apply_row(&mut self, row: &Row) {
        if row.version <= self.known.version {
            return;
        }
        let body = row.value.as_deref();
        self.known = KnownRow {
            version: row.version,
            body: body.and_then(|text| serde_json::from_str(text).ok()),
        };
        self.unresolved.retain(|write| write.expect >= row.version);
    }

    /// Begins a new tenure, before which another placer may have written the row.
    pub fn begin_tenure(&mut self) {
        self.has_written = false;
        self.adopted_running = Resources::ZERO;
        self.target = None;
        self.ceiling = None;
    }

    /// Records the running resources, unless a write of the tenure has taken effect.
    pub fn adopt_running(&mut self, running: Resources) {
        if !self.has_written {
            self.adopted_running = self.adopted_running.max(&running);
        }
    }

    /// Returns the amount that the zone holds according to the row.
    pub fn held(&self, zone: &str) -> Resources {
        self.known
            .body
            .as_ref()
            .map_or(Resources::ZERO, |body| body.held_by(zone))
    }

    /// Returns the usage up to which tasks may be started, whichever of the pending writes take
    /// effect.
    pub fn allotment(&self, zone: &str) -> Resources {
        self.bound(zone, self.target)
    }

    /// Returns the maximum that may run, whichever of the pending writes take effect.
    pub fn ceiling(&self, zone: &str) -> Resources {
        self.bound(zone, self.ceiling)
    }

    fn bound(&self, zone: &str, cap: Option<Resources>) -> Resources {
        let bound = if self.has_written {
            self.held(zone).min(&cap.unwrap_or(Resources::MAX))
        } else if self.known.version == 0 {
            self.adopted_running
        } else {
            self.adopted_running.min(&self.held(zone))
        };
        self.in_flight
            .iter()
            .chain(&self.unresolved)
            .fold(bound, |bound, write| bound.min(&write.held))
    }

    /// Returns the expected version and value of the next write.
    pub fn plan(
        &mut self,
        now: Now,
        zone: &str,
        tenure: u64,
        usage: &TeamUsage,
    ) -> Option<(Rev, Box<str>)> {
        if self.in_flight.is_some() {
            return None;
        }
        let row = self.current_row(usage)?;
        if std::mem::take(&mut self.raised) {
            self.raise_kept_until = now + RAISE_RETENTION;
        }
        self.track_idle_zone(now, &row, zone);
        let observed = Observations {
            recently_raised: now < self.raise_kept_until,
            absent_zone: self.absent_zone(now),
        };
        let share = division::divide(&row, zone, usage, observed);
        self.target = Some(share.target);
        self.ceiling = Some(share.ceiling);
        if now < self.next_write_at {
            return None;
        }
        let held = share.held;
        let turn_over = self.is_gang_turn_over(now, &row, zone);
        let next = updated_row(&row, zone, held, usage, self.known.version, turn_over);
        let unchanged = self.known.body.as_ref() == Some(&next);
        if unchanged && self.has_written && self.unresolved.is_empty() {
            return None;
        }
        let value = serde_json::to_string(&next).ok()?.into();
        let expect = self.known.version;
        self.next_write_at = now + MIN_WRITE_INTERVAL;
        self.in_flight = Some(PendingWrite {
            expect,
            held,
            raises: !row.held_by(zone).holds(&held),
            tenure,
        });
        Some((expect, value))
    }

    /// Handles the outcome of the write in flight.
    pub fn handle_write_outcome(&mut self, tenure: u64, outcome: &TxnOutcome) {
        let Some(write) = self.in_flight.take() else {
            return;
        };
        self.raised |= matches!(outcome, TxnOutcome::Committed(_)) && write.raises;
        if let TxnOutcome::Committed(rows) | TxnOutcome::Conflict(rows) = outcome {
            for row in rows {
                self.apply_row(row);
            }
        }
        match outcome {
            TxnOutcome::Committed(_) => self.has_written |= write.tenure == tenure,
            TxnOutcome::Conflict(_) | TxnOutcome::NotSent => {}
            TxnOutcome::Unknown if write.expect < self.known.version => {}
            TxnOutcome::Unknown => self.unresolved.push(write),
        }
    }

    /// Tracks since when another zone that is first in line could have taken what it needs.
    fn track_idle_zone(&mut self, now: Now, row: &EscrowRow, zone: &str) {
        let previous = self.idle_zone.take();
        let Some((name, share)) = division::first_in_line(row).filter(|(name, _)| *name != zone)
        else {
            return;
        };
        let unheld = row.limit.minus(&row.total_held());
        let could_take = unheld.holds(&share.needs.minus(&share.held));
        self.idle_zone = match previous {
            Some(idle) if idle.matches(name, share) && (could_take || idle.is_absent(now)) => {
                Some(idle)
            }
            _ if could_take => Some(IdleZone {
                zone: name.into(),
                share: share.clone(),
                since: now,
            }),
            _ => None,
        };
    }

    /// Returns the zone that is first in line but has not taken what it needs for
    /// [`ABSENCE_TIMEOUT`], for example because it is partitioned from the table.
    fn absent_zone(&self, now: Now) -> Option<&str> {
        let idle = self.idle_zone.as_ref()?;
        idle.is_absent(now).then_some(&idle.zone)
    }

    /// Returns whether the zone has held what its gang needs for so long that something other than
    /// the limit must keep the gang from starting.
    fn is_gang_turn_over(&mut self, now: Now, row: &EscrowRow, zone: &str) -> bool {
        let covered = row
            .zones
            .get(zone)
            .is_some_and(|share| share.since > 0 && share.held.holds(&share.needs));
        if !covered {
            self.gang_covered_since = None;
            return false;
        }
        let since = *self.gang_covered_since.get_or_insert(now);
        now.saturating_sub(since) >= GANG_TURN_DURATION
    }

    /// Returns the row with the limit of the newest team record; `None` if the row cannot be
    /// parsed.
    fn current_row(&self, usage: &TeamUsage) -> Option<EscrowRow> {
        if self.known.version == 0 {
            return Some(EscrowRow::new(usage.limit, usage.limit_version));
        }
        let mut row = self.known.body.clone()?;
        if usage.limit_version > row.limit_version {
            row.limit = usage.limit;
            row.limit_version = usage.limit_version;
        }
        Some(row)
    }
}

/// Returns the row with this zone's share updated. The amount wanted is updated only if the change
/// matters to other zones.
fn updated_row(
    row: &EscrowRow,
    zone: &str,
    held: Resources,
    usage: &TeamUsage,
    version: Rev,
    turn_over: bool,
) -> EscrowRow {
    let mut next = row.clone();
    let share = next.zones.entry(zone.into()).or_default();
    let lowered = share.held != held && share.held.holds(&held);
    share.held = held;
    let wanted = division::round_up(&usage.wanted.max(&usage.used));
    let is_short = !held.holds(&usage.wanted);
    let appears_short = !held.holds(&share.wanted);
    let grown = !share.wanted.holds(&wanted);
    let shrunk = !wanted.times(2).holds(&share.wanted);
    if is_short && (grown || shrunk) || !is_short && appears_short || lowered {
        share.wanted = if is_short { wanted } else { wanted.min(&held) };
    }
    update_gang_queue(share, usage, version, turn_over);
    next
}

/// Updates what the zone's first gang needs and since when it has waited. A zone stays in line
/// until the gang has started. It moves behind the other zones if its next gang needs more, or once
/// its turn is over.
fn update_gang_queue(share: &mut ZoneShare, usage: &TeamUsage, version: Rev, turn_over: bool) {
    let needs = usage.needs.min(&usage.limit);
    let covered = share.held.holds(&needs);
    if needs == Resources::ZERO {
        share.needs = Resources::ZERO;
        share.since = 0;
        return;
    }
    let in_line = share.since > 0;
    let previous_covered = share.held.holds(&share.needs);
    if (!in_line && !covered) || (in_line && previous_covered && (!covered || turn_over)) {
        share.needs = needs;
        share.since = version + 1;
    }
}
