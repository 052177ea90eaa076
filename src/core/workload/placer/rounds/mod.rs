//! Placement rounds: the order of steps, the selection of VMs, gangs and advice.

pub(in crate::core::workload::placer) mod advice;
pub(in crate::core::workload::placer) mod candidates;
pub(in crate::core::workload::placer) mod caution;
pub(in crate::core::workload::placer) mod dispatch;
mod evacuation;
pub(in crate::core::workload::placer) mod gang;
pub(in crate::core::workload::placer) mod preempt;
pub(in crate::core::workload::placer) mod preemptible;
mod queries;
pub(in crate::core::workload::placer) mod rank;
pub(in crate::core::workload::placer) mod round;
pub(in crate::core::workload::placer) mod shares;
mod wait_times;
