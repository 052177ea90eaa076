//! `ragwortstall check`, and the options of all commands.

use crate::fake::FakeDaemon;
use crate::tool::DONE;
use crate::tool::USAGE;
use crate::tool::command;
use crate::tool::run_tool;
use crate::tool::tool_output;

#[test]
fn valid_settings_are_checked_without_a_daemon() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/etc/ragwortstalld.toml");
    let output = run_tool(&[], &["check", file]).expect(DONE);
    assert!(output.out.contains("valid; daemon entry-a-1 in zone-a"));
}

#[test]
fn error_names_file_key_and_reason() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml");
    let output = run_tool(&[], &["check", file]).expect(USAGE);
    assert!(output.err.contains("Cargo.toml: top level: unknown field"));
}

#[test]
fn missing_server_is_a_usage_error() {
    let output = run_tool(&[], &["status"]).expect(USAGE);
    assert!(output.err.contains("--server IP:PORT"), "{}", output.err);
}

#[test]
fn host_name_is_rejected_as_server() {
    run_tool(&[], &["status", "--server", "localhost:7400"]).expect(USAGE);
}

/// Arguments are visible to other users of the machine, so no flag may take the secret itself.
#[test]
fn secret_is_not_accepted_as_argument() {
    run_tool(&[], &["status", "--key", "secret"]).expect(USAGE);
}

/// Guards against leaking the secret to a proxy: the HTTP library must ignore the proxy variables
/// of the environment.
#[test]
fn proxy_variables_are_ignored() {
    let daemon = FakeDaemon::always(200, "[]");
    let proxy = FakeDaemon::always(200, "[]");
    let mut command = command(&[daemon.address], &["record", "list", "team"]);
    let url = format!("http://{}", proxy.address);
    command.env("http_proxy", &url).env("HTTP_PROXY", &url);
    tool_output(&command.output().unwrap()).expect(DONE);
    assert_eq!(daemon.requests().len(), 1);
    assert!(proxy.requests().is_empty());
}
