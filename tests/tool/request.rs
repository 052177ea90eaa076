//! `ragwortstall request`: the reported outcome is correct, and a request that is not idempotent is
//! never sent twice.

use crate::fake::FakeDaemon;
use crate::fake::Reply;
use crate::fake::unreachable_address;
use crate::support::cases;
use crate::tool::DONE;
use crate::tool::FAILED;
use crate::tool::NOT_RUN;
use crate::tool::SECRET;
use crate::tool::ToolOutput;
use crate::tool::UNKNOWN;
use crate::tool::USAGE;
use crate::tool::run_tool;

fn completed() -> Reply {
    Reply::outcome(200, "completed", "panel")
}

fn post(daemon: &FakeDaemon, more: &[&str]) -> ToolOutput {
    let mut args = vec!["request", "labels", "panels", "-X", "POST"];
    args.extend(more);
    run_tool(&[daemon.address], &args)
}

#[test]
fn complete_response_is_printed() {
    let daemon = FakeDaemon::start(|_, _| completed());
    let output = post(
        &daemon,
        &["--data", "recipe", "--id", "o-1", "--patience", "1500ms"],
    );
    let output = output.expect(DONE);
    assert_eq!(output.out, "panel\n");
    assert!(output.err.contains("completed with status 200"));
    let req = daemon.only_request();
    assert_eq!(
        (&*req.method, &*req.path),
        ("POST", "/v1/services/labels/panels")
    );
    assert_eq!(req.body, "recipe");
    assert_eq!(req.header("idempotency-key"), Some("o-1"));
    assert_eq!(req.header("x-ragwortstall-timeout"), Some("1s 500ms"));
    assert_eq!(
        req.header("authorization"),
        Some(&*format!("Bearer {SECRET}"))
    );
}

fn check_response(status: u16, outcome: &'static str, code: i32, message: &str) {
    let body = r#"{"reason":"endpoint_broke"}"#;
    let daemon = FakeDaemon::start(move |_, _| Reply::outcome(status, outcome, body));
    let output = post(&daemon, &[]).expect(code);
    assert!(output.err.contains(message), "{output:?}");
    daemon.only_request();
}

cases! { check_response;
    refusal_is_not_run(401, "not-run", NOT_RUN, "not run: endpoint_broke"),
    interrupted_request_is_unknown(
        502, "unknown", UNKNOWN, "unknown, it may have had an effect: endpoint_broke",
    ),
    endpoint_error_is_a_completed_request(500, "completed", FAILED, "the endpoint answered 500"),
    server_error_without_outcome_is_unknown(500, "", UNKNOWN, "may have had an effect"),
}

fn check_interrupted_response(reply: fn() -> Reply) {
    let daemon = FakeDaemon::start(move |_, _| reply());
    let output = post(&daemon, &["--timeout", "1s"]).expect(UNKNOWN);
    assert_eq!(output.out, "");
    daemon.only_request();
}

cases! { check_interrupted_response;
    lost_response_is_unknown(|| Reply::Dropped),
    truncated_response_is_unknown(|| Reply::Truncated),
    unresponsive_daemon_is_unknown(|| Reply::Unresponsive),
}

/// Guards against following redirects, which would run the request twice.
#[test]
fn redirect_is_shown_and_not_followed() {
    let other = FakeDaemon::start(|_, _| completed());
    let location = format!("http://{}/", other.address);
    let daemon = FakeDaemon::start(move |_, _| Reply::Complete {
        status: 307,
        headers: vec![
            ("x-ragwortstall-outcome", "completed".into()),
            ("location", location.clone()),
        ],
        body: String::new(),
    });
    let output = post(&daemon, &["--include"]).expect(DONE);
    assert!(output.out.starts_with("HTTP/1.1 307"), "{output:?}");
    assert!(other.requests().is_empty());
}

/// Checks whether the request is sent to a second daemon after the reply of the first one.
fn check_second_daemon(first: fn() -> Reply, flags: &[&str], code: i32, sent_again: bool) {
    let first = FakeDaemon::start(move |_, _| first());
    let second = FakeDaemon::start(|_, _| completed());
    let mut args = vec!["request", "labels", "panels", "--timeout", "1s"];
    args.extend(flags);
    run_tool(&[first.address, second.address], &args).expect(code);
    assert_eq!(first.requests().len(), 1);
    assert_eq!(second.requests().len(), usize::from(sent_again));
}

cases! { check_second_daemon;
    post_with_lost_response(|| Reply::Dropped, &["-X", "POST"], UNKNOWN, false),
    post_with_truncated_response(|| Reply::Truncated, &["-X", "POST"], UNKNOWN, false),
    idempotent_post_with_lost_response(
        || Reply::Dropped, &["-X", "POST", "--idempotent", "true"], DONE, true,
    ),
    get_with_lost_response(|| Reply::Dropped, &[], DONE, true),
    non_idempotent_get_with_lost_response(
        || Reply::Dropped, &["--idempotent", "false"], UNKNOWN, false,
    ),
    post_refused_temporarily(
        || Reply::not_run(503, "key_unverifiable"), &["-X", "POST"], DONE, true,
    ),
    post_refused_permanently(
        || Reply::not_run(401, "unauthorized"), &["-X", "POST"], NOT_RUN, false,
    ),
    post_refused_without_outcome(|| Reply::json(503, ""), &["-X", "POST"], UNKNOWN, false),
}

#[test]
fn unreachable_daemon_is_skipped() {
    let daemon = FakeDaemon::start(|_, _| completed());
    let args = ["request", "labels", "-X", "POST"];
    run_tool(&[unreachable_address(), daemon.address], &args).expect(DONE);
    daemon.only_request();
}

#[test]
fn request_without_reachable_daemon_is_not_run() {
    let output = run_tool(
        &[unreachable_address()],
        &["request", "labels", "-X", "POST"],
    )
    .expect(NOT_RUN);
    assert!(
        output.err.contains("no daemon can be reached"),
        "{output:?}"
    );
}

/// Guards against reporting `not run` when one daemon refuses the request after another may have
/// run it.
#[test]
fn refusal_after_lost_response_is_unknown() {
    for refusal in [503, 401] {
        let first = FakeDaemon::start(|_, _| Reply::Dropped);
        let second = FakeDaemon::start(move |_, _| Reply::not_run(refusal, "overloaded"));
        let args = ["request", "labels", "-X", "PUT", "--timeout", "1s"];
        run_tool(&[first.address, second.address], &args).expect(UNKNOWN);
    }
}

#[test]
fn retry_time_is_shown() {
    let body = r#"{"reason":"overloaded","retry_after_ms":1500}"#;
    let daemon = FakeDaemon::start(move |_, _| Reply::outcome(429, "not-run", body));
    let output = post(&daemon, &[]).expect(NOT_RUN);
    assert!(
        output.err.contains("overloaded; retry after 1s 500ms"),
        "{output:?}"
    );
}

#[test]
fn malformed_header_is_a_usage_error() {
    let daemon = FakeDaemon::start(|_, _| completed());
    post(&daemon, &["-H", "no colon"]).expect(USAGE);
    assert!(daemon.requests().is_empty());
}
