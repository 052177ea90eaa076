//! Invariants that must hold after every step.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use ragwortstall::core::job::TaskIndexSet;
use ragwortstall::core::model::JobId;
use ragwortstall::core::model::Resources;
use ragwortstall::core::model::TaskIndex;
use ragwortstall::core::model::TaskOutcome;
use ragwortstall::core::model::TeamId;
use ragwortstall::core::timeline::TimelineEvent;
use ragwortstall_standins::platform::Table;
use ragwortstall_standins::worker::VmModel;
use serde_json::Value;

use super::harness::JobAnswers;

/// Result of a check; the error describes the violation.
pub type Result<T = (), E = String> = std::result::Result<T, E>;

/// Checks that no task runs twice at the same time, and that no VM or team exceeds its capacity or
/// limit.
pub fn check_running_tasks(vms: &[VmModel], limits: &BTreeMap<TeamId, Resources>) -> Result {
    let mut places: BTreeMap<(JobId, TaskIndex), Box<str>> = BTreeMap::new();
    let mut used: BTreeMap<TeamId, Resources> = BTreeMap::new();
    for vm in vms {
        if !vm.capacity().holds(&vm.reserved()) {
            return Err(format!("{} holds {:?}", vm.id(), vm.reserved()));
        }
        for start in vm.running() {
            let task = (start.task.job.clone(), start.task.index);
            if let Some(other) = places.insert(task, vm.id().into()) {
                return Err(format!("{:?} on {} and {other}", start.task, vm.id()));
            }
            let sum = used.entry(start.team.clone()).or_default();
            *sum = sum.plus(&start.size);
        }
    }
    for (team, sum) in &used {
        if !limits[team].holds(sum) {
            return Err(format!("team {team} runs {sum:?} of {:?}", limits[team]));
        }
    }
    Ok(())
}

/// Checks that no job ran whose callers were all answered that it did not run.
pub fn check_refused_jobs(vms: &[VmModel], answers: &BTreeMap<JobId, JobAnswers>) -> Result {
    let started: BTreeSet<&JobId> = vms
        .iter()
        .flat_map(VmModel::log)
        .map(|ran| &ran.task.job)
        .collect();
    for (job, answers) in answers {
        if answers.is_refused() && started.contains(job) {
            return Err(format!(
                "{job} ran, but its callers were answered {:?}",
                answers.answers
            ));
        }
    }
    Ok(())
}

/// Tasks that each daemon has reported as done since it became the placer.
#[derive(Debug, Default)]
pub struct CompletedTasks {
    done: BTreeMap<usize, BTreeSet<(JobId, TaskIndex)>>,
}

impl CompletedTasks {
    /// Checks that no task is started that is done in the table or that its placer knows to be
    /// done. A task whose VM was lost before its end was reported may run again.
    pub fn check_event(&mut self, daemon: usize, event: &TimelineEvent, table: &Table) -> Result {
        let known_done = self.done.entry(daemon).or_default();
        match event {
            TimelineEvent::TaskEnded { task, outcome } if *outcome == TaskOutcome::Done => {
                known_done.insert((task.job.clone(), task.index));
            }
            TimelineEvent::PlacerGained { .. } => known_done.clear(),
            TimelineEvent::TaskStarted { task, .. } => {
                let is_known_done = known_done.contains(&(task.job.clone(), task.index));
                if is_known_done || is_done_in_table(table, &task.job, task.index) {
                    return Err(format!("{task:?} was done and is started again"));
                }
            }
            _ => {}
        }
        Ok(())
    }
}

fn is_done_in_table(table: &Table, job: &str, index: TaskIndex) -> bool {
    let row = table.row(&format!("job/{job}"));
    let value: Value = row
        .value
        .and_then(|text| serde_json::from_str(&text).ok())
        .unwrap_or_default();
    let done: TaskIndexSet = serde_json::from_value(value["done"].clone()).unwrap_or_default();
    done.contains(index)
}
