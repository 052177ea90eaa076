//! Slopes of memory, processor time and bytes by size, for `docs/CAPACITY.md`.

use std::fs;
use std::time::Duration;

use prost::Message;
use ragwortstall::core::event::Call;
use ragwortstall::core::event::RequestHead;
use ragwortstall::core::model::EndedTask;
use ragwortstall::core::model::JobSpec;
use ragwortstall::core::model::Resources;
use ragwortstall::core::model::StartTask;
use ragwortstall::core::model::TaskOutcome;
use ragwortstall::core::model::TaskRef;
use ragwortstall::core::record::QueueRecord;
use ragwortstall::core::record::ServiceRecord;
use ragwortstall::core::record::TeamRecord;
use ragwortstall::proto::peer::Envelope;
use ragwortstall::proto::peer::Heartbeat;
use ragwortstall::proto::peer::envelope::Body;
use serde::Serialize;

use crate::cell::Cell;

/// Workers of one zone at the letter's size, of three, and of all nine.
const ZONES: [usize; 3] = [311, 933, 2_799];

/// Tasks on each VM.
const TASKS_A_VM: u32 = 8;

const TEAMS: u32 = 91;

const RECORDS: [usize; 3] = [4_000, 16_000, 64_000];

const JOBS: [u32; 3] = [2_000, 6_000, 18_000];

const ENDPOINTS: [usize; 3] = [50, 100, 200];

const REQUESTS: u32 = 20_000;

const LISTS: [usize; 3] = [700, 1_400, 2_800];

/// Bytes of a page.
const PAGE: u64 = 4_096;

/// Measures and prints the parts that are named, or all. Memory that one part freed is used again by
/// the next, so that its figure is right only for the first.
pub fn run(names: &[String]) {
    let parts: [(&str, fn()); 5] = [
        ("placer", placer),
        ("router", router),
        ("records", records),
        ("jobs", jobs),
        ("messages", messages),
    ];
    let wanted = |part: &str| names.iter().any(|name| name == part);
    let any = parts.iter().any(|(part, _)| wanted(part));
    for (_, measure) in parts.iter().filter(|(part, _)| !any || wanted(part)) {
        measure();
    }
}

/// Resident bytes of this process.
fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE
}

fn service(team: &str, count: u32) -> ServiceRecord {
    ServiceRecord {
        schema: 1,
        team: team.into(),
        count,
        size: Resources::new(1_000, 2_048, 0, 1),
        open: true,
        callers: Vec::new(),
    }
}

fn teams(cell: &mut Cell) {
    for n in 0..TEAMS {
        let record = TeamRecord {
            schema: 2,
            weight: 1 + n % 4,
            limit: Resources::new(100_000_000, 400_000_000, 0, 30_000),
            starvation_bound: None,
            urgent: true,
        };
        cell.record(&format!("team/team-{n}"), &record);
    }
}

/// A placer with its zone's VMs, tasks and renewals.
fn placer() {
    println!("placer of a zone: 91 teams, {TASKS_A_VM} tasks a VM, 60 s of ticks and renewals");
    println!("vms tasks tick_us renewal_us renewals/s sync_B answer_B core_% resident_KiB");
    let mut kept = Vec::new();
    for vms in ZONES {
        let before = resident();
        let mut cell = Cell::new(vms, 0);
        teams(&mut cell);
        let count = u32::try_from(vms).unwrap_or(0) * TASKS_A_VM;
        for n in 0..TEAMS {
            let part = count / TEAMS + u32::from(n < count % TEAMS);
            cell.record(
                &format!("service/service-{n}"),
                &service(&format!("team-{n}"), part),
            );
        }
        cell.run(Duration::from_secs(60));
        cell.costs = crate::cell::Costs::default();
        cell.run(Duration::from_secs(60));
        let costs = &cell.costs;
        let spent = costs.ticks.time + costs.answers.time + costs.members.time;
        println!(
            "{vms:3} {:5} {:7.1} {:10.1} {:10.1} {:6.0} {:8.0} {:6.2} {:12}",
            cell.tasks(),
            costs.ticks.micros(),
            costs.answers.micros(),
            f64::from(costs.answers.events) / 60.0,
            costs.syncs.size(),
            costs.answers.size(),
            spent.as_secs_f64() / 60.0 * 100.0,
            resident().saturating_sub(before) / 1_024,
        );
        kept.push(cell);
    }
}

/// A router with endpoints of one service.
fn router() {
    println!("\nrouter: {REQUESTS} requests, answered at once");
    println!("endpoints request_us attempt_us resident_KiB");
    let mut kept = Vec::new();
    for endpoints in ENDPOINTS {
        let before = resident();
        let mut cell = Cell::new(0, endpoints);
        teams(&mut cell);
        cell.record("service/service-0", &service("team-0", 0));
        cell.run(Duration::from_secs(60));
        for _ in 0..REQUESTS {
            let head = RequestHead {
                service: "service-0".into(),
                key: None,
                id: None,
                idempotent: true,
                timeout: Duration::from_secs(5),
            };
            let spent = cell.call(Call::Request(head));
            cell.costs.requests.time += spent;
            cell.costs.requests.events += 1;
        }
        println!(
            "{endpoints:9} {:10.2} {:10.2} {:12}  ({} dispatched)",
            cell.costs.requests.micros(),
            cell.costs.attempts.micros(),
            resident().saturating_sub(before) / 1_024,
            cell.costs.attempts.events,
        );
        kept.push(cell);
    }
}

/// A view of the records.
fn records() {
    println!("\nrecords: rows read from the table");
    println!("rows row_us resident_KiB");
    let mut kept = Vec::new();
    for rows in RECORDS {
        let before = resident();
        let mut cell = Cell::new(0, 0);
        for n in 0..rows {
            cell.record(&format!("service/service-{n}"), &service("team-0", 0));
        }
        cell.run(Duration::from_secs(2));
        println!(
            "{rows:4} {:6.2} {:12}",
            cell.costs.rows.micros(),
            resident().saturating_sub(before) / 1_024,
        );
        kept.push(cell);
    }
}

/// Durable jobs: accepted through an open queue.
fn jobs() {
    println!("\njobs: accepted and committed, none started");
    println!("jobs submit_us commits commit_B largest_commit_B tick_us resident_KiB");
    let mut kept = Vec::new();
    for jobs in JOBS {
        let before = resident();
        let mut cell = Cell::new(6, 0);
        teams(&mut cell);
        let queue = QueueRecord {
            schema: 1,
            team: "team-0".into(),
            service: None,
        };
        cell.record("queue/open", &queue);
        cell.run(Duration::from_secs(10));
        cell.costs = crate::cell::Costs::default();
        for n in 0..jobs {
            let spent = cell.call(Call::Submit {
                key: None,
                queue: Some("open".into()),
                spec: spec(n),
            });
            cell.costs.submits.time += spent;
            cell.costs.submits.events += 1;
            if n % 20 == 0 {
                cell.run(Duration::from_millis(100));
            }
        }
        cell.run(Duration::from_secs(5));
        let costs = &cell.costs;
        println!(
            "{jobs:4} {:9.2} {:7} {:8.0} {:16} {:7.1} {:12}",
            costs.submits.micros(),
            costs.commits.events,
            costs.commits.size(),
            costs.largest_commit,
            costs.ticks.micros(),
            resident().saturating_sub(before) / 1_024,
        );
        kept.push(cell);
    }
}

fn spec(n: u32) -> JobSpec {
    let size = Resources::new(31_000, 4_096, 0, 1);
    JobSpec {
        name: format!("panels-{}", n % 12).into(),
        ..JobSpec::batch(&format!("job-{n}"), 8, size, Duration::from_secs(3_600))
    }
}

/// Sizes of messages.
fn messages() {
    let beat = Heartbeat {
        zone: "zone-1".into(),
        placer: "zone-1".into(),
        rev: 1 << 30,
        table_age_ms: 500,
        table_reachable: true,
        ..Heartbeat::default()
    };
    let envelope = Envelope {
        from: "daemon-1".into(),
        stamp: 1 << 60,
        body: Some(Body::Heartbeat(beat)),
    };
    println!("\nheartbeat: {} B", envelope.encoded_len());
    let (start, end) = (start(), end());
    println!("start in a sync: {} B", json_bytes(&start));
    println!("end in an answer: {} B", json_bytes(&end));
    for workers in LISTS {
        println!(
            "membership list of {workers} workers: {} B",
            Cell::new(workers, 0).list_bytes()
        );
    }
}

fn task() -> TaskRef {
    TaskRef {
        job: "0197c1f0-5d7e-7c3a-b1f2-6a1f0c9d2e41".into(),
        index: 12,
        attempt: 0,
    }
}

fn start() -> StartTask {
    StartTask {
        task: task(),
        team: "team-12".into(),
        size: Resources::new(4_000, 8_192, 0, 1),
        run_time: Some(Duration::from_secs(60)),
        service: None,
    }
}

fn end() -> EndedTask {
    EndedTask {
        task: task(),
        team: "team-12".into(),
        outcome: TaskOutcome::Done,
    }
}

fn json_bytes(value: &impl Serialize) -> usize {
    serde_json::to_vec(value).map_or(0, |text| text.len())
}
