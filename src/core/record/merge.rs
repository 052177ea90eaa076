//! What is stored when an operator writes a record: checked, and merged with a stored newer form.

use serde_json::Map;
use serde_json::Value;

use super::Records;
use super::Result;
use super::check;
use crate::core::model::Rev;
use crate::core::model::Row;
use crate::core::model::Write;

/// Why a write is not even tried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PrepareError {
    /// The record is malformed; a sentence for the operator.
    Invalid(Box<str>),
    /// The record has a higher version than the operator saw.
    Conflict(Row),
    /// The operator saw a higher version than this view has, so that its form is not known here.
    StaleView,
}

impl From<Box<str>> for PrepareError {
    fn from(message: Box<str>) -> Self {
        Self::Invalid(message)
    }
}

/// Checks an operator's write and returns the one to commit.
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
    let object = value.map(|text| checked(space, text)).transpose()?;
    match row {
        Some(row) if version > expect && (expect > 0 || stored.is_some()) => {
            return Err(PrepareError::Conflict(row.clone()));
        }
        _ if version < expect => return Err(PrepareError::StaleView),
        _ => {}
    }
    let value = match object {
        Some((object, schema)) => Some(merged(space, object, schema, stored)?),
        None => None,
    };
    Ok(Write {
        key: key.into(),
        expect: version,
        value,
    })
}

fn checked(space: &str, text: &str) -> Result<(Map<String, Value>, u64)> {
    let (object, schema) = check::parse_object(text)?;
    check::check_fields(space, &object, schema)?;
    check::check_values(space, text)?;
    Ok((object, schema))
}

/// Keeps the fields of a stored newer form that the writer's form does not have.
fn merged(
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
