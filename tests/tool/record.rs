//! `ragwortstall record`: every write is a compare-and-set.

use std::fs;
use std::path::PathBuf;

use crate::fake::FakeDaemon;
use crate::fake::Reply;
use crate::fake::Request;
use crate::support::cases;
use crate::tool::DONE;
use crate::tool::NOT_RUN;
use crate::tool::UNKNOWN;
use crate::tool::USAGE;
use crate::tool::run_tool;

/// Writes a file to the temporary directory of the tests.
fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}

fn put(daemon: &FakeDaemon, name: &str, text: &str, flags: &[&str]) -> crate::tool::ToolOutput {
    let path = write_file(name, text);
    let mut args = vec!["record", "put", "team/dairy", path.to_str().unwrap()];
    args.extend(flags);
    run_tool(&[daemon.address], &args)
}

fn check_condition(
    name: &str,
    flags: &[&str],
    if_match: Option<&str>,
    if_none_match: Option<&str>,
) {
    let daemon = FakeDaemon::always(200, r#"{"version":8}"#);
    let output = put(&daemon, name, r#"{"schema": 1}"#, flags).expect(DONE);
    assert!(output.out.contains("team/dairy  8"), "{output:?}");
    let req = daemon.only_write();
    assert_eq!(
        (&*req.method, &*req.path),
        ("PUT", "/v1/records/team/dairy")
    );
    assert_eq!(req.header("if-match"), if_match);
    assert_eq!(req.header("if-none-match"), if_none_match);
    assert_eq!(req.body, r#"{"schema":1}"#);
}

cases! { check_condition;
    new_record_must_not_exist("new.json", &[], None, Some("*")),
    replaced_record_must_have_its_version(
        "replaced.json", &["--version", "7"], Some("\"7\""), None,
    ),
}

#[test]
fn toml_is_written_as_json() {
    let daemon = FakeDaemon::always(200, r#"{"version":8}"#);
    put(&daemon, "record.toml", "schema = 1\nweight = 2\n", &[]).expect(DONE);
    assert_eq!(daemon.only_write().body, r#"{"schema":1,"weight":2}"#);
}

#[test]
fn conflict_shows_both_versions() {
    let current = r#"{"version":9,"value":"{\"weight\":5}"}"#;
    let daemon = FakeDaemon::always(412, current);
    let output = put(
        &daemon,
        "conflict.json",
        r#"{"weight":2}"#,
        &["--version", "7"],
    );
    let err = output.expect(NOT_RUN).err;
    assert!(err.contains(r#"now, version 9: {"weight":5}"#), "{err}");
    assert!(
        err.contains(r#"yours, for version 7: {"weight":2}"#),
        "{err}"
    );
    daemon.only_request();
}

#[test]
fn conflict_with_withdrawal_shows_withdrawn() {
    let daemon = FakeDaemon::always(412, r#"{"version":9,"value":null}"#);
    let err = put(&daemon, "gone.json", "{}", &["--version", "7"])
        .expect(NOT_RUN)
        .err;
    assert!(err.contains("now, version 9: withdrawn"), "{err}");
}

/// Checks the exit code of a write whose response is lost; later reads return `row`.
fn check_lost_response(name: &str, row: &'static str, code: i32) {
    let daemon = FakeDaemon::start(move |req: &Request, _| match &*req.method {
        "GET" => Reply::json(200, row),
        _ => Reply::Dropped,
    });
    let flags = ["--version", "7", "--timeout", "1s"];
    put(&daemon, name, r#"{"schema":1,"weight":2}"#, &flags).expect(code);
    let writes = daemon
        .requests()
        .iter()
        .filter(|req| req.method == "PUT")
        .count();
    assert_eq!(writes, 1);
}

cases! { check_lost_response;
    lost_response_to_write_that_took_effect(
        "took.json",
        r#"{"key":"team/dairy","version":8,"value":"{ \"weight\": 2, \"schema\": 1 }"}"#,
        DONE,
    ),
    lost_response_to_write_stored_with_newer_fields(
        "newer.json",
        r#"{"key":"team/dairy","version":8,"value":"{\"schema\":2,\"weight\":2,\"new\":1}"}"#,
        DONE,
    ),
    lost_response_to_write_without_effect(
        "unseen.json",
        r#"{"key":"team/dairy","version":7,"value":"{\"schema\":1,\"weight\":2}"}"#,
        UNKNOWN,
    ),
    lost_response_to_write_replaced_by_another(
        "other.json",
        r#"{"key":"team/dairy","version":9,"value":"{\"weight\":5}"}"#,
        UNKNOWN,
    ),
}

/// Guards against showing the record as sent: a daemon preserves the fields of a newer schema, so
/// the stored record may differ.
#[test]
fn stored_record_is_shown_after_write() {
    let row = r#"{"key":"team/dairy","version":8,"value":"{\"schema\":2,\"weight\":2,\"new\":1}"}"#;
    let daemon = FakeDaemon::start(move |req: &Request, _| match &*req.method {
        "GET" => Reply::json(200, row),
        _ => Reply::json(200, r#"{"version":8}"#),
    });
    let output = put(&daemon, "older.json", r#"{"schema":1,"weight":2}"#, &[]).expect(DONE);
    assert!(output.out.contains(r#""new":1"#), "{}", output.out);
}

#[test]
fn withdrawal_sends_the_version() {
    let daemon = FakeDaemon::always(200, r#"{"version":8}"#);
    let args = ["record", "withdraw", "team/dairy", "--version", "7"];
    let output = run_tool(&[daemon.address], &args).expect(DONE);
    assert!(output.out.contains("withdrawn"), "{output:?}");
    let req = daemon.only_write();
    assert_eq!(
        (&*req.method, req.header("if-match")),
        ("DELETE", Some("\"7\""))
    );
}

#[test]
fn withdrawal_without_version_is_a_usage_error() {
    let daemon = FakeDaemon::always(200, "{}");
    run_tool(&[daemon.address], &["record", "withdraw", "team/dairy"]).expect(USAGE);
    assert!(daemon.requests().is_empty());
}

fn check_invalid_key(key: &str) {
    let daemon = FakeDaemon::always(200, "{}");
    run_tool(&[daemon.address], &["record", "get", key]).expect(USAGE);
    assert!(daemon.requests().is_empty());
}

cases! { check_invalid_key;
    key_without_space("dairy"),
    key_of_three_parts("team/dairy/1"),
    key_with_escape("team/%2e"),
    key_without_name("team/"),
}

#[test]
fn missing_record_is_reported() {
    let daemon = FakeDaemon::always(404, r#"{"error":"not found"}"#);
    let output = run_tool(&[daemon.address], &["record", "get", "team/x"]).expect(NOT_RUN);
    assert!(output.err.contains("record team/x does not exist"));
}

#[test]
fn json_list_is_one_document() {
    let rows = r#"[{"key":"team/a","version":1,"value":"{}"}]"#;
    let daemon = FakeDaemon::always(200, rows);
    let output = run_tool(&[daemon.address], &["record", "list", "team", "--json"]).expect(DONE);
    let rows: serde_json::Value = serde_json::from_str(&output.out).unwrap();
    assert_eq!(rows[0]["key"], "team/a");
    assert_eq!(daemon.only_request().path, "/v1/records/team/");
}
