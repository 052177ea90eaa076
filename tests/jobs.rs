//! Durable jobs: they are accepted only once stored, and task ends are stored before VMs discard
//! them.

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

/// Returns the first transaction in `fx`.
fn first_commit(fx: &Effects) -> Option<(Token, Txn)> {
    fx.iter().find_map(|effect| match effect {
        Effect::Commit { token, txn } => Some((*token, txn.clone())),
        _ => None,
    })
}

/// Returns the first answer in `fx`.
fn first_answer(fx: &Effects) -> Option<Answer> {
    fx.iter().find_map(|effect| match effect {
        Effect::Answer { answer, .. } => Some(answer.clone()),
        _ => None,
    })
}

/// Returns the rows of a transaction that was committed at `version`.
fn committed_rows(txn: &Txn, version: u64) -> Vec<Row> {
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

/// Outcome of the first write of a submission.
#[derive(Clone, Copy, PartialEq)]
enum FirstWrite {
    Committed,
    NotSent,
    /// The table already contains the same job.
    ConflictWithSameJob,
    /// The table already contains another job of the same identifier.
    ConflictWithOtherJob,
}

/// A caller must be told of the acceptance only when the job's row is in the table.
fn submission_is_answered_after_the_first_write(first: FirstWrite, expected: Answer) {
    let mut jobs = jobs();
    let mut fx = Effects::new();
    jobs.submit(Now::ZERO, 1, spec("j", 2), ZONE.into(), &mut fx);
    let (token, txn) = first_commit(&fx).expect("a write");
    assert_eq!(
        first_answer(&fx),
        None,
        "answered before the outcome of the write is known"
    );
    assert_eq!(txn.writes[0].expect, 0);
    let rows = committed_rows(&txn, 5);
    let end = match first {
        FirstWrite::Committed => TxnOutcome::Committed(rows),
        FirstWrite::NotSent => TxnOutcome::NotSent,
        FirstWrite::ConflictWithSameJob => TxnOutcome::Conflict(rows),
        FirstWrite::ConflictWithOtherJob => {
            TxnOutcome::Conflict(committed_rows(&other_job_write(), 5))
        }
    };
    let mut fx = Effects::new();
    jobs.handle_txn_end(Now::ZERO, token, &end, &mut fx);
    assert_eq!(first_answer(&fx), Some(expected));
}

/// Returns the first write of another job with the same identifier.
fn other_job_write() -> Txn {
    let mut fx = Effects::new();
    jobs().submit(Now::ZERO, 1, spec("j", 9), ZONE.into(), &mut fx);
    first_commit(&fx).expect("a write").1
}

cases! { submission_is_answered_after_the_first_write;
    submission_is_accepted_once_committed(FirstWrite::Committed, accepted()),
    submission_is_not_run_if_its_write_was_not_sent(
        FirstWrite::NotSent, not_run(Reason::PlatformUnavailable),
    ),
    repeated_submission_of_the_same_job_is_accepted(FirstWrite::ConflictWithSameJob, accepted()),
    submission_of_another_job_with_the_same_id_is_refused(
        FirstWrite::ConflictWithOtherJob, not_run(Reason::Invalid),
    ),
}

/// If the answer to a submission's write is lost, a withdrawal of the row must show whether the
/// write took effect. The caller must not be told `not run` of a job that is in the table, nor
/// `accepted` of one that is not.
fn lost_answer_is_resolved_by_a_withdrawal(took_effect: bool) {
    let mut jobs = jobs();
    let mut fx = Effects::new();
    jobs.submit(Now::ZERO, 1, spec("j", 2), ZONE.into(), &mut fx);
    let (token, first) = first_commit(&fx).expect("a write");
    let mut fx = Effects::new();
    jobs.handle_txn_end(Now::ZERO, token, &TxnOutcome::Unknown, &mut fx);
    assert_eq!(first_answer(&fx), None);
    jobs.tick(Duration::from_secs(1), &mut fx);
    let (token, withdrawal) = first_commit(&fx).expect("a withdrawal");
    assert_eq!(withdrawal.writes[0].expect, 0);
    assert_eq!(withdrawal.writes[0].value, None);
    let end = if took_effect {
        TxnOutcome::Conflict(committed_rows(&first, 5))
    } else {
        TxnOutcome::Committed(committed_rows(&withdrawal, 5))
    };
    let mut fx = Effects::new();
    jobs.handle_txn_end(Duration::from_secs(1), token, &end, &mut fx);
    let expected = if took_effect {
        accepted()
    } else {
        not_run(Reason::PlatformUnavailable)
    };
    assert_eq!(first_answer(&fx), Some(expected));
    assert_eq!(jobs.team_of("j").is_some(), took_effect);
}

cases! { lost_answer_is_resolved_by_a_withdrawal;
    submission_is_accepted_if_its_unanswered_write_took_effect(true),
    submission_is_not_run_if_its_unanswered_write_was_withdrawn(false),
}

/// While the table is unreachable and the outcome of a submission's write cannot be resolved, the
/// caller must be told `unknown` before its time-out.
#[test]
fn submission_is_unknown_if_the_table_fails_after_a_lost_answer() {
    let mut jobs = jobs();
    let mut fx = Effects::new();
    jobs.submit(Now::ZERO, 1, spec("j", 2), ZONE.into(), &mut fx);
    let (token, _) = first_commit(&fx).expect("a write");
    jobs.handle_txn_end(Now::ZERO, token, &TxnOutcome::Unknown, &mut fx);
    for ms in (0..10_000).step_by(100) {
        let now = Duration::from_millis(ms);
        let mut fx = Effects::new();
        jobs.tick(now, &mut fx);
        if let Some(answer) = first_answer(&fx) {
            let reason = Reason::PlatformUnavailable;
            assert_eq!(answer, Answer::Unknown { reason });
            return;
        }
        if let Some((token, _)) = first_commit(&fx) {
            jobs.handle_txn_end(now, token, &TxnOutcome::NotSent, &mut Effects::new());
        }
    }
    panic!("no answer within 10 s");
}

/// Submits a job and commits its row.
fn submit_accepted(jobs: &mut Jobs, spec: JobSpec) {
    let mut fx = Effects::new();
    jobs.submit(Now::ZERO, 1, spec, ZONE.into(), &mut fx);
    let (token, txn) = first_commit(&fx).expect("a write");
    let end = TxnOutcome::Committed(committed_rows(&txn, 5));
    jobs.handle_txn_end(Now::ZERO, token, &end, &mut fx);
}

fn ended_task(index: u32, outcome: TaskOutcome) -> EndedTask {
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

/// A task end must be reported as recorded, which lets its VM discard it, only once the job's row
/// contains it, also if the first group commit was not sent or its answer was lost.
fn end_is_recorded_after_a_failed_group_commit(first: &TxnOutcome) {
    let mut jobs = jobs();
    submit_accepted(&mut jobs, spec("j", 2));
    assert!(jobs.record_task_end(
        Duration::from_secs(2),
        "vm0",
        &ended_task(1, TaskOutcome::Done)
    ));
    assert!(!jobs.record_task_end(
        Duration::from_secs(2),
        "vm0",
        &ended_task(1, TaskOutcome::Done)
    ));
    let mut now = Duration::from_secs(2);
    let mut fx = Effects::new();
    jobs.tick(now, &mut fx);
    let (token, txn) = first_commit(&fx).expect("a group commit");
    assert_eq!(txn.writes[0].expect, 5);
    let changes = jobs.handle_txn_end(now, token, first, &mut Effects::new());
    assert_eq!(changes, Some(Vec::new()));
    now += Duration::from_secs(2);
    let mut fx = Effects::new();
    jobs.tick(now, &mut fx);
    let (token, txn) = first_commit(&fx).expect("another group commit");
    let end = TxnOutcome::Committed(committed_rows(&txn, 9));
    let changes = jobs.handle_txn_end(now, token, &end, &mut Effects::new());
    let task = ended_task(1, TaskOutcome::Done).task;
    let expected = JobChange::Recorded {
        vm: "vm0".into(),
        tasks: vec![task],
    };
    assert_eq!(changes, Some(vec![expected]));
    assert_eq!(jobs.owned_jobs(now)[0].pending.len(), 1);
}

cases! { end_is_recorded_after_a_failed_group_commit;
    end_is_recorded_after_a_group_commit_that_was_not_sent(&TxnOutcome::NotSent),
    end_is_recorded_after_a_group_commit_without_an_answer(&TxnOutcome::Unknown),
}

/// A restarted task must keep its number of starts. A failed task that is not restartable must fail
/// its job.
fn failed_task_is_restarted_or_fails_its_job(restartable: bool, pending: usize, state: &str) {
    let mut jobs = jobs();
    let spec = JobSpec {
        restartable,
        ..spec("j", 1)
    };
    submit_accepted(&mut jobs, spec);
    let mut now = Duration::from_secs(2);
    jobs.record_task_end(now, "vm0", &ended_task(0, TaskOutcome::Failed));
    let mut fx = Effects::new();
    jobs.tick(now, &mut fx);
    let (token, txn) = first_commit(&fx).expect("a group commit");
    let end = TxnOutcome::Committed(committed_rows(&txn, 9));
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
    let Some(Answer::Json(text)) = first_answer(&fx) else {
        panic!("no status");
    };
    assert!(text.contains(&format!("\"state\":\"{state}\"")), "{text}");
}

cases! { failed_task_is_restarted_or_fails_its_job;
    failed_task_is_restarted(true, 1, "active"),
    failed_task_that_is_not_restartable_fails_its_job(false, 0, "failed"),
}

/// A cancellation must be answered only once the table contains the cancelled state.
#[test]
fn cancellation_is_answered_after_it_is_committed() {
    let mut jobs = jobs();
    submit_accepted(&mut jobs, spec("j", 3));
    let now = Duration::from_secs(5);
    let mut fx = Effects::new();
    jobs.cancel(now, 7, "j", &mut fx);
    jobs.tick(now, &mut fx);
    assert_eq!(first_answer(&fx), None);
    let (token, txn) = first_commit(&fx).expect("a write");
    let end = TxnOutcome::Committed(committed_rows(&txn, 9));
    let mut fx = Effects::new();
    let changes = jobs.handle_txn_end(now, token, &end, &mut fx);
    assert_eq!(changes, Some(vec![JobChange::Cancelled("j".into())]));
    assert!(matches!(first_answer(&fx), Some(Answer::Json(text)) if text.contains("cancelled")));
    assert_eq!(jobs.owned_jobs(now), []);
}

/// An index set must contain the inserted indexes and be stored as the same ranges, whatever the
/// order of insertion.
fn index_set_is_stored_as_ranges(inserted: &[u32], text: &str) {
    let mut set = TaskIndexSet::default();
    for index in inserted {
        assert!(set.insert(*index));
        assert!(!set.insert(*index));
    }
    assert!(inserted.iter().all(|index| set.contains(*index)));
    assert_eq!(set.len() as usize, inserted.len());
    assert_eq!(serde_json::to_string(&set).expect("JSON"), text);
}

cases! { index_set_is_stored_as_ranges;
    index_set_filled_in_ascending_order(&[0, 1, 2], "[[0,2]]"),
    index_set_filled_in_descending_order(&[2, 1, 0], "[[0,2]]"),
    index_set_with_a_gap_that_is_filled_last(&[0, 2, 1], "[[0,2]]"),
    index_set_with_separate_indexes(&[9, 0, 4], "[[0,0],[4,4],[9,9]]"),
}

/// The end of a task whose job is not in the table must be reported as recorded, so that its VM can
/// discard it, but only after the table was read later than the end was received.
#[test]
fn end_of_an_unknown_job_is_discarded_after_a_table_read() {
    let mut jobs = jobs();
    let received_at = Duration::from_secs(2);
    let end = ended_task(0, TaskOutcome::Done);
    assert!(jobs.record_task_end(received_at, "vm0", &end));
    jobs.record_table_read(Duration::from_secs(1));
    assert_eq!(jobs.tick(received_at, &mut Effects::new()), []);
    jobs.record_table_read(Duration::from_secs(3));
    let recorded = JobChange::Recorded {
        vm: "vm0".into(),
        tasks: vec![end.task],
    };
    assert_eq!(jobs.tick(received_at, &mut Effects::new()), [recorded]);
}

/// Guards against rows of ended jobs that are never withdrawn.
fn ended_job_is_withdrawn_after_its_retention(elapsed: Duration, withdrawn: bool) {
    let mut jobs = jobs();
    submit_accepted(&mut jobs, spec("j", 1));
    let mut now = Duration::from_secs(2);
    jobs.record_task_end(now, "vm0", &ended_task(0, TaskOutcome::Done));
    let mut fx = Effects::new();
    jobs.tick(now, &mut fx);
    let (token, txn) = first_commit(&fx).expect("a group commit");
    let end = TxnOutcome::Committed(committed_rows(&txn, 9));
    jobs.handle_txn_end(now, token, &end, &mut Effects::new());
    now += elapsed;
    jobs.expire(now);
    let mut fx = Effects::new();
    jobs.tick(now, &mut fx);
    let value = first_commit(&fx).map(|(_, txn)| txn.writes[0].value.clone());
    assert_eq!(value, withdrawn.then_some(None));
}

cases! { ended_job_is_withdrawn_after_its_retention;
    ended_job_is_kept_for_an_hour(Duration::from_secs(3_600), false),
    ended_job_is_withdrawn_after_two_days(Duration::from_secs(2 * 24 * 3_600), true),
}

/// Guards against a permanent refusal by a daemon that has not read the membership list yet. The
/// refusal must allow a retry.
#[test]
fn submission_before_the_membership_list_is_read_may_be_retried() {
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
    assert_eq!(
        first_answer(&fx),
        Some(not_run(Reason::PlatformUnavailable))
    );
}
