//! The callers' side of a daemon: calls, batches of submissions, and calls relayed to other daemons.

pub(in crate::core::workload) mod batcher;
pub(in crate::core::workload) mod calls;
pub(in crate::core::workload) mod relay;
