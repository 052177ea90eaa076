//! Form of the row `escrow/{team}`.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::core::model::Resources;
use crate::core::model::Rev;
use crate::core::model::ZoneId;

/// Schema version that this build writes.
const SCHEMA: u32 = 1;

/// Fields that a newer build added; they are kept when the row is written.
type Unknown = BTreeMap<Box<str>, Value>;

/// Division of one team's limit among zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EscrowRow {
    /// Schema version.
    pub schema: u32,
    /// Limit that the division is written under.
    pub limit: Resources,
    /// Row version of the team's record that the limit is taken from.
    #[serde(default)]
    pub limit_version: Rev,
    /// Part of each zone.
    #[serde(default)]
    pub zones: BTreeMap<ZoneId, ZoneShare>,
    /// Fields of newer schema versions.
    #[serde(flatten)]
    unknown: Unknown,
}

/// One zone's part of a limit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ZoneShare {
    /// The most that the zone may have running.
    pub held: Resources,
    /// What the zone could use.
    pub wanted: Resources,
    /// What a gang that waits in the zone needs the zone to hold.
    pub needs: Resources,
    /// Row version at which the gang came to wait, zero when none does. The zone whose gang has
    /// waited longest is served first, so that gangs in several zones do not share a limit in
    /// parts that start none of them.
    pub since: Rev,
    /// Fields of newer schema versions.
    #[serde(flatten)]
    unknown: Unknown,
}

impl EscrowRow {
    /// Returns an undivided limit.
    #[must_use]
    pub fn new(limit: Resources, limit_version: Rev) -> Self {
        Self {
            schema: SCHEMA,
            limit,
            limit_version,
            ..Self::default()
        }
    }

    /// What one zone holds.
    #[must_use]
    pub fn held_by(&self, zone: &str) -> Resources {
        self.zones
            .get(zone)
            .map_or(Resources::ZERO, |share| share.held)
    }

    /// Sum of what all zones hold.
    #[must_use]
    pub fn total_held(&self) -> Resources {
        self.zones
            .values()
            .fold(Resources::ZERO, |sum, share| sum.plus(&share.held))
    }
}
