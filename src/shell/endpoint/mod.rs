//! Client of the endpoints. An attempt returns either a complete response or none.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use metrics::counter;

use crate::core::event::AttemptOutcome;
use crate::shell::net::Client;
use crate::shell::net::ClientOptions;

/// Header of an endpoint's response that states that it did not start the request.
const NOT_STARTED_HEADER: &str = "x-not-started";

/// Idle time after which a connection is not reused. A device on the path may have dropped its
/// state by then, and a request sent on the connection would be lost.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Client with pooled connections to endpoints.
pub struct EndpointClient {
    http: Client,
}

impl Default for EndpointClient {
    fn default() -> Self {
        let options = ClientOptions {
            idle_timeout: IDLE_TIMEOUT,
            ..ClientOptions::default()
        };
        Self {
            http: Client::new(options),
        }
    }
}

impl EndpointClient {
    /// Sends a request to an endpoint and reads the complete response; fails after `timeout`. At
    /// most `max_idle` connections to the endpoint are kept open without a request.
    pub async fn attempt(
        &self,
        endpoint: &str,
        req: Request<Full<Bytes>>,
        timeout: Duration,
        max_idle: usize,
    ) -> (AttemptOutcome, Option<Response<Bytes>>) {
        let (outcome, res) = self.exchange(endpoint, req, timeout, max_idle).await;
        counter!("ragwortstall_attempts_total", "end" => metric_label(outcome)).increment(1);
        (outcome, res)
    }

    async fn exchange(
        &self,
        endpoint: &str,
        req: Request<Full<Bytes>>,
        timeout: Duration,
        max_idle: usize,
    ) -> (AttemptOutcome, Option<Response<Bytes>>) {
        let Ok(peer) = endpoint.parse::<SocketAddr>() else {
            return (AttemptOutcome::NotSent, None);
        };
        match self
            .http
            .send_with_max_idle(peer, req, timeout, max_idle)
            .await
        {
            Ok(res) if is_declined(&res) => (AttemptOutcome::Declined, None),
            Ok(res) => (AttemptOutcome::Complete, Some(res)),
            Err(err) if err.may_have_been_received() => (AttemptOutcome::Incomplete, None),
            Err(_) => (AttemptOutcome::NotSent, None),
        }
    }
}

/// Returns whether the endpoint states that it did not start the request. The status 503 alone does
/// not state that.
fn is_declined(res: &Response<Bytes>) -> bool {
    let not_started = res
        .headers()
        .get(NOT_STARTED_HEADER)
        .is_some_and(|value| value == "true");
    res.status() == StatusCode::SERVICE_UNAVAILABLE && not_started
}

/// Returns the outcome's metric label.
fn metric_label(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Complete => "whole",
        AttemptOutcome::NotSent => "not_sent",
        AttemptOutcome::Declined => "declined",
        AttemptOutcome::Incomplete => "broken",
    }
}
