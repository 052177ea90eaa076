//! Callers' requests to services.

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
use hyper::body::Incoming;

use super::Api;
use super::Result;
use super::bearer;
use super::reply;
use crate::core::event::Call;
use crate::core::event::RequestHead;
use crate::core::model::RequestId;
use crate::shell::daemon::Reply;
use crate::shell::net::Body;

/// Names a request that may be repeated without running twice.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Overrides whether the request is idempotent.
const IDEMPOTENT: &str = "x-ragwortstall-idempotent";

/// Time that the caller waits.
const TIMEOUT: &str = "x-ragwortstall-timeout";

/// Longest time that a caller may ask for.
const MAX_PATIENCE: Duration = Duration::from_secs(300);

/// Longest identifier of a request, in bytes.
const MAX_ID_BYTES: usize = 256;

/// Headers that belong to one connection and are not forwarded.
const HOP_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

impl Api {
    /// Forwards a request to `target`, `service/path`.
    pub(super) async fn request(
        &self,
        target: &str,
        req: Request<Incoming>,
    ) -> Result<Response<Body>> {
        let (service, path) = target.split_once('/').unwrap_or((target, ""));
        let head = self.head(service, &req)?;
        let uri = forwarded_uri(path, req.uri())?;
        let (mut parts, body) = req.into_parts();
        let body = self.body(Request::from_parts(parts.clone(), body)).await?;
        forward_headers(&mut parts);
        parts.uri = uri;
        let mut reply = self.daemon.request(Call::Request(head), parts, body).await;
        if let Some(Reply::Whole(res)) = &mut reply {
            remove_hop_headers(res.headers_mut());
        }
        Ok(reply::from(reply))
    }

    fn head(&self, service: &str, req: &Request<Incoming>) -> Result<RequestHead> {
        let headers = req.headers();
        let idempotent = match text(headers, IDEMPOTENT)? {
            Some("true") => true,
            Some("false") => false,
            Some(_) => return Err(reply::invalid("x-ragwortstall-idempotent: true or false")),
            None => !matches!(*req.method(), Method::POST | Method::PATCH),
        };
        Ok(RequestHead {
            service: service.into(),
            key: bearer(headers),
            id: request_id(headers)?,
            idempotent,
            timeout: self.patience(headers)?,
        })
    }

    fn patience(&self, headers: &HeaderMap) -> Result<Duration> {
        let Some(value) = text(headers, TIMEOUT)? else {
            return Ok(self.patience);
        };
        humantime::parse_duration(value)
            .map(|patience| patience.min(MAX_PATIENCE))
            .map_err(|err| reply::invalid(&format!("{TIMEOUT}: {err}")))
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(value) => Ok(Some(value)),
        Err(_) => Err(reply::invalid(&format!("{name}: not printable text"))),
    }
}

fn request_id(headers: &HeaderMap) -> Result<Option<RequestId>> {
    match text(headers, IDEMPOTENCY_KEY)? {
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

/// Removes what is meant for this daemon or for one connection only.
fn forward_headers(parts: &mut Parts) {
    parts.version = http::Version::HTTP_11;
    parts.headers.remove(AUTHORIZATION);
    parts.headers.remove(CONTENT_LENGTH);
    remove_hop_headers(&mut parts.headers);
}

/// Removes the headers of one connection, and those that `connection` names.
fn remove_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_HEADERS.iter().chain(&named) {
        headers.remove(name);
    }
}
