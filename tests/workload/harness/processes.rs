//! Processes of the daemons: their ends and restarts.

use ragwortstall::core::workload::Event;
use ragwortstall::core::workload::Workload;

use super::Harness;
use super::options::options;

impl Harness {
    /// Kills a daemon's process.
    pub(crate) fn kill(&mut self, daemon: usize) {
        self.daemons[daemon].up = false;
        self.daemons[daemon].lifetime += 1;
        self.daemons[daemon].link.clear();
        self.feed_calls.forget(daemon);
    }

    /// Kills a daemon's process and shuts down its host.
    pub(crate) fn kill_host(&mut self, daemon: usize) {
        self.kill(daemon);
        self.daemons[daemon].host_down = true;
    }

    /// Drains a daemon, which exits afterwards.
    pub(crate) fn drain(&mut self, daemon: usize) {
        self.apply(daemon, Event::Drain);
    }

    /// Returns whether a daemon's process runs.
    pub(crate) fn is_up(&self, daemon: usize) -> bool {
        self.daemons[daemon].up
    }

    /// Restarts a daemon's process.
    pub(crate) fn restart(&mut self, daemon: usize) {
        let daemon = &mut self.daemons[daemon];
        daemon.up = true;
        daemon.host_down = false;
        let mut options = options(
            &daemon.name,
            daemon.capacity,
            daemon.lifetime,
            self.stop_time,
        );
        options.placer.evacuation_bound = self.evacuation_bound;
        daemon.state = Workload::new(options);
        daemon.wake_at = Some(self.now);
    }

    /// Restarts all daemons' processes, so that they read a changed configuration, and runs the cell
    /// until it has started.
    pub(crate) fn restart_all(&mut self) {
        for daemon in 0..self.daemons.len() {
            self.kill(daemon);
            self.restart(daemon);
        }
        self.run_for(3_000);
    }
}
