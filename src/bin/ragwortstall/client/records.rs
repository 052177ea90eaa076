//! Reads of operators' records over HTTP, and writes by compare-and-set.

use std::time::Duration;
use std::time::Instant;

use compio::time::sleep;
use http::Method;
use http::StatusCode;
use ragwortstall::core::model::Rev;
use ragwortstall::core::model::Row;
use ragwortstall::core::model::Write;
use serde::Deserialize;
use serde_json::Value;

use super::Call;
use super::Client;
use super::Idempotency;
use super::Reply;
use crate::error::Error;
use crate::error::Result;

/// Time between reads that check whether a write took effect after its response was lost.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(500);

/// Field with the schema version. A daemon raises it when it preserves fields of a newer schema.
const SCHEMA_FIELD: &str = "schema";

#[derive(Deserialize)]
struct WriteResponse {
    version: Rev,
}

#[derive(Deserialize)]
struct ConflictResponse {
    version: Rev,
    value: Option<Box<str>>,
}

impl Client {
    /// Returns all records of a space that are not withdrawn.
    pub async fn list_records(&self, space: &str) -> Result<Vec<Row>> {
        let operation = format!("list records of {space}");
        let call = Call::get(&operation, format!("/v1/records/{space}/"));
        self.send(&call).await?.json(&call)
    }

    /// Returns a record, or `None` if it does not exist. A withdrawn record has no value.
    pub async fn read_record(&self, key: &str) -> Result<Option<Row>> {
        let operation = format!("read record {key}");
        let call = Call::get(&operation, record_path(key)?);
        let reply = self.send(&call).await?;
        if reply.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        reply.json(&call).map(Some)
    }

    /// Writes or withdraws a record and returns its new version. If the response is lost, reads the
    /// record until the write is seen or the timeout has passed.
    pub async fn write_record(&self, write: &Write) -> Result<Rev> {
        let call = write_call(write)?;
        let result = self.send(&call).await;
        match result.and_then(|reply| written_version(&call, write, &reply)) {
            Err(err @ Error::OutcomeUnknown(..)) => self.confirm_write(write).await?.ok_or(err),
            result => result,
        }
    }

    /// Returns the version of a write whose response was lost, or `None` if its effect is not seen
    /// within the timeout.
    async fn confirm_write(&self, write: &Write) -> Result<Option<Rev>> {
        let start = Instant::now();
        loop {
            if let Ok(Some(row)) = self.read_record(&write.key).await
                && row.version > write.expect
                && matches_written(row.value.as_deref(), write.value.as_deref())
            {
                return Ok(Some(row.version));
            }
            if start.elapsed() >= self.timeout {
                return Ok(None);
            }
            sleep(CONFIRM_INTERVAL).await;
        }
    }
}

fn write_call(write: &Write) -> Result<Call> {
    let path = record_path(&write.key)?;
    let (verb, method) = match write.value {
        Some(_) => ("write", Method::PUT),
        None => ("withdraw", Method::DELETE),
    };
    let operation = format!("{verb} record {}", write.key);
    let call = Call::new(&operation, Idempotency::NonIdempotent, method, path);
    let call = match write.expect {
        0 => call.header("if-none-match", "*"),
        version => call.header("if-match", &format!("\"{version}\"")),
    };
    let body = write.value.clone().unwrap_or_default();
    Ok(call.body(String::from(body)))
}

fn written_version(call: &Call, write: &Write, reply: &Reply) -> Result<Rev> {
    if reply.status == StatusCode::PRECONDITION_FAILED {
        let current: ConflictResponse = serde_json::from_slice(&reply.body).map_err(|err| {
            Error::Response(call.operation.clone(), reply.server, err.to_string().into())
        })?;
        return Err(Error::Conflict(
            call.operation.clone(),
            conflict_detail(write, &current),
        ));
    }
    reply.json::<WriteResponse>(call).map(|res| res.version)
}

fn conflict_detail(write: &Write, current: &ConflictResponse) -> Box<str> {
    let withdrawn = "withdrawn";
    format!(
        "  now, version {}: {}\n  yours, for version {}: {}",
        current.version,
        current.value.as_deref().unwrap_or(withdrawn),
        write.expect,
        write.value.as_deref().unwrap_or(withdrawn),
    )
    .into()
}

/// Returns whether a stored record matches what was written. A stored record may have additional
/// fields, since a daemon preserves the fields of a newer schema.
fn matches_written(stored: Option<&str>, written: Option<&str>) -> bool {
    let value = |text: &str| serde_json::from_str::<Value>(text).ok();
    match (stored, written) {
        (None, None) => true,
        (Some(stored), Some(written)) => match (value(stored), value(written)) {
            (Some(stored), Some(written)) => contains_fields(&stored, &written),
            _ => false,
        },
        _ => false,
    }
}

fn contains_fields(stored: &Value, written: &Value) -> bool {
    match (stored, written) {
        (Value::Object(stored), Value::Object(written)) => written.iter().all(|(name, value)| {
            let stored = stored.get(name);
            name == SCHEMA_FIELD || stored.is_some_and(|stored| contains_fields(stored, value))
        }),
        _ => stored == written,
    }
}

fn record_path(key: &str) -> Result<String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    let is_valid = |part: &str| !part.is_empty() && part.chars().all(is_allowed);
    match key.split_once('/') {
        Some((space, name)) if is_valid(space) && is_valid(name) => {
            Ok(format!("/v1/records/{key}"))
        }
        _ => Err(Error::Usage(
            format!(
                "\"{key}\" is not a valid record key: \
                 expected SPACE/NAME of letters, digits, '-', '_' and '.'"
            )
            .into(),
        )),
    }
}
