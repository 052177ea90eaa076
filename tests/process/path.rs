//! End-to-end tests without faults: a request to a service, and a batch job.

use crate::cell::with_cell;
use crate::team::batch_job;
use crate::team::send_request;
use crate::team::set_up_team;
use crate::team::start_counts;
use crate::team::submit;
use crate::team::wait_for_flag;
use crate::team::wait_for_job;

#[test]
fn request_is_answered_completely_through_each_daemon() {
    with_cell(&["east", "west"], async |cell| {
        set_up_team(cell, "2ms").await;
        for daemon in 0..2 {
            let answer = send_request(cell, daemon, "recipe", &[]).await.unwrap();
            assert!(answer.is_complete(), "{} {}", answer.status, answer.body);
            assert_eq!(answer.body, "recipe");
            assert_eq!(answer.outcome, "completed");
        }
    });
}

#[test]
fn batch_job_completes_and_each_task_runs_once() {
    with_cell(&["east", "west"], async |cell| {
        set_up_team(cell, "2ms").await;
        wait_for_flag(cell, 0, "placer").await;
        wait_for_flag(cell, 1, "placer").await;
        let (status, body) = submit(cell, 0, &batch_job("recalculation", 6, "100ms"))
            .await
            .unwrap();
        assert_eq!(status, 202, "{body}");
        let job = wait_for_job(cell, 1, "recalculation").await;
        assert_eq!(job["done"], 6);
        let start_counts = start_counts(cell, "recalculation").await;
        assert_eq!(start_counts.into_values().collect::<Vec<_>>(), [1; 6]);
    });
}
