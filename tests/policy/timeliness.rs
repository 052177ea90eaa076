//! Timeliness of jobs in a burst of more jobs than the VMs can run in time.

use std::time::Duration;

use ragwortstall::core::workload::policy::timeliness::Timeliness;

const OBJECTIVE: Duration = Duration::from_secs(2);

/// Names a job of a burst by its age and remaining run time, in milliseconds.
macro_rules! jobs {
    ($($name:ident: $age:literal, $remaining:literal => $expected:ident;)*) => {$(
        #[test]
        fn $name() {
            let age = Duration::from_millis($age);
            let remaining = Duration::from_millis($remaining);
            let timeliness = Timeliness::new(age, remaining, OBJECTIVE);
            assert_eq!(timeliness, Timeliness::$expected);
        }
    )*};
}

jobs! {
    a_new_job_is_on_time: 0, 1_000 => OnTime;
    a_job_that_ends_at_its_objective_is_on_time: 1_000, 1_000 => OnTime;
    a_job_that_waited_too_long_is_late: 1_500, 1_000 => Late;
    a_job_whose_caller_no_longer_waits_is_overdue: 5_500, 1_000 => Overdue;
    a_job_longer_than_its_objective_is_late_from_the_start: 0, 3_000 => Late;
}
