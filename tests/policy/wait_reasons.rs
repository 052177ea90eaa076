//! Time for which tasks wait in a burst, by reason.

use std::time::Duration;

use ragwortstall::core::model::Now;
use ragwortstall::core::workload::policy::wait_reasons::StepWait;
use ragwortstall::core::workload::policy::wait_reasons::WaitReason;
use ragwortstall::core::workload::policy::wait_reasons::WaitTimes;

fn at(millis: u64) -> Now {
    Now::ZERO + Duration::from_millis(millis)
}

/// Guards against waits that are counted for the reason of the next round in place of the last.
#[test]
fn the_time_between_rounds_counts_for_the_reason_of_the_earlier_one() {
    let mut times = WaitTimes::default();
    let queue = "labels".into();
    let wait = StepWait::new(WaitReason::Advice, 4, at(100));
    times.add(&queue, &wait, at(160));
    let wait = wait.next(WaitReason::Room, 3, at(160));
    times.add(&queue, &wait, at(180));
    let millis = |reason| times.times()[&(queue.clone(), reason)].as_millis();
    assert_eq!(millis(WaitReason::Advice), 4 * 60);
    assert_eq!(millis(WaitReason::Room), 3 * 20);
}

/// Guards against a line for each waiting step in each round of a burst.
#[test]
fn a_reason_is_logged_once_and_only_if_it_lasts() {
    let mut wait = StepWait::new(WaitReason::Room, 2, at(0));
    let logged = (1..100).filter(|round| {
        let now = at(round * 20);
        wait = wait.next(WaitReason::Room, 2, now);
        wait.is_to_be_logged(now)
    });
    let logged: Vec<u64> = logged.collect();
    assert_eq!(logged, [25]);
    wait = wait.next(WaitReason::Advice, 2, at(2_000));
    assert!(!wait.is_to_be_logged(at(2_000)));
}
