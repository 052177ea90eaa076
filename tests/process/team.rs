//! A team with a key and a service, and its requests and jobs.

use std::collections::BTreeMap;

use http::Method;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;

use crate::cell::Cell;

/// Secret of the team's key.
pub const TEAM_KEY: &str = "team-secret";

/// Starts two worker VMs and one endpoint in each zone, and writes the team's records.
pub async fn set_up_team(cell: &mut Cell, work: &str) {
    for zone in cell.distinct_zones() {
        cell.start_worker(&zone, "r1");
        cell.start_worker(&zone, "r2");
        cell.start_endpoint("labels", &zone, work);
    }
    let limit = json!({"cpu_milli": 8000, "mem_mib": 16384, "accel": 0, "tasks": 100});
    let team = json!({"schema": 1, "weight": 1, "limit": limit});
    let owned = json!({"schema": 1, "team": "spice"});
    wait_for_flag(cell, 0, "keys_fresh").await;
    cell.put_record(0, "team/spice", &team).await;
    cell.put_record(0, &key_record_name(), &owned).await;
    cell.put_record(0, "service/labels", &owned).await;
    for daemon in 0..cell.daemons.len() {
        cell.wait_until("the first complete answer", async |cell| {
            send_request(cell, daemon, "first", &[])
                .await
                .filter(Answer::is_complete)
        })
        .await;
    }
}

/// Returns the name of the record of the team's key.
pub fn key_record_name() -> String {
    format!("key/{}", ragwortstall::core::key::hash(TEAM_KEY))
}

/// Waits until `flag` is true in the status of a daemon.
pub async fn wait_for_flag(cell: &Cell, daemon: usize, flag: &str) {
    let from = cell.daemons[daemon].http;
    cell.wait_until(flag, async |cell| {
        cell.get_json(from, "/v1/status")
            .await
            .filter(|status| status[flag] == true)
    })
    .await;
}

/// Answer to a request.
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Outcome header.
    pub outcome: String,
    /// Body.
    pub body: String,
}

impl Answer {
    /// Returns whether this is the complete response of the service.
    pub fn is_complete(&self) -> bool {
        self.status == StatusCode::OK
    }
}

/// Sends a request whose tag is its body. It is non-idempotent unless `headers` say otherwise.
pub async fn send_request(
    cell: &Cell,
    daemon: usize,
    body: &str,
    headers: &[(&str, &str)],
) -> Option<Answer> {
    let bearer = format!("Bearer {TEAM_KEY}");
    let mut all = vec![("authorization", &*bearer), ("x-request-tag", body)];
    all.extend_from_slice(headers);
    let to = cell.daemons[daemon].http;
    let path = "/v1/services/labels/panel";
    let res = cell.send(to, Method::POST, path, &all, body).await.ok()?;
    let outcome = res.headers().get("x-ragwortstall-outcome");
    Some(Answer {
        status: res.status(),
        outcome: outcome
            .map_or("", |value| value.to_str().unwrap())
            .to_owned(),
        body: String::from_utf8_lossy(res.body()).into(),
    })
}

/// Returns how often all endpoints ran requests with a tag.
pub async fn run_count(cell: &Cell, tag: &str) -> usize {
    let mut count = 0;
    for endpoint in &cell.endpoints {
        let ran = cell.get_json(endpoint.http, "/ran").await.unwrap();
        count += ran
            .as_array()
            .unwrap()
            .iter()
            .filter(|ran| **ran == tag)
            .count();
    }
    count
}

/// Submits a job and returns the status and JSON of the answer.
pub async fn submit(cell: &Cell, daemon: usize, spec: &Value) -> Option<(StatusCode, Value)> {
    let bearer = format!("Bearer {TEAM_KEY}");
    let headers = [("authorization", &*bearer)];
    let to = cell.daemons[daemon].http;
    let body = spec.to_string();
    let res = cell
        .send(to, Method::POST, "/v1/jobs", &headers, &body)
        .await
        .ok()?;
    Some((
        res.status(),
        serde_json::from_slice(res.body()).unwrap_or_default(),
    ))
}

/// Returns a batch job of `count` small tasks.
pub fn batch_job(id: &str, count: u32, run_time: &str) -> Value {
    json!({
        "id": id, "name": id, "team": "", "kind": "batch", "count": count,
        "size": {"cpu_milli": 500, "mem_mib": 128}, "run_time": run_time
    })
}

/// Waits until a daemon reports that a job is done, and returns the report.
pub async fn wait_for_job(cell: &Cell, daemon: usize, id: &str) -> Value {
    let bearer = format!("Bearer {TEAM_KEY}");
    let path = format!("/v1/jobs/{id}");
    cell.wait_until("the end of the job", async |cell| {
        let to = cell.daemons[daemon].http;
        let headers = [("authorization", &*bearer)];
        let res = cell.send(to, Method::GET, &path, &headers, "").await.ok()?;
        let job: Value = serde_json::from_slice(res.body()).ok()?;
        (job["state"] == "done").then_some(job)
    })
    .await
}

/// Returns how often the VMs started each task of a job, by task index.
pub async fn start_counts(cell: &Cell, id: &str) -> BTreeMap<u64, usize> {
    let mut start_counts = BTreeMap::new();
    for worker in &cell.workers {
        let ran = cell.get_json(worker.http, "/ran").await.unwrap();
        for entry in ran
            .as_array()
            .unwrap()
            .iter()
            .filter(|ran| ran["task"]["job"] == id)
        {
            *start_counts
                .entry(entry["task"]["index"].as_u64().unwrap())
                .or_default() += 1;
        }
    }
    start_counts
}
