//! The timer that is passed to hyper.

use std::time::Duration;

use hyper::rt::Timer;
use ragwortstall::shell::net::RuntimeTimer;

/// Hyper's keep-alive polls a completed sleep again when a connection is idle; compio's own sleeps
/// would panic.
#[test]
fn sleep_can_be_polled_after_completion() {
    let runtime = compio::runtime::Runtime::new().expect("start a runtime");
    runtime.block_on(async {
        let mut sleep = RuntimeTimer.sleep(Duration::from_millis(1));
        sleep.as_mut().await;
        sleep.as_mut().await;
    });
}
