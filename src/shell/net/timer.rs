//! Timer for hyper whose sleeps can be polled after completion. Hyper's keep-alive does that on an
//! idle connection, and compio's own sleeps panic if polled again.

use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use cyper_core::CompioTimer;
use hyper::rt::Sleep;
use hyper::rt::Timer;

/// Timer on the compio runtime.
#[derive(Clone, Copy, Debug, Default)]
pub struct RuntimeTimer;

/// A sleep that stays ready after completion.
struct FusedSleep(Option<Pin<Box<dyn Sleep>>>);

impl Timer for RuntimeTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        Box::pin(FusedSleep(Some(CompioTimer.sleep(duration))))
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        Box::pin(FusedSleep(Some(CompioTimer.sleep_until(deadline))))
    }
}

impl Sleep for FusedSleep {}

impl Future for FusedSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let Some(sleep) = &mut self.0 else {
            return Poll::Ready(());
        };
        let completed = sleep.as_mut().poll(cx).is_ready();
        if completed {
            self.0 = None;
            return Poll::Ready(());
        }
        Poll::Pending
    }
}
