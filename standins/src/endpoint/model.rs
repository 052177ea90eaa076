//! Model of an endpoint, without I/O.

use serde::Deserialize;
use serde::Serialize;

/// Injected faults of an endpoint.
#[expect(clippy::struct_excessive_bools, reason = "independent faults")]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Connections that are open when the fault is set receive no more answers; later ones do.
    pub silent: bool,
    /// Response bodies end before their declared length.
    pub truncate: bool,
    /// Additional duration of each request, in milliseconds.
    pub slow_ms: u64,
    /// Each request is executed, and its connection is closed without an answer.
    pub reset: bool,
    /// The endpoint's entry in the membership list has the state "leaving".
    pub leaving: bool,
}

/// Slots of an endpoint, and a log of its requests.
#[derive(Clone, Debug, Default)]
pub struct EndpointModel {
    slots: u32,
    busy: u32,
    started: Vec<Box<str>>,
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

    /// Starts a request and returns how many requests have been started, or `None` if no slot is
    /// free.
    pub fn start(&mut self, tag: &str) -> Option<usize> {
        if self.busy >= self.slots {
            return None;
        }
        self.busy += 1;
        self.started.push(tag.into());
        Some(self.started.len())
    }

    /// Releases the slot of a started request.
    pub fn finish(&mut self) {
        self.busy = self.busy.saturating_sub(1);
    }

    /// Returns the tags of all started requests, in order.
    #[must_use]
    pub fn started(&self) -> &[Box<str>] {
        &self.started
    }
}
