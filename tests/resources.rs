//! Comparison of resource vectors.

mod support;

use ragwortstall::core::model::Resources;
use support::cases;

fn holds(capacity: Resources, amount: Resources, expected: bool) {
    assert_eq!(capacity.holds(&amount), expected);
}

cases! { holds;
    equal_amounts_are_held(Resources::new(1, 2, 3, 4), Resources::new(1, 2, 3, 4), true),
    larger_cpu_amount_is_not_held(Resources::new(1, 2, 3, 4), Resources::new(2, 2, 3, 4), false),
    larger_memory_amount_is_not_held(Resources::new(1, 2, 3, 4), Resources::new(1, 3, 3, 4), false),
    larger_accel_count_is_not_held(Resources::new(1, 2, 3, 4), Resources::new(1, 2, 4, 4), false),
    larger_task_count_is_not_held(Resources::new(1, 2, 3, 4), Resources::new(1, 2, 3, 5), false),
}
