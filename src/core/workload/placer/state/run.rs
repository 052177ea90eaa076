//! A run on a VM, from the order to start it to its end.

use crate::core::model::Now;
use crate::core::model::Resources;
use crate::core::workload::placer::orders::throttle::FULL_SPEED_PERCENT;
use crate::core::workload::placer::state::lost_vms::Evidence;
use crate::core::workload::policy::crashes::Caution;
use crate::core::workload::submission::Step;
use crate::core::workload::task::RunNumber;

/// A run that executes, or may execute, on a VM.
#[derive(Clone, Copy, Debug)]
pub(in crate::core::workload::placer) struct Run {
    pub number: RunNumber,
    /// Resources reserved on the VM; no CPU for fillers.
    pub reservation: Resources,
    pub demand: Resources,
    /// Whether the task has a latency target.
    pub has_target: bool,
    /// Whether the task runs until its job is cancelled.
    pub long_running: bool,
    /// Caution with which the task was placed.
    pub caution: Caution,
    /// Start of the VM's lifetime that has ended since the start was sent, which was not answered
    /// before, in milliseconds since the Unix epoch: the VM may have crashed under the run.
    pub crashed_lifetime_ms: Option<u64>,
    /// Whether the start has been sent, and what was known of the VM then.
    pub delivery: Delivery,
    /// Number of times that the start was sent again, as its connection had broken.
    pub resends: u8,
    /// Lifetime of the VM in which the run executes.
    pub host: HostLifetime,
    /// When the start order was sent last, or queued if it is not sent yet, or when the run of an earlier
    /// placer was adopted.
    pub sent_at: Now,
    pub phase: Phase,
    /// Speed limit that the VM last accepted, in percent.
    pub speed_percent: u32,
    /// Speed limit requested and not yet answered, in percent.
    pub requested_speed_percent: Option<u32>,
    /// Earliest time to repeat a failed speed request.
    pub speed_retry_at: Now,
    /// Last reported tail latency in milliseconds, or CPU usage in millicores for tasks without a
    /// latency target.
    pub measurement: u64,
}

/// What is known of the lifetime of the VM in which a run executes. A VM keeps its id when it restarts,
/// so that an order may reach a lifetime that the placer does not know yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::core::workload::placer) enum HostLifetime {
    /// The VM has not confirmed the run.
    Unconfirmed,
    /// The VM has confirmed the run, in its current lifetime, the one before or one that follows.
    Ambiguous {
        /// When the confirmation arrived.
        since: Now,
    },
    /// The current lifetime of the VM.
    Current,
}

/// Delivery of a run's start to its VM. A start that is not answered may have reached the VM, or the VM
/// may have been down before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::core::workload::placer) enum Delivery {
    /// Not sent: the VM has not answered the check that goes before.
    AwaitsCheck,
    /// Not sent: the VM has answered, but not the VMs of all other members of the gang.
    AwaitsMembers,
    /// Not sent: waits for its turn among the orders to the VM.
    Queued,
    /// Sent to a VM that may have been down already.
    Unchecked,
    /// Sent right after the VM had answered a check.
    Checked,
}

/// Lifecycle phase of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::core::workload::placer) enum Phase {
    /// The start request has not been answered yet.
    Starting,
    /// The VM confirmed the run.
    Running {
        /// When the confirmation arrived.
        since: Now,
    },
    /// The start request was not answered; the run may exist.
    Unconfirmed,
    /// To be stopped, for this reason, once the stops row names the VM.
    StopPending(&'static str),
    /// A stop request was sent.
    Stopping {
        /// When the VM acknowledged the stop.
        acked_at: Option<Now>,
        /// When to send the stop again if it was not acknowledged.
        retry_at: Now,
    },
}

impl Run {
    /// Creates a run whose start is sent, or that is adopted, at `now`.
    pub fn new(number: RunNumber, spec: &Step, caution: Caution, now: Now) -> Self {
        Self {
            number,
            reservation: spec.reservation(),
            demand: spec.demand,
            has_target: spec.target_ms > 0,
            long_running: spec.traits.long_running,
            caution,
            crashed_lifetime_ms: None,
            delivery: Delivery::Unchecked,
            resends: 0,
            host: HostLifetime::Unconfirmed,
            sent_at: now,
            phase: Phase::Starting,
            speed_percent: FULL_SPEED_PERCENT,
            requested_speed_percent: None,
            speed_retry_at: Now::ZERO,
            measurement: 0,
        }
    }

    /// Returns whether an earlier placer started the run.
    pub fn is_adopted(&self) -> bool {
        matches!(self.phase, Phase::Running { since } if since == self.sent_at)
    }

    /// Returns whether the start has been sent.
    pub fn is_sent(&self) -> bool {
        matches!(self.delivery, Delivery::Unchecked | Delivery::Checked)
    }

    /// Returns what is known of the delivery of the start, for the case that the VM has crashed.
    pub fn evidence(&self) -> Evidence {
        let is_confirmed = self.host != HostLifetime::Unconfirmed;
        if is_confirmed || self.delivery == Delivery::Checked {
            Evidence::Delivered
        } else {
            Evidence::Uncertain
        }
    }

    /// Returns whether the run executes in the VM's current lifetime for certain.
    pub fn is_in_current_lifetime(&self) -> bool {
        self.host == HostLifetime::Current
    }

    /// Returns whether the run may execute in a lifetime that the placer does not know. The deadlines
    /// of the orders that were sent mean nothing there, so that it may hold the longest lease.
    pub fn may_be_in_unknown_lifetime(&self) -> bool {
        matches!(self.host, HostLifetime::Ambiguous { .. })
    }

    /// Discards what a former lifetime of the VM has answered to orders for the run.
    pub fn discard_answers(&mut self, now: Now) {
        self.speed_percent = FULL_SPEED_PERCENT;
        self.requested_speed_percent = None;
        if let Phase::Stopping { .. } = self.phase {
            self.phase = Phase::Stopping {
                acked_at: None,
                retry_at: now,
            };
        }
    }

    /// Returns whether the run is being stopped or is to be stopped.
    pub fn is_stopping(&self) -> bool {
        matches!(self.phase, Phase::StopPending(_) | Phase::Stopping { .. })
    }
}
