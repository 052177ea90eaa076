//! Executor for hyper that spawns tasks on the current compio runtime.

use std::future::Future;

use hyper::rt::Executor;

/// Executor that spawns futures on the current thread, so that they need not be `Send`.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalExecutor;

impl<F> Executor<F> for LocalExecutor
where
    F: Future + 'static,
    F::Output: 'static,
{
    fn execute(&self, fut: F) {
        compio::runtime::spawn(fut).detach();
    }
}
