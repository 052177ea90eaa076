//! Entry VMs of the membership list, and the split of an endpoint's slots among them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::hash::Hash;
use std::hash::Hasher;

use rustc_hash::FxHasher;

use crate::core::model::DaemonId;
use crate::core::model::Member;
use crate::core::model::MemberRole;
use crate::core::model::MemberState;
use crate::core::model::Now;
use crate::core::model::ZoneId;

/// Daemons that share the slots of a set of endpoints.
#[derive(Clone, Debug, Default)]
struct EntryGroup {
    /// Sorted by name.
    daemons: Vec<DaemonId>,
    /// Time of the last change.
    since: Now,
}

impl EntryGroup {
    fn update(&mut self, now: Now, daemons: Vec<DaemonId>) {
        if self.daemons != daemons {
            self.daemons = daemons;
            self.since = now;
        }
    }
}

/// Entry VMs of all zones.
#[derive(Clone, Debug, Default)]
pub(super) struct EntryVms {
    zones: BTreeMap<ZoneId, EntryGroup>,
    all: EntryGroup,
    addresses: BTreeMap<DaemonId, Box<str>>,
    reachable: BTreeSet<DaemonId>,
}

impl EntryVms {
    /// Applies the membership list.
    pub fn set_members(&mut self, now: Now, members: &[Member]) {
        let mut zones: BTreeMap<ZoneId, Vec<DaemonId>> = BTreeMap::new();
        let mut all = Vec::new();
        self.addresses.clear();
        for member in members {
            zones.entry(member.zone.clone()).or_default();
            let MemberRole::Entry { peer: address } = &member.role else {
                continue;
            };
            self.addresses.insert(member.id.clone(), address.clone());
            if member.state == MemberState::Live {
                zones
                    .entry(member.zone.clone())
                    .or_default()
                    .push(member.id.clone());
                all.push(member.id.clone());
            }
        }
        self.update_groups(now, zones, all);
    }

    fn update_groups(
        &mut self,
        now: Now,
        mut zones: BTreeMap<ZoneId, Vec<DaemonId>>,
        mut all: Vec<DaemonId>,
    ) {
        for zone in self.zones.keys() {
            zones.entry(zone.clone()).or_default();
        }
        for (zone, mut daemons) in zones {
            daemons.sort();
            let group = self.zones.entry(zone).or_insert_with(|| EntryGroup {
                daemons: Vec::new(),
                since: now,
            });
            group.update(now, daemons);
        }
        all.sort();
        self.all.update(now, all);
    }

    /// Records whether a daemon is reachable. The daemon may not be in the membership list yet.
    pub fn set_reachable(&mut self, id: &str, reachable: bool) {
        if reachable {
            self.reachable.insert(id.into());
        } else {
            self.reachable.remove(id);
        }
    }

    /// Returns the address at which a daemon accepts messages from its peers.
    pub fn address(&self, id: &str) -> Option<&str> {
        self.addresses.get(id).map(|address| &**address)
    }

    /// Returns the share of daemon `me` in the slots of an endpoint in `zone`, and the time since
    /// which this split has applied.
    pub fn share(&self, me: &str, zone: &str, endpoint: &str, slots: u32) -> (u32, Now) {
        let (daemons, since) = self.sharing_daemons(zone);
        let Some(rank) = daemons.iter().position(|id| &**id == me) else {
            return (0, since);
        };
        (split_slots(slots, rank, daemons.len(), endpoint), since)
    }

    /// Returns the number of idle connections to an endpoint that each daemon may keep open. All
    /// daemons' idle connections plus one for each slot in use stay within the endpoint's limit.
    pub fn max_idle_connections(&self, connections: u32, slots: u32) -> u32 {
        let daemons = u32::try_from(self.all.daemons.len()).unwrap_or(u32::MAX);
        connections.saturating_sub(slots) / daemons.max(1)
    }

    /// Returns the reachable daemons, other than `me`, that share the slots of endpoints in `zone`.
    pub fn lenders<'a>(
        &'a self,
        me: &'a str,
        zone: &str,
    ) -> impl Iterator<Item = &'a DaemonId> + Clone {
        self.sharing_daemons(zone)
            .0
            .iter()
            .filter(move |id| &***id != me && self.reachable.contains(*id))
    }

    /// Returns the entry VMs of a zone, or those of all zones if it has none, and the time since
    /// which that has been the set.
    fn sharing_daemons(&self, zone: &str) -> (&[DaemonId], Now) {
        match self.zones.get(zone) {
            Some(group) if !group.daemons.is_empty() => (&group.daemons, group.since),
            Some(group) => (&self.all.daemons, self.all.since.max(group.since)),
            None => (&self.all.daemons, self.all.since),
        }
    }
}

/// Splits slots evenly. The ranks that get the remainder depend on a hash of the endpoint, so that
/// no daemon gets the remainder of every endpoint.
fn split_slots(slots: u32, rank: usize, count: usize, endpoint: &str) -> u32 {
    let mut hasher = FxHasher::default();
    endpoint.hash(&mut hasher);
    let count = count as u64;
    let rotated = (rank as u64 + hasher.finish() % count) % count;
    let quotient = u64::from(slots) / count;
    let remainder = u64::from(slots) % count;
    u32::try_from(quotient + u64::from(rotated < remainder)).unwrap_or(slots)
}
