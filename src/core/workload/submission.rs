//! Jobs as callers submit them: steps of tasks, with what each task needs.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::core::model::Resources;

/// Position of a step in its job, from zero.
pub type StepIndex = u16;

/// Number of an occurrence of a job that runs several times, from zero.
pub type OccurrenceIndex = u32;

/// Largest number of tasks in a step.
pub const MAX_STEP_TASKS: u32 = 10_000;

/// Largest number of steps in a job.
pub const MAX_STEPS: usize = 200;

/// Longest payload of a job, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;

/// Why a submission is faulty.
pub type Error = Box<str>;

/// Result of checking a submission.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A job as its submitter describes it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Submission {
    /// Opaque text that every task is started with.
    pub payload: Box<str>,
    /// Steps, in an order in which dependencies come first.
    pub steps: Vec<Step>,
    /// When the steps run; `None` for once and at once.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
}

/// Repeated runs of a job at set times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Time of the first occurrence, since the Unix epoch.
    pub first: Duration,
    /// Time from one occurrence to the next.
    pub interval: Duration,
    /// Number of occurrences.
    #[serde(rename = "times")]
    pub occurrences: OccurrenceIndex,
}

/// A number of like tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// What one task takes.
    pub demand: Resources,
    /// The submitter's estimate of a task's run time, in milliseconds.
    pub estimate_ms: u64,
    /// Steps whose tasks must all be done first.
    pub after: Vec<StepIndex>,
    /// How a task ends and what may stop it.
    pub traits: Traits,
    /// Label that the VM must have; empty for any VM.
    pub required_label: Box<str>,
    /// Rack that holds the data; empty for none.
    pub preferred_rack: Box<str>,
    /// Largest number of the step's tasks on one VM, for one occurrence; zero for no limit.
    pub max_per_vm: u32,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Box<str>,
    /// Tail latency that tasks that last must stay below, in milliseconds; zero for none.
    pub target_ms: u64,
    /// Number of tasks that the system may make unavailable at a time; `None` for no budget.
    #[serde(rename = "may_miss")]
    pub max_unavailable: Option<u32>,
}

/// Yes-or-no properties of a step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
#[allow(clippy::struct_excessive_bools)]
pub struct Traits {
    /// Tasks save checkpoints from which a later start resumes.
    pub checkpointing: bool,
    /// Tasks work only all together and end together.
    pub gang: bool,
    /// Tasks are slow when spread over more than one rack.
    pub same_rack: bool,
    /// Copies of a task may run in parallel.
    pub speculative: bool,
    /// Tasks run until the job is cancelled and are restarted however they end.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// Tasks take the processor time that others leave unused.
    pub filler: bool,
}

impl Submission {
    /// Checks everything that does not depend on the cell.
    pub fn validate(&self) -> Result<()> {
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(format!("payload exceeds {MAX_PAYLOAD_BYTES} bytes").into());
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(format!("a job has 1 to {MAX_STEPS} steps").into());
        }
        for (ix, step) in self.steps.iter().enumerate() {
            step.check(ix)?;
        }
        Ok(())
    }

    /// Whether the job has tasks that run until it is cancelled.
    #[must_use]
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.traits.long_running)
    }

    /// Number of occurrences.
    #[must_use]
    pub fn occurrences(&self) -> OccurrenceIndex {
        self.schedule.map_or(1, |schedule| schedule.occurrences)
    }

    /// Processor time of all tasks of one occurrence, in core-seconds, by the estimates.
    #[must_use]
    pub fn core_seconds(&self) -> f64 {
        self.steps.iter().map(Step::core_seconds).sum()
    }

    /// Time of the longest chain of steps, by the estimates.
    #[must_use]
    pub fn critical_path(&self) -> Duration {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let start = step
                .after
                .iter()
                .filter_map(|&ix| ends.get(usize::from(ix)));
            let start = start.max().copied().unwrap_or(0);
            ends.push(start + step.estimate_ms);
        }
        Duration::from_millis(ends.into_iter().max().unwrap_or(0))
    }
}

impl Step {
    /// Processor time of all tasks, in core-seconds, by the estimate.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn core_seconds(&self) -> f64 {
        let cores = f64::from(self.demand.cpu_milli) / 1_000.0;
        f64::from(self.count) * cores * self.estimate_ms as f64 / 1_000.0
    }

    /// What one task takes of a VM's capacity.
    #[must_use]
    pub fn reservation(&self) -> Resources {
        if self.traits.filler {
            Resources {
                cpu_milli: 0,
                ..self.demand
            }
        } else {
            self.demand
        }
    }

    fn check(&self, ix: usize) -> Result<()> {
        if self.count == 0 || self.count > MAX_STEP_TASKS {
            return Err(format!("step {ix}: a step has 1 to {MAX_STEP_TASKS} tasks").into());
        }
        match self.after.iter().find(|&&dep| usize::from(dep) >= ix) {
            Some(dep) => {
                Err(format!("step {ix}: depends on step {dep}, which is not earlier").into())
            }
            None => Ok(()),
        }
    }
}
