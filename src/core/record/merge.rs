//! Preparation of operators' record writes: validation, and merging with a stored record of a newer
//! schema version.

use serde_json::Map;
use serde_json::Value;

use super::Records;
use super::Result;
use super::check;
use crate::core::model::Rev;
use crate::core::model::Row;
use crate::core::model::Write;

/// Reason for which a write is refused without being sent to the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PrepareError {
    /// The record is malformed; contains a message for the operator.
    Invalid(Box<str>),
    /// The record has a higher version than the operator expects; contains the current row.
    Conflict(Row),
    /// The operator expects a higher version than this view has, so the schema of the stored record
    /// is unknown here.
    StaleView,
}

impl From<Box<str>> for PrepareError {
    fn from(message: Box<str>) -> Self {
        Self::Invalid(message)
    }
}

/// Checks an operator's write and returns the write to commit.
pub fn prepare(
    records: &Records,
    key: &str,
    expect: Rev,
    value: Option<&str>,
) -> Result<Write, PrepareError> {
    let (space, _) = check::parse_key(key)?;
    let row = records.row(key);
    let version = row.map_or(0, |row| row.version);
    let stored = row.and_then(|row| row.value.as_deref());
    let object = value.map(|text| parse_checked(space, text)).transpose()?;
    match row {
        Some(row) if version > expect && (expect > 0 || stored.is_some()) => {
            return Err(PrepareError::Conflict(row.clone()));
        }
        _ if version < expect => return Err(PrepareError::StaleView),
        _ => {}
    }
    let value = match object {
        Some((object, schema)) => Some(merge_newer_fields(space, object, schema, stored)?),
        None => None,
    };
    Ok(Write {
        key: key.into(),
        expect: version,
        value,
    })
}

fn parse_checked(space: &str, text: &str) -> Result<(Map<String, Value>, u64)> {
    let (object, schema) = check::parse_object(text)?;
    check::check_fields(space, &object, schema)?;
    check::check_values(space, text)?;
    Ok((object, schema))
}

/// Adds the fields of a stored record of a newer schema version that the schema of the written
/// record does not have.
fn merge_newer_fields(
    space: &str,
    mut object: Map<String, Value>,
    schema: u64,
    stored: Option<&str>,
) -> Result<Box<str>> {
    let stored = stored.and_then(|text| check::parse_object(text).ok());
    if let Some((stored, stored_schema)) = stored
        && stored_schema > schema
        && let Some(known) = check::fields(space, schema)
    {
        let newer = stored
            .into_iter()
            .filter(|(name, _)| !known.contains(&name.as_str()));
        object.extend(newer);
        object.insert("schema".into(), stored_schema.into());
    }
    let text = Value::Object(object).to_string();
    check::check_values(space, &text)?;
    Ok(text.into())
}
