//! Client for the platform's membership list.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http_body_util::Full;
use ragwortstall::core::model::Member;
use ragwortstall::shell::net::Client;
use ragwortstall::shell::net::ClientOptions;

/// Time limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Writes entries of the membership list. Errors are ignored: callers write their entries
/// periodically, or only to announce a change.
pub(super) struct MembershipClient {
    platform: SocketAddr,
    http: Client,
}

impl MembershipClient {
    /// Returns a client for the platform at an address.
    pub fn new(platform: SocketAddr) -> Self {
        Self {
            platform,
            http: Client::new(ClientOptions::default()),
        }
    }

    /// Adds or replaces a member.
    pub async fn put(&self, member: &Member) {
        let body = serde_json::to_vec(member).unwrap_or_default();
        self.call(Method::PUT, &member.id, body).await;
    }

    /// Removes a member.
    pub async fn remove(&self, id: &str) {
        self.call(Method::DELETE, id, Vec::new()).await;
    }

    async fn call(&self, method: Method, id: &str, body: Vec<u8>) {
        let req = Request::builder()
            .method(method)
            .uri(format!("/v1/members/{id}"))
            .header(http::header::HOST, self.platform.to_string())
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)));
        if let Ok(req) = req {
            let _ = self.http.send(self.platform, req, CALL_TIMEOUT).await;
        }
    }
}
