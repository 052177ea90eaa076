//! Validation of records that operators write. Every error is a message for the operator.

use std::time::Duration;

use serde_json::Map;
use serde_json::Value;

use super::KeyRecord;
use super::QueueRecord;
use super::Result;
use super::SPACES;
use super::ServiceRecord;
use super::TeamRecord;

/// Maximum length of a record's name, in bytes.
const MAX_NAME_LENGTH: usize = 128;

/// Length of a key record's name, the hexadecimal SHA-256 of the key's secret.
const HASH_LENGTH: usize = 64;

/// Maximum weight of a team.
const MAX_WEIGHT: u32 = 1_000_000;

/// Minimum starvation bound.
const MIN_STARVATION_BOUND: Duration = Duration::from_secs(1);

/// Returns the fields of each schema version of a space, oldest first.
fn schemas(space: &str) -> &'static [&'static [&'static str]] {
    match space {
        "team" => &[
            &["schema", "weight", "limit"],
            &["schema", "weight", "limit", "starvation_bound", "urgent"],
        ],
        "key" => &[&["schema", "team", "label"]],
        "service" => &[&["schema", "team", "count", "size", "open", "callers"]],
        "queue" => &[&["schema", "team", "service"]],
        _ => &[],
    }
}

/// Returns the fields of a schema version, `None` if the version is newer than this build.
pub(super) fn fields(space: &str, schema: u64) -> Option<&'static [&'static str]> {
    let index = usize::try_from(schema).ok()?.checked_sub(1)?;
    schemas(space).get(index).copied()
}

/// Parses a record's key into its space and name.
pub(super) fn parse_key(key: &str) -> Result<(&str, &str)> {
    let Some((space, name)) = key.split_once('/') else {
        return Err(format!("`{key}` is not of the form space/name").into());
    };
    if !SPACES
        .iter()
        .any(|known| known.trim_end_matches('/') == space)
    {
        let known = SPACES.map(|space| space.trim_end_matches('/')).join(", ");
        return Err(format!("there is no space `{space}`; spaces are {known}").into());
    }
    check_name(space, name)?;
    Ok((space, name))
}

fn check_name(space: &str, name: &str) -> Result<()> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.is_empty() || name.len() > MAX_NAME_LENGTH || !name.chars().all(is_allowed) {
        return Err(format!(
            "`{name}` is no name: use 1 to {MAX_NAME_LENGTH} of letters, digits, `-`, `_` and `.`"
        )
        .into());
    }
    let is_hex = |c: char| matches!(c, '0'..='9' | 'a'..='f');
    if space == "key" && (name.len() != HASH_LENGTH || !name.chars().all(is_hex)) {
        return Err(
            "a key is named by the SHA-256 of its secret, as 64 lower-case hexadecimal \
             digits; the secret itself is never stored"
                .into(),
        );
    }
    Ok(())
}

/// Parses a record into its JSON object and schema version.
pub(super) fn parse_object(text: &str) -> Result<(Map<String, Value>, u64)> {
    let value = serde_json::from_str(text).map_err(|err| format!("not JSON: {err}"))?;
    let Value::Object(object) = value else {
        return Err("a record is a JSON object".into());
    };
    match object.get("schema").map(Value::as_u64) {
        Some(Some(schema)) if schema > 0 => Ok((object, schema)),
        Some(_) => Err("schema: must be a whole number from 1".into()),
        None => Err("schema: missing; it names the form of the record, from 1".into()),
    }
}

/// Checks that a record has no unknown fields, if this build knows its schema version.
pub(super) fn check_fields(space: &str, object: &Map<String, Value>, schema: u64) -> Result<()> {
    let Some(known) = fields(space, schema) else {
        return Ok(());
    };
    match object.keys().find(|name| !known.contains(&name.as_str())) {
        None => Ok(()),
        Some(name) => Err(format!(
            "{name}: no such field in schema {schema} of `{space}`; its fields are {}",
            known.join(", ")
        )
        .into()),
    }
}

/// Checks the values of the fields that this build knows.
pub(super) fn check_values(space: &str, text: &str) -> Result<()> {
    match space {
        "team" => TeamRecord::from_json(text).and_then(|record| check_team(&record)),
        "key" => {
            KeyRecord::from_json(text).and_then(|record| check_team_name("team", &record.team))
        }
        "service" => ServiceRecord::from_json(text).and_then(|record| check_service(&record)),
        _ => QueueRecord::from_json(text).and_then(|record| check_team_name("team", &record.team)),
    }
}

fn check_team(record: &TeamRecord) -> Result<()> {
    if record.weight == 0 || record.weight > MAX_WEIGHT {
        return Err(format!("weight: must be from 1 to {MAX_WEIGHT}").into());
    }
    let limit = &record.limit;
    if limit.tasks == 0 && (limit.cpu_milli > 0 || limit.mem_mib > 0 || limit.accel > 0) {
        return Err(
            "limit: has resources but no tasks, so that nothing could run; give `tasks` too, \
             or set all to 0 to stop the team"
                .into(),
        );
    }
    if limit.tasks > 0 && limit.cpu_milli == 0 && limit.mem_mib == 0 {
        return Err(
            "limit: has tasks but neither processor time nor memory, so that nothing could run"
                .into(),
        );
    }
    match record.starvation_bound {
        Some(bound) if bound < MIN_STARVATION_BOUND => {
            Err("starvation_bound: must be at least 1s".into())
        }
        _ => Ok(()),
    }
}

fn check_service(record: &ServiceRecord) -> Result<()> {
    check_team_name("team", &record.team)?;
    for caller in &record.callers {
        check_team_name("callers", caller)?;
    }
    if record.count > 0 && record.size.cpu_milli == 0 && record.size.mem_mib == 0 {
        return Err(
            "size: an instance needs processor time or memory when `count` is above 0".into(),
        );
    }
    Ok(())
}

fn check_team_name(field: &str, team: &str) -> Result<()> {
    check_name("team", team).map_err(|err| format!("{field}: {err}").into())
}
