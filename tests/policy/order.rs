//! Order of steps in a burst of more jobs than the VMs can run in time.

use std::time::Duration;

use ragwortstall::core::workload::policy::order::Order;
use ragwortstall::core::workload::policy::timeliness::Timeliness;

use crate::support::cases;

const LAST: Order = Order {
    priority: 0,
    timeliness: Timeliness::OnTime,
    unstarted: true,
    deadline: Duration::from_secs(20),
};

fn assert_goes_first(change: fn(&mut Order)) {
    let mut first = LAST;
    change(&mut first);
    assert!(first < LAST);
}

cases! {
    assert_goes_first;
    a_job_with_an_earlier_deadline_goes_first(|job| job.deadline = Duration::from_secs(19)),
    a_job_that_has_begun_goes_before_new_ones_with_earlier_deadlines(|job| {
        job.unstarted = false;
        job.deadline = Duration::from_secs(90);
    }),
}

/// Guards against new jobs that are served late because all jobs that have begun go first.
#[test]
fn a_new_job_that_can_be_in_time_goes_before_late_ones_that_have_begun() {
    let late = Order {
        timeliness: Timeliness::Late,
        unstarted: false,
        deadline: Duration::ZERO,
        ..LAST
    };
    assert!(LAST < late);
}
