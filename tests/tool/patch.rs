//! `ragwortstall team`, `service` and `queue`: changes of individual fields of a record.

use serde_json::Value;
use serde_json::json;

use crate::fake::FakeDaemon;
use crate::fake::Reply;
use crate::fake::Request;
use crate::support::cases;
use crate::tool::DONE;
use crate::tool::NOT_RUN;
use crate::tool::USAGE;
use crate::tool::run_tool;

/// Starts a daemon that stores the given record, or none.
fn record_daemon(record: Option<&Value>) -> FakeDaemon {
    let row = record
        .map(|value| json!({"key": "k", "version": 7, "value": value.to_string()}).to_string());
    FakeDaemon::start(move |req: &Request, _| match (&*req.method, &row) {
        ("GET", Some(row)) => Reply::json(200, row),
        ("GET", None) => Reply::json(404, r#"{"error":"not found"}"#),
        _ => Reply::json(200, r#"{"version":8}"#),
    })
}

fn check_written_record(
    record: Option<&Value>,
    args: &[&str],
    expected: &Value,
    if_match: Option<&str>,
) {
    let daemon = record_daemon(record);
    run_tool(&[daemon.address], args).expect(DONE);
    let write = daemon.only_write();
    assert_eq!(write.header("if-match"), if_match);
    let body: Value = serde_json::from_str(&write.body).unwrap();
    assert_eq!(body, *expected);
}

cases! { check_written_record;
    new_team(
        None,
        &["team", "dairy", "--weight", "2", "--cpu", "1.5", "--mem", "4GiB"],
        &json!({"schema": 1, "weight": 2, "limit":
            {"cpu_milli": 1_500, "mem_mib": 4_096, "accel": 0, "tasks": u32::MAX}}),
        None,
    ),
    fields_of_newer_schema_are_preserved(
        Some(&json!({"schema": 3, "weight": 2, "burst": true,
            "limit": {"cpu_milli": 10, "mem_mib": 20, "disk_mib": 30}})),
        &["team", "dairy", "--mem", "40MiB"],
        &json!({"schema": 3, "weight": 2, "burst": true,
            "limit": {"cpu_milli": 10, "mem_mib": 40, "disk_mib": 30}}),
        Some("\"7\""),
    ),
    newer_field_raises_the_schema(
        Some(&json!({"schema": 1, "weight": 2})),
        &["team", "dairy", "--urgent", "false", "--starvation-bound", "90s"],
        &json!({"schema": 2, "weight": 2, "urgent": false, "starvation_bound": "1m 30s"}),
        Some("\"7\""),
    ),
    newer_field_does_not_lower_the_schema(
        Some(&json!({"schema": 3, "weight": 2})),
        &["team", "dairy", "--urgent", "true"],
        &json!({"schema": 3, "weight": 2, "urgent": true}),
        Some("\"7\""),
    ),
    new_service(
        None,
        &["service", "labels", "--team", "dairy", "--count", "4", "--cpu", "500m", "--caller",
            "fairs"],
        &json!({"schema": 1, "team": "dairy", "count": 4, "size": {"cpu_milli": 500},
            "callers": ["fairs"]}),
        None,
    ),
    open_service_is_closed(
        Some(&json!({"schema": 1, "team": "dairy", "open": true})),
        &["service", "labels", "--open", "false"],
        &json!({"schema": 1, "team": "dairy", "open": false}),
        Some("\"7\""),
    ),
    new_queue(
        None,
        &["queue", "proofs", "--team", "fairs"],
        &json!({"schema": 1, "team": "fairs"}),
        None,
    ),
}

/// Guards against lost updates: the change must be written on condition that the record still has
/// the version that was read.
#[test]
fn concurrent_write_is_reported_as_conflict() {
    let row = r#"{"key":"team/dairy","version":7,"value":"{\"weight\":1}"}"#;
    let daemon = FakeDaemon::start(move |req: &Request, _| match &*req.method {
        "GET" => Reply::json(200, row),
        _ => Reply::json(412, r#"{"version":8,"value":"{\"weight\":9}"}"#),
    });
    let args = ["team", "dairy", "--weight", "2"];
    let err = run_tool(&[daemon.address], &args).expect(NOT_RUN).err;
    assert!(err.contains(r#"now, version 8: {"weight":9}"#), "{err}");
    assert!(
        err.contains(r#"yours, for version 7: {"weight":2}"#),
        "{err}"
    );
}

fn check_invalid_amount(flag: &str, amount: &str) {
    let daemon = record_daemon(None);
    run_tool(&[daemon.address], &["team", "dairy", flag, amount]).expect(USAGE);
    assert!(daemon.requests().is_empty());
}

cases! { check_invalid_amount;
    negative_cpu("--cpu", "-1"),
    infinite_cpu("--cpu", "inf"),
    non_numeric_cpu("--cpu", "two"),
    memory_without_unit("--mem", "512"),
    memory_out_of_range("--mem", "4294967295GiB"),
}
