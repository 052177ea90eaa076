//! Turns the reducer's answers into HTTP answers.

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

/// Header that tells what became of the work.
const OUTCOME: &str = "x-ragwortstall-outcome";

/// Header value for work that ran to its end.
const COMPLETED: &str = "completed";

/// Header value for work that did not run and will not.
const NOT_RUN: &str = "not-run";

/// Header value for work that may have run.
const UNKNOWN: &str = "unknown";

#[derive(Serialize)]
struct Refusal {
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
struct Failure<'a> {
    error: &'a str,
}

/// Returns the HTTP form of a reply; `None` when the daemon stopped before there was one.
pub(super) fn from(reply: Option<Reply>) -> Response<Body> {
    match reply {
        Some(Reply::Whole(res)) => outcome(res.map(Full::new), COMPLETED),
        Some(Reply::Answer(answer)) => from_answer(answer),
        None => unknown(Reason::Draining),
    }
}

/// Returns an error that is not about work.
pub(super) fn error(status: StatusCode, message: &str) -> Box<Response<Body>> {
    Box::new(json(status, &Failure { error: message }))
}

/// Returns a refusal of malformed work.
pub(super) fn invalid(message: &str) -> Box<Response<Body>> {
    let res = json(StatusCode::BAD_REQUEST, &Failure { error: message });
    Box::new(outcome(res, NOT_RUN))
}

/// Returns the refusal of a body that did not arrive in time.
pub(super) fn late() -> Box<Response<Body>> {
    let message = "the body did not arrive in time";
    let res = json(StatusCode::REQUEST_TIMEOUT, &Failure { error: message });
    Box::new(outcome(res, NOT_RUN))
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
    let refusal = Refusal {
        outcome: NOT_RUN,
        reason,
        retry_after_ms,
    };
    let mut res = outcome(json(status(reason), &refusal), NOT_RUN);
    if let Some(after) = retry_after {
        let seconds = after.as_millis().div_ceil(1_000).max(1).to_string();
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            res.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    res
}

fn unknown(reason: Reason) -> Response<Body> {
    let refusal = Refusal {
        outcome: UNKNOWN,
        reason,
        retry_after_ms: None,
    };
    let status = match reason {
        Reason::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    outcome(json(status, &refusal), UNKNOWN)
}

fn status(reason: Reason) -> StatusCode {
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

fn outcome(mut res: Response<Body>, value: &'static str) -> Response<Body> {
    counter!("ragwortstall_answers_total", "outcome" => value).increment(1);
    res.headers_mut()
        .insert(OUTCOME, HeaderValue::from_static(value));
    res
}

fn raw_json(text: Box<str>) -> Response<Body> {
    let mut res = Response::new(Full::from(String::from(text)));
    res.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    res
}
