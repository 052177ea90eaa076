//! Zones whose evacuation operators have requested, as read from the operator's table.

use std::collections::BTreeSet;
use std::time::Duration;

use super::event::EvacuationRow;
use crate::core::model::Now;
use crate::core::model::ZoneId;

/// View of the evacuation requests.
#[derive(Debug, Default)]
pub(super) struct Evacuation {
    zones: BTreeSet<ZoneId>,
    /// Time up to which all requests are known; `None` before the first read.
    known_at: Option<Now>,
}

impl Evacuation {
    /// Applies rows that include all changes up to `known_at`. The rows of a snapshot replace the
    /// set. Returns the zones whose evacuation began or ended, with `true` for those that began.
    pub fn apply(
        &mut self,
        rows: &[EvacuationRow],
        is_snapshot: bool,
        known_at: Now,
    ) -> Vec<(ZoneId, bool)> {
        let before = self.zones.clone();
        if is_snapshot {
            self.zones.clear();
        }
        for row in rows {
            if row.requested {
                self.zones.insert(row.zone.clone());
            } else {
                self.zones.remove(&row.zone);
            }
        }
        self.known_at = self.known_at.max(Some(known_at));
        let changed = before.symmetric_difference(&self.zones);
        changed
            .map(|zone| (zone.clone(), self.zones.contains(zone)))
            .collect()
    }

    /// Returns whether a zone is evacuated. The empty name is that of VMs whose zone is not known, so
    /// that a request for it has no effect.
    pub fn includes(&self, zone: &str) -> bool {
        !zone.is_empty() && self.zones.contains(zone)
    }

    /// Returns whether no zone is evacuated.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Returns the number of evacuated zones.
    pub fn zone_count(&self) -> usize {
        self.zones.len()
    }

    /// Returns the age of the view; `None` before the first read.
    pub fn age(&self, now: Now) -> Option<Duration> {
        self.known_at.map(|at| now.saturating_sub(at))
    }
}
