//! What an endpoint does, without its sockets.

use serde::Deserialize;
use serde::Serialize;

/// Faults of an endpoint.
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent faults, each set from outside"
)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Connections open when the fault is set never answer again; new ones do.
    pub silent: bool,
    /// Answers end before their announced length.
    pub truncate: bool,
    /// Additional time that each request takes, in milliseconds.
    pub slow_ms: u64,
    /// Connections are closed once a request was run, without an answer.
    pub reset: bool,
    /// The member entry says that the endpoint is leaving.
    pub leaving: bool,
}

/// Slots of an endpoint and the requests that it ran.
#[derive(Clone, Debug, Default)]
pub struct EndpointModel {
    slots: u32,
    busy: u32,
    ran: Vec<Box<str>>,
}

impl EndpointModel {
    /// Returns an idle endpoint.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            ..Self::default()
        }
    }

    /// Starts a request and returns how many have been started, or `None` when all slots are taken.
    pub fn begin(&mut self, tag: &str) -> Option<usize> {
        if self.busy >= self.slots {
            return None;
        }
        self.busy += 1;
        self.ran.push(tag.into());
        Some(self.ran.len())
    }

    /// Ends a started request.
    pub fn end(&mut self) {
        self.busy = self.busy.saturating_sub(1);
    }

    /// Tags of all started requests, in order.
    #[must_use]
    pub fn ran(&self) -> &[Box<str>] {
        &self.ran
    }
}
