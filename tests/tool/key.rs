//! `ragwortstall key`: secrets are shown once, and only their hashes are sent to a daemon.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;

use ragwortstall::core::key;
use serde_json::Value;

use crate::fake::FakeDaemon;
use crate::fake::Reply;
use crate::fake::Request;
use crate::support::cases;
use crate::tool::DONE;
use crate::tool::NOT_RUN;
use crate::tool::UNKNOWN;
use crate::tool::USAGE;
use crate::tool::run_tool;

const KEYS: &str = r#"[
    {"key":"key/aaaaaa11","version":3,"value":"{\"schema\":1,\"team\":\"dairy\",\"label\":\"line 2\"}"},
    {"key":"key/aaaaaa22","version":4,"value":"{\"schema\":9,\"team\":\"fairs\",\"new\":true}"}
]"#;

fn key_daemon() -> FakeDaemon {
    FakeDaemon::start(|req: &Request, _| match &*req.method {
        "GET" => Reply::json(200, KEYS),
        _ => Reply::json(200, r#"{"version":8}"#),
    })
}

fn temp_path(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_file(&path);
    path
}

#[test]
fn grant_sends_only_the_hash() {
    let daemon = FakeDaemon::always(200, r#"{"version":8}"#);
    let args = ["key", "grant", "dairy", "--label", "line 2", "--json"];
    let output = run_tool(&[daemon.address], &args).expect(DONE);
    let granted: Value = serde_json::from_str(&output.out).unwrap();
    let secret = granted["secret"].as_str().unwrap();
    let req = daemon.only_request();
    assert_eq!(req.path, format!("/v1/records/key/{}", key::hash(secret)));
    assert_eq!(req.header("if-none-match"), Some("*"));
    assert!(!format!("{req:?}").contains(secret));
    assert!(req.body.contains(r#""team":"dairy""#), "{}", req.body);
}

#[test]
fn each_grant_has_a_new_secret() {
    let daemon = FakeDaemon::always(200, r#"{"version":8}"#);
    run_tool(&[daemon.address], &["key", "grant", "dairy"]).expect(DONE);
    run_tool(&[daemon.address], &["key", "grant", "dairy"]).expect(DONE);
    let received = daemon.requests();
    assert_ne!(received[0].path, received[1].path);
}

#[test]
fn out_file_receives_the_secret() {
    let daemon = FakeDaemon::always(200, r#"{"version":8}"#);
    let path = temp_path("granted.key");
    let args = ["key", "grant", "dairy", "--out", path.to_str().unwrap()];
    let output = run_tool(&[daemon.address], &args).expect(DONE);
    let secret = fs::read_to_string(&path).unwrap();
    assert!(!output.out.contains(secret.trim()));
    let mode = fs::metadata(&path).unwrap().permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    let hash = key::hash(secret.trim());
    assert_eq!(
        daemon.only_request().path,
        format!("/v1/records/key/{hash}")
    );
}

#[test]
fn existing_out_file_is_not_overwritten() {
    let daemon = FakeDaemon::always(200, r#"{"version":8}"#);
    let path = temp_path("taken.key");
    fs::write(&path, "older").unwrap();
    let args = ["key", "grant", "dairy", "--out", path.to_str().unwrap()];
    run_tool(&[daemon.address], &args).expect(USAGE);
    assert_eq!(fs::read_to_string(&path).unwrap(), "older");
    assert!(daemon.requests().is_empty());
}

/// The secret must not be shown as granted if the key may not have been stored.
#[test]
fn grant_with_lost_response_is_unknown() {
    let daemon = FakeDaemon::start(|_, _| Reply::Dropped);
    let args = ["key", "grant", "dairy", "--timeout", "1s"];
    let output = run_tool(&[daemon.address], &args).expect(UNKNOWN);
    assert_eq!(output.out, "");
}

#[test]
fn keys_of_newer_schema_are_listed() {
    let daemon = key_daemon();
    let output = run_tool(&[daemon.address], &["key", "list"]).expect(DONE);
    assert!(
        output.out.contains("aaaaaa11  3        dairy  line 2"),
        "{}",
        output.out
    );
    assert!(
        output.out.contains("aaaaaa22  4        fairs"),
        "{}",
        output.out
    );
    let output = run_tool(&[daemon.address], &["key", "list", "--team", "fairs"]).expect(DONE);
    assert!(!output.out.contains("dairy"), "{}", output.out);
}

fn check_withdrawal(prefix: &str, code: i32, path: Option<&str>) {
    let daemon = key_daemon();
    run_tool(&[daemon.address], &["key", "withdraw", prefix]).expect(code);
    let received = daemon.requests();
    let write = received.iter().find(|req| req.method == "DELETE");
    assert_eq!(write.map(|req| &*req.path), path);
    if let Some(write) = write {
        assert_eq!(write.header("if-match"), Some("\"4\""));
    }
}

cases! { check_withdrawal;
    withdrawal_of_one_key("aaaaaa2", DONE, Some("/v1/records/key/aaaaaa22")),
    ambiguous_prefix("aaaaaa", USAGE, None),
    short_prefix("aaaaa", USAGE, None),
    no_such_key("bbbbbbb", NOT_RUN, None),
}

#[test]
fn secret_file_identifies_the_key_to_withdraw() {
    let path = temp_path("leaked.key");
    fs::write(&path, "leaked\n").unwrap();
    let hash = key::hash("leaked");
    let rows = format!(r#"[{{"key":"key/{hash}","version":4,"value":"{{}}"}}]"#);
    let daemon = FakeDaemon::start(move |req: &Request, _| match &*req.method {
        "GET" => Reply::json(200, &rows),
        _ => Reply::json(200, r#"{"version":8}"#),
    });
    let args = ["key", "withdraw", "--secret-file", path.to_str().unwrap()];
    run_tool(&[daemon.address], &args).expect(DONE);
    assert_eq!(daemon.requests()[1].path, format!("/v1/records/key/{hash}"));
}
