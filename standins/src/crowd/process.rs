//! A process under a crowd, with the bounds that it has to keep.

use std::fs;
use std::io;
use std::process::Child;
use std::process::Command;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::HANG_TIMEOUT;

/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Bounds on a process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessBounds {
    /// Peak of its memory, in MiB.
    pub memory_mib: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

/// A process that is killed when dropped.
pub struct Process {
    child: Child,
    bounds: ProcessBounds,
}

impl Process {
    /// Starts a program that keeps these bounds.
    pub fn start(mut command: Command, bounds: ProcessBounds) -> io::Result<Self> {
        let child = command.spawn()?;
        Ok(Self { child, bounds })
    }

    /// Checks that the process lives and has stayed within its bounds.
    ///
    /// # Panics
    ///
    /// If it has not.
    pub fn check(&mut self) {
        assert!(self.is_running(), "the process has ended");
        let ProcessBounds {
            memory_mib,
            descriptors,
        } = self.bounds;
        let peak_kib = self.peak_memory_kib().expect("memory of the process");
        let open = self.open_descriptors().expect("list of descriptors");
        println!("peak of {peak_kib} KiB, {open} descriptors");
        assert!(
            peak_kib <= memory_mib * 1024,
            "peak of {peak_kib} KiB, over {memory_mib} MiB"
        );
        assert!(
            open <= descriptors,
            "{open} open descriptors, over {descriptors}"
        );
    }

    /// Sends a signal, given by its name as in the `kill` command.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &pid]).status()?;
        if status.success() {
            return Ok(());
        }
        Err(io::Error::other(format!("kill -s {name} {pid}")))
    }

    /// Waits until the process exits.
    pub fn wait_for_exit(&mut self) {
        wait_until("exit", || !self.is_running());
    }

    fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    fn peak_memory_kib(&self) -> Option<u64> {
        let path = format!("/proc/{}/status", self.child.id());
        let text = fs::read_to_string(path).ok()?;
        let line = text.lines().find(|line| line.starts_with("VmHWM:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    fn open_descriptors(&self) -> io::Result<usize> {
        let path = format!("/proc/{}/fd", self.child.id());
        Ok(fs::read_dir(path)?.count())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until a condition holds.
///
/// # Panics
///
/// If it never does.
pub fn wait_until(step: &str, mut condition: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < HANG_TIMEOUT, "hangs: {step}");
        thread::sleep(POLL_INTERVAL);
    }
}
