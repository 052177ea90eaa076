//! Orders to VMs, and the reports with which VMs answer them.

use std::time::Duration;

pub(in crate::core::workload::placer) mod authority;
pub(in crate::core::workload::placer) mod checks;
pub(in crate::core::workload::placer) mod completion;
pub(in crate::core::workload::placer) mod crashes;
pub(in crate::core::workload::placer) mod lifetimes;
pub(in crate::core::workload::placer) mod queue;
pub(in crate::core::workload::placer) mod reconcile;
pub(in crate::core::workload::placer) mod renewal;
pub(in crate::core::workload::placer) mod resends;
pub(in crate::core::workload::placer) mod stalls;
pub(in crate::core::workload::placer) mod starts;
pub(in crate::core::workload::placer) mod stops;
pub(in crate::core::workload::placer) mod throttle;

/// Margin beyond the stop timeout after which a run that the VM does not report counts as gone.
pub(in crate::core::workload::placer) const STOP_MARGIN: Duration = Duration::from_millis(100);
