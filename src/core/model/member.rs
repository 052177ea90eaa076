//! Entries of the platform's membership list, which may lag behind the actual state.

use serde::Deserialize;
use serde::Serialize;

use super::RackId;
use super::Resources;
use super::ServiceId;
use super::VmId;
use super::ZoneId;

/// Role of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberRole {
    /// Runs a daemon; the member's address is that of the daemon's HTTP interface.
    Entry {
        /// Address for other daemons, `ip:port`.
        peer: Box<str>,
    },
    /// Runs tasks, within its capacity.
    Worker {
        /// Rack of the VM.
        rack: RackId,
        /// Resources of the VM.
        capacity: Resources,
    },
    /// Serves a service's requests.
    Endpoint {
        /// Service that the endpoint serves.
        service: ServiceId,
        /// Maximum number of concurrent requests.
        slots: u32,
        /// Maximum number of open connections.
        connections: u32,
    },
}

/// Whether a VM accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Accepts new work.
    Live,
    /// Finishes its current work and accepts no new work.
    Leaving,
}

/// One VM, or one endpoint on a VM, of the membership list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the VM.
    pub id: VmId,
    /// Address of the service that it provides, `ip:port`.
    pub address: Box<str>,
    /// Availability zone.
    pub zone: ZoneId,
    /// Role.
    pub role: MemberRole,
    /// Whether it accepts new work.
    pub state: MemberState,
}

impl Member {
    /// Returns a live entry VM; `peer` is its address for other daemons.
    #[must_use]
    pub fn entry(id: &str, address: &str, peer: &str, zone: &str) -> Self {
        let role = MemberRole::Entry { peer: peer.into() };
        Self::live(id, address, zone, role)
    }

    /// Returns a live worker VM.
    #[must_use]
    pub fn worker(id: &str, address: &str, zone: &str, rack: &str, capacity: Resources) -> Self {
        let rack = rack.into();
        Self::live(id, address, zone, MemberRole::Worker { rack, capacity })
    }

    /// Returns a live endpoint, named by its address.
    #[must_use]
    pub fn endpoint(
        address: &str,
        zone: &str,
        service: &str,
        slots: u32,
        connections: u32,
    ) -> Self {
        let service = service.into();
        let role = MemberRole::Endpoint {
            service,
            slots,
            connections,
        };
        Self::live(address, address, zone, role)
    }

    fn live(id: &str, address: &str, zone: &str, role: MemberRole) -> Self {
        Self {
            id: id.into(),
            address: address.into(),
            zone: zone.into(),
            role,
            state: MemberState::Live,
        }
    }
}
