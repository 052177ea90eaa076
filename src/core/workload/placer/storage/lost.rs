//! Storage of the runs whose VM may have crashed, so that the next placer counts the crashes that
//! this one has not recognised yet.
//!
//! The starts of runs are not stored. Those are that a takeover could otherwise lose: all runs of VMs
//! that do not answer, and the runs of tasks under which a VM has crashed before. A crash is missed
//! only if the placer ends before the next heartbeat.

use crate::core::model::Now;
use crate::core::workload::cx::Cx;
use crate::core::workload::decision::Decision;
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::state::fleet::Vm;
use crate::core::workload::placer::state::lost_vms::Lifetime;
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
        let watched = self
            .fleet
            .vms
            .values()
            .filter_map(|vm| self.watched_runs(vm));
        let lost = self.lost_vms.iter().map(LostVm::row);
        let mut vms: Vec<LostVmRow> = lost.chain(watched).collect();
        while let Some(mut vm) = vms.pop() {
            vm.has_more |= vm.runs.len() > left;
            vm.runs.truncate(left);
            left -= vm.runs.len();
            row.vms.extend((!vm.runs.is_empty()).then_some(vm));
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
        let may_crash = |run: &&Run| !vm.is_proven(run);
        let is_watched = |run: &Run| is_silent || run.caution != Caution::None;
        let runs = vm.runs.iter().filter(|(_, run)| may_crash(run));
        let (watched, others): (Vec<_>, Vec<_>) = runs.partition(|(_, run)| is_watched(run));
        let mut runs: Vec<(Box<str>, u64)> = watched
            .into_iter()
            .filter_map(|(&task, run)| {
                let name = self.registry.task_name(task)?;
                Some((name.to_string().into(), run.number))
            })
            .collect();
        runs.sort_unstable();
        let lifetime = vm.lifetime();
        let row = LostVmRow {
            vm: lifetime.vm,
            machine: lifetime.machine,
            started_ms: lifetime.started_ms,
            runs,
            has_more: !others.is_empty(),
        };
        (!row.runs.is_empty()).then_some(row)
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
        let runs = self.runs.iter();
        LostVmRow {
            vm: self.lifetime.vm.clone(),
            machine: self.lifetime.machine.clone(),
            started_ms: self.lifetime.started_ms,
            runs: runs
                .map(|(task, run)| (task.to_string().into(), *run))
                .collect(),
            has_more: self.has_more,
        }
    }
}

impl LostVmRow {
    fn into_lost_vm(self, now: Now) -> LostVm {
        let runs = self.runs.iter();
        LostVm {
            lifetime: Lifetime {
                vm: self.vm,
                machine: self.machine,
                started_ms: self.started_ms,
            },
            lost_at: now,
            runs: runs
                .filter_map(|(task, run)| Some((TaskName::parse(task)?, *run)))
                .collect(),
            has_more: self.has_more,
        }
    }
}
