//! Jobs as submitted by callers: steps of tasks with their resource demands and constraints.

use std::fmt;
use std::fmt::Formatter;
use std::marker::PhantomData;
use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::de::Error as _;
use serde::de::SeqAccess;
use serde::de::Visitor;

use crate::core::model::Resources;

/// Position of a step in its job, from zero.
pub type StepIndex = u16;

/// Number of an occurrence of a scheduled job, from zero.
pub type OccurrenceIndex = u32;

/// Maximum number of tasks in a step.
pub const MAX_STEP_TASKS: u32 = 10_000;

/// Maximum number of steps in a job.
pub const MAX_STEPS: usize = 200;

/// Maximum size of a job's payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;

/// Number of tasks whose completion takes one byte in the job's progress, a hexadecimal digit.
const BITMAP_TASKS_PER_BYTE: u32 = 4;

/// Size of the punctuation of a step in the job's progress, in bytes.
const STEP_BYTES: usize = 3;

/// Size of the other fields of an occurrence in the job's progress, in bytes.
const OCCURRENCE_BYTES: usize = 48;

/// Reason why a submission is invalid.
pub type Error = Box<str>;

/// Result of validating a submission.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Description of a job by its submitter.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Submission {
    /// Opaque text that is passed to every task at its start.
    pub payload: Box<str>,
    /// Steps in topological order: a step comes after those it depends on.
    #[serde(deserialize_with = "bounded_steps")]
    pub steps: Vec<Step>,
    /// Schedule of the occurrences; `None` to run once, immediately.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
}

/// Schedule of a job with periodic occurrences.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Time of the first occurrence since the Unix epoch.
    pub first: Duration,
    /// Interval between occurrences.
    pub interval: Duration,
    /// Number of occurrences.
    #[serde(rename = "times")]
    pub occurrences: OccurrenceIndex,
}

/// Group of identical tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resource demand of one task.
    pub demand: Resources,
    /// Submitter's estimate of the run time of a task, in milliseconds.
    pub estimate_ms: u64,
    /// Steps that must complete before this one starts.
    pub after: Vec<StepIndex>,
    /// Properties of the step's tasks.
    pub traits: Traits,
    /// Label that a VM must have; empty for any VM.
    pub required_label: Box<str>,
    /// Rack that holds the tasks' data; empty for no preference.
    pub preferred_rack: Box<str>,
    /// Maximum number of tasks of one occurrence of the step on the same VM; zero for no limit.
    pub max_per_vm: u32,
    /// Image that the tasks run. Tasks of the same image are assumed to behave alike.
    pub image: Box<str>,
    /// Tail latency target of long-running tasks, in milliseconds; zero for none.
    pub target_ms: u64,
    /// Disruption budget: maximum number of tasks that the system may make unavailable at a time;
    /// `None` for no budget.
    #[serde(rename = "may_miss")]
    pub max_unavailable: Option<u32>,
}

/// Boolean properties of a step's tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
#[allow(clippy::struct_excessive_bools)]
pub struct Traits {
    /// Tasks save checkpoints from which a later run resumes.
    pub checkpointing: bool,
    /// Tasks are gang-scheduled: they make progress only while all of them run, and end together.
    pub gang: bool,
    /// Tasks run slowly when spread over more than one rack.
    pub same_rack: bool,
    /// Tasks may be run speculatively: several copies of a task may run in parallel.
    pub speculative: bool,
    /// Tasks run until the job is cancelled and are restarted whenever they end.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// Tasks only use CPU time that other tasks leave idle.
    pub filler: bool,
}

/// Deserializes a list of at most [`MAX_STEPS`] steps. Fails at the first one beyond, so that what a long
/// list takes in memory is bounded.
pub fn bounded_steps<'de, D, T>(de: D) -> std::result::Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    struct Steps<T>(PhantomData<T>);

    impl<'de, T: Deserialize<'de>> Visitor<'de> for Steps<T> {
        type Value = Vec<T>;

        fn expecting(&self, f: &mut Formatter<'_>) -> fmt::Result {
            write!(f, "a list of steps")
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
            let mut steps = Vec::new();
            while let Some(step) = seq.next_element()? {
                if steps.len() == MAX_STEPS {
                    let reason = format!("a job has 1 to {MAX_STEPS} steps");
                    return Err(A::Error::custom(reason));
                }
                steps.push(step);
            }
            Ok(steps)
        }
    }

    de.deserialize_seq(Steps(PhantomData))
}

impl Submission {
    /// Checks all constraints that do not depend on the state of the cell.
    pub fn validate(&self) -> Result<()> {
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(format!("payload exceeds {MAX_PAYLOAD_BYTES} bytes").into());
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(format!("a job has 1 to {MAX_STEPS} steps").into());
        }
        for (ix, step) in self.steps.iter().enumerate() {
            step.validate(ix)?;
        }
        Ok(())
    }

    /// Returns whether each step depends on earlier steps only.
    #[must_use]
    pub fn has_valid_dependencies(&self) -> bool {
        let mut steps = self.steps.iter().enumerate();
        steps.all(|(ix, step)| step.after.iter().all(|&dep| usize::from(dep) < ix))
    }

    /// Returns whether the job has tasks that run until it is cancelled.
    #[must_use]
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.traits.long_running)
    }

    /// Returns the number of occurrences, one for a job without a schedule.
    #[must_use]
    pub fn occurrences(&self) -> OccurrenceIndex {
        self.schedule.map_or(1, |schedule| schedule.occurrences)
    }

    /// Returns the estimated CPU time of all tasks of one occurrence, in core-seconds.
    #[must_use]
    pub fn core_seconds(&self) -> f64 {
        self.steps.iter().map(Step::core_seconds).sum()
    }

    /// Returns the size of the bitmaps of one occurrence in the job's progress, in bytes.
    #[must_use]
    pub fn bitmap_bytes(&self) -> usize {
        let bytes = |step: &Step| step.count.div_ceil(BITMAP_TASKS_PER_BYTE) as usize;
        let steps = self.steps.iter().map(|step| bytes(step) + STEP_BYTES);
        OCCURRENCE_BYTES + steps.sum::<usize>()
    }

    /// Returns the estimated duration of the critical path through the steps.
    #[must_use]
    pub fn critical_path(&self) -> Duration {
        let mut finish_ms: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let start = step
                .after
                .iter()
                .filter_map(|&ix| finish_ms.get(usize::from(ix)));
            let start = start.max().copied().unwrap_or(0);
            finish_ms.push(start.saturating_add(step.estimate_ms));
        }
        Duration::from_millis(finish_ms.into_iter().max().unwrap_or(0))
    }
}

impl Step {
    /// Returns the estimated CPU time of all tasks, in core-seconds.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn core_seconds(&self) -> f64 {
        let cores = f64::from(self.demand.cpu_milli) / 1_000.0;
        f64::from(self.count) * cores * self.estimate_ms as f64 / 1_000.0
    }

    /// Returns the resources that one task reserves on a VM. A filler reserves no CPU.
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

    /// Returns whether the declared run time says how long a run takes. The CPU time of fillers is
    /// limited, and the tasks of a gang wait for each other.
    #[must_use]
    pub fn has_expected_run_time(&self) -> bool {
        let traits = self.traits;
        self.estimate_ms > 0 && !(traits.filler || traits.gang || traits.long_running)
    }

    fn validate(&self, ix: usize) -> Result<()> {
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
