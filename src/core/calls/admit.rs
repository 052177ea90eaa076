//! Entitlement: whose work is accepted, and the zone that should own a job.

use std::collections::BTreeMap;

use crate::core::effect::Reason;
use crate::core::event::RequestHead;
use crate::core::model::JobKind;
use crate::core::model::JobSpec;
use crate::core::model::MemberRole;
use crate::core::model::MemberState;
use crate::core::model::Now;
use crate::core::model::Resources;
use crate::core::model::TeamId;
use crate::core::model::ZoneId;
use crate::core::state::State;

/// Result of a check before work is accepted.
pub(super) type Result<T, E = Reason> = std::result::Result<T, E>;

/// Tasks of one job at the most.
const MAX_TASKS: u32 = 100_000;

/// Returns the team whose key came with the request; none is needed for an open service.
pub(super) fn entitled_to_service(
    state: &State,
    now: Now,
    head: &RequestHead,
) -> Result<Option<TeamId>> {
    if state.draining.is_some() {
        return Err(Reason::Draining);
    }
    let service = state
        .records
        .service(&head.service)
        .ok_or(Reason::UnknownTarget)?;
    if service.open {
        return Ok(None);
    }
    let team = verify(state, now, head.key.as_deref())?;
    if team == service.team || service.callers.contains(&team) {
        Ok(Some(team))
    } else {
        Err(Reason::Unauthorized)
    }
}

fn verify(state: &State, now: Now, key: Option<&str>) -> Result<TeamId> {
    let secret = key.ok_or(Reason::Unauthorized)?;
    state.keys.verify(now, &state.records, secret)
}

/// Sets the job's team and returns the zone that should own it.
pub(super) fn admit(
    state: &State,
    now: Now,
    key: Option<&str>,
    queue: Option<&str>,
    spec: &mut JobSpec,
) -> Result<ZoneId> {
    if state.draining.is_some() {
        return Err(Reason::Draining);
    }
    let team = match queue {
        Some(queue) => {
            state
                .records
                .queue(queue)
                .ok_or(Reason::UnknownTarget)?
                .team
        }
        None => verify(state, now, key)?,
    };
    if !spec.team.is_empty() && spec.team != team {
        return Err(Reason::Unauthorized);
    }
    spec.team = team;
    check_spec(spec)?;
    let record = state
        .records
        .team(&spec.team)
        .ok_or(Reason::UnknownTarget)?;
    if spec.urgent && !record.urgent {
        return Err(Reason::Unauthorized);
    }
    if !record.limit.holds(&least_holding(spec)) {
        return Err(Reason::NeverFits);
    }
    if state.polls.is_unreachable() && !state.jobs.contains(&spec.id) {
        return Err(Reason::PlatformUnavailable);
    }
    choose_zone(state, spec)
}

fn check_spec(spec: &mut JobSpec) -> Result<()> {
    spec.size.tasks = 1;
    let named = !spec.id.is_empty() && !spec.id.contains('/');
    let sized = spec.count > 0 && (spec.size.cpu_milli > 0 || spec.size.mem_mib > 0);
    let runs = !matches!(spec.kind, JobKind::Service { .. });
    if named && sized && runs && spec.count <= MAX_TASKS {
        Ok(())
    } else {
        Err(Reason::Invalid)
    }
}

/// The least that must run at the same time for the job to get on.
fn least_holding(spec: &JobSpec) -> Resources {
    match spec.kind {
        JobKind::Gang => spec.size.times(spec.count),
        JobKind::Batch | JobKind::Service { .. } => spec.size,
    }
}

/// Returns the zone with a placer that has most processor time free, among those that could hold
/// the job when empty.
fn choose_zone(state: &State, spec: &JobSpec) -> Result<ZoneId> {
    let mut zones = BTreeMap::new();
    for member in state
        .members
        .values()
        .filter(|member| member.state == MemberState::Live)
    {
        if let MemberRole::Worker { capacity, .. } = &member.role
            && capacity.holds(&spec.size)
        {
            let total: &mut Resources = zones.entry(&member.zone).or_default();
            *total = total.plus(capacity);
        }
    }
    if zones.is_empty() && !knows_workers(state) {
        return Err(Reason::PlatformUnavailable);
    }
    let least = least_holding(spec);
    zones
        .into_iter()
        .filter(|(_, total)| total.holds(&least))
        .map(|(zone, _)| zone)
        .max_by_key(|zone| readiness(state, zone))
        .cloned()
        .ok_or(Reason::NeverFits)
}

/// Whether the membership list was read since the start, so that it can tell what never fits.
fn knows_workers(state: &State) -> bool {
    state
        .members
        .values()
        .any(|member| matches!(member.role, MemberRole::Worker { .. }))
}

/// How soon a zone could take a job: zones rank lowest whose placer cannot be heard, then those
/// whose placer cannot read the table, where it would find the job.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Readiness {
    heard: bool,
    table_reachable: bool,
    free_cpu_milli: u32,
}

fn readiness(state: &State, zone: &str) -> Readiness {
    if zone == state.placer.zone() && state.placer.is_active() {
        return Readiness {
            heard: true,
            table_reachable: !state.polls.is_unreachable(),
            free_cpu_milli: state.placer.free().cpu_milli,
        };
    }
    let beat = state.peers.placer_of(zone).map(|(_, beat)| beat);
    Readiness {
        heard: beat.is_some(),
        table_reachable: beat.is_some_and(|beat| beat.table_reachable),
        free_cpu_milli: beat.map_or(0, |beat| beat.free_cpu_milli),
    }
}

/// Jobs of a team with an open queue can be seen without a key.
pub(super) fn may_see_job(state: &State, now: Now, key: Option<&str>, job: &str) -> Result<()> {
    let open = |owner: TeamId| has_open_queue(state, &owner);
    if key.is_none() && state.jobs.team_of(job).is_some_and(open) {
        return Ok(());
    }
    owns_job(state, now, key, job)
}

/// A job is its team's.
pub(super) fn owns_job(state: &State, now: Now, key: Option<&str>, job: &str) -> Result<()> {
    let team = verify(state, now, key)?;
    match state.jobs.team_of(job) {
        Some(owner) if owner != team => Err(Reason::Unauthorized),
        _ => Ok(()),
    }
}

fn has_open_queue(state: &State, team: &str) -> bool {
    let names = state
        .records
        .space("queue/")
        .into_iter()
        .map(|row| &row.key["queue/".len()..]);
    names
        .filter_map(|name| state.records.queue(name))
        .any(|queue| *queue.team == *team)
}
