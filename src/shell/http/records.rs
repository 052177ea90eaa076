//! Paths for operators' records: read, write and withdraw by compare-and-set.

use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::IF_MATCH;
use http::header::IF_NONE_MATCH;

use super::Api;
use super::Result;
use super::method_not_allowed;
use super::reply;
use crate::core::event::Call;
use crate::core::model::Rev;
use crate::shell::net::Body;
use crate::shell::net::RequestBody;

impl Api {
    /// Serves `/v1/records/{space}/` and `/v1/records/{space}/{name}`.
    pub(super) async fn records(
        &self,
        key: &str,
        req: Request<RequestBody>,
    ) -> Result<Response<Body>> {
        self.check_operator(req.headers())?;
        let key = Box::from(key);
        let call = match *req.method() {
            Method::GET => Call::ReadRecord { key },
            Method::PUT => {
                let expect = expected_version(req.headers())?;
                let body = self.read_body(req).await?;
                let text = std::str::from_utf8(&body)
                    .map_err(|err| reply::error(StatusCode::BAD_REQUEST, &err.to_string()))?;
                Call::WriteRecord {
                    key,
                    expect,
                    value: Some(text.into()),
                }
            }
            Method::DELETE => {
                let expect = expected_version(req.headers())?;
                Call::WriteRecord {
                    key,
                    expect,
                    value: None,
                }
            }
            _ => return Err(method_not_allowed(req.method())),
        };
        Ok(self.call(call).await)
    }
}

/// Returns the version that the write expects, from `if-match`; zero for `if-none-match: *`, which
/// expects that the record does not exist.
fn expected_version(headers: &HeaderMap) -> Result<Rev> {
    if headers.get(IF_NONE_MATCH).is_some_and(|value| value == "*") {
        return Ok(0);
    }
    headers
        .get(IF_MATCH)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.trim_matches('"').parse().ok())
        .ok_or_else(|| {
            let message = "if-match: \"VERSION\" or if-none-match: * is needed";
            reply::error(StatusCode::PRECONDITION_REQUIRED, message)
        })
}
