//! Deadlines that allow for this thread's own delays.
//!
//! The timers and the sockets of a process share a thread. If that was busy, or the process did not
//! run, a deadline passes although the result has arrived in time and only waits to be read.

use std::pin::Pin;
use std::time::Duration;
use std::time::Instant;

use compio::time;

/// Delay of a timer from which on this thread counts as delayed.
const MIN_DELAY: Duration = Duration::from_millis(10);

/// Longest time by which delays of this thread extend a deadline.
const MAX_EXTENSION: Duration = Duration::from_secs(1);

/// Waits for a result until a deadline, which is extended by as much as the timer fires late;
/// returns `None` if the result does not arrive.
pub(super) async fn wait_until<F: Future>(
    deadline: Instant,
    mut future: Pin<&mut F>,
) -> Option<F::Output> {
    let mut end = deadline;
    loop {
        if let Ok(output) = time::timeout_at(end, future.as_mut()).await {
            return Some(output);
        }
        let delay = end.elapsed();
        if delay < MIN_DELAY || end >= deadline + MAX_EXTENSION {
            return None;
        }
        end = Instant::now() + delay.min(MAX_EXTENSION);
    }
}
