//! Forms of the records, by schema version. A newer form is read for the fields that this build
//! knows.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::Result;
use crate::core::model::Resources;
use crate::core::model::ServiceId;
use crate::core::model::TeamId;

/// A team: its share and its fleet-wide limit.
///
/// Schema 2 adds `starvation_bound` and `urgent`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamRecord {
    /// Schema version.
    pub schema: u32,
    /// Weight of its share when the cell is full.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The most it may have running in the fleet.
    pub limit: Resources,
    /// Waiting time after which its work goes before that of teams that are nearer to their share.
    #[serde(
        default,
        with = "humantime_serde",
        skip_serializing_if = "Option::is_none"
    )]
    pub starvation_bound: Option<Duration>,
    /// Whether it may submit urgent work.
    #[serde(default = "default_urgent", skip_serializing_if = "Clone::clone")]
    pub urgent: bool,
}

fn default_weight() -> u32 {
    1
}

fn default_urgent() -> bool {
    true
}

/// A key granted to a team, stored under the hash of its secret.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// Schema version.
    pub schema: u32,
    /// Team that work under the key counts against.
    pub team: TeamId,
    /// What the operator calls the key.
    #[serde(default)]
    pub label: Box<str>,
}

/// A service: whose it is, who may call it, and how many instances run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRecord {
    /// Schema version.
    pub schema: u32,
    /// Team that its instances count against.
    pub team: TeamId,
    /// Instances in the fleet, zero when endpoints are run outside the cell.
    #[serde(default)]
    pub count: u32,
    /// Size of an instance.
    #[serde(default)]
    pub size: Resources,
    /// Whether callers need no key.
    #[serde(default)]
    pub open: bool,
    /// Teams whose keys may call it, besides its own.
    #[serde(default)]
    pub callers: Vec<TeamId>,
}

/// A queue open to all: jobs submitted to it need no key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueRecord {
    /// Schema version.
    pub schema: u32,
    /// Team that its jobs count against.
    pub team: TeamId,
    /// Service that its jobs may run for, if bounded to one.
    #[serde(default)]
    pub service: Option<ServiceId>,
}

macro_rules! readable {
    ($($form:ty),+) => {
        $(impl $form {
            /// Reads the record from JSON; the error is a sentence for the operator.
            pub fn from_json(text: &str) -> Result<Self> {
                read(text)
            }
        })+
    };
}

readable!(TeamRecord, KeyRecord, ServiceRecord, QueueRecord);

fn read<T: DeserializeOwned>(text: &str) -> Result<T> {
    serde_json::from_str(text).map_err(|err| err.to_string().into())
}
