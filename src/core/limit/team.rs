//! One team's part in one zone: the row as known, and writes whose end is not known.

use std::time::Duration;

use super::EscrowRow;
use super::Position;
use super::Share;
use super::division;
use super::division::Hints;
use crate::core::event::TxnOutcome;
use crate::core::model::Now;
use crate::core::model::Resources;
use crate::core::model::Rev;
use crate::core::model::Row;
use crate::core::model::ZoneId;

/// Least time between two writes of one team by one zone.
const WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a part that was raised is kept, so that work can start in it.
const KEEP_RAISED: Duration = Duration::from_secs(2);
/// Time for which a zone may hold what its first gang needs without starting it.
const GANG_TURN: Duration = Duration::from_secs(10);

/// Time after which a zone that is first in line and takes nothing is passed over.
const ABSENT_AFTER: Duration = Duration::from_secs(5);

/// A write of the row that may take effect until the row's version is above `expect`.
#[derive(Clone, Debug)]
struct Pending {
    expect: Rev,
    held: Resources,
    raises: bool,
    tenure: u64,
}

/// The row as last known.
#[derive(Clone, Debug, Default)]
struct Known {
    version: Rev,
    /// `None` when this build cannot read the row.
    body: Option<EscrowRow>,
}

/// A zone that is first in line and could take what it needs.
#[derive(Clone, Debug)]
struct IdleFirst {
    zone: ZoneId,
    share: Share,
    seen: Now,
}

impl IdleFirst {
    fn is(&self, zone: &str, share: &Share) -> bool {
        self.zone.as_ref() == zone && self.share == *share
    }

    fn is_absent(&self, now: Now) -> bool {
        now.saturating_sub(self.seen) >= ABSENT_AFTER
    }
}

/// One team's part in one zone.
#[derive(Clone, Debug, Default)]
pub struct Team {
    known: Known,
    /// Whether a write of this tenure has taken effect, so that no earlier one can.
    claimed: bool,
    adopted: Resources,
    /// Amount to come down to as work ends.
    target: Option<Resources>,
    /// Amount to come down to at once, since the limit was lowered.
    lowered: Option<Resources>,
    sent: Option<Pending>,
    lost: Vec<Pending>,
    next_write: Now,
    /// Whether the part was raised since the last plan.
    raised: bool,
    keep_until: Now,
    /// Since when the zone holds what its first gang needs.
    served: Option<Now>,
    idle_first: Option<IdleFirst>,
}

impl Team {
    /// Takes the row if it is newer.
    pub fn read(&mut self, row: &Row) {
        if row.version <= self.known.version {
            return;
        }
        let body = row.value.as_deref();
        self.known = Known {
            version: row.version,
            body: body.and_then(|text| serde_json::from_str(text).ok()),
        };
        self.lost.retain(|write| write.expect >= row.version);
    }

    /// Another placer may have written since.
    pub fn forget_claim(&mut self) {
        self.claimed = false;
        self.adopted = Resources::ZERO;
        self.target = None;
        self.lowered = None;
    }

    /// Counts what is found running before the first write of the tenure.
    pub fn adopt(&mut self, running: Resources) {
        if !self.claimed {
            self.adopted = self.adopted.max(&running);
        }
    }

    /// What the row says the zone holds.
    pub fn held(&self, zone: &str) -> Resources {
        self.known
            .body
            .as_ref()
            .map_or(Resources::ZERO, |body| body.held_by(zone))
    }

    /// The most that may be started, whichever of the writes under way takes effect.
    pub fn allotment(&self, zone: &str) -> Resources {
        self.bound(zone, self.target)
    }

    /// The most that may run, whichever of the writes under way takes effect.
    pub fn ceiling(&self, zone: &str) -> Resources {
        self.bound(zone, self.lowered)
    }

    fn bound(&self, zone: &str, target: Option<Resources>) -> Resources {
        let open = if self.claimed {
            self.held(zone).min(&target.unwrap_or(Resources::MAX))
        } else if self.known.version == 0 {
            self.adopted
        } else {
            self.adopted.min(&self.held(zone))
        };
        self.sent
            .iter()
            .chain(&self.lost)
            .fold(open, |least, write| least.min(&write.held))
    }

    /// Returns the expected version and value of the next write.
    pub fn plan(
        &mut self,
        now: Now,
        zone: &str,
        tenure: u64,
        position: &Position,
    ) -> Option<(Rev, Box<str>)> {
        if self.sent.is_some() {
            return None;
        }
        let row = self.current(position)?;
        if std::mem::take(&mut self.raised) {
            self.keep_until = now + KEEP_RAISED;
        }
        self.watch_first(now, &row, zone);
        let hints = Hints {
            keeps: now < self.keep_until,
            absent: self.absent(now),
        };
        let part = division::divide(&row, zone, position, hints);
        self.target = Some(part.target);
        self.lowered = Some(part.ceiling);
        if now < self.next_write {
            return None;
        }
        let held = part.held;
        let turn_over = self.is_turn_over(now, &row, zone);
        let next = rewritten(&row, zone, held, position, self.known.version, turn_over);
        let unchanged = self.known.body.as_ref() == Some(&next);
        if unchanged && self.claimed && self.lost.is_empty() {
            return None;
        }
        let value = serde_json::to_string(&next).ok()?.into();
        let expect = self.known.version;
        self.next_write = now + WRITE_INTERVAL;
        self.sent = Some(Pending {
            expect,
            held,
            raises: !row.held_by(zone).holds(&held),
            tenure,
        });
        Some((expect, value))
    }

    /// The write that was sent ended.
    pub fn settled(&mut self, tenure: u64, end: &TxnOutcome) {
        let Some(write) = self.sent.take() else {
            return;
        };
        self.raised |= matches!(end, TxnOutcome::Committed(_)) && write.raises;
        if let TxnOutcome::Committed(rows) | TxnOutcome::Conflict(rows) = end {
            for row in rows {
                self.read(row);
            }
        }
        match end {
            TxnOutcome::Committed(_) => self.claimed |= write.tenure == tenure,
            TxnOutcome::Conflict(_) | TxnOutcome::NotSent => {}
            TxnOutcome::Unknown if write.expect < self.known.version => {}
            TxnOutcome::Unknown => self.lost.push(write),
        }
    }

    /// Notes since when another zone could take what it is first in line for.
    fn watch_first(&mut self, now: Now, row: &EscrowRow, zone: &str) {
        let seen = self.idle_first.take();
        let Some((name, share)) = division::first_in_line(row).filter(|(name, _)| *name != zone)
        else {
            return;
        };
        let open = row.limit.minus(&row.held());
        let could_take = open.holds(&share.needs.minus(&share.held));
        self.idle_first = match seen {
            Some(seen) if seen.is(name, share) && (could_take || seen.is_absent(now)) => Some(seen),
            _ if could_take => Some(IdleFirst {
                zone: name.into(),
                share: share.clone(),
                seen: now,
            }),
            _ => None,
        };
    }

    /// A zone that does not take what it is first in line for, as when it is cut off.
    fn absent(&self, now: Now) -> Option<&str> {
        let first = self.idle_first.as_ref()?;
        first.is_absent(now).then_some(&first.zone)
    }

    /// Whether the zone has held what its gang needs for so long that the gang lacks something else.
    fn is_turn_over(&mut self, now: Now, row: &EscrowRow, zone: &str) -> bool {
        let served = row
            .zones
            .get(zone)
            .is_some_and(|share| share.since > 0 && share.held.holds(&share.needs));
        if !served {
            self.served = None;
            return false;
        }
        let since = *self.served.get_or_insert(now);
        now.saturating_sub(since) >= GANG_TURN
    }

    /// The row with the limit of the newest record; `None` when it cannot be read.
    fn current(&self, position: &Position) -> Option<EscrowRow> {
        if self.known.version == 0 {
            return Some(EscrowRow::new(position.limit, position.limit_version));
        }
        let mut row = self.known.body.clone()?;
        if position.limit_version > row.limit_version {
            row.limit = position.limit;
            row.limit_version = position.limit_version;
        }
        Some(row)
    }
}

/// The row with this zone's part changed. What the zone wants is rewritten only when others have
/// to know.
fn rewritten(
    row: &EscrowRow,
    zone: &str,
    held: Resources,
    position: &Position,
    version: Rev,
    turn_over: bool,
) -> EscrowRow {
    let mut next = row.clone();
    let share = next.zones.entry(zone.into()).or_default();
    let lowered = share.held != held && share.held.holds(&held);
    share.held = held;
    let wanted = division::round_up(&position.wanted.max(&position.used));
    let starves = !held.holds(&position.wanted);
    let seems_to = !held.holds(&share.wanted);
    let grown = !share.wanted.holds(&wanted);
    let shrunk = !wanted.times(2).holds(&share.wanted);
    if starves && (grown || shrunk) || !starves && seems_to || lowered {
        share.wanted = if starves { wanted } else { wanted.min(&held) };
    }
    queue_up(share, position, version, turn_over);
    next
}

/// Notes what the zone's first gang needs, and since when. A zone stays in line until the gang has
/// started; it goes behind the others when its next gang needs more, or after its `turn`.
fn queue_up(share: &mut Share, position: &Position, version: Rev, turn_over: bool) {
    let needs = position.needs.min(&position.limit);
    let covered = share.held.holds(&needs);
    if needs == Resources::ZERO {
        share.needs = Resources::ZERO;
        share.since = 0;
        return;
    }
    let in_line = share.since > 0;
    let served = share.held.holds(&share.needs);
    if (!in_line && !covered) || (in_line && served && (!covered || turn_over)) {
        share.needs = needs;
        share.since = version + 1;
    }
}
