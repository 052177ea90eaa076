//! Error messages for invalid records, and records of several schema versions.

use ragwortstall::core::model::Row;
use ragwortstall::core::record::PrepareError;
use ragwortstall::core::record::Records;
use ragwortstall::core::record::TeamRecord;
use ragwortstall::core::record::prepare;
use serde_json::Value;
use serde_json::json;

use crate::support::cases;

fn rejects(key: &str, value: &str, expected: &str) {
    let result = prepare(&Records::default(), key, 0, Some(value));
    let Err(PrepareError::Invalid(message)) = result else {
        panic!("{result:?}");
    };
    assert!(message.contains(expected), "{message}");
}

cases! { rejects;
    key_without_space("team", "{}", "not of the form space/name"),
    unknown_space("teams/a", "{}", "there is no space `teams`; spaces are team, key"),
    name_with_slash("team/a/b", "{}", "`a/b` is no name"),
    empty_name("team/", "{}", "`` is no name"),
    secret_as_name_of_a_key("key/hunter2", "{}", "the secret itself is never stored"),
    malformed_json("team/a", "{", "not JSON"),
    array_instead_of_object("team/a", "[]", "a record is a JSON object"),
    missing_schema("team/a", "{}", "schema: missing"),
    schema_zero("team/a", r#"{"schema":0}"#, "schema: must be a whole number from 1"),
    missing_limit("team/a", r#"{"schema":1}"#, "missing field `limit`"),
    unknown_field(
        "team/a",
        r#"{"schema":1,"limit":{},"wieght":2}"#,
        "wieght: no such field in schema 1 of `team`; its fields are schema, weight, limit"
    ),
    field_of_a_later_schema(
        "team/a",
        r#"{"schema":1,"limit":{},"urgent":false}"#,
        "urgent: no such field in schema 1"
    ),
    negative_limit(
        "team/a",
        r#"{"schema":1,"limit":{"tasks":-1}}"#,
        "invalid value: integer `-1`"
    ),
    weight_zero("team/a", r#"{"schema":1,"limit":{},"weight":0}"#, "weight: must be from 1"),
    limit_without_tasks(
        "team/a",
        r#"{"schema":1,"limit":{"cpu_milli":1000}}"#,
        "limit: has resources but no tasks"
    ),
    limit_of_tasks_only(
        "team/a",
        r#"{"schema":1,"limit":{"tasks":10}}"#,
        "limit: has tasks but neither"
    ),
    starvation_bound_too_short(
        "team/a",
        r#"{"schema":2,"limit":{},"starvation_bound":"1ms"}"#,
        "starvation_bound: must be at least 1s"
    ),
    queue_with_empty_team("queue/q", r#"{"schema":1,"team":""}"#, "team: `` is no name"),
    instances_without_size(
        "service/s",
        r#"{"schema":1,"team":"a","count":2}"#,
        "size: an instance needs"
    ),
}

fn view(value: &Value) -> Records {
    let mut records = Records::default();
    records.apply(&[Row {
        key: "team/a".into(),
        version: 7,
        value: Some(value.to_string().into()),
    }]);
    records
}

/// Guards against a writer with an older schema version removing fields that its schema lacks.
fn merged(stored: &Value, written: &Value, expected: &Value) {
    let write = prepare(&view(stored), "team/a", 7, Some(&written.to_string())).unwrap();
    assert_eq!(write.expect, 7);
    let value: Value = serde_json::from_str(&write.value.unwrap()).unwrap();
    assert_eq!(value, *expected);
}

cases! { merged;
    older_schema_keeps_newer_fields(
        &json!({"schema": 2, "weight": 1, "limit": {"tasks": 0}, "urgent": false}),
        &json!({"schema": 1, "weight": 3, "limit": {}}),
        &json!({"schema": 2, "weight": 3, "limit": {}, "urgent": false})
    ),
    older_schema_drops_its_own_fields(
        &json!({"schema": 2, "weight": 9, "limit": {}, "urgent": false}),
        &json!({"schema": 1, "limit": {}}),
        &json!({"schema": 2, "limit": {}, "urgent": false})
    ),
    stored_schema_newer_than_this_build_is_kept(
        &json!({"schema": 9, "limit": {}, "region": "hills"}),
        &json!({"schema": 2, "limit": {}, "urgent": true}),
        &json!({"schema": 9, "limit": {}, "urgent": true, "region": "hills"})
    ),
    written_schema_newer_than_this_build_is_stored_unchanged(
        &json!({"schema": 2, "limit": {}, "urgent": false}),
        &json!({"schema": 9, "limit": {}, "region": "hills"}),
        &json!({"schema": 9, "limit": {}, "region": "hills"})
    ),
    same_schema_replaces_the_record(
        &json!({"schema": 2, "limit": {}, "urgent": false}),
        &json!({"schema": 2, "limit": {}}),
        &json!({"schema": 2, "limit": {}})
    ),
    newer_schema_replaces_the_record(
        &json!({"schema": 1, "limit": {}, "weight": 4}),
        &json!({"schema": 2, "limit": {}, "urgent": false}),
        &json!({"schema": 2, "limit": {}, "urgent": false})
    ),
}

fn parses(stored: &Value, weight: u32, urgent: bool) {
    let record = TeamRecord::from_json(&stored.to_string()).unwrap();
    assert_eq!((record.weight, record.urgent), (weight, urgent));
}

cases! { parses;
    first_schema(&json!({"schema": 1, "limit": {}}), 1, true),
    second_schema(&json!({"schema": 2, "limit": {}, "weight": 2, "urgent": false}), 2, false),
    later_schema(&json!({"schema": 9, "limit": {}, "weight": 2, "more": [1]}), 2, true),
}

/// Guards against merging a write with a record of another version than the writer expects.
fn expected_version(expect: u64, expected: Option<&str>) {
    let records = view(&json!({"schema": 2, "limit": {}}));
    let result = prepare(
        &records,
        "team/a",
        expect,
        Some(r#"{"schema":1,"limit":{}}"#),
    );
    let actual = match result {
        Ok(_) => None,
        Err(PrepareError::Invalid(_)) => Some("invalid"),
        Err(PrepareError::Conflict(row)) if row.version == 7 => Some("conflict"),
        Err(PrepareError::Conflict(_)) => Some("conflict with another row"),
        Err(PrepareError::StaleView) => Some("stale view"),
    };
    assert_eq!(actual, expected);
}

cases! { expected_version;
    current_version(7, None),
    version_zero_of_an_existing_record(0, Some("conflict")),
    older_version(6, Some("conflict")),
    version_newer_than_the_view(8, Some("stale view")),
}
