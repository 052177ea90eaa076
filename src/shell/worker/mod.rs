//! Client of the worker VMs: JSON over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use http::StatusCode;

use crate::core::model::VmSync;
use crate::core::model::VmSyncAnswer;
use crate::shell::net::Client;
use crate::shell::net::ClientOptions;
use crate::shell::platform::json_request;

/// Client with pooled connections to worker VMs.
pub struct WorkerClient {
    timeout: Duration,
    http: Client,
}

impl WorkerClient {
    /// Returns a client whose syncs fail after `timeout`.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        let options = ClientOptions {
            max_idle: 1,
            ..ClientOptions::default()
        };
        Self {
            timeout,
            http: Client::new(options),
        }
    }

    /// Sends a sync and returns the VM's answer. `None` means that there was no valid answer; the
    /// sync may have taken effect nevertheless.
    pub async fn sync(&self, address: &str, sync: &VmSync) -> Option<VmSyncAnswer> {
        let addr: SocketAddr = address.parse().ok()?;
        let body = serde_json::to_vec(sync).ok()?;
        let req = json_request(addr, Method::POST, "/v1/sync", body);
        let res = self.http.send(addr, req, self.timeout).await.ok()?;
        if res.status() != StatusCode::OK {
            return None;
        }
        serde_json::from_slice(res.body()).ok()
    }
}
