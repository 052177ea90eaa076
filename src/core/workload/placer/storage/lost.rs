//! Storage of the runs whose VM may have crashed, so that the next placer counts the crashes that
//! this one has not recognised yet.
//!
//! The starts of runs are not stored. Those are that a takeover could otherwise lose: all runs of VMs
//! that do not answer, and the runs of tasks under which a VM has crashed before. A crash is missed
//! only if the placer ends before the next heartbeat.
//!
//! Earlier versions have a single list of runs. They ignore the list of the runs whose starts may not
//! have reached the VM, and so count no crash under these.

use crate::core::model::Now;
use crate::core::workload::cx::Cx;
use crate::core::workload::decision::Decision;
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::state::fleet::Vm;
use crate::core::workload::placer::state::lost_vms::Evidence;
use crate::core::workload::placer::state::lost_vms::Lifetime;
use crate::core::workload::placer::state::lost_vms::LostRun;
use crate::core::workload::placer::state::lost_vms::LostVm;
use crate::core::workload::placer::state::run::Run;
use crate::core::workload::policy::crashes::Caution;
use crate::core::workload::rows::LOST_KEY;
use crate::core::workload::rows::LostRow;
use crate::core::workload::rows::LostVmRow;
use crate::core::workload::rows::decode;
use crate::core::workload::rows::encode_within;
use crate::core::workload::table::PROGRESS;
use crate::core::workload::table::RowId;
use crate::core::workload::table::TableRow;
use crate::core::workload::task::RunNumber;
use crate::core::workload::task::TaskName;

/// Largest number of runs in the row, which limits its size to some 30 KB unless the ids are long. The
/// latest losses go first.
const MAX_RUNS: usize = 500;

/// Contents of the row that the table has.
#[derive(Debug, Default)]
pub(in crate::core::workload::placer) struct LostWriter {
    /// `None` if they are not known.
    written: Option<LostRow>,
}

impl LostWriter {
    /// Records that the contents of the table are not known.
    pub fn mark_unknown(&mut self) {
        self.written = None;
    }
}

impl Placer {
    /// Returns the row to write with the next progress; `None` if the table has it.
    pub(in crate::core::workload::placer) fn lost_row_if_changed(
        &mut self,
        cx: &Cx,
    ) -> Option<(RowId, Vec<u8>)> {
        self.lost_vms.remove_overdue(cx.now);
        let mut row = self.lost_row();
        if self.lost_writer.written.as_ref() == Some(&row) {
            return None;
        }
        let id = RowId::new(PROGRESS, &cx.options.part, LOST_KEY);
        self.lost_writer.written = Some(row.clone());
        let (vms, max_bytes) = (row.vms.len(), cx.options.table.max_value_bytes);
        let value = encode_within(&mut row, vms, max_bytes, |row, len| row.vms.truncate(len));
        Some((id, value))
    }

    fn lost_row(&self) -> LostRow {
        let mut row = LostRow::default();
        let mut left = MAX_RUNS;
        let vms = self.fleet.vms.values();
        let watched = vms.flat_map(|vm| [self.crashed_runs(vm), self.watched_runs(vm)]);
        let watched = watched.flatten();
        let lost = self.lost_vms.iter().map(LostVm::row);
        let mut vms: Vec<LostVmRow> = lost.chain(watched).collect();
        while let Some(mut vm) = vms.pop() {
            vm.truncate(&mut left);
            row.vms.extend((!vm.is_empty()).then_some(vm));
        }
        row
    }

    /// Returns the runs on a VM that are to be stored: all that may have caused a crash if the VM does
    /// not answer, otherwise those of tasks under which a VM has crashed.
    fn watched_runs(&self, vm: &Vm) -> Option<LostVmRow> {
        let is_silent = vm.renewal.failures > 0;
        if vm.has_announced_end() || vm.started_ms == 0 || !is_silent && vm.suspect_runs == 0 {
            return None;
        }
        let may_crash =
            |run: &Run| run.is_sent() && run.crashed_lifetime_ms.is_none() && !vm.is_proven(run);
        let is_watched = |run: &Run| is_silent || run.caution != Caution::None;
        let runs = vm.runs.iter().filter(|(_, run)| may_crash(run));
        let (watched, others): (Vec<_>, Vec<_>) = runs.partition(|(_, run)| is_watched(run));
        let watched = watched.into_iter();
        let runs = watched.filter_map(|(&task, run)| self.lost_run(task, run));
        let row = LostVmRow::new(vm.lifetime(), runs.collect(), !others.is_empty());
        (!row.is_empty()).then_some(row)
    }

    /// Returns the runs whose starts were sent before a VM restarted and that the restarted VM has not
    /// listed, until it is known that none of them can begin there.
    fn crashed_runs(&self, vm: &Vm) -> Option<LostVmRow> {
        let former = vm.runs.values().filter_map(|run| run.crashed_lifetime_ms);
        let started_ms = former.max().filter(|_| vm.clock.is_some())?;
        let lifetime = Lifetime {
            started_ms,
            ..vm.lifetime()
        };
        let runs = vm.runs.iter();
        let runs = runs.filter(|(_, run)| run.crashed_lifetime_ms == Some(started_ms));
        let runs = runs.filter_map(|(&task, run)| self.lost_run(task, run));
        let row = LostVmRow::new(lifetime, runs.collect(), true);
        (!row.is_empty()).then_some(row)
    }

    /// Loads the runs that an earlier placer has stored. Logs and ignores a row that cannot be decoded.
    pub(in crate::core::workload::placer) fn load_lost_row(&mut self, cx: &mut Cx, row: &TableRow) {
        match decode::<LostRow>(row.value.as_deref().unwrap_or_default()) {
            Ok(lost) => {
                for vm in lost.vms {
                    self.lost_vms.add(vm.into_lost_vm(cx.now));
                }
            }
            Err(reason) => cx.log(Decision::RowUnreadable {
                key: row.key.clone(),
                reason,
            }),
        }
    }
}

impl LostVm {
    fn row(&self) -> LostVmRow {
        LostVmRow::new(self.lifetime.clone(), self.runs.clone(), self.has_more)
    }
}

impl LostVmRow {
    fn new(lifetime: Lifetime, mut runs: Vec<LostRun>, has_more: bool) -> Self {
        runs.sort_unstable_by(|a, b| (&a.task, a.number).cmp(&(&b.task, b.number)));
        let runs = runs.into_iter();
        let (delivered, others): (Vec<LostRun>, Vec<LostRun>) =
            runs.partition(|run| run.evidence == Evidence::Delivered);
        let rows = |runs: Vec<LostRun>| {
            let rows = runs.into_iter();
            let rows = rows.map(|run| (run.task.to_string().into(), run.number));
            rows.collect::<Vec<(Box<str>, RunNumber)>>()
        };
        Self {
            vm: lifetime.vm,
            machine: lifetime.machine,
            started_ms: lifetime.started_ms,
            runs: rows(delivered),
            uncertain_runs: Some(rows(others)),
            has_more,
        }
    }

    fn is_empty(&self) -> bool {
        self.runs.is_empty() && self.uncertain_runs.as_ref().is_none_or(Vec::is_empty)
    }

    /// Leaves out the runs beyond the number that is left, and subtracts the others from it.
    fn truncate(&mut self, left: &mut usize) {
        for runs in [Some(&mut self.runs), self.uncertain_runs.as_mut()] {
            let Some(runs) = runs else {
                continue;
            };
            self.has_more |= runs.len() > *left;
            runs.truncate(*left);
            *left -= runs.len();
        }
    }

    fn into_lost_vm(self, now: Now) -> LostVm {
        let evidence = if self.uncertain_runs.is_some() {
            Evidence::Delivered
        } else {
            Evidence::Unrecorded
        };
        let uncertain = self.uncertain_runs.unwrap_or_default();
        let runs = self.runs.into_iter().map(|run| (run, evidence));
        let uncertain = uncertain.into_iter();
        let runs = runs.chain(uncertain.map(|run| (run, Evidence::Uncertain)));
        let runs = runs.filter_map(|((task, number), evidence)| {
            Some(LostRun {
                task: TaskName::parse(&task)?,
                number,
                evidence,
            })
        });
        LostVm {
            lifetime: Lifetime {
                vm: self.vm,
                machine: self.machine,
                started_ms: self.started_ms,
            },
            lost_at: now,
            runs: runs.collect(),
            has_more: self.has_more,
        }
    }
}
