//! `ragwortstall timeline`: merged events of the daemons.

use std::io::BufRead;
use std::io::BufReader;
use std::process::Stdio;

use serde_json::Value;

use crate::fake::FakeDaemon;
use crate::fake::Reply;
use crate::fake::unreachable_address;
use crate::tool::DONE;
use crate::tool::NOT_RUN;
use crate::tool::command;
use crate::tool::run_tool;

/// Returns an event of a kind that the tool does not know.
fn event(stamp: u64, daemon: &str) -> String {
    format!(r#"{{"stamp":{stamp},"daemon":"{daemon}","what":"novel","detail":{stamp}}}"#)
}

fn events(stamps: &[u64], daemon: &str) -> String {
    let events: Vec<String> = stamps.iter().map(|stamp| event(*stamp, daemon)).collect();
    format!("[{}]", events.join(","))
}

fn stamps(out: &str) -> Vec<u64> {
    let stamp = |line: &str| serde_json::from_str::<Value>(line).unwrap()["stamp"].as_u64();
    out.lines().filter_map(stamp).collect()
}

#[test]
fn events_are_merged_by_stamp() {
    let a = FakeDaemon::start(|_, _| Reply::json(200, &events(&[1, 4, 5], "a")));
    let b = FakeDaemon::start(|_, _| Reply::json(200, &events(&[2, 3, 5, 6], "b")));
    let out = run_tool(&[a.address, b.address], &["timeline", "--json"])
        .expect(DONE)
        .out;
    assert_eq!(stamps(&out), [1, 2, 3, 4, 5, 5, 6]);
}

#[test]
fn events_of_a_server_given_twice_are_shown_once() {
    let a = FakeDaemon::start(|_, _| Reply::json(200, &events(&[1, 2], "a")));
    let out = run_tool(&[a.address, a.address], &["timeline", "--json"])
        .expect(DONE)
        .out;
    assert_eq!(stamps(&out), [1, 2]);
}

#[test]
fn lines_show_time_daemon_kind_and_fields() {
    let body = r#"[{"stamp":65536000,"daemon":"a","what":"task_started","vm":"vm-1",
        "task":{"job":"j","index":3,"attempt":1}},
        {"stamp":65536001,"daemon":"a","what":"novel","n":1}]"#;
    let a = FakeDaemon::always(200, body);
    let out = run_tool(&[a.address], &["timeline"]).expect(DONE).out;
    let expected = "1970-01-01T00:00:01.000Z a            task_started task=j/3 restart=1 vm=vm-1\n\
        1970-01-01T00:00:01.000Z a            novel n=1\n";
    assert_eq!(out, expected);
    let out = run_tool(&[a.address], &["timeline", "--what", "novel"])
        .expect(DONE)
        .out;
    assert_eq!(out.lines().count(), 1);
}

#[test]
fn unreachable_daemon_is_reported() {
    let a = FakeDaemon::start(|_, _| Reply::json(200, &events(&[1], "a")));
    let output = run_tool(&[unreachable_address(), a.address], &["timeline"]).expect(NOT_RUN);
    assert_eq!(output.out.lines().count(), 1);
    assert!(
        output.err.contains("their events are missing"),
        "{}",
        output.err
    );
}

/// Guards against showing events out of order: `--follow` must hold back an event until all daemons
/// have been queried again. Here, the second daemon reports an earlier event one query later.
#[test]
fn follow_preserves_order() {
    let a = FakeDaemon::start(|_, before| {
        let new: &[u64] = if before == 1 { &[2] } else { &[] };
        Reply::json(200, &events(new, "a"))
    });
    let b = FakeDaemon::start(|_, before| {
        let new: &[u64] = match before {
            2 => &[1],
            3 => &[3],
            _ => &[],
        };
        Reply::json(200, &events(new, "b"))
    });
    let args = ["timeline", "--follow", "--json"];
    let mut command = command(&[a.address, b.address], &args);
    let mut child = command.stdout(Stdio::piped()).spawn().unwrap();
    let lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let first: Vec<String> = lines.take(3).map(Result::unwrap).collect();
    child.kill().unwrap();
    child.wait().unwrap();
    assert_eq!(stamps(&first.join("\n")), [1, 2, 3]);
    assert_eq!(a.requests()[2].path, "/v1/timeline?after=2");
}
