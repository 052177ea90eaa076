//! The placer's rows in the table: what it loads, writes, replaces and removes.

pub(in crate::core::workload::placer) mod archive;
mod batch;
pub(in crate::core::workload::placer) mod estimates;
pub(in crate::core::workload::placer) mod hand_over;
pub(in crate::core::workload::placer) mod heartbeat;
pub(in crate::core::workload::placer) mod histories;
pub(in crate::core::workload) mod job_progress;
pub(in crate::core::workload::placer) mod load;
pub(in crate::core::workload::placer) mod lost;
pub(in crate::core::workload::placer) mod missing;
pub(in crate::core::workload::placer) mod progress;
pub(in crate::core::workload::placer) mod retire;
pub(in crate::core::workload::placer) mod roster;
