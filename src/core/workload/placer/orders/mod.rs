//! Orders to VMs, and the reports with which VMs answer them.

pub(in crate::core::workload::placer) mod completion;
pub(in crate::core::workload::placer) mod crashes;
pub(in crate::core::workload::placer) mod renewal;
pub(in crate::core::workload::placer) mod stalls;
pub(in crate::core::workload::placer) mod starts;
pub(in crate::core::workload::placer) mod stops;
pub(in crate::core::workload::placer) mod throttle;
