//! `ragwortstall run`: submission by flags or file, and lookup by identifier after a lost response.

use std::fs;
use std::path::PathBuf;

use serde_json::Value;
use serde_json::json;

use crate::fake::FakeDaemon;
use crate::fake::Reply;
use crate::fake::Request;
use crate::support::cases;
use crate::tool::DONE;
use crate::tool::FAILED;
use crate::tool::NOT_RUN;
use crate::tool::UNKNOWN;
use crate::tool::USAGE;
use crate::tool::run_tool;

/// Starts a daemon that accepts a job and then reports the given states one after another.
fn job_daemon(states: &'static [&'static str]) -> FakeDaemon {
    FakeDaemon::start(move |req: &Request, before| {
        if req.method == "POST" {
            return Reply::json(202, r#"{"job":"j"}"#);
        }
        let state = states[(before - 1).min(states.len() - 1)];
        let body = json!({"job": "j", "state": state, "zone": "z", "count": 4, "done": before,
            "failed": 0, "running": null, "reason": null});
        Reply::json(200, &body.to_string())
    })
}

#[test]
fn flags_are_sent_as_job() {
    let daemon = job_daemon(&["done"]);
    let args = [
        "run",
        "render",
        "--id",
        "r-1",
        "--gang",
        "--count",
        "8",
        "--cpu",
        "0.5",
        "--mem",
        "1GiB",
        "--accel",
        "1",
        "--run-time",
        "90s",
        "--deadline",
        "8h",
        "--urgent",
        "--once",
    ];
    run_tool(&[daemon.address], &args).expect(DONE);
    let req = daemon.only_request();
    assert_eq!((&*req.method, &*req.path), ("POST", "/v1/jobs"));
    let body: Value = serde_json::from_str(&req.body).unwrap();
    let size = json!({"cpu_milli": 500, "mem_mib": 1_024, "accel": 1, "tasks": 1});
    let expected = json!({"id": "r-1", "name": "render", "team": "", "kind": "gang", "count": 8,
        "size": size, "run_time": "1m 30s", "urgent": true, "deadline": "8h",
        "restartable": false});
    assert_eq!(body, expected);
}

#[test]
fn file_is_sent_as_job() {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("job.toml");
    let text = "name = 'overnight'\nkind = 'batch'\ncount = 2\nrun_time = '1h'\n\
        [size]\ncpu_milli = 100\n";
    fs::write(&path, text).unwrap();
    let daemon = job_daemon(&["done"]);
    let args = ["run", "--file", path.to_str().unwrap(), "--queue", "open"];
    run_tool(&[daemon.address], &args).expect(DONE);
    let req = daemon.only_request();
    assert_eq!(req.path, "/v1/jobs?queue=open");
    let body: Value = serde_json::from_str(&req.body).unwrap();
    assert!(body["id"].as_str().unwrap().starts_with("overnight-"));
    assert_eq!(body["size"]["cpu_milli"], 100);
}

#[test]
fn error_names_the_invalid_file() {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("bad-job.json");
    fs::write(&path, r#"{"name":"x","kind":"batch"}"#).unwrap();
    let daemon = job_daemon(&["done"]);
    let output = run_tool(
        &[daemon.address],
        &["run", "--file", path.to_str().unwrap()],
    );
    let err = output.expect(USAGE).err;
    assert!(err.contains("bad-job.json: missing field `count`"), "{err}");
    assert!(daemon.requests().is_empty());
}

fn check_wait(states: &'static [&'static str], code: i32) {
    let daemon = job_daemon(states);
    let output = run_tool(&[daemon.address], &["run", "x", "--cpu", "1", "--wait"]).expect(code);
    assert!(
        output.err.contains("job j: 1 of 4 tasks done"),
        "{output:?}"
    );
    assert!(output.out.contains(states[states.len() - 1]), "{output:?}");
}

cases! { check_wait;
    wait_for_done_job(&["active", "done"], DONE),
    wait_for_failed_job(&["active", "failed"], FAILED),
    wait_for_cancelled_job(&["active", "cancelled"], FAILED),
}

/// Checks the exit code of a submission whose response is lost; later queries for the job return
/// `status`.
fn check_lost_response(status: u16, code: i32) {
    let daemon = FakeDaemon::start(move |req: &Request, _| match &*req.method {
        "GET" if status == 200 => {
            let body = json!({"job": "x-1", "state": "active", "zone": "z", "count": 1,
                "done": 0, "failed": 0, "running": 1, "reason": null});
            Reply::json(200, &body.to_string())
        }
        "GET" => Reply::json(status, r#"{"error":"not found"}"#),
        _ => Reply::Dropped,
    });
    let args = ["run", "x", "--id", "x-1", "--cpu", "1", "--timeout", "1s"];
    let output = run_tool(&[daemon.address], &args).expect(code);
    let text = format!("{}{}", output.out, output.err);
    assert!(text.contains("x-1"), "{text}");
    let submissions = daemon
        .requests()
        .iter()
        .filter(|req| req.method == "POST")
        .count();
    assert_eq!(submissions, 1);
}

cases! { check_lost_response;
    lost_response_for_accepted_job(200, DONE),
    lost_response_for_unknown_job(404, UNKNOWN),
}

#[test]
fn refused_job_is_not_run() {
    let daemon = FakeDaemon::start(|_, _| Reply::not_run(422, "never_fits"));
    let output = run_tool(&[daemon.address], &["run", "x", "--cpu", "1000"]).expect(NOT_RUN);
    assert!(output.err.contains("not run: never_fits"), "{output:?}");
}
