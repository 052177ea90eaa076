//! Durable jobs: accepted only when certain, and recorded before a VM forgets.

mod support;

use std::time::Duration;

use ragwortstall::core::Effect;
use ragwortstall::core::Effects;
use ragwortstall::core::Event;
use ragwortstall::core::Options;
use ragwortstall::core::State;
use ragwortstall::core::effect::Answer;
use ragwortstall::core::effect::Reason;
use ragwortstall::core::event::Call;
use ragwortstall::core::event::Feed;
use ragwortstall::core::event::PlatformEvent;
use ragwortstall::core::event::TxnOutcome;
use ragwortstall::core::job::JobChange;
use ragwortstall::core::job::Jobs;
use ragwortstall::core::job::TaskIndexSet;
use ragwortstall::core::model::EndedTask;
use ragwortstall::core::model::JobSpec;
use ragwortstall::core::model::Now;
use ragwortstall::core::model::Resources;
use ragwortstall::core::model::Row;
use ragwortstall::core::model::TaskOutcome;
use ragwortstall::core::model::TaskRef;
use ragwortstall::core::model::Token;
use ragwortstall::core::model::Txn;
use ragwortstall::core::step;
use support::cases;

const ZONE: &str = "z1";

fn spec(id: &str, count: u32) -> JobSpec {
    let size = Resources::new(1_000, 512, 0, 1);
    JobSpec {
        team: "spice".into(),
        ..JobSpec::batch(id, count, size, Duration::from_secs(60))
    }
}

fn jobs() -> Jobs {
    Jobs::new(ZONE.into(), Duration::from_secs(1_000))
}

fn commit(fx: &Effects) -> Option<(Token, Txn)> {
    fx.iter().find_map(|effect| match effect {
        Effect::Commit { token, txn } => Some((*token, txn.clone())),
        _ => None,
    })
}

fn answer(fx: &Effects) -> Option<Answer> {
    fx.iter().find_map(|effect| match effect {
        Effect::Answer { answer, .. } => Some(answer.clone()),
        _ => None,
    })
}

/// The rows of a transaction as they are once it took effect at `version`.
fn written(txn: &Txn, version: u64) -> Vec<Row> {
    txn.writes
        .iter()
        .map(|write| Row {
            key: write.key.clone(),
            version,
            value: write.value.clone(),
        })
        .collect()
}

fn accepted() -> Answer {
    Answer::Accepted { job: "j".into() }
}

fn not_run(reason: Reason) -> Answer {
    let retry_after = (reason == Reason::PlatformUnavailable).then(|| Duration::from_secs(1));
    Answer::NotRun {
        reason,
        retry_after,
    }
}

/// What becomes of a submission whose first write ended so.
#[derive(Clone, Copy, PartialEq)]
enum First {
    Committed,
    NotSent,
    SameThere,
    OtherThere,
}

/// Proves that a caller hears of acceptance only when the row is in the table.
fn first_write(first: First, expected: Answer) {
    let mut jobs = jobs();
    let mut fx = Effects::new();
    jobs.submit(Now::ZERO, 1, spec("j", 2), ZONE.into(), &mut fx);
    let (token, txn) = commit(&fx).expect("a write");
    assert_eq!(answer(&fx), None, "answered before the write ended");
    assert_eq!(txn.writes[0].expect, 0);
    let rows = written(&txn, 5);
    let end = match first {
        First::Committed => TxnOutcome::Committed(rows),
        First::NotSent => TxnOutcome::NotSent,
        First::SameThere => TxnOutcome::Conflict(rows),
        First::OtherThere => TxnOutcome::Conflict(written(&other(), 5)),
    };
    let mut fx = Effects::new();
    jobs.handle_txn_end(Now::ZERO, token, &end, &mut fx);
    assert_eq!(answer(&fx), Some(expected));
}

fn other() -> Txn {
    let mut fx = Effects::new();
    jobs().submit(Now::ZERO, 1, spec("j", 9), ZONE.into(), &mut fx);
    commit(&fx).expect("a write").1
}

cases! { first_write;
    committed_is_accepted(First::Committed, accepted()),
    not_sent_is_not_run(First::NotSent, not_run(Reason::PlatformUnavailable)),
    the_same_job_again_is_accepted(First::SameThere, accepted()),
    another_job_of_that_name_is_refused(First::OtherThere, not_run(Reason::Invalid)),
}

/// Proves that a lost answer is settled by the withdrawal: the caller never hears `not run` of a
/// job that is in the table, nor `accepted` of one that is not.
fn settled(took_effect: bool) {
    let mut jobs = jobs();
    let mut fx = Effects::new();
    jobs.submit(Now::ZERO, 1, spec("j", 2), ZONE.into(), &mut fx);
    let (token, first) = commit(&fx).expect("a write");
    let mut fx = Effects::new();
    jobs.handle_txn_end(Now::ZERO, token, &TxnOutcome::Unknown, &mut fx);
    assert_eq!(answer(&fx), None);
    jobs.tick(Duration::from_secs(1), &mut fx);
    let (token, withdrawal) = commit(&fx).expect("a withdrawal");
    assert_eq!(withdrawal.writes[0].expect, 0);
    assert_eq!(withdrawal.writes[0].value, None);
    let end = if took_effect {
        TxnOutcome::Conflict(written(&first, 5))
    } else {
        TxnOutcome::Committed(written(&withdrawal, 5))
    };
    let mut fx = Effects::new();
    jobs.handle_txn_end(Duration::from_secs(1), token, &end, &mut fx);
    let expected = if took_effect {
        accepted()
    } else {
        not_run(Reason::PlatformUnavailable)
    };
    assert_eq!(answer(&fx), Some(expected));
    assert_eq!(jobs.team_of("j").is_some(), took_effect);
}

cases! { settled;
    lost_answer_of_a_write_that_took_effect(true),
    lost_answer_of_a_write_that_did_not(false),
}

/// Proves that the caller hears `unknown`, and within its patience, while nothing can be settled.
#[test]
fn table_down_after_a_lost_answer() {
    let mut jobs = jobs();
    let mut fx = Effects::new();
    jobs.submit(Now::ZERO, 1, spec("j", 2), ZONE.into(), &mut fx);
    let (token, _) = commit(&fx).expect("a write");
    jobs.handle_txn_end(Now::ZERO, token, &TxnOutcome::Unknown, &mut fx);
    for ms in (0..10_000).step_by(100) {
        let now = Duration::from_millis(ms);
        let mut fx = Effects::new();
        jobs.tick(now, &mut fx);
        if let Some(answer) = answer(&fx) {
            let reason = Reason::PlatformUnavailable;
            assert_eq!(answer, Answer::Unknown { reason });
            return;
        }
        if let Some((token, _)) = commit(&fx) {
            jobs.handle_txn_end(now, token, &TxnOutcome::NotSent, &mut Effects::new());
        }
    }
    panic!("no answer");
}

fn accept(jobs: &mut Jobs, spec: JobSpec) {
    let mut fx = Effects::new();
    jobs.submit(Now::ZERO, 1, spec, ZONE.into(), &mut fx);
    let (token, txn) = commit(&fx).expect("a write");
    let end = TxnOutcome::Committed(written(&txn, 5));
    jobs.handle_txn_end(Now::ZERO, token, &end, &mut fx);
}

fn end(index: u32, outcome: TaskOutcome) -> EndedTask {
    EndedTask {
        task: TaskRef {
            job: "j".into(),
            index,
            attempt: 0,
        },
        team: "spice".into(),
        outcome,
    }
}

/// Proves that a VM keeps an end until the row holds it, also when the answer to the group commit
/// is lost and when another daemon changed the row in between.
fn recorded(first: &TxnOutcome) {
    let mut jobs = jobs();
    accept(&mut jobs, spec("j", 2));
    assert!(jobs.record_task_end(Duration::from_secs(2), "vm0", &end(1, TaskOutcome::Done)));
    assert!(!jobs.record_task_end(Duration::from_secs(2), "vm0", &end(1, TaskOutcome::Done)));
    let mut now = Duration::from_secs(2);
    let mut fx = Effects::new();
    jobs.tick(now, &mut fx);
    let (token, txn) = commit(&fx).expect("a group commit");
    assert_eq!(txn.writes[0].expect, 5);
    let changes = jobs.handle_txn_end(now, token, first, &mut Effects::new());
    assert_eq!(changes, Some(Vec::new()));
    now += Duration::from_secs(2);
    let mut fx = Effects::new();
    jobs.tick(now, &mut fx);
    let (token, txn) = commit(&fx).expect("another group commit");
    let end = TxnOutcome::Committed(written(&txn, 9));
    let changes = jobs.handle_txn_end(now, token, &end, &mut Effects::new());
    let task = self::end(1, TaskOutcome::Done).task;
    let expected = JobChange::Recorded {
        vm: "vm0".into(),
        tasks: vec![task],
    };
    assert_eq!(changes, Some(vec![expected]));
    assert_eq!(jobs.owned_jobs(now)[0].pending.len(), 1);
}

cases! { recorded;
    group_commit_not_sent(&TxnOutcome::NotSent),
    group_commit_answer_lost(&TxnOutcome::Unknown),
}

/// A task that is started again after failing keeps its count of starts; one that must not be is
/// failed for good, and the job with it.
fn failed(restartable: bool, pending: usize, state: &str) {
    let mut jobs = jobs();
    let spec = JobSpec {
        restartable,
        ..spec("j", 1)
    };
    accept(&mut jobs, spec);
    let mut now = Duration::from_secs(2);
    jobs.record_task_end(now, "vm0", &end(0, TaskOutcome::Failed));
    let mut fx = Effects::new();
    jobs.tick(now, &mut fx);
    let (token, txn) = commit(&fx).expect("a group commit");
    let end = TxnOutcome::Committed(written(&txn, 9));
    jobs.handle_txn_end(now, token, &end, &mut fx);
    now += Duration::from_secs(1);
    let owned = jobs.owned_jobs(now);
    assert_eq!(
        owned.iter().map(|job| job.pending.len()).sum::<usize>(),
        pending
    );
    if restartable {
        assert_eq!(owned[0].pending[0].attempt, 1);
    }
    let mut fx = Effects::new();
    jobs.status(now, 1, "j", &mut fx);
    let Some(Answer::Json(text)) = answer(&fx) else {
        panic!("no status");
    };
    assert!(text.contains(&format!("\"state\":\"{state}\"")), "{text}");
}

cases! { failed;
    failed_task_is_started_again(true, 1, "active"),
    failed_task_that_must_not_run_again(false, 0, "failed"),
}

/// Proves that a cancelled job is over in the table before its caller hears so.
#[test]
fn cancelled() {
    let mut jobs = jobs();
    accept(&mut jobs, spec("j", 3));
    let now = Duration::from_secs(5);
    let mut fx = Effects::new();
    jobs.cancel(now, 7, "j", &mut fx);
    jobs.tick(now, &mut fx);
    assert_eq!(answer(&fx), None);
    let (token, txn) = commit(&fx).expect("a write");
    let end = TxnOutcome::Committed(written(&txn, 9));
    let mut fx = Effects::new();
    let changes = jobs.handle_txn_end(now, token, &end, &mut fx);
    assert_eq!(changes, Some(vec![JobChange::Cancelled("j".into())]));
    assert!(matches!(answer(&fx), Some(Answer::Json(text)) if text.contains("cancelled")));
    assert_eq!(jobs.owned_jobs(now), []);
}

/// The compact form holds the same set, whatever the order of insertion.
fn indexes(inserted: &[u32], text: &str) {
    let mut set = TaskIndexSet::default();
    for index in inserted {
        assert!(set.insert(*index));
        assert!(!set.insert(*index));
    }
    assert!(inserted.iter().all(|index| set.contains(*index)));
    assert_eq!(set.len() as usize, inserted.len());
    assert_eq!(serde_json::to_string(&set).expect("JSON"), text);
}

cases! { indexes;
    ascending(&[0, 1, 2], "[[0,2]]"),
    descending(&[2, 1, 0], "[[0,2]]"),
    gap_that_closes(&[0, 2, 1], "[[0,2]]"),
    apart(&[9, 0, 4], "[[0,0],[4,4],[9,9]]"),
}

/// Proves that a VM may forget an end whose job is in no table, and not before that is known.
#[test]
fn end_of_an_unknown_job() {
    let mut jobs = jobs();
    let heard = Duration::from_secs(2);
    let end = end(0, TaskOutcome::Done);
    assert!(jobs.record_task_end(heard, "vm0", &end));
    jobs.record_table_read(Duration::from_secs(1));
    assert_eq!(jobs.tick(heard, &mut Effects::new()), []);
    jobs.record_table_read(Duration::from_secs(3));
    let recorded = JobChange::Recorded {
        vm: "vm0".into(),
        tasks: vec![end.task],
    };
    assert_eq!(jobs.tick(heard, &mut Effects::new()), [recorded]);
}

/// Proves that the rows of ended jobs do not pile up.
fn retention(kept: Duration, withdrawn: bool) {
    let mut jobs = jobs();
    accept(&mut jobs, spec("j", 1));
    let mut now = Duration::from_secs(2);
    jobs.record_task_end(now, "vm0", &end(0, TaskOutcome::Done));
    let mut fx = Effects::new();
    jobs.tick(now, &mut fx);
    let (token, txn) = commit(&fx).expect("a group commit");
    let end = TxnOutcome::Committed(written(&txn, 9));
    jobs.handle_txn_end(now, token, &end, &mut Effects::new());
    now += kept;
    jobs.expire(now);
    let mut fx = Effects::new();
    jobs.tick(now, &mut fx);
    let value = commit(&fx).map(|(_, txn)| txn.writes[0].value.clone());
    assert_eq!(value, withdrawn.then_some(None));
}

cases! { retention;
    kept_for_an_hour(Duration::from_secs(3_600), false),
    withdrawn_after_two_days(Duration::from_secs(2 * 24 * 3_600), true),
}

/// Proves that a daemon which has not read the membership list yet refuses for now, not for good.
#[test]
fn before_the_membership_list_is_read() {
    let row = |key: &str, value: &str| Row {
        key: key.into(),
        version: 1,
        value: Some(value.into()),
    };
    let limit = r#"{"cpu_milli":4000,"mem_mib":4096,"tasks":9}"#;
    let rows = vec![
        row(
            "team/spice",
            &format!(r#"{{"schema":1,"weight":1,"limit":{limit}}}"#),
        ),
        row("queue/open", r#"{"schema":1,"team":"spice"}"#),
    ];
    let mut state = State::new(Options::new("d0".into(), ZONE.into()));
    let read = PlatformEvent::Changes {
        feed: Feed::Records,
        sent: Now::ZERO,
        rows,
        rev: 1,
    };
    step(&mut state, Now::ZERO, Event::Platform(read));
    let call = Call::Submit {
        key: None,
        queue: Some("open".into()),
        spec: spec("j", 2),
    };
    let fx = step(&mut state, Now::ZERO, Event::Call { ticket: 1, call });
    assert_eq!(answer(&fx), Some(not_run(Reason::PlatformUnavailable)));
}
