//! Record types of all schema versions. Of a record with a newer schema, only the fields that this
//! build knows are read.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::Result;
use crate::core::model::Resources;
use crate::core::model::ServiceId;
use crate::core::model::TeamId;

/// Fair share and fleet-wide limit of a team.
///
/// Schema 2 adds `starvation_bound` and `urgent`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamRecord {
    /// Schema version.
    pub schema: u32,
    /// Weight of the team's share when the cell is full.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Maximum resources of the team's running tasks in the fleet.
    pub limit: Resources,
    /// Waiting time after which the team's work should be scheduled before that of other teams. It
    /// is validated and stored, but the scheduler does not read it.
    #[serde(
        default,
        with = "humantime_serde",
        skip_serializing_if = "Option::is_none"
    )]
    pub starvation_bound: Option<Duration>,
    /// Whether the team may submit urgent work.
    #[serde(default = "default_urgent", skip_serializing_if = "Clone::clone")]
    pub urgent: bool,
}

fn default_weight() -> u32 {
    1
}

fn default_urgent() -> bool {
    true
}

/// A key granted to a team, stored under the SHA-256 hash of its secret.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// Schema version.
    pub schema: u32,
    /// Team that work submitted with the key counts against.
    pub team: TeamId,
    /// Label chosen by the operator.
    #[serde(default)]
    pub label: Box<str>,
}

/// A service: its team, its permitted callers, and the number and size of its instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRecord {
    /// Schema version.
    pub schema: u32,
    /// Team that the instances count against.
    pub team: TeamId,
    /// Number of instances in the fleet; zero if the endpoints run outside the cell.
    #[serde(default)]
    pub count: u32,
    /// Resources of one instance.
    #[serde(default)]
    pub size: Resources,
    /// Whether the service can be called without a key.
    #[serde(default)]
    pub open: bool,
    /// Teams whose keys may call the service, in addition to its own team.
    #[serde(default)]
    pub callers: Vec<TeamId>,
}

/// An open queue: jobs can be submitted to it without a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueRecord {
    /// Schema version.
    pub schema: u32,
    /// Team that the queue's jobs count against.
    pub team: TeamId,
    /// Service that the queue's jobs may run for, if restricted to one. It is stored, but not
    /// enforced.
    #[serde(default)]
    pub service: Option<ServiceId>,
}

macro_rules! impl_from_json {
    ($($record:ty),+) => {
        $(impl $record {
            /// Parses the record from JSON; the error is a message for the operator.
            pub fn from_json(text: &str) -> Result<Self> {
                from_json(text)
            }
        })+
    };
}

impl_from_json!(TeamRecord, KeyRecord, ServiceRecord, QueueRecord);

fn from_json<T: DeserializeOwned>(text: &str) -> Result<T> {
    serde_json::from_str(text).map_err(|err| err.to_string().into())
}
