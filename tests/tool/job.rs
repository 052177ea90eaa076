//! `ragwortstall job`

use serde_json::json;

use crate::fake::FakeDaemon;
use crate::fake::Reply;
use crate::tool::DONE;
use crate::tool::NOT_RUN;
use crate::tool::USAGE;
use crate::tool::run_tool;

fn job_status(state: &str, running: Option<u32>) -> String {
    let body = json!({"job": "j", "state": state, "zone": "z", "count": 4, "done": 1,
        "failed": 0, "running": running, "reason": null, "newer": 1});
    body.to_string()
}

#[test]
fn status_is_shown_as_table() {
    let daemon = FakeDaemon::start(|_, _| Reply::json(200, &job_status("active", None)));
    let output = run_tool(&[daemon.address], &["job", "status", "j"]).expect(DONE);
    assert!(
        output
            .out
            .contains("j    active  z     4      1     0       ?"),
        "{}",
        output.out
    );
    assert_eq!(daemon.only_request().path, "/v1/jobs/j");
}

/// Only the placer knows the number of running tasks, and another daemon may respond first.
#[test]
fn placer_is_queried_for_running_tasks() {
    let first = FakeDaemon::start(|_, _| Reply::json(200, &job_status("active", None)));
    let other = FakeDaemon::start(|_, _| Reply::Dropped);
    let placer = FakeDaemon::start(|_, _| Reply::json(200, &job_status("active", Some(3))));
    let servers = [first.address, other.address, placer.address];
    let output = run_tool(&servers, &["job", "status", "j"]).expect(DONE);
    assert!(output.out.contains("1     0       3"), "{}", output.out);
}

#[test]
fn placer_is_not_queried_for_ended_job() {
    let first = FakeDaemon::start(|_, _| Reply::json(200, &job_status("done", None)));
    let other = FakeDaemon::start(|_, _| Reply::Dropped);
    run_tool(&[first.address, other.address], &["job", "status", "j"]).expect(DONE);
    assert!(other.requests().is_empty());
}

#[test]
fn unknown_job_is_reported() {
    let daemon = FakeDaemon::always(404, r#"{"error":"not found"}"#);
    for action in ["status", "wait", "cancel"] {
        let output = run_tool(&[daemon.address], &["job", action, "j"]).expect(NOT_RUN);
        assert!(output.err.contains("job j is not known"), "{output:?}");
    }
}

/// Temporary failures of the daemons must not end a wait.
#[test]
fn wait_continues_through_outage() {
    let daemon = FakeDaemon::start(|_, before| match before {
        0 => Reply::Dropped,
        1 => Reply::not_run(503, "key_unverifiable"),
        _ => Reply::json(200, &job_status("done", None)),
    });
    run_tool(&[daemon.address], &["job", "wait", "j"]).expect(DONE);
    assert_eq!(daemon.requests().len(), 3);
}

/// Cancellation is idempotent, so it may be sent again.
#[test]
fn cancellation_with_lost_response_is_sent_to_next_daemon() {
    let first = FakeDaemon::start(|_, _| Reply::Dropped);
    let second = FakeDaemon::start(|_, _| Reply::json(200, &job_status("cancelled", None)));
    let output = run_tool(&[first.address, second.address], &["job", "cancel", "j"]).expect(DONE);
    assert!(output.out.contains("cancelled"), "{output:?}");
    assert_eq!(second.only_request().method, "DELETE");
}

#[test]
fn identifier_with_path_separator_is_rejected() {
    let daemon = FakeDaemon::always(200, "{}");
    run_tool(&[daemon.address], &["job", "status", "../status"]).expect(USAGE);
    assert!(daemon.requests().is_empty());
}
