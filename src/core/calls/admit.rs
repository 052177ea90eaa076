//! Authorization and admission of calls, and the choice of the zone that owns a job.

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

/// Result of an admission check.
pub(super) type Result<T, E = Reason> = std::result::Result<T, E>;

/// Maximum number of tasks in a job.
const MAX_TASKS: u32 = 100_000;

/// Checks that the caller may use the service. Returns the team of the caller's key, or `None` for
/// an open service, which needs no key.
pub(super) fn authorize_request(
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

/// Checks that a job may be submitted, sets its team and returns the zone that should own it.
pub(super) fn admit_job(
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
    validate_spec(spec)?;
    let record = state
        .records
        .team(&spec.team)
        .ok_or(Reason::UnknownTarget)?;
    if spec.urgent && !record.urgent {
        return Err(Reason::Unauthorized);
    }
    if !record.limit.holds(&min_concurrent(spec)) {
        return Err(Reason::NeverFits);
    }
    if state.polls.is_unreachable() && !state.jobs.contains(&spec.id) {
        return Err(Reason::PlatformUnavailable);
    }
    choose_zone(state, spec)
}

fn validate_spec(spec: &mut JobSpec) -> Result<()> {
    spec.size.tasks = 1;
    let valid_id = !spec.id.is_empty() && !spec.id.contains('/');
    let valid_size = spec.count > 0 && (spec.size.cpu_milli > 0 || spec.size.mem_mib > 0);
    let valid_kind = !matches!(spec.kind, JobKind::Service { .. });
    if valid_id && valid_size && valid_kind && spec.count <= MAX_TASKS {
        Ok(())
    } else {
        Err(Reason::Invalid)
    }
}

/// Returns the resources that the job needs at the same time to make progress.
fn min_concurrent(spec: &JobSpec) -> Resources {
    match spec.kind {
        JobKind::Gang => spec.size.times(spec.count),
        JobKind::Batch | JobKind::Service { .. } => spec.size,
    }
}

/// Returns the zone with the highest [`Readiness`] among those that could hold the job if they
/// were empty.
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
    if zones.is_empty() && !has_worker_list(state) {
        return Err(Reason::PlatformUnavailable);
    }
    let required = min_concurrent(spec);
    zones
        .into_iter()
        .filter(|(_, total)| total.holds(&required))
        .map(|(zone, _)| zone)
        .max_by_key(|zone| zone_readiness(state, zone))
        .cloned()
        .ok_or(Reason::NeverFits)
}

/// Returns whether a membership list with worker VMs was read since the start. Without it, it is
/// unknown which jobs can never fit.
fn has_worker_list(state: &State) -> bool {
    state
        .members
        .values()
        .any(|member| matches!(member.role, MemberRole::Worker { .. }))
}

/// Rank of a zone for a new job. Zones without a reachable placer rank lowest, then those whose
/// placer cannot read the table and so cannot find the job there. The others rank by free CPU.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Readiness {
    placer_reachable: bool,
    table_reachable: bool,
    free_cpu_milli: u32,
}

fn zone_readiness(state: &State, zone: &str) -> Readiness {
    if zone == state.placer.zone() && state.placer.is_active() {
        return Readiness {
            placer_reachable: true,
            table_reachable: !state.polls.is_unreachable(),
            free_cpu_milli: state.placer.free().cpu_milli,
        };
    }
    let beat = state.peers.placer_of(zone).map(|(_, beat)| beat);
    Readiness {
        placer_reachable: beat.is_some(),
        table_reachable: beat.is_some_and(|beat| beat.table_reachable),
        free_cpu_milli: beat.map_or(0, |beat| beat.free_cpu_milli),
    }
}

/// Checks that the caller may read a job. Jobs of a team with an open queue need no key.
pub(super) fn authorize_job_read(
    state: &State,
    now: Now,
    key: Option<&str>,
    job: &str,
) -> Result<()> {
    let open = |owner: TeamId| has_open_queue(state, &owner);
    if key.is_none() && state.jobs.team_of(job).is_some_and(open) {
        return Ok(());
    }
    authorize_job_owner(state, now, key, job)
}

/// Checks that the caller's team owns a job. An unknown job passes, and the call is then
/// answered with `NotFound`.
pub(super) fn authorize_job_owner(
    state: &State,
    now: Now,
    key: Option<&str>,
    job: &str,
) -> Result<()> {
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
