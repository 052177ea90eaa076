//! Handing the role over: a placer on a host that is too small for the role releases it, so that a
//! daemon on a fitter host claims it. A busy placer does so only if such a daemon is known to run.

use std::time::Duration;

use crate::core::model::DaemonId;
use crate::core::model::Epoch;
use crate::core::model::Now;
use crate::core::workload::cx::Cx;
use crate::core::workload::effect::Request;
use crate::core::workload::event::ProbePurpose;
use crate::core::workload::event::ProbeResult;
use crate::core::workload::heartbeat::HeartbeatMonitor;
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::Release;
use crate::core::workload::placer::RoleLoss;
use crate::core::workload::table::CommitOutcome;

/// Minimum time for which the role is held before it is handed over.
const MIN_TENURE: Duration = Duration::from_secs(2);

/// The same if the fitter hosts were known at the takeover: they did not claim the role then, and
/// may still be unable to. A busy placer waits so long only if the role had been released.
const RETRY_TENURE: Duration = Duration::from_secs(30);

/// Time before the grant from which on a host that was announced may have been unknown at the
/// takeover, or too new to claim.
const NEW_HOST_TIME: Duration = Duration::from_secs(3);

/// Minimum interval between probes of fit daemons.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time after an outage of the table within which a daemon whose takeover has failed may still wait
/// before it tries again.
const RECOVERY_TIME: Duration = Duration::from_secs(2);

const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// State of handing the role over.
#[derive(Debug)]
pub(in crate::core::workload::placer) struct HandOver {
    /// Whether the former holder had released the role, so that each daemon could claim it.
    follows_release: bool,
    stage: Stage,
    /// Daemon that was probed last; initially this one.
    last_probed: DaemonId,
    next_probe_at: Now,
    probe: Probe,
}

/// Stage of the release to a daemon on a fitter host; a release because of a drain has none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    NotStarted,
    /// The release has not taken effect, and no write that contains it can do so later.
    Revocable,
    /// The release may have taken effect or may still do so.
    Final,
}

/// State of the probe of a fit daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Probe {
    Idle,
    InFlight,
    /// The process listens.
    Listening,
}

impl HandOver {
    /// Returns the state of a new placer.
    pub fn new(cx: &Cx, follows_release: bool) -> Self {
        Self {
            follows_release,
            stage: Stage::NotStarted,
            last_probed: cx.options.daemon.clone(),
            next_probe_at: Now::ZERO,
            probe: Probe::Idle,
        }
    }

    /// Returns whether the probe that was sent last has found a process that listens, once for each
    /// probe.
    fn take_listening(&mut self) -> bool {
        let listening = self.probe == Probe::Listening;
        if listening {
            self.probe = Probe::Idle;
        }
        listening
    }
}

impl Placer {
    /// Starts to hand the role over if that is due. Returns the reason of the loss of the role once
    /// the release is committed.
    pub(in crate::core::workload::placer) fn poll_hand_over(
        &mut self,
        cx: &mut Cx,
        heartbeats: &HeartbeatMonitor,
    ) -> RoleLoss {
        if self.release == Release::NotRequested && self.hand_over_is_due(cx, heartbeats) {
            self.hand_over.stage = Stage::Revocable;
            self.release(cx);
        }
        let done = self.hand_over.stage != Stage::NotStarted && self.release == Release::Done;
        done.then(|| "handed over to a host with more capacity".into())
    }

    /// Handles the result of a probe that the placer of an epoch has sent to a fit daemon.
    pub(in crate::core::workload::placer) fn handle_fit_daemon_probed(
        &mut self,
        epoch: Epoch,
        result: &ProbeResult,
    ) {
        if epoch != self.epoch() {
            return;
        }
        self.hand_over.probe = match result {
            ProbeResult::Listening => Probe::Listening,
            ProbeResult::Refused | ProbeResult::NoAnswer(_) => Probe::Idle,
        };
    }

    /// Handles the outcome of a write of progress during a release. A hand-over that the table has
    /// refused is given up, so that the placer goes on renewing leases.
    pub(in crate::core::workload::placer) fn handle_release_outcome(
        &mut self,
        outcome: &CommitOutcome,
    ) {
        if self.hand_over.stage != Stage::Revocable {
            return;
        }
        match outcome {
            CommitOutcome::Done(_) => {}
            CommitOutcome::Refused(_) | CommitOutcome::Rejected(_) => {
                self.hand_over.stage = Stage::NotStarted;
                self.release = Release::NotRequested;
            }
            CommitOutcome::Conflict(_) | CommitOutcome::Unknown(_) => {
                self.hand_over.stage = Stage::Final;
            }
        }
    }

    /// Returns whether the hand-over is due; probes a fit daemon if it depends on that.
    fn hand_over_is_due(&mut self, cx: &mut Cx, heartbeats: &HeartbeatMonitor) -> bool {
        let listening = self.hand_over.take_listening();
        if !self.settled || cx.now < self.granted_at + MIN_TENURE {
            return false;
        }
        let Some(announced_at) = heartbeats.hosts.fitter_announced_at(cx) else {
            return false;
        };
        let may_claim = announced_at + NEW_HOST_TIME >= self.granted_at
            || cx.now >= self.granted_at + RETRY_TENURE;
        if self.is_idle() {
            return may_claim;
        }
        if !self.table_takes_writes(cx) {
            self.hand_over.next_probe_at = cx.now + RECOVERY_TIME;
            return false;
        }
        if self.hand_over.follows_release && !may_claim {
            return false;
        }
        if !listening {
            self.probe_fit_daemon(cx, heartbeats);
        }
        listening
    }

    /// Returns whether the release of a busy placer can be expected to succeed. Its leases are not
    /// renewed until then.
    fn table_takes_writes(&self, cx: &Cx) -> bool {
        cx.now < self.last_commit_sent_at + cx.options.placer.takeover_after
    }

    /// Probes the next fit daemon if a probe is due.
    fn probe_fit_daemon(&mut self, cx: &mut Cx, heartbeats: &HeartbeatMonitor) {
        if self.hand_over.probe != Probe::Idle || cx.now < self.hand_over.next_probe_at {
            return;
        }
        let last = &self.hand_over.last_probed;
        let Some(daemon) = heartbeats.hosts.next_fit_daemon(cx, last) else {
            return;
        };
        let Some(address) = heartbeats.addresses.get(daemon) else {
            return;
        };
        self.hand_over.last_probed = daemon.clone();
        self.hand_over.next_probe_at = cx.now + PROBE_INTERVAL;
        self.hand_over.probe = Probe::InFlight;
        cx.send(Request::Probe {
            purpose: ProbePurpose::FitDaemon(self.epoch(), daemon.clone()),
            address: address.clone(),
            timeout: PROBE_TIMEOUT,
        });
    }

    /// Returns whether there is nothing that the next placer would have to take over: no active
    /// job, no run, no progress to be written, and no VM of an earlier placer to be fenced.
    fn is_idle(&self) -> bool {
        self.settled
            && self.registry.active_jobs().next().is_none()
            && self.registry.dirty_jobs().is_empty()
            && self.pending_ended_tasks.is_empty()
            && self.missing.is_empty()
            && self.fleet.vms.values().all(|vm| vm.runs.is_empty())
    }
}
