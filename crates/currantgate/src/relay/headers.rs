//! Headers exchanged between callers, relays and upstreams.

use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderName, HeaderValue};

/// Time left until the deadline of a request, in milliseconds.
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("currantgate-deadline-ms");

/// Whether a refused request may have run.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("currantgate-outcome");

/// Maximum time until a deadline in milliseconds; longer ones are reduced to it.
const MAX_DEADLINE_MS: u64 = 24 * 60 * 60 * 1_000;

/// Returns the deadline set by the caller, or `None` if there is none.
///
/// # Errors
///
/// Returns an error if the header isn't a number of milliseconds.
pub(crate) fn read_deadline(
    headers: &HeaderMap,
    now: Instant,
) -> Result<Option<Instant>, BadDeadline> {
    let Some(value) = headers.get(DEADLINE) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| BadDeadline)?;
    let ms: u64 = text.parse().map_err(|_| BadDeadline)?;
    Ok(Some(now + Duration::from_millis(ms.min(MAX_DEADLINE_MS))))
}

/// The deadline header isn't a number of milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BadDeadline;

/// Sets the header to the time left until the deadline, for the upstream.
pub(crate) fn write_deadline(headers: &mut HeaderMap, now: Instant, deadline: Instant) {
    let remaining = deadline.saturating_duration_since(now).as_millis();
    let remaining = u64::try_from(remaining).unwrap_or(u64::MAX);
    headers.insert(DEADLINE, HeaderValue::from(remaining));
}
