//! Converts the reducer's answers to HTTP responses.

use std::time::Duration;

use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use http_body_util::Full;
use metrics::counter;
use serde::Serialize;

use crate::core::effect::Answer;
use crate::core::effect::Reason;
use crate::core::model::JobId;
use crate::core::model::Rev;
use crate::shell::daemon::Reply;
use crate::shell::net::Body;
use crate::shell::net::json;

/// Header that states whether the work was run.
const OUTCOME_HEADER: &str = "x-ragwortstall-outcome";

/// Header value for work that was run to completion.
const COMPLETED: &str = "completed";

/// Header value for work that was not run and will not be.
const NOT_RUN: &str = "not-run";

/// Header value for work that may have been run.
const UNKNOWN: &str = "unknown";

/// Body of a response to work that was not run or whose outcome is unknown.
#[derive(Serialize)]
struct OutcomeBody {
    outcome: &'static str,
    reason: Reason,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

#[derive(Serialize)]
struct Accepted {
    job: JobId,
}

#[derive(Serialize)]
struct Written {
    version: Rev,
}

#[derive(Serialize)]
struct Conflict {
    version: Rev,
    value: Option<Box<str>>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// Converts a reply to a response. `None` means that the daemon stopped before it replied.
pub(super) fn into_response(reply: Option<Reply>) -> Response<Body> {
    match reply {
        Some(Reply::Response(res)) => with_outcome(res.map(Full::new), COMPLETED),
        Some(Reply::Answer(answer)) => from_answer(answer),
        None => unknown(Reason::Draining),
    }
}

/// Returns an error response without an outcome, for requests that submit no work.
pub(super) fn error(status: StatusCode, message: &str) -> Box<Response<Body>> {
    Box::new(json(status, &ErrorBody { error: message }))
}

/// Returns the error response for malformed work, which was not run.
pub(super) fn invalid(message: &str) -> Box<Response<Body>> {
    let res = json(StatusCode::BAD_REQUEST, &ErrorBody { error: message });
    Box::new(with_outcome(res, NOT_RUN))
}

/// Returns the error response for a body over the limit, whose work was not run.
pub(super) fn too_large(message: &str) -> Box<Response<Body>> {
    let res = json(StatusCode::PAYLOAD_TOO_LARGE, &ErrorBody { error: message });
    Box::new(with_outcome(res, NOT_RUN))
}

/// Returns the error response for a body that was not received within the timeout.
pub(super) fn body_timeout() -> Box<Response<Body>> {
    let message = "the body did not arrive in time";
    let res = json(StatusCode::REQUEST_TIMEOUT, &ErrorBody { error: message });
    Box::new(with_outcome(res, NOT_RUN))
}

fn from_answer(answer: Answer) -> Response<Body> {
    match answer {
        Answer::NotRun {
            reason,
            retry_after,
        } => not_run(reason, retry_after),
        Answer::Unknown { reason } => unknown(reason),
        Answer::Deliver { .. } => unknown(Reason::EndpointBroke),
        Answer::Accepted { job } => json(StatusCode::ACCEPTED, &Accepted { job }),
        Answer::Written { version } => json(StatusCode::OK, &Written { version }),
        Answer::Conflict { version, value } => json(
            StatusCode::PRECONDITION_FAILED,
            &Conflict { version, value },
        ),
        Answer::Invalid { message } => *error(StatusCode::UNPROCESSABLE_ENTITY, &message),
        Answer::Json(text) => raw_json(text),
        Answer::NotFound => *error(StatusCode::NOT_FOUND, "not found"),
    }
}

fn not_run(reason: Reason, retry_after: Option<Duration>) -> Response<Body> {
    let retry_after_ms = retry_after.and_then(|after| u64::try_from(after.as_millis()).ok());
    let body = OutcomeBody {
        outcome: NOT_RUN,
        reason,
        retry_after_ms,
    };
    let mut res = with_outcome(json(status_code(reason), &body), NOT_RUN);
    if let Some(after) = retry_after {
        let seconds = after.as_millis().div_ceil(1_000).max(1).to_string();
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            res.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    res
}

fn unknown(reason: Reason) -> Response<Body> {
    let body = OutcomeBody {
        outcome: UNKNOWN,
        reason,
        retry_after_ms: None,
    };
    let status = match reason {
        Reason::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    with_outcome(json(status, &body), UNKNOWN)
}

fn status_code(reason: Reason) -> StatusCode {
    match reason {
        Reason::Unauthorized => StatusCode::UNAUTHORIZED,
        Reason::UnknownTarget => StatusCode::NOT_FOUND,
        Reason::Invalid => StatusCode::BAD_REQUEST,
        Reason::NeverFits | Reason::FailsEverywhere => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        Reason::EndpointBroke => StatusCode::BAD_GATEWAY,
        Reason::DuplicateRequest | Reason::Cancelled => StatusCode::CONFLICT,
        Reason::KeyUnverifiable
        | Reason::Overloaded
        | Reason::NoEndpoint
        | Reason::PlatformUnavailable
        | Reason::PeersUnaware
        | Reason::Draining => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Adds the outcome header and counts the answer.
fn with_outcome(mut res: Response<Body>, value: &'static str) -> Response<Body> {
    counter!("ragwortstall_answers_total", "outcome" => value).increment(1);
    res.headers_mut()
        .insert(OUTCOME_HEADER, HeaderValue::from_static(value));
    res
}

fn raw_json(text: Box<str>) -> Response<Body> {
    let mut res = Response::new(Full::from(String::from(text)));
    res.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    res
}
