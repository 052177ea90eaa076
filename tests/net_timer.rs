//! The timer that hyper is given.

use std::time::Duration;

use hyper::rt::Timer;
use ragwortstall::shell::net::RuntimeTimer;

#[test]
fn a_sleep_can_be_polled_after_its_end() {
    let runtime = compio::runtime::Runtime::new().expect("start a runtime");
    runtime.block_on(async {
        let mut sleep = RuntimeTimer.sleep(Duration::from_millis(1));
        sleep.as_mut().await;
        sleep.as_mut().await;
    });
}
