//! Specifications of jobs.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::JobId;
use super::Resources;
use super::ServiceId;
use super::TeamId;

/// Kind of a job, which determines its placement policy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobKind {
    /// Service instances, kept at a fixed count and spread over racks and zones.
    Service {
        /// Service whose requests the instances serve.
        service: ServiceId,
    },
    /// Independent tasks that each run to completion.
    Batch,
    /// Tasks that are started all together or not at all.
    Gang,
}

/// Specification of a job: `count` tasks of one size.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Identifier. Until the job's row is withdrawn, a submission with the same identifier is a
    /// repeat of the same job.
    pub id: JobId,
    /// Name shared by repeated runs of the same work; task sizes are estimated by team and name.
    pub name: Box<str>,
    /// Team that the tasks count against.
    pub team: TeamId,
    /// Kind of job.
    pub kind: JobKind,
    /// Number of tasks.
    pub count: u32,
    /// Declared resources of each task.
    pub size: Resources,
    /// Declared run time of each task; `None` for services.
    #[serde(default, with = "humantime_serde")]
    pub run_time: Option<Duration>,
    /// Whether the job is scheduled before all jobs that are not urgent.
    #[serde(default)]
    pub urgent: bool,
    /// Time after submission by which the job should have ended.
    #[serde(default, with = "humantime_serde")]
    pub deadline: Option<Duration>,
    /// Whether a task that failed or was stopped may be restarted.
    #[serde(default = "default_true")]
    pub restartable: bool,
}

impl JobSpec {
    /// Returns a batch job named by its identifier. Its team is empty, which stands for the team
    /// whose key submits it.
    #[must_use]
    pub fn batch(id: &str, count: u32, size: Resources, run_time: Duration) -> Self {
        Self {
            id: id.into(),
            name: id.into(),
            team: "".into(),
            kind: JobKind::Batch,
            count,
            size,
            run_time: Some(run_time),
            urgent: false,
            deadline: None,
            restartable: true,
        }
    }
}

fn default_true() -> bool {
    true
}
