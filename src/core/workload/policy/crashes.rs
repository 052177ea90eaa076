//! Policy for tasks under which VMs have crashed.
//!
//! Load pattern: a few tasks crash each VM that starts them. Every crash also ends the runs beside
//! the task, and these start again at the same time. Which of them caused the crash is not known
//! from one crash alone.

/// Number of crashes of VMs under the runs of a task after which its job fails.
const MAX_CRASHES: usize = 3;

/// Returns whether the job of a task fails after this number of crashes under its runs.
#[must_use]
pub fn is_given_up(crashes: usize) -> bool {
    crashes >= MAX_CRASHES
}
