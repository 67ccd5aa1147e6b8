//! Responses to callers whose request is refused.
//!
//! A refusal is a status and a header rather than `REFUSED_STREAM`, since ordinary clients
//! retry a refused stream at once, and only a response can carry `retry-after`. See
//! `guide/src/operators/requests.md`.

use std::time::Duration;

use currantgate_request::{NotRunReason, Refusal, UnknownReason};
use http::header::RETRY_AFTER;
use http::{HeaderValue, Response, StatusCode};

use super::headers::OUTCOME;

/// Builds the head of the response to a refused request. Its body, sent by the caller of
/// this function, is the reason.
pub(crate) fn response(refusal: Refusal, retry_after: Option<Duration>) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = status(refusal);
    let headers = response.headers_mut();
    let outcome = match refusal {
        Refusal::NotRun(_) => "not-run",
        Refusal::OutcomeUnknown(_) => "unknown",
    };
    headers.insert(OUTCOME, HeaderValue::from_static(outcome));
    if let Some(delay) = retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(whole_seconds(delay)));
    }
    response
}

/// Returns the value of the `outcome` label for a refusal.
pub(crate) fn label(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::NotRun(_) => "not_run",
        Refusal::OutcomeUnknown(_) => "unknown",
    }
}

fn status(refusal: Refusal) -> StatusCode {
    match refusal {
        Refusal::NotRun(NotRunReason::Expired)
        | Refusal::OutcomeUnknown(UnknownReason::Expired) => StatusCode::GATEWAY_TIMEOUT,
        Refusal::NotRun(_) => StatusCode::SERVICE_UNAVAILABLE,
        Refusal::OutcomeUnknown(_) => StatusCode::BAD_GATEWAY,
    }
}

/// Rounds up to whole seconds, the unit of `retry-after`.
fn whole_seconds(delay: Duration) -> u64 {
    delay.as_secs() + u64::from(delay.subsec_nanos() > 0)
}
