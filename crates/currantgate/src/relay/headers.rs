//! Headers that relays, callers and upstreams understand.

use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderName, HeaderValue};

/// Milliseconds for which the answer is still of use.
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("currantgate-deadline-ms");

/// Whether a request that has no answer may have run.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("currantgate-outcome");

/// The longest time that a caller may give its request, in milliseconds.
const MAX_DEADLINE_MS: u64 = 24 * 60 * 60 * 1_000;

/// Returns the deadline that a caller gives, or nothing if it gives none.
///
/// # Errors
///
/// Returns an error when the header isn't a number of milliseconds.
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

/// Tells an upstream how long the answer is still of use.
pub(crate) fn write_deadline(headers: &mut HeaderMap, now: Instant, deadline: Instant) {
    let left = deadline.saturating_duration_since(now).as_millis();
    let left = u64::try_from(left).unwrap_or(u64::MAX);
    headers.insert(DEADLINE, HeaderValue::from(left));
}
