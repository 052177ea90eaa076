//! What a placement round has found out so far, so that no step of a long queue is looked at again
//! in vain: a search of the fleet takes time in proportion to the VMs, and while it lasts no
//! heartbeat is sent.

use crate::core::model::Resources;
use crate::core::model::ServiceId;
use crate::core::workload::heartbeat::HeartbeatMonitor;
use crate::core::workload::submission::Step;

/// State of a placement round.
pub(super) struct Round<'a> {
    /// Daemons through which advice queries can be sent.
    pub heartbeats: &'a HeartbeatMonitor,
    /// Whether a daemon may be free for an advice query.
    pub advisor_available: bool,
    /// Needs that no VM had room for.
    unmet: Vec<Need>,
}

/// What a VM must have to run a task of a step.
struct Need {
    service: ServiceId,
    required_label: Box<str>,
    reservation: Resources,
}

impl<'a> Round<'a> {
    /// Returns the state at the start of a round.
    pub fn new(heartbeats: &'a HeartbeatMonitor) -> Self {
        Self {
            heartbeats,
            advisor_available: true,
            unmet: Vec::new(),
        }
    }

    /// Records that no VM has room for a task of a step. During a round, room only decreases.
    pub fn record_unmet(&mut self, service: &ServiceId, spec: &Step) {
        self.unmet.push(Need {
            service: service.clone(),
            required_label: spec.required_label.clone(),
            reservation: spec.reservation(),
        });
    }

    /// Returns whether no VM can have room for a task of a step, as none had for a smaller one that
    /// could run on the same VMs.
    pub fn is_unmet(&self, service: &ServiceId, spec: &Step) -> bool {
        let reservation = spec.reservation();
        self.unmet.iter().any(|need| {
            need.service == *service
                && (need.required_label.is_empty() || need.required_label == spec.required_label)
                && reservation.holds(&need.reservation)
        })
    }
}
