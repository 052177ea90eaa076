//! Forwarding of callers' requests to services.

use std::time::Duration;

use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::Uri;
use http::header::AUTHORIZATION;
use http::header::CONNECTION;
use http::header::CONTENT_LENGTH;
use http::header::HeaderName;
use http::header::PROXY_AUTHENTICATE;
use http::header::PROXY_AUTHORIZATION;
use http::header::TE;
use http::header::TRAILER;
use http::header::TRANSFER_ENCODING;
use http::header::UPGRADE;
use http::request::Parts;

use super::Api;
use super::Result;
use super::bearer_token;
use super::reply;
use crate::core::event::Call;
use crate::core::event::RequestHead;
use crate::core::model::RequestId;
use crate::shell::daemon::Reply;
use crate::shell::net::Body;
use crate::shell::net::RequestBody;

/// Header with the request's id, under which it can be repeated without being run twice.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Header that overrides whether the request is idempotent.
const IDEMPOTENT_HEADER: &str = "x-ragwortstall-idempotent";

/// Header with the time that the caller waits.
const TIMEOUT_HEADER: &str = "x-ragwortstall-timeout";

/// Upper bound on the caller's timeout; longer ones are reduced to it.
const MAX_TIMEOUT: Duration = Duration::from_secs(300);

/// Maximum length of a request's id, in bytes.
const MAX_ID_BYTES: usize = 256;

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

impl Api {
    /// Forwards a request to `target`, which has the form `service/path`.
    pub(super) async fn forward(
        &self,
        target: &str,
        req: Request<RequestBody>,
    ) -> Result<Response<Body>> {
        let (service, path) = target.split_once('/').unwrap_or((target, ""));
        let head = self.request_head(service, &req)?;
        let uri = forwarded_uri(path, req.uri())?;
        let (mut parts, body) = req.into_parts();
        let body = self
            .read_body(Request::from_parts(parts.clone(), body))
            .await?;
        prepare_forwarded_head(&mut parts);
        parts.uri = uri;
        let mut reply = self.daemon.request(Call::Request(head), parts, body).await;
        if let Some(Reply::Response(res)) = &mut reply {
            remove_hop_by_hop_headers(res.headers_mut());
        }
        Ok(reply::into_response(reply))
    }

    /// Returns the request's attributes, from its method and headers.
    fn request_head(&self, service: &str, req: &Request<RequestBody>) -> Result<RequestHead> {
        let headers = req.headers();
        let idempotent = match header_text(headers, IDEMPOTENT_HEADER)? {
            Some("true") => true,
            Some("false") => false,
            Some(_) => return Err(reply::invalid("x-ragwortstall-idempotent: true or false")),
            None => !matches!(*req.method(), Method::POST | Method::PATCH),
        };
        Ok(RequestHead {
            service: service.into(),
            key: bearer_token(headers),
            id: request_id(headers)?,
            idempotent,
            timeout: self.timeout(headers)?,
        })
    }

    /// Returns the caller's timeout, or the default if the request names none.
    fn timeout(&self, headers: &HeaderMap) -> Result<Duration> {
        let Some(value) = header_text(headers, TIMEOUT_HEADER)? else {
            return Ok(self.default_timeout);
        };
        humantime::parse_duration(value)
            .map(|timeout| timeout.min(MAX_TIMEOUT))
            .map_err(|err| reply::invalid(&format!("{TIMEOUT_HEADER}: {err}")))
    }
}

/// Returns a header's value as text; fails if it is not visible ASCII.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(value) => Ok(Some(value)),
        Err(_) => Err(reply::invalid(&format!("{name}: not printable text"))),
    }
}

fn request_id(headers: &HeaderMap) -> Result<Option<RequestId>> {
    match header_text(headers, IDEMPOTENCY_KEY_HEADER)? {
        Some(id) if id.is_empty() || id.len() > MAX_ID_BYTES => {
            Err(reply::invalid("idempotency-key: 1 to 256 bytes"))
        }
        id => Ok(id.map(Box::from)),
    }
}

fn forwarded_uri(path: &str, uri: &Uri) -> Result<Uri> {
    let query = uri
        .query()
        .map_or(String::new(), |query| format!("?{query}"));
    format!("/{path}{query}")
        .parse()
        .map_err(|_| reply::invalid("the path cannot be forwarded"))
}

/// Sets the HTTP version of the forwarded request, and removes the headers that are addressed to
/// this daemon or apply to one connection only.
fn prepare_forwarded_head(parts: &mut Parts) {
    parts.version = http::Version::HTTP_11;
    parts.headers.remove(AUTHORIZATION);
    parts.headers.remove(CONTENT_LENGTH);
    remove_hop_by_hop_headers(&mut parts.headers);
}

/// Removes the hop-by-hop headers, among them those that the `connection` header lists.
fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP_HEADERS.iter().chain(&listed) {
        headers.remove(name);
    }
}
