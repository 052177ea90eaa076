//! Entitlement: whose work is accepted, and what of it.

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

/// A daemon that has just read the records and the membership list of a cell of two workers.
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

/// Submits and returns the reason of a refusal; `None` when the job's row is on its way.
fn submitted(key: Option<&str>, queue: Option<&str>, spec: JobSpec) -> Option<Reason> {
    submitted_to(&mut daemon(), key, queue, spec)
}

fn submitted_to(
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
    let row = fx.iter().any(|effect| match effect {
        Effect::Commit { txn, .. } => txn.writes.iter().any(|write| &*write.key == "job/j"),
        _ => false,
    });
    assert_eq!(row, refusal.is_none(), "{fx:?}");
    refusal
}

fn with_key(key: &str, change: fn(&mut JobSpec), expected: Option<Reason>) {
    let mut spec = spec();
    change(&mut spec);
    assert_eq!(submitted(Some(key), None, spec), expected);
}

cases! { with_key;
    own_team("dairy", |spec| spec.team = "dairy".into(), None),
    team_of_the_key("dairy", |_| (), None),
    another_team("dairy", |spec| spec.team = "fairs".into(), Some(Reason::Unauthorized)),
    key_that_was_never_granted("guess", |_| (), Some(Reason::Unauthorized)),
    team_that_was_withdrawn("gone", |_| (), Some(Reason::UnknownTarget)),
    urgent_work_of_a_team_that_may("dairy", |spec| spec.urgent = true, None),
    urgent_work_of_a_team_that_may_not(
        "fairs", |spec| spec.urgent = true, Some(Reason::Unauthorized),
    ),
    batch_beyond_the_limit_in_all("dairy", |spec| spec.count = 50, None),
    gang_within_the_limit(
        "dairy", |spec| { spec.kind = JobKind::Gang; spec.count = 6; }, None,
    ),
    gang_beyond_the_limit(
        "dairy", |spec| { spec.kind = JobKind::Gang; spec.count = 7; }, Some(Reason::NeverFits),
    ),
    task_beyond_every_vm(
        "dairy", |spec| spec.size.cpu_milli = 4_001, Some(Reason::NeverFits),
    ),
    task_beyond_every_accelerator(
        "dairy", |spec| spec.size.accel = 1, Some(Reason::NeverFits),
    ),
    no_tasks("dairy", |spec| spec.count = 0, Some(Reason::Invalid)),
    too_many_tasks("dairy", |spec| spec.count = 100_001, Some(Reason::Invalid)),
    no_size("dairy", |spec| spec.size = Resources::ZERO, Some(Reason::Invalid)),
    name_that_leaves_its_space("dairy", |spec| spec.id = "a/b".into(), Some(Reason::Invalid)),
}

fn without_key(queue: Option<&str>, change: fn(&mut JobSpec), expected: Option<Reason>) {
    let mut spec = spec();
    change(&mut spec);
    assert_eq!(submitted(None, queue, spec), expected);
}

cases! { without_key;
    open_queue(Some("proofs"), |_| (), None),
    no_queue(None, |_| (), Some(Reason::Unauthorized)),
    no_such_queue(Some("none"), |_| (), Some(Reason::UnknownTarget)),
    open_queue_for_another_team(
        Some("proofs"), |spec| spec.team = "dairy".into(), Some(Reason::Unauthorized),
    ),
    urgent_work_by_an_open_queue(
        Some("proofs"), |spec| spec.urgent = true, Some(Reason::Unauthorized),
    ),
}

/// Proves that a job is refused at once while the table is known to be unreachable, instead of
/// being tried until its caller can only be told that its end is not known.
#[test]
fn unreachable_table_refuses_at_once() {
    let mut state = daemon();
    let feed = Some(Feed::Records);
    let failed = Event::Platform(PlatformEvent::Unreachable { feed });
    step(&mut state, NOW, failed);
    let refusal = submitted_to(&mut state, Some("dairy"), None, spec());
    assert_eq!(refusal, Some(Reason::PlatformUnavailable));
}

fn beat(zone: &str, table_reachable: bool, free_cpu_milli: u32) -> Heartbeat {
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

/// Proves that a job goes to the zone with most room among those whose placer can find it in the
/// table: one that is cut off would not run it, however much room it has.
fn job_goes_to(first_reads_table: bool, expected: &str) {
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
        let message = PeerMessage::Heartbeat(beat(zone, table, free));
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

cases! { job_goes_to;
    zone_with_most_room(true, "first"),
    zone_that_reads_the_table(false, "second"),
}
