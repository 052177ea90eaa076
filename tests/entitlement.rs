//! Authorization of job submissions: by key or open queue, team, limit and capacity.

mod support;

use std::time::Duration;

use ragwortstall::core::Effect;
use ragwortstall::core::Event;
use ragwortstall::core::Options;
use ragwortstall::core::State;
use ragwortstall::core::effect::Answer;
use ragwortstall::core::effect::Reason;
use ragwortstall::core::event::Call;
use ragwortstall::core::event::Feed;
use ragwortstall::core::event::Heartbeat;
use ragwortstall::core::event::PeerMessage;
use ragwortstall::core::event::PlatformEvent;
use ragwortstall::core::key;
use ragwortstall::core::model::JobKind;
use ragwortstall::core::model::JobSpec;
use ragwortstall::core::model::Member;
use ragwortstall::core::model::Resources;
use ragwortstall::core::model::Row;
use ragwortstall::core::step;
use support::cases;

const NOW: Duration = Duration::from_secs(600);

fn row(key: &str, value: &str) -> Row {
    Row {
        key: key.into(),
        version: 1,
        value: Some(value.into()),
    }
}

fn worker(n: u32, zone: &str) -> Member {
    let capacity = Resources::new(4_000, 8_192, 0, 100);
    let address = format!("127.0.0.1:{}", 9_000 + n);
    Member::worker(&format!("vm-{n}"), &address, zone, "r", capacity)
}

/// Returns a daemon that has just read the records and the membership list of a cell with two
/// worker VMs.
fn daemon() -> State {
    let mut state = State::new(Options::new("d".into(), "z".into()));
    let limit = r#"{"cpu_milli":6000,"mem_mib":60000,"accel":0,"tasks":100}"#;
    let rows = vec![
        row("team/dairy", &format!(r#"{{"schema":1,"limit":{limit}}}"#)),
        row(
            "team/fairs",
            &format!(r#"{{"schema":2,"limit":{limit},"urgent":false}}"#),
        ),
        row(
            &format!("key/{}", key::hash("dairy")),
            r#"{"schema":1,"team":"dairy"}"#,
        ),
        row(
            &format!("key/{}", key::hash("fairs")),
            r#"{"schema":1,"team":"fairs"}"#,
        ),
        row(
            &format!("key/{}", key::hash("gone")),
            r#"{"schema":1,"team":"gone"}"#,
        ),
        row("queue/proofs", r#"{"schema":1,"team":"fairs"}"#),
    ];
    let members = vec![worker(1, "z"), worker(2, "z")];
    let sent = NOW;
    let feed = Feed::Records;
    let changes = PlatformEvent::Changes {
        feed,
        sent,
        rows,
        rev: 1,
    };
    step(&mut state, NOW, Event::Platform(changes));
    let members = PlatformEvent::Members { sent, members };
    step(&mut state, NOW, Event::Platform(members));
    state
}

fn spec() -> JobSpec {
    let size = Resources::new(1_000, 100, 0, 1);
    JobSpec::batch("j", 2, size, Duration::from_secs(1))
}

/// Submits a job to a new daemon; see [`submit_to`].
fn submit(key: Option<&str>, queue: Option<&str>, spec: JobSpec) -> Option<Reason> {
    submit_to(&mut daemon(), key, queue, spec)
}

/// Submits a job to a daemon; returns the reason of a refusal, or `None` if the daemon writes the
/// job's row.
fn submit_to(
    state: &mut State,
    key: Option<&str>,
    queue: Option<&str>,
    spec: JobSpec,
) -> Option<Reason> {
    let call = Call::Submit {
        key: key.map(Box::from),
        queue: queue.map(Box::from),
        spec,
    };
    let fx = step(state, NOW, Event::Call { ticket: 7, call });
    let refusal = fx.iter().find_map(|effect| match effect {
        Effect::Answer {
            ticket: 7,
            answer: Answer::NotRun { reason, .. },
        } => Some(*reason),
        _ => None,
    });
    let writes_row = fx.iter().any(|effect| match effect {
        Effect::Commit { txn, .. } => txn.writes.iter().any(|write| &*write.key == "job/j"),
        _ => false,
    });
    assert_eq!(writes_row, refusal.is_none(), "{fx:?}");
    refusal
}

fn submission_with_key(key: &str, change: fn(&mut JobSpec), expected: Option<Reason>) {
    let mut spec = spec();
    change(&mut spec);
    assert_eq!(submit(Some(key), None, spec), expected);
}

cases! { submission_with_key;
    own_team_is_accepted("dairy", |spec| spec.team = "dairy".into(), None),
    team_of_the_key_is_the_default("dairy", |_| (), None),
    another_team_is_refused("dairy", |spec| spec.team = "fairs".into(), Some(Reason::Unauthorized)),
    unknown_key_is_refused("guess", |_| (), Some(Reason::Unauthorized)),
    withdrawn_team_is_refused("gone", |_| (), Some(Reason::UnknownTarget)),
    urgent_job_of_a_permitted_team_is_accepted("dairy", |spec| spec.urgent = true, None),
    urgent_job_of_a_team_without_permission_is_refused(
        "fairs", |spec| spec.urgent = true, Some(Reason::Unauthorized),
    ),
    batch_larger_than_the_limit_is_accepted("dairy", |spec| spec.count = 50, None),
    gang_within_the_limit_is_accepted(
        "dairy", |spec| { spec.kind = JobKind::Gang; spec.count = 6; }, None,
    ),
    gang_larger_than_the_limit_is_refused(
        "dairy", |spec| { spec.kind = JobKind::Gang; spec.count = 7; }, Some(Reason::NeverFits),
    ),
    task_larger_than_every_vm_is_refused(
        "dairy", |spec| spec.size.cpu_milli = 4_001, Some(Reason::NeverFits),
    ),
    task_with_more_accelerators_than_any_vm_is_refused(
        "dairy", |spec| spec.size.accel = 1, Some(Reason::NeverFits),
    ),
    job_without_tasks_is_refused("dairy", |spec| spec.count = 0, Some(Reason::Invalid)),
    job_with_too_many_tasks_is_refused("dairy", |spec| spec.count = 100_001, Some(Reason::Invalid)),
    task_size_of_zero_is_refused(
        "dairy", |spec| spec.size = Resources::ZERO, Some(Reason::Invalid),
    ),
    id_with_a_slash_is_refused("dairy", |spec| spec.id = "a/b".into(), Some(Reason::Invalid)),
}

fn submission_without_key(queue: Option<&str>, change: fn(&mut JobSpec), expected: Option<Reason>) {
    let mut spec = spec();
    change(&mut spec);
    assert_eq!(submit(None, queue, spec), expected);
}

cases! { submission_without_key;
    open_queue_is_accepted(Some("proofs"), |_| (), None),
    missing_key_and_queue_is_refused(None, |_| (), Some(Reason::Unauthorized)),
    unknown_queue_is_refused(Some("none"), |_| (), Some(Reason::UnknownTarget)),
    open_queue_for_another_team_is_refused(
        Some("proofs"), |spec| spec.team = "dairy".into(), Some(Reason::Unauthorized),
    ),
    urgent_job_to_an_open_queue_is_refused(
        Some("proofs"), |spec| spec.urgent = true, Some(Reason::Unauthorized),
    ),
}

/// Guards against submissions that are attempted while the table is known to be unreachable until
/// the caller can only be told that the outcome is unknown.
#[test]
fn submission_is_refused_at_once_while_the_table_is_unreachable() {
    let mut state = daemon();
    let feed = Some(Feed::Records);
    let failed = Event::Platform(PlatformEvent::Unreachable { feed });
    step(&mut state, NOW, failed);
    let refusal = submit_to(&mut state, Some("dairy"), None, spec());
    assert_eq!(refusal, Some(Reason::PlatformUnavailable));
}

fn heartbeat(zone: &str, table_reachable: bool, free_cpu_milli: u32) -> Heartbeat {
    Heartbeat {
        zone: zone.into(),
        placer: Some(zone.into()),
        rev: 0,
        table_age: Duration::ZERO,
        has_pending_writes: false,
        draining: false,
        free_cpu_milli,
        digest: 0,
        table_reachable,
    }
}

/// A job must go to the zone with the most free processors among those whose daemons can reach the
/// table. A zone that is partitioned from the table would not run the job.
fn job_is_assigned_to_zone(first_reads_table: bool, expected: &str) {
    let mut state = daemon();
    let mut members = Vec::new();
    for (n, zone) in (1..).zip(["first", "second"]) {
        let address = format!("127.0.0.1:{}", 8_000 + n);
        members.push(Member::entry(
            &format!("d-{zone}"),
            &address,
            &address,
            zone,
        ));
        members.push(worker(n, zone));
    }
    let members = PlatformEvent::Members { sent: NOW, members };
    step(&mut state, NOW, Event::Platform(members));
    for (zone, table, free) in [("first", first_reads_table, 8_000), ("second", true, 1_000)] {
        let from = format!("d-{zone}").into();
        let message = PeerMessage::Heartbeat(heartbeat(zone, table, free));
        step(
            &mut state,
            NOW,
            Event::Peer {
                from,
                ticket: 1,
                message,
            },
        );
    }
    let call = Call::Submit {
        key: Some("dairy".into()),
        queue: None,
        spec: spec(),
    };
    let fx = step(&mut state, NOW, Event::Call { ticket: 7, call });
    let zone = format!("\"zone\":\"{expected}\"");
    let written = fx.iter().any(|effect| match effect {
        Effect::Commit { txn, .. } => {
            let value = txn.writes[0].value.as_deref();
            value.is_some_and(|value| value.contains(&zone))
        }
        _ => false,
    });
    assert!(written, "{fx:?}");
}

cases! { job_is_assigned_to_zone;
    job_is_assigned_to_the_zone_with_the_most_free_processors(true, "first"),
    job_is_not_assigned_to_a_zone_that_cannot_reach_the_table(false, "second"),
}
