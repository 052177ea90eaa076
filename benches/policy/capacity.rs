//! Measurements of a daemon's memory, processor time and message sizes at several scales, for the
//! slopes in `docs/CAPACITY.md`.

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

use crate::daemon::Costs;
use crate::daemon::SimDaemon;

/// Worker VMs of one zone, of three and of all nine, at the size to design for.
const WORKER_COUNTS: [usize; 3] = [311, 933, 2_799];

const TASKS_PER_VM: u32 = 8;

const TEAM_COUNT: u32 = 91;

const RECORD_COUNTS: [usize; 3] = [4_000, 16_000, 64_000];

const JOB_COUNTS: [u32; 3] = [2_000, 6_000, 18_000];

const ENDPOINT_COUNTS: [usize; 3] = [50, 100, 200];

const REQUEST_COUNT: u32 = 20_000;

const MEMBER_COUNTS: [usize; 3] = [700, 1_400, 2_800];

/// Page size in `/proc/self/statm`.
const PAGE_BYTES: u64 = 4_096;

/// Runs the sections that are named, or all if none is.
///
/// The memory that a section frees is reused by the next one, so that the resident memory is
/// correct only for the first section of a process.
pub fn run(names: &[String]) {
    let sections: [(&str, fn()); 5] = [
        ("placer", measure_placer),
        ("router", measure_router),
        ("records", measure_records),
        ("jobs", measure_jobs),
        ("messages", measure_messages),
    ];
    let is_selected = |section: &str| names.iter().any(|name| name == section);
    let any_selected = sections.iter().any(|(section, _)| is_selected(section));
    for (_, measure) in sections
        .iter()
        .filter(|(section, _)| !any_selected || is_selected(section))
    {
        measure();
    }
}

/// Returns the resident memory of this process.
fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn service_record(team: &str, count: u32) -> ServiceRecord {
    ServiceRecord {
        schema: 1,
        team: team.into(),
        count,
        size: Resources::new(1_000, 2_048, 0, 1),
        open: true,
        callers: Vec::new(),
    }
}

fn write_teams(daemon: &mut SimDaemon) {
    for n in 0..TEAM_COUNT {
        let record = TeamRecord {
            schema: 2,
            weight: 1 + n % 4,
            limit: Resources::new(100_000_000, 400_000_000, 0, 30_000),
            starvation_bound: None,
            urgent: true,
        };
        daemon.write_record(&format!("team/team-{n}"), &record);
    }
}

/// Measures a placer with the VMs of its zone, which run tasks and renew their leases.
fn measure_placer() {
    println!("placer of a zone: 91 teams, {TASKS_PER_VM} tasks a VM, 60 s of ticks and renewals");
    println!("vms tasks tick_us renewal_us renewals/s sync_B answer_B core_% resident_KiB");
    // Kept alive, so that later sizes do not reuse the memory of earlier ones.
    let mut daemons = Vec::new();
    for vms in WORKER_COUNTS {
        let before = resident_bytes();
        let mut daemon = SimDaemon::new(vms, 0);
        write_teams(&mut daemon);
        let count = u32::try_from(vms).unwrap_or(0) * TASKS_PER_VM;
        for n in 0..TEAM_COUNT {
            let instances = count / TEAM_COUNT + u32::from(n < count % TEAM_COUNT);
            daemon.write_record(
                &format!("service/service-{n}"),
                &service_record(&format!("team-{n}"), instances),
            );
        }
        daemon.run_for(Duration::from_secs(60));
        daemon.costs = Costs::default();
        daemon.run_for(Duration::from_secs(60));
        let costs = &daemon.costs;
        let time = costs.ticks.time + costs.answers.time + costs.members.time;
        println!(
            "{vms:3} {:5} {:7.1} {:10.1} {:10.1} {:6.0} {:8.0} {:6.2} {:12}",
            daemon.running_tasks(),
            costs.ticks.micros_per_event(),
            costs.answers.micros_per_event(),
            f64::from(costs.answers.events) / 60.0,
            costs.syncs.bytes_per_event(),
            costs.answers.bytes_per_event(),
            time.as_secs_f64() / 60.0 * 100.0,
            resident_bytes().saturating_sub(before) / 1_024,
        );
        daemons.push(daemon);
    }
}

/// Measures a router with the endpoints of one service.
fn measure_router() {
    println!("\nrouter: {REQUEST_COUNT} requests, answered at once");
    println!("endpoints request_us attempt_us resident_KiB");
    let mut daemons = Vec::new();
    for endpoints in ENDPOINT_COUNTS {
        let before = resident_bytes();
        let mut daemon = SimDaemon::new(0, endpoints);
        write_teams(&mut daemon);
        daemon.write_record("service/service-0", &service_record("team-0", 0));
        daemon.run_for(Duration::from_secs(60));
        for _ in 0..REQUEST_COUNT {
            let head = RequestHead {
                service: "service-0".into(),
                key: None,
                id: None,
                idempotent: true,
                timeout: Duration::from_secs(5),
            };
            let time = daemon.call(Call::Request(head));
            daemon.costs.requests.time += time;
            daemon.costs.requests.events += 1;
        }
        println!(
            "{endpoints:9} {:10.2} {:10.2} {:12}  ({} dispatched)",
            daemon.costs.requests.micros_per_event(),
            daemon.costs.attempts.micros_per_event(),
            resident_bytes().saturating_sub(before) / 1_024,
            daemon.costs.attempts.events,
        );
        daemons.push(daemon);
    }
}

/// Measures a daemon's view of the records.
fn measure_records() {
    println!("\nrecords: rows read from the table");
    println!("rows row_us resident_KiB");
    let mut daemons = Vec::new();
    for rows in RECORD_COUNTS {
        let before = resident_bytes();
        let mut daemon = SimDaemon::new(0, 0);
        for n in 0..rows {
            daemon.write_record(
                &format!("service/service-{n}"),
                &service_record("team-0", 0),
            );
        }
        daemon.run_for(Duration::from_secs(2));
        println!(
            "{rows:4} {:6.2} {:12}",
            daemon.costs.rows.micros_per_event(),
            resident_bytes().saturating_sub(before) / 1_024,
        );
        daemons.push(daemon);
    }
}

/// Measures the submission of durable jobs through an open queue.
fn measure_jobs() {
    println!("\njobs: accepted and committed, none started");
    println!("jobs submit_us commits commit_B largest_commit_B tick_us resident_KiB");
    let mut daemons = Vec::new();
    for jobs in JOB_COUNTS {
        let before = resident_bytes();
        let mut daemon = SimDaemon::new(6, 0);
        write_teams(&mut daemon);
        let queue = QueueRecord {
            schema: 1,
            team: "team-0".into(),
            service: None,
        };
        daemon.write_record("queue/open", &queue);
        daemon.run_for(Duration::from_secs(10));
        daemon.costs = Costs::default();
        for n in 0..jobs {
            let time = daemon.call(Call::Submit {
                key: None,
                queue: Some("open".into()),
                spec: job_spec(n),
            });
            daemon.costs.submits.time += time;
            daemon.costs.submits.events += 1;
            if n % 20 == 0 {
                daemon.run_for(Duration::from_millis(100));
            }
        }
        daemon.run_for(Duration::from_secs(5));
        let costs = &daemon.costs;
        println!(
            "{jobs:4} {:9.2} {:7} {:8.0} {:16} {:7.1} {:12}",
            costs.submits.micros_per_event(),
            costs.commits.events,
            costs.commits.bytes_per_event(),
            costs.largest_commit,
            costs.ticks.micros_per_event(),
            resident_bytes().saturating_sub(before) / 1_024,
        );
        daemons.push(daemon);
    }
}

fn job_spec(n: u32) -> JobSpec {
    let size = Resources::new(31_000, 4_096, 0, 1);
    JobSpec {
        name: format!("panels-{}", n % 12).into(),
        ..JobSpec::batch(&format!("job-{n}"), 8, size, Duration::from_secs(3_600))
    }
}

/// Measures the sizes of messages.
fn measure_messages() {
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
    for workers in MEMBER_COUNTS {
        println!(
            "membership list of {workers} workers: {} B",
            SimDaemon::new(workers, 0).member_list_bytes()
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
