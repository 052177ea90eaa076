//! Operator of the cell: advice on the queue, and requests to evacuate zones.

use std::rc::Rc;
use std::time::Duration;

use ragwortstall::core::workload::catalog::AdviceTiming;
use ragwortstall::core::workload::event::EvacuationRow;
use ragwortstall::core::workload::event::FeedRow;
use ragwortstall::core::workload::table::RowId;
use ragwortstall::core::workload::table::TableRow;
use ragwortstall::core::workload::table::Transaction;

use super::Harness;
use crate::catalog::batch_queue;
use crate::catalog::catalog;

/// Table with the operator's rows.
const OPERATOR_TABLE: &str = "op";

/// Prefix of the keys of requests to evacuate a zone.
const KEY_PREFIX: &str = "evacuate/";

impl Harness {
    /// Creates a cell of `daemons` daemons and `vms` VMs whose queue has this advice.
    pub(crate) fn with_advice(daemons: usize, vms: usize, advice: Option<AdviceTiming>) -> Self {
        let mut harness = Self::new(daemons, vms);
        harness.advice = advice;
        harness.restart_all();
        harness
    }

    /// Sets the bound on starts in evacuated zones and restarts all daemons.
    pub(crate) fn set_evacuation_bound(&mut self, bound: Duration) {
        self.evacuation_bound = Some(bound);
        self.restart_all();
    }

    /// Moves VMs, by number, to a zone.
    pub(crate) fn move_to_zone(
        &mut self,
        vms: impl IntoIterator<Item = usize>,
        zone: &'static str,
    ) {
        for vm in vms {
            let vm = self.vms.get_mut(&*format!("vm-{vm}"));
            vm.expect("a VM").zone = zone;
        }
        self.write_vm_rows();
        self.run_for(10);
    }

    /// Requests the evacuation of a zone.
    pub(crate) fn request_evacuation(&mut self, zone: &str) {
        self.request_evacuation_with(zone, b"{}");
    }

    /// Requests the evacuation of a zone by a row with this value.
    pub(crate) fn request_evacuation_with(&mut self, zone: &str, value: &[u8]) {
        let txn = Transaction {
            put: vec![(row_id(zone), value.to_vec())],
            ..Transaction::default()
        };
        self.table.commit(&txn);
    }

    /// Withdraws the request to evacuate a zone.
    pub(crate) fn withdraw_evacuation(&mut self, zone: &str) {
        let txn = Transaction {
            remove: vec![row_id(zone)],
            ..Transaction::default()
        };
        self.table.commit(&txn);
    }

    /// Returns the operator's rows that have changed after a version; zero for all that exist.
    pub(super) fn operator_rows(&self, after: u64) -> Vec<FeedRow> {
        let rows = self.table.changes(OPERATOR_TABLE, after);
        let requests = rows.iter().filter_map(evacuation_row);
        if after > 0 {
            return requests.map(FeedRow::Evacuation).collect();
        }
        let mut catalog = catalog(self.cap, self.advice);
        catalog.version = self.config_version;
        Rc::make_mut(&mut catalog.queues[0]).priority = self.priority;
        if self.queue_is_away {
            catalog.queues.clear();
        }
        if let Some(priority) = self.batch_priority {
            catalog.queues.push(Rc::new(batch_queue(priority)));
        }
        let existing = requests.filter(|row| row.requested);
        let catalog = FeedRow::Config(Box::new(catalog));
        std::iter::once(catalog)
            .chain(existing.map(FeedRow::Evacuation))
            .collect()
    }
}

fn row_id(zone: &str) -> RowId {
    RowId::new(OPERATOR_TABLE, "", &format!("{KEY_PREFIX}{zone}"))
}

fn evacuation_row(row: &TableRow) -> Option<EvacuationRow> {
    let zone = row.key.strip_prefix(KEY_PREFIX)?;
    let is_unreadable = row.value.as_ref().is_some_and(|value| value != b"{}");
    Some(EvacuationRow {
        zone: zone.into(),
        requested: row.value.is_some(),
        fault: is_unreadable.then(|| "not an object".into()),
    })
}
