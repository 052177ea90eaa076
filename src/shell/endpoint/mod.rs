//! Client of the endpoints: one attempt at a request, answered whole or not at all.

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

/// Header of an endpoint's answer that says that it did not start the request.
const NOT_STARTED: &str = "x-not-started";

/// Time after which an unused connection is not used again. Between the ends something may have
/// lost track of it by then, and a request sent on it would be lost.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Connections to endpoints.
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
    /// Sends a request to an endpoint and reads its whole answer. At most `keep` connections to it
    /// stay open without a request.
    pub async fn attempt(
        &self,
        endpoint: &str,
        req: Request<Full<Bytes>>,
        patience: Duration,
        keep: usize,
    ) -> (AttemptOutcome, Option<Response<Bytes>>) {
        let (end, res) = self.exchange(endpoint, req, patience, keep).await;
        counter!("ragwortstall_attempts_total", "end" => name(end)).increment(1);
        (end, res)
    }

    async fn exchange(
        &self,
        endpoint: &str,
        req: Request<Full<Bytes>>,
        patience: Duration,
        keep: usize,
    ) -> (AttemptOutcome, Option<Response<Bytes>>) {
        let Ok(peer) = endpoint.parse::<SocketAddr>() else {
            return (AttemptOutcome::NotSent, None);
        };
        match self.http.send_keeping(peer, req, patience, keep).await {
            Ok(res) if is_declined(&res) => (AttemptOutcome::Declined, None),
            Ok(res) => (AttemptOutcome::Complete, Some(res)),
            Err(err) if err.may_have_been_received() => (AttemptOutcome::Incomplete, None),
            Err(_) => (AttemptOutcome::NotSent, None),
        }
    }
}

/// Whether the endpoint says that it did not start the request. The status alone does not say so.
fn is_declined(res: &Response<Bytes>) -> bool {
    let not_started = res
        .headers()
        .get(NOT_STARTED)
        .is_some_and(|value| value == "true");
    res.status() == StatusCode::SERVICE_UNAVAILABLE && not_started
}

fn name(end: AttemptOutcome) -> &'static str {
    match end {
        AttemptOutcome::Complete => "whole",
        AttemptOutcome::NotSent => "not_sent",
        AttemptOutcome::Declined => "declined",
        AttemptOutcome::Incomplete => "broken",
    }
}
