//! Paths for health, readiness, metrics and the timeline.

use http::Response;
use http::StatusCode;

use super::Api;
use super::Result;
use super::query_param;
use super::reply;
use crate::core::event::Call;
use crate::shell::net::Body;
use crate::shell::net::json;
use crate::shell::net::text;

impl Api {
    /// Serves the paths outside the versioned interface.
    pub(super) async fn unversioned(&self, path: &str) -> Result<Response<Body>> {
        match path {
            "/healthz" => Ok(text(StatusCode::OK, "alive\n")),
            "/readyz" => Ok(self.call(Call::Ready).await),
            "/metrics" => Ok(text(StatusCode::OK, self.metrics.render())),
            _ => Err(reply::error(StatusCode::NOT_FOUND, "no such path")),
        }
    }

    /// Serves the timeline's events with a stamp greater than the parameter `after`.
    pub(super) fn timeline(&self, params: Option<&str>) -> Result<Response<Body>> {
        let after = query_param(params, "after").unwrap_or("0");
        let after = after
            .parse()
            .map_err(|_| reply::error(StatusCode::BAD_REQUEST, "after: not a stamp"))?;
        Ok(json(StatusCode::OK, &self.daemon.timeline(after)))
    }
}
