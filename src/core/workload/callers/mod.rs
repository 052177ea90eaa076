//! The callers' side of a daemon: calls, admission and batches of submissions, and calls relayed to
//! other daemons.

pub(in crate::core::workload) mod admission;
pub(in crate::core::workload) mod batcher;
pub(in crate::core::workload) mod calls;
pub(in crate::core::workload) mod relay;

mod recent_ids;
mod withdrawals;
