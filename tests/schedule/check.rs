//! What must hold after every step, and once all faults have been mended.

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

use super::world::Told;

/// Result of a check; the error says what was broken.
pub type Result<T = (), E = String> = std::result::Result<T, E>;

/// What runs at one moment.
pub fn running(vms: &[VmModel], limits: &BTreeMap<TeamId, Resources>) -> Result {
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

/// What ran so far, against what callers were told.
pub fn history(vms: &[VmModel], told: &BTreeMap<JobId, Told>) -> Result {
    let started: BTreeSet<&JobId> = vms
        .iter()
        .flat_map(VmModel::log)
        .map(|ran| &ran.task.job)
        .collect();
    for (job, told) in told {
        if told.is_refused() && started.contains(job) {
            return Err(format!(
                "{job} ran, and its callers heard {:?}",
                told.answers
            ));
        }
    }
    Ok(())
}

/// Tasks that a daemon knows to be done, while it is the placer.
#[derive(Debug, Default)]
pub struct Decisions {
    done: BTreeMap<usize, BTreeSet<(JobId, TaskIndex)>>,
}

impl Decisions {
    /// Checks that no task is started that is done in the table, or that its placer heard to be
    /// done. A task whose VM was lost before its end was heard may run again.
    pub fn take(&mut self, daemon: usize, happening: &TimelineEvent, table: &Table) -> Result {
        let known = self.done.entry(daemon).or_default();
        match happening {
            TimelineEvent::TaskEnded { task, outcome } if *outcome == TaskOutcome::Done => {
                known.insert((task.job.clone(), task.index));
            }
            TimelineEvent::PlacerGained { .. } => known.clear(),
            TimelineEvent::TaskStarted { task, .. } => {
                let heard = known.contains(&(task.job.clone(), task.index));
                if heard || is_recorded(table, &task.job, task.index) {
                    return Err(format!("{task:?} was done and is started again"));
                }
            }
            _ => {}
        }
        Ok(())
    }
}

fn is_recorded(table: &Table, job: &str, index: TaskIndex) -> bool {
    let row = table.row(&format!("job/{job}"));
    let value: Value = row
        .value
        .and_then(|text| serde_json::from_str(&text).ok())
        .unwrap_or_default();
    let done: TaskIndexSet = serde_json::from_value(value["done"].clone()).unwrap_or_default();
    done.contains(index)
}
