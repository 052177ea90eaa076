//! `ragwortstall status`

use crate::fake::FakeDaemon;
use crate::fake::Reply;
use crate::fake::unreachable_address;
use crate::tool::DONE;
use crate::tool::NOT_RUN;
use crate::tool::run_tool;

const STATUS: &str = r#"{"daemon":"entry-a","zone":"zone-a","placer":true,"records_rev":7,
    "table_reachable":false,"keys_fresh":true,"draining":false,"requests":3,
    "free":{"cpu_milli":100,"mem_mib":200,"accel":0,"tasks":1},
    "peers":[{"daemon":"entry-b","zone":"zone-b","reachable":false,"placer":true}],"newer":1}"#;

#[test]
fn all_daemons_are_shown_in_one_table() {
    let a = FakeDaemon::always(200, STATUS);
    let b = FakeDaemon::always(200, r#"{"daemon":"entry-b","draining":true}"#);
    let out = run_tool(&[a.address, b.address], &["status"])
        .expect(DONE)
        .out;
    let lines: Vec<&str> = out.lines().collect();
    assert_eq!(lines.len(), 3, "{out}");
    let words: Vec<&str> = lines[1].split_whitespace().collect();
    let address = a.address.to_string();
    let expected = [
        "entry-a",
        "zone-a",
        &address,
        "yes",
        "unreachable",
        "fresh",
        "7",
        "3",
        "100m",
        "200MiB",
        "0/1",
        "serving",
    ];
    assert_eq!(words, expected);
    assert!(lines[2].ends_with("draining"), "{out}");
}

/// A daemon that does not respond must have a row, and the exit code must not be 0.
#[test]
fn unresponsive_daemons_are_shown() {
    let lost = FakeDaemon::start(|_, _| Reply::Dropped);
    let a = FakeDaemon::always(200, STATUS);
    let servers = [unreachable_address(), lost.address, a.address];
    let output = run_tool(&servers, &["status"]).expect(NOT_RUN);
    assert_eq!(output.out.matches("no answer").count(), 2, "{}", output.out);
    assert!(output.out.contains("entry-a"), "{}", output.out);
    assert!(
        output.err.contains("2 of 3 daemons did not answer"),
        "{}",
        output.err
    );
}

#[test]
fn json_includes_unresponsive_daemons() {
    let a = FakeDaemon::always(200, STATUS);
    let out = run_tool(&[unreachable_address(), a.address], &["status", "--json"])
        .expect(NOT_RUN)
        .out;
    let lines: serde_json::Value = serde_json::from_str(&out).unwrap();
    assert!(lines[0]["error"].is_string(), "{out}");
    assert_eq!(lines[1]["status"]["peers"][0]["daemon"], "entry-b");
}
