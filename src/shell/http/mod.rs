//! HTTP interface for callers and operators, version 1 (`docs/API.md`).

mod jobs;
mod ops;
mod records;
mod reply;
mod request;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::time;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::AUTHORIZATION;
use metrics_exporter_prometheus::PrometheusHandle;

use crate::config::Config;
use crate::core::event::Call;
use crate::core::key;
use crate::shell::daemon::Daemon;
use crate::shell::net::Body;
use crate::shell::net::Error;
use crate::shell::net::RequestBody;

/// Result of handling a request; the error is a complete error response.
type Result<T, E = Box<Response<Body>>> = std::result::Result<T, E>;

/// Path prefix of the versioned interface.
const PATH_PREFIX: &str = "/v1/";

/// Timeout for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// HTTP interface of one daemon.
pub struct Api {
    daemon: Rc<Daemon>,
    operator_key: Option<Box<str>>,
    max_body_bytes: usize,
    default_timeout: Duration,
    metrics: PrometheusHandle,
}

impl Api {
    /// Returns the HTTP interface of `daemon`.
    #[must_use]
    pub fn new(daemon: Rc<Daemon>, config: &Config, metrics: PrometheusHandle) -> Self {
        Self {
            daemon,
            operator_key: config.daemon.operator_key_sha256.clone(),
            max_body_bytes: config.limits.body_bytes,
            default_timeout: config.limits.timeout,
            metrics,
        }
    }

    /// Handles one request.
    pub async fn serve(self: Rc<Self>, req: Request<RequestBody>) -> Response<Body> {
        match self.route(req).await {
            Ok(res) => res,
            Err(res) => *res,
        }
    }

    async fn route(&self, req: Request<RequestBody>) -> Result<Response<Body>> {
        let path = req.uri().path().to_owned();
        let Some(rest) = path.strip_prefix(PATH_PREFIX) else {
            return self.unversioned(&path).await;
        };
        match rest.split_once('/').unwrap_or((rest, "")) {
            ("services", target) => self.forward(target, req).await,
            ("jobs", id) => self.jobs(id, req).await,
            ("records", key) => self.records(key, req).await,
            ("status", "") => Ok(self.call(Call::Describe).await),
            ("timeline", "") => self.timeline(req.uri().query()),
            _ => Err(reply::error(StatusCode::NOT_FOUND, "no such path")),
        }
    }

    /// Sends a call to the reducer and returns its answer as a response.
    async fn call(&self, call: Call) -> Response<Body> {
        reply::into_response(self.daemon.call(call).await)
    }

    async fn read_body(&self, req: Request<RequestBody>) -> Result<Bytes> {
        let body = req.into_body().collect_up_to(self.max_body_bytes);
        match time::timeout(BODY_TIMEOUT, body).await {
            Ok(Err(err @ Error::TooLarge(_))) => Err(reply::too_large(&err.to_string())),
            Ok(body) => body.map_err(|err| reply::invalid(&err.to_string())),
            Err(_) => Err(reply::body_timeout()),
        }
    }

    /// Checks that the request carries the operators' key.
    fn check_operator(&self, headers: &HeaderMap) -> Result<()> {
        let presented = bearer_token(headers).map(|secret| key::hash(&secret));
        if presented.is_some() && presented == self.operator_key {
            return Ok(());
        }
        Err(reply::error(
            StatusCode::UNAUTHORIZED,
            "the operator's key is needed",
        ))
    }
}

/// Returns the token of an `authorization: Bearer` header.
fn bearer_token(headers: &HeaderMap) -> Option<Box<str>> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(Box::from)
}

/// Returns a query parameter without percent-decoding: queue names and stamps need no escapes.
fn query_param<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    let pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .into_iter()
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Returns the error response for a method that the path does not support.
fn method_not_allowed(method: &Method) -> Box<Response<Body>> {
    reply::error(
        StatusCode::METHOD_NOT_ALLOWED,
        &format!("{method} is not allowed here"),
    )
}
