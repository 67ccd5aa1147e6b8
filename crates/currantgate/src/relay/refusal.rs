//! How a caller is told that there is no answer.
//!
//! It is told by a status and a header rather than by `REFUSED_STREAM`, since
//! ordinary clients send a refused stream again at once, and only a status can
//! carry when to come back. See `guide/src/operators/requests.md`.

use std::time::Duration;

use currantgate_request::{NotRunReason, Refusal, UnknownReason};
use http::header::RETRY_AFTER;
use http::{HeaderValue, Response, StatusCode};

use super::headers::OUTCOME;

/// Builds the answer that stands for a refusal; its body tells why.
pub(crate) fn response(refusal: Refusal, retry_after: Option<Duration>) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = status(refusal);
    let headers = response.headers_mut();
    let outcome = match refusal {
        Refusal::NotRun(_) => "not-run",
        Refusal::OutcomeUnknown(_) => "unknown",
    };
    headers.insert(OUTCOME, HeaderValue::from_static(outcome));
    if let Some(wait) = retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(whole_seconds(wait)));
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

/// Rounds up to the whole seconds that `retry-after` takes.
fn whole_seconds(wait: Duration) -> u64 {
    wait.as_secs() + u64::from(wait.subsec_nanos() > 0)
}
