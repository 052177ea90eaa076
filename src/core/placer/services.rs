//! Service instances: the count in each service's record, divided among the live zones.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::core::job::SERVICE_PREFIX;
use crate::core::model::JobKind;
use crate::core::model::JobSpec;
use crate::core::model::Member;
use crate::core::model::MemberRole;
use crate::core::model::Now;
use crate::core::model::Resources;
use crate::core::model::ServiceId;
use crate::core::model::ZoneId;
use crate::core::peers::Peers;
use crate::core::record::Records;
use crate::core::record::ServiceRecord;

/// Interval between checks of the service records.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Table space of the service records.
const SPACE: &str = "service/";

/// Zones of the cell, and the services that this zone runs instances of.
#[derive(Clone, Debug, Default)]
pub(super) struct Services {
    /// Every zone with worker VMs, and when its placer was last seen or the zone first listed.
    zones: BTreeMap<ZoneId, Now>,
    /// Specifications that were last passed to the scheduler.
    managed: BTreeMap<ServiceId, JobSpec>,
    next_check: Now,
}

impl Services {
    /// Updates the zones from a membership list.
    pub fn set_members(&mut self, now: Now, members: &[Member]) {
        let listed: BTreeSet<&ZoneId> = members
            .iter()
            .filter(|member| matches!(member.role, MemberRole::Worker { .. }))
            .map(|member| &member.zone)
            .collect();
        self.zones.retain(|zone, _| listed.contains(zone));
        for zone in listed {
            self.zones.entry(zone.clone()).or_insert(now);
        }
    }

    /// Updates the times at which each zone's placer was last seen.
    pub fn update_zones(&mut self, peers: &Peers) {
        for (_, peer) in peers.iter() {
            let placer_of = peer.heartbeat.as_ref().and_then(|beat| beat.placer.clone());
            let last_seen = placer_of.and_then(|zone| self.zones.get_mut(&zone));
            if let (Some(at), Some(last_seen)) = (peer.last_seen, last_seen) {
                *last_seen = (*last_seen).max(at);
            }
        }
    }

    /// Discards the managed services.
    pub fn reset(&mut self) {
        self.managed.clear();
    }

    /// Returns new specifications of the services whose instances in `zone` have to change in
    /// number, size or team. Zones whose placer was not seen within `timeout` get no instances.
    pub fn changed_specs(
        &mut self,
        now: Now,
        zone: &str,
        records: &Records,
        timeout: Duration,
    ) -> Vec<JobSpec> {
        if now < self.next_check {
            return Vec::new();
        }
        self.next_check = now + CHECK_INTERVAL;
        let zones = self.live_zones(now, zone, timeout);
        let mut desired = BTreeMap::new();
        for row in records.space(SPACE) {
            let service = &row.key[SPACE.len()..];
            if let Some(record) = records.service(service) {
                let count = instances_in_zone(record.count, zone, &zones);
                desired.insert(
                    ServiceId::from(service),
                    service_spec(service, zone, &record, count),
                );
            }
        }
        for (service, managed) in &self.managed {
            desired.entry(service.clone()).or_insert_with(|| JobSpec {
                count: 0,
                ..managed.clone()
            });
        }
        let changed: Vec<JobSpec> = desired
            .iter()
            .filter(|(service, spec)| match self.managed.get(*service) {
                Some(managed) => managed != *spec,
                None => spec.count > 0,
            })
            .map(|(_, spec)| spec.clone())
            .collect();
        for spec in &changed {
            self.managed.insert(spec.name.clone(), spec.clone());
        }
        changed
    }

    fn live_zones(&self, now: Now, zone: &str, timeout: Duration) -> Vec<&ZoneId> {
        self.zones
            .iter()
            .filter(|(id, last_seen)| ***id == *zone || now.saturating_sub(**last_seen) < timeout)
            .map(|(id, _)| id)
            .collect()
    }
}

/// Returns the number of instances for `zone` if `count` is divided evenly among `zones`; the first
/// zones by name get the remainder.
fn instances_in_zone(count: u32, zone: &str, zones: &[&ZoneId]) -> u32 {
    let Some(at) = zones.iter().position(|id| ***id == *zone) else {
        return 0;
    };
    let len = u32::try_from(zones.len()).unwrap_or(u32::MAX);
    let at = u32::try_from(at).unwrap_or(u32::MAX);
    count / len + u32::from(at < count % len)
}

fn service_spec(service: &str, zone: &str, record: &ServiceRecord, count: u32) -> JobSpec {
    JobSpec {
        id: format!("{SERVICE_PREFIX}{service}-{zone}").into(),
        name: service.into(),
        team: record.team.clone(),
        kind: JobKind::Service {
            service: service.into(),
        },
        count,
        size: Resources {
            tasks: 1,
            ..record.size
        },
        run_time: None,
        urgent: false,
        deadline: None,
        restartable: true,
    }
}
