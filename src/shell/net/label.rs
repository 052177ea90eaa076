//! Labels of calls in the metrics of received answers.

use metrics::counter;

/// Labels of a call in metrics. A request that carries them among its extensions is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLabel {
    /// Kind of request.
    pub request: &'static str,
    /// Followed table that the request reads; empty if none.
    pub feed: &'static str,
}

impl CallLabel {
    /// Counts received bytes of a response body.
    pub(super) fn count_received(self, bytes: usize) {
        counter!("ragwortstall_received_bytes_total", "request" => self.request, "feed" => self.feed)
            .increment(bytes as u64);
    }

    /// Counts a call that timed out after the head of its response.
    pub(super) fn count_timed_out(self) {
        counter!("ragwortstall_answers_timed_out_total", "request" => self.request, "feed" => self.feed)
            .increment(1);
    }
}
