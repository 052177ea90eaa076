//! Endpoints that are killed or paused while the other zone has free slots.

use crate::cell::Cell;
use crate::cell::with_cell;
use crate::team::send_request;
use crate::team::set_up_team;

/// Returns how often the endpoint of the first zone ran requests with a tag.
async fn run_count_in_first_zone(cell: &Cell, tag: &str) -> usize {
    let ran = cell.get_json(cell.endpoints[0].http, "/ran").await.unwrap();
    let ran = ran.as_array().unwrap();
    ran.iter().filter(|ran| **ran == tag).count()
}

/// Promises 6 to 8: when the endpoint of a zone is killed, the zone's daemon borrows slots of the
/// endpoint in the other zone. The answers to callers agree with what ran there.
#[test]
fn endpoint_killed_and_the_other_zone_answers() {
    with_cell(&["east", "west"], async |cell| {
        set_up_team(cell, "2ms").await;
        cell.endpoints[1].signal("KILL");
        let mut complete_count = 0;
        for n in 0..20 {
            let tag = format!("after-{n}");
            let answer = send_request(cell, 1, &tag, &[]).await.expect("an answer");
            let run_count = run_count_in_first_zone(cell, &tag).await;
            match &*answer.outcome {
                "completed" => assert_eq!((run_count, &answer.body), (1, &tag)),
                "not-run" => assert_eq!(run_count, 0, "{tag}: {}", answer.body),
                _ => assert!(run_count <= 1, "{tag}: {}", answer.body),
            }
            complete_count += u32::from(answer.is_complete());
        }
        assert!(
            complete_count >= 15,
            "{complete_count} of 20 answered completely"
        );
    });
}

/// A paused endpoint keeps its connections open without answering. An idempotent request sent there
/// must time out early and be retried in the other zone before its caller's timeout.
#[test]
fn endpoint_paused_and_idempotent_requests_are_answered() {
    with_cell(&["east", "west"], async |cell| {
        set_up_team(cell, "2ms").await;
        cell.endpoints[1].signal("STOP");
        let headers = [
            ("x-ragwortstall-idempotent", "true"),
            ("x-ragwortstall-timeout", "30s"),
        ];
        for n in 0..6 {
            let tag = format!("paused-{n}");
            let answer = send_request(cell, 1, &tag, &headers)
                .await
                .expect("an answer");
            assert!(
                answer.is_complete(),
                "{tag}: {} {}",
                answer.status,
                answer.body
            );
            assert_eq!(answer.body, tag);
        }
    });
}
