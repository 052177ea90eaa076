//! Storage of the estimates of run times, so that the next placer has them.

use std::time::Duration;

use rustc_hash::FxHashSet;
use serde::Deserialize;
use serde::Serialize;

use crate::core::model::Now;
use crate::core::workload::cx::Cx;
use crate::core::workload::decision::Decision;
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::state::slowness::SlownessByKind;
use crate::core::workload::placer::state::slowness::StoredKinds;
use crate::core::workload::policy::estimates::BucketCounts;
use crate::core::workload::policy::estimates::RunTimeEstimates;
use crate::core::workload::rows::ESTIMATES_KEY;
use crate::core::workload::rows::Result;
use crate::core::workload::rows::decode;
use crate::core::workload::rows::encode;
use crate::core::workload::table::PROGRESS;
use crate::core::workload::table::RowId;
use crate::core::workload::table::TableRow;

/// Form of the row: the meaning of the buckets and of the VM kinds.
const FORM: u32 = 1;

/// Minimum interval between two writes of the row.
const WRITE_INTERVAL: Duration = Duration::from_secs(5);

/// Schedule of the writes of the estimates.
#[derive(Debug, Default)]
pub(in crate::core::workload::placer) struct EstimatesWriter {
    /// Whether the estimates have changed since the last write.
    changed: bool,
    next_at: Now,
}

/// Estimates as stored in the table.
#[derive(Debug, Serialize, Deserialize)]
struct EstimatesRow {
    /// [`FORM`].
    form: u32,
    /// Ratios of actual to declared run times by queue.
    queues: BucketCounts,
    /// Slowness by VM kind.
    kinds: StoredKinds,
}

impl EstimatesWriter {
    /// Records that the estimates have changed since the last write.
    pub fn mark_changed(&mut self) {
        self.changed = true;
    }
}

impl Placer {
    /// Returns the estimates to write with the next progress; `None` if they are not due.
    ///
    /// The row has only the VM kinds of the fleet and the queues of the configuration, which bounds
    /// its size.
    pub(in crate::core::workload::placer) fn estimates_row_if_due(
        &mut self,
        cx: &mut Cx,
    ) -> Option<(RowId, Vec<u8>)> {
        let catalog = cx.catalog?;
        let writer = &mut self.estimates_writer;
        if !writer.changed || cx.now < writer.next_at {
            return None;
        }
        writer.changed = false;
        writer.next_at = cx.now + WRITE_INTERVAL;
        self.estimates
            .retain(|queue| catalog.queue(queue).is_some());
        let vms = self.fleet.vms.values();
        let kinds: FxHashSet<&str> = vms.map(|vm| &*vm.kind).collect();
        let row = EstimatesRow {
            form: FORM,
            queues: self.estimates.counts(),
            kinds: self.slowness.to_stored(|kind| kinds.contains(kind)),
        };
        let id = RowId::new(PROGRESS, &cx.options.part, ESTIMATES_KEY);
        let value = encode(&row);
        if value.len() > cx.options.table.max_value_bytes {
            let reason = "larger than a row, so the next placer learns them anew".into();
            cx.log(Decision::EstimatesNotStored { reason });
            return None;
        }
        Some((id, value))
    }

    /// Loads the estimates of an earlier placer. Logs and ignores a row of another form.
    pub(in crate::core::workload::placer) fn load_estimates(
        &mut self,
        cx: &mut Cx,
        row: &TableRow,
    ) {
        match EstimatesRow::parse(row.value.as_deref().unwrap_or_default()) {
            Ok((estimates, slowness)) => {
                self.estimates = estimates;
                self.slowness = slowness;
            }
            Err(reason) => cx.log(Decision::RowUnreadable {
                key: row.key.clone(),
                reason,
            }),
        }
    }
}

impl EstimatesRow {
    fn parse(value: &[u8]) -> Result<(RunTimeEstimates, SlownessByKind)> {
        let row: Self = decode(value)?;
        if row.form != FORM {
            return Err(format!("form {} is not known", row.form).into());
        }
        let estimates = RunTimeEstimates::from_counts(&row.queues)?;
        Ok((estimates, SlownessByKind::from_stored(row.kinds)))
    }
}
