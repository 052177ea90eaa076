//! Changes individual fields of a record. All other fields keep their values, including fields of a
//! newer schema that this tool does not know.

use ragwortstall::core::model::Write;
use serde_json::Map;
use serde_json::Value;

use super::record;
use crate::client::Client;
use crate::client::GlobalOptions;
use crate::error::Error;
use crate::error::Result;

/// Field with the schema version.
const SCHEMA_FIELD: &str = "schema";

/// Fields of a record.
pub type Fields = Map<String, Value>;

/// Reads the record, merges `changes` into it, or into `initial` if the record does not exist, and
/// writes the result on condition that the record still has the version that was read.
pub async fn apply(
    key: &str,
    initial: Fields,
    changes: Fields,
    options: &GlobalOptions,
) -> Result<()> {
    let client = Client::new(options)?;
    let row = client.read_record(key).await?;
    let expect = row.as_ref().map_or(0, |row| row.version);
    let mut value = match row.and_then(|row| row.value) {
        Some(text) => parse_fields(key, &text)?,
        None => initial,
    };
    let schema_before = value.get(SCHEMA_FIELD).and_then(Value::as_u64);
    merge(&mut value, changes);
    raise_schema(&mut value, schema_before);
    let write = Write {
        key: key.into(),
        expect,
        value: Some(Value::Object(value).to_string().into()),
    };
    record::write_and_show(&client, write, options).await
}

/// Sets a field if a value is given.
pub fn set<T: Into<Value>>(fields: &mut Fields, name: &str, value: Option<T>) {
    if let Some(value) = value {
        fields.insert(name.into(), value.into());
    }
}

/// Sets an object field if the object has any fields.
pub fn set_object(fields: &mut Fields, name: &str, object: Fields) {
    if !object.is_empty() {
        fields.insert(name.into(), Value::Object(object));
    }
}

/// Sets the schema version to the higher of those before and after the merge, since a change may
/// need a newer schema than the record has but must not lower it.
fn raise_schema(value: &mut Fields, before: Option<u64>) {
    let after = value.get(SCHEMA_FIELD).and_then(Value::as_u64);
    set(value, SCHEMA_FIELD, before.max(after));
}

fn parse_fields(key: &str, text: &str) -> Result<Fields> {
    serde_json::from_str(text)
        .map_err(|err| Error::InvalidContent(key.into(), format!("invalid record: {err}").into()))
}

fn merge(value: &mut Fields, changes: Fields) {
    for (name, change) in changes {
        match (value.get_mut(&name), change) {
            (Some(Value::Object(inner)), Value::Object(change)) => merge(inner, change),
            (_, change) => {
                value.insert(name, change);
            }
        }
    }
}
