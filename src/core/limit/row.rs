//! Format of the row `escrow/{team}`.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::core::model::Resources;
use crate::core::model::Rev;
use crate::core::model::ZoneId;

/// Schema version that this build writes.
const SCHEMA: u32 = 1;

/// Fields added by a newer build, which are preserved when the row is written.
type Unknown = BTreeMap<Box<str>, Value>;

/// Division of one team's limit among zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EscrowRow {
    /// Schema version.
    pub schema: u32,
    /// Limit on which the division is based.
    pub limit: Resources,
    /// Row version of the team's record from which the limit was read.
    #[serde(default)]
    pub limit_version: Rev,
    /// Share of each zone.
    #[serde(default)]
    pub zones: BTreeMap<ZoneId, ZoneShare>,
    /// Fields of newer schema versions.
    #[serde(flatten)]
    unknown: Unknown,
}

/// One zone's share of a limit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ZoneShare {
    /// Maximum that the zone may have running.
    pub held: Resources,
    /// Resources that the zone could use.
    pub wanted: Resources,
    /// Amount that the zone must hold for its first waiting gang to start.
    pub needs: Resources,
    /// Row version at which the gang began to wait, zero if none waits. The zone whose gang has
    /// waited longest gets its resources first, since dividing a limit among gangs in several zones
    /// could leave each with too little to start.
    pub since: Rev,
    /// Fields of newer schema versions.
    #[serde(flatten)]
    unknown: Unknown,
}

impl EscrowRow {
    /// Returns the row of a limit of which no zone holds a share.
    #[must_use]
    pub fn new(limit: Resources, limit_version: Rev) -> Self {
        Self {
            schema: SCHEMA,
            limit,
            limit_version,
            ..Self::default()
        }
    }

    /// Returns the amount that one zone holds.
    #[must_use]
    pub fn held_by(&self, zone: &str) -> Resources {
        self.zones
            .get(zone)
            .map_or(Resources::ZERO, |share| share.held)
    }

    /// Returns the sum of the amounts that all zones hold.
    #[must_use]
    pub fn total_held(&self) -> Resources {
        self.zones
            .values()
            .fold(Resources::ZERO, |sum, share| sum.plus(&share.held))
    }
}
