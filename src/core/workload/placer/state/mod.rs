//! State of the placer: VMs, jobs, usage of teams, waits of new jobs, and what was
//! learned about VMs.

pub(in crate::core::workload::placer) mod dirty_jobs;
pub(in crate::core::workload::placer) mod fleet;
pub(in crate::core::workload::placer) mod job_registry;
pub(in crate::core::workload::placer) mod lifetime;
pub(in crate::core::workload::placer) mod lost_vms;
pub(in crate::core::workload::placer) mod renewal_schedule;
pub(in crate::core::workload::placer) mod run;
pub(in crate::core::workload::placer) mod slowness;
pub(in crate::core::workload::placer) mod stall;
pub(in crate::core::workload::placer) mod usage;
pub(in crate::core::workload::placer) mod waits;
