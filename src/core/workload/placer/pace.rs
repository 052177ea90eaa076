//! Slows tasks that fill down before they harm the tasks that serve beside them.

use super::Lost;
use super::Placer;
use crate::core::workload::cx::Cx;
use crate::core::workload::event::OrderError;
use crate::core::workload::event::OrderFor;

impl Placer {
    /// Takes the answer to a change of speed.
    #[allow(clippy::unused_self)]
    pub(super) fn paced(
        &mut self,
        _cx: &mut Cx,
        order: &OrderFor,
        result: &Result<u64, OrderError>,
    ) -> Lost {
        match result {
            Err(OrderError::Fenced) => Some(format!("fenced by VM {}", order.vm).into()),
            _ => None,
        }
    }
}
