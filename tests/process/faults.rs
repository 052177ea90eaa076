//! Promises of docs/PROMISES.md under faults: answers to callers compared with what endpoints and
//! VMs ran.

use std::io::Read;
use std::io::Write;
use std::time::Duration;

use futures_util::future::join_all;
use http::Method;

use crate::cell::Cell;
use crate::cell::OPERATOR_KEY;
use crate::cell::with_cell;
use crate::team::Answer;
use crate::team::TEAM_KEY;
use crate::team::batch_job;
use crate::team::key_record_name;
use crate::team::run_count;
use crate::team::send_request;
use crate::team::set_up_team;
use crate::team::start_counts;
use crate::team::submit;
use crate::team::wait_for_flag;
use crate::team::wait_for_job;

/// Promise 10: requests in flight at a graceful shutdown are answered completely.
#[test]
fn graceful_shutdown_answers_requests_in_flight() {
    with_cell(&["east", "west"], async |cell| {
        set_up_team(cell, "700ms").await;
        let tags: Vec<String> = (0..8).map(|n| format!("inflight-{n}")).collect();
        let shared: &Cell = cell;
        let requests = join_all(tags.iter().map(|tag| send_request(shared, 0, tag, &[])));
        let shutdown = async {
            shared
                .wait_until("all requests to run", async |cell| {
                    let mut run = 0;
                    for tag in &tags {
                        run += run_count(cell, tag).await;
                    }
                    (run == tags.len()).then_some(())
                })
                .await;
            shared.daemons[0].signal("TERM");
        };
        let (answers, ()) = futures_util::future::join(requests, shutdown).await;
        for (tag, answer) in tags.iter().zip(answers) {
            let answer = answer.expect("an answer");
            assert!(
                answer.is_complete(),
                "{tag}: {} {}",
                answer.status,
                answer.body
            );
            assert_eq!(answer.body, *tag);
        }
        assert!(cell.daemons[0].wait(), "the daemon exited with an error");
    });
}

/// Promise 10: a caller that is still sending its request when the daemon has drained is answered
/// that the request did not run. Its connection is not closed without an answer.
#[test]
fn graceful_shutdown_answers_a_caller_that_is_still_sending() {
    with_cell(&["east"], async |cell| {
        set_up_team(cell, "2ms").await;
        let to = cell.daemons[0].http;
        let mut stream = std::net::TcpStream::connect(to).unwrap();
        let head = format!(
            "POST /v1/services/labels/panel HTTP/1.1\r\nhost: {to}\r\n\
             authorization: Bearer {TEAM_KEY}\r\nx-request-tag: halves\r\n\
             content-length: 8\r\n\r\nhalf"
        );
        stream.write_all(head.as_bytes()).unwrap();
        cell.daemons[0].signal("TERM");
        cell.wait_until("the listener to close", async |_| {
            std::net::TcpStream::connect(to).is_err().then_some(())
        })
        .await;
        // Simulates a slow caller. Nothing else depends on this delay.
        compio::time::sleep(Duration::from_secs(1)).await;
        stream.write_all(b"half").unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(
            answer.contains("x-ragwortstall-outcome: not-run"),
            "{answer}"
        );
        assert!(cell.daemons[0].wait(), "the daemon exited with an error");
        assert_eq!(run_count(cell, "halves").await, 0);
    });
}

/// Promises 3 and 4: a key withdrawn through one daemon is refused at the other.
#[test]
fn withdrawn_key_is_refused_at_every_daemon() {
    with_cell(&["east", "west"], async |cell| {
        set_up_team(cell, "2ms").await;
        let path = format!("/v1/records/{}", key_record_name());
        let record = cell.get_json(cell.daemons[0].http, &path).await.unwrap();
        let version = record["version"].to_string();
        let operator = format!("Bearer {OPERATOR_KEY}");
        let headers = [("authorization", &*operator), ("if-match", &*version)];
        let to = cell.daemons[0].http;
        let res = cell
            .send(to, Method::DELETE, &path, &headers, "")
            .await
            .unwrap();
        assert_eq!(res.status(), 200);
        for daemon in 0..2 {
            cell.wait_until("the refusal", async |cell| {
                let answer = send_request(cell, daemon, "late", &[]).await?;
                (answer.status == 401 && answer.outcome == "not-run").then_some(())
            })
            .await;
        }
        let runs = run_count(cell, "late").await;
        let refused = send_request(cell, 1, "late", &[]).await.unwrap();
        assert_eq!(refused.outcome, "not-run");
        assert_eq!(run_count(cell, "late").await, runs);
    });
}

/// Promise 2: the successor of a killed placer runs each task once.
#[test]
fn placer_killed_and_no_task_runs_twice() {
    takeover("KILL");
}

/// Promise 2: a placer that was paused for longer than its lease starts no task a second time.
#[test]
fn placer_paused_beyond_its_lease_and_no_task_runs_twice() {
    takeover("STOP");
}

fn takeover(signal: &str) {
    with_cell(&["east", "east"], async |cell| {
        set_up_team(cell, "2ms").await;
        let placer = cell.wait_until("a placer", find_placer).await;
        let successor = 1 - placer;
        let (status, body) = submit(cell, placer, &batch_job("overnight", 40, "1s"))
            .await
            .unwrap();
        assert_eq!(status, 202, "{body}");
        cell.wait_until("the first starts", async |cell| {
            (!start_counts(cell, "overnight").await.is_empty()).then_some(())
        })
        .await;
        cell.daemons[placer].signal(signal);
        wait_for_flag(cell, successor, "placer").await;
        if signal == "STOP" {
            cell.daemons[placer].signal("CONT");
        }
        let job = wait_for_job(cell, successor, "overnight").await;
        assert_eq!(job["done"], 40);
        let start_counts = start_counts(cell, "overnight").await;
        assert_eq!(start_counts.len(), 40);
        assert!(
            start_counts.values().all(|times| *times == 1),
            "{start_counts:?}"
        );
    });
}

/// Returns the number of the daemon that is the placer.
async fn find_placer(cell: &Cell) -> Option<usize> {
    for (n, daemon) in cell.daemons.iter().enumerate() {
        let status = cell.get_json(daemon.http, "/v1/status").await?;
        if status["placer"] == true {
            return Some(n);
        }
    }
    None
}

/// Promise 6: a truncated response is never delivered as complete.
#[test]
fn truncated_answer_is_reported_as_unknown() {
    with_cell(&["east"], async |cell| {
        set_up_team(cell, "2ms").await;
        cell.set_fault(cell.endpoints[0].http, "{\"truncate\": true}")
            .await;
        let answer = send_request(cell, 0, "truncated", &[]).await.unwrap();
        assert_eq!(
            answer.outcome, "unknown",
            "{} {}",
            answer.status, answer.body
        );
        assert_eq!(run_count(cell, "truncated").await, 1);
    });
}

/// Promise 9: an endpoint that is leaving gets no new requests.
#[test]
fn leaving_endpoint_gets_no_new_requests() {
    with_cell(&["east", "west"], async |cell| {
        set_up_team(cell, "2ms").await;
        let leaving = cell.endpoints[0].http;
        cell.set_fault(leaving, "{\"leaving\": true}").await;
        cell.wait_until("requests to go elsewhere", async |cell| {
            let before = total_run_count(cell, 0).await;
            for _ in 0..20 {
                send_request(cell, 0, "panel", &[])
                    .await
                    .filter(Answer::is_complete)?;
            }
            (total_run_count(cell, 0).await == before).then_some(())
        })
        .await;
        let before = total_run_count(cell, 0).await;
        for n in 0..50 {
            let answer = send_request(cell, n % 2, "later", &[]).await.unwrap();
            assert!(answer.is_complete(), "{} {}", answer.status, answer.body);
        }
        assert_eq!(total_run_count(cell, 0).await, before);
    });
}

async fn total_run_count(cell: &Cell, endpoint: usize) -> usize {
    let ran = cell
        .get_json(cell.endpoints[endpoint].http, "/ran")
        .await
        .unwrap();
    ran.as_array().unwrap().len()
}

/// Promise 8: a request repeated with the same id, through any daemon, does not run again.
#[test]
fn repeat_under_the_same_id_runs_once() {
    with_cell(&["east", "west"], async |cell| {
        set_up_team(cell, "50ms").await;
        let shared: &Cell = cell;
        let id = [("idempotency-key", "order-7")];
        let requests = (0..12).map(|n| send_request(shared, n % 2, "order-7", &id));
        let answers = join_all(requests).await;
        let complete_count = answers
            .iter()
            .flatten()
            .filter(|answer| answer.is_complete())
            .count();
        assert_eq!(complete_count, 1);
        assert_eq!(run_count(cell, "order-7").await, 1);
    });
}

/// Promise 7 while the table is down: a submission answered as not run never runs.
#[test]
fn submission_refused_while_the_table_is_down_never_runs() {
    with_cell(&["east"], async |cell| {
        set_up_team(cell, "2ms").await;
        wait_for_flag(cell, 0, "placer").await;
        cell.set_fault(cell.platform.http, "{\"down\": true}").await;
        let (status, body) = submit(cell, 0, &batch_job("refused", 2, "10ms"))
            .await
            .unwrap();
        assert_eq!(status, 503, "{body}");
        assert_eq!(body["outcome"], "not-run");
        cell.set_fault(cell.platform.http, "{\"down\": false}")
            .await;
        let after = cell
            .wait_until("the next submission to be accepted", async |cell| {
                submit(cell, 0, &batch_job("accepted", 2, "10ms"))
                    .await
                    .filter(|(s, _)| *s == 202)
            })
            .await;
        assert_eq!(after.1["job"], "accepted");
        wait_for_job(cell, 0, "accepted").await;
        assert!(start_counts(cell, "refused").await.is_empty());
    });
}
