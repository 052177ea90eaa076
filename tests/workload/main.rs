//! Tests of the workload reducer against a simulated table and simulated VMs, in virtual time.

mod adjacent_versions;
mod admission;
mod archive;
mod busy_placer;
mod capacity;
mod catalog;
mod constraints;
mod contention;
mod crashes;
mod cut_off;
mod estimates;
mod evacuation;
mod evacuation_moves;
mod evacuation_view;
mod faults;
mod harness;
mod isolation;
mod jobs;
mod late_answers;
mod late_parts;
mod late_submissions;
mod live_holder;
mod long_queue;
mod moves;
mod pace;
mod partial_outage;
mod preemption;
mod preemption_log;
mod random_outages;
mod relay;
mod renewal_grace;
mod resizes;
mod restarts;
mod row_limits;
mod silent_vms;
mod slow_link;
mod stall;
mod status;
mod table;
mod takeover;
mod terms;
mod vm;
mod vm_rows;

#[path = "../support/mod.rs"]
mod support;
