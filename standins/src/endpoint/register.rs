//! Registration of the endpoint in the platform's membership list.

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
const RENEW_INTERVAL: Duration = Duration::from_millis(500);

/// Time limit of a call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Entry of an endpoint, and the platform to which it is written.
pub struct Registration {
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Entry in the membership list; its state is set from the faults at each write.
    pub member: Member,
}

impl Registration {
    /// Writes the entry periodically, as live or leaving. Errors are ignored, since the next
    /// write repeats the entry.
    pub async fn renew_periodically(mut self, server: &EndpointServer) {
        let http = Client::new(ClientOptions::default());
        loop {
            self.member.state = if server.faults().leaving {
                MemberState::Leaving
            } else {
                MemberState::Live
            };
            let _ = http.send(self.platform, self.request(), CALL_TIMEOUT).await;
            compio::time::sleep(RENEW_INTERVAL).await;
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
