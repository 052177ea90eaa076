//! Keeps the endpoint's entry in the platform's membership list.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http_body_util::Full;
use ragwortstall::core::model::Member;
use ragwortstall::core::model::MemberState;
use ragwortstall::shell::net::Client;
use ragwortstall::shell::net::ClientOptions;

use super::server::EndpointServer;

/// Time between writes of the entry.
const INTERVAL: Duration = Duration::from_millis(500);

/// Time that the platform has to answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// The entry of an endpoint.
pub struct Registration {
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Entry of the live endpoint.
    pub member: Member,
}

impl Registration {
    /// Writes the entry again and again, as live or leaving.
    pub async fn keep(mut self, server: &EndpointServer) {
        let http = Client::new(ClientOptions::default());
        loop {
            self.member.state = if server.faults().leaving {
                MemberState::Leaving
            } else {
                MemberState::Live
            };
            let _ = http.send(self.platform, self.request(), TIMEOUT).await;
            compio::time::sleep(INTERVAL).await;
        }
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let body = serde_json::to_vec(&self.member).unwrap_or_default();
        let mut req = Request::new(Full::new(Bytes::from(body)));
        *req.method_mut() = Method::PUT;
        *req.uri_mut() = format!("/v1/members/{}", self.member.id)
            .parse()
            .unwrap_or_default();
        if let Ok(host) = http::HeaderValue::from_str(&self.platform.to_string()) {
            req.headers_mut().insert(http::header::HOST, host);
        }
        req
    }
}
