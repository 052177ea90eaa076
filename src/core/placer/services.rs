//! Instances of services: each record's count, split over the zones that can keep their part.

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

/// Time between looks at the records.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// Space of the records.
const SPACE: &str = "service/";

/// Zones of the cell, and the services that this zone keeps instances of.
#[derive(Clone, Debug, Default)]
pub(super) struct Services {
    /// Every zone with worker VMs, and when it was last heard or first listed.
    zones: BTreeMap<ZoneId, Now>,
    kept: BTreeMap<ServiceId, JobSpec>,
    next_look: Now,
}

impl Services {
    /// Takes the zones of the membership list.
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

    /// Notes the zones whose placer is heard.
    pub fn hear(&mut self, peers: &Peers) {
        for (_, peer) in peers.iter() {
            let placer_of = peer.heartbeat.as_ref().and_then(|beat| beat.placer.clone());
            let heard = placer_of.and_then(|zone| self.zones.get_mut(&zone));
            if let (Some(at), Some(heard)) = (peer.last_seen, heard) {
                *heard = (*heard).max(at);
            }
        }
    }

    /// Forgets what this zone keeps.
    pub fn reset(&mut self) {
        self.kept.clear();
    }

    /// Returns the services whose instances in `zone` should change in number, size or team.
    pub fn changed(
        &mut self,
        now: Now,
        zone: &str,
        records: &Records,
        timeout: Duration,
    ) -> Vec<JobSpec> {
        if now < self.next_look {
            return Vec::new();
        }
        self.next_look = now + LOOK_EVERY;
        let zones = self.live_zones(now, zone, timeout);
        let mut wanted = BTreeMap::new();
        for row in records.space(SPACE) {
            let service = &row.key[SPACE.len()..];
            if let Some(record) = records.service(service) {
                let count = part(record.count, zone, &zones);
                wanted.insert(
                    ServiceId::from(service),
                    spec(service, zone, &record, count),
                );
            }
        }
        for (service, kept) in &self.kept {
            wanted.entry(service.clone()).or_insert_with(|| JobSpec {
                count: 0,
                ..kept.clone()
            });
        }
        let changed: Vec<JobSpec> = wanted
            .iter()
            .filter(|(service, spec)| match self.kept.get(*service) {
                Some(kept) => kept != *spec,
                None => spec.count > 0,
            })
            .map(|(_, spec)| spec.clone())
            .collect();
        for spec in &changed {
            self.kept.insert(spec.name.clone(), spec.clone());
        }
        changed
    }

    fn live_zones(&self, now: Now, zone: &str, timeout: Duration) -> Vec<&ZoneId> {
        self.zones
            .iter()
            .filter(|(id, heard)| ***id == *zone || now.saturating_sub(**heard) < timeout)
            .map(|(id, _)| id)
            .collect()
    }
}

/// The part of `count` that falls to `zone`: the first zones by name take the remainder.
fn part(count: u32, zone: &str, zones: &[&ZoneId]) -> u32 {
    let Some(at) = zones.iter().position(|id| ***id == *zone) else {
        return 0;
    };
    let len = u32::try_from(zones.len()).unwrap_or(u32::MAX);
    let at = u32::try_from(at).unwrap_or(u32::MAX);
    count / len + u32::from(at < count % len)
}

fn spec(service: &str, zone: &str, record: &ServiceRecord, count: u32) -> JobSpec {
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
