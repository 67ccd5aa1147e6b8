//! Propagation of the trace context of a request.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher as _;

use currantgate_request::RequestId;
use http::{HeaderMap, HeaderName, HeaderValue};

/// The W3C trace context header.
const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");

/// Length of a `traceparent` of version 00 in bytes.
const TRACEPARENT_BYTES: usize = 55;

/// Position of the trace id in a `traceparent`.
const TRACE_ID: std::ops::Range<usize> = 3..35;

/// Generator of trace and span ids, keyed at random so that processes don't collide.
#[derive(Debug, Default)]
pub(crate) struct TraceContext {
    hasher: RandomState,
}

impl TraceContext {
    /// Sets the header to a new span of the caller's trace, or of a new trace if the header
    /// is missing or invalid; returns its value.
    pub(crate) fn propagate(&self, headers: &mut HeaderMap, request: RequestId) -> Box<str> {
        let span_id = self.hasher.hash_one(request) | 1;
        let received = headers.get(TRACEPARENT).and_then(|v| v.to_str().ok());
        let received = received.filter(|v| is_valid(v));
        let context = match received {
            Some(received) => format!(
                "00-{}-{span_id:016x}-{}",
                &received[TRACE_ID],
                &received[53..]
            ),
            None => format!(
                "00-{:016x}{span_id:016x}-{span_id:016x}-01",
                self.hasher.hash_one(span_id)
            ),
        };
        if let Ok(value) = HeaderValue::from_str(&context) {
            headers.insert(TRACEPARENT, value);
        }
        context.into()
    }
}

/// Returns whether `context` is a well-formed `traceparent` of version 00.
fn is_valid(context: &str) -> bool {
    let is_dash = |i| i == 2 || i == 35 || i == 52;
    let expected = |(i, b): (usize, u8)| match is_dash(i) {
        true => b == b'-',
        false => b.is_ascii_hexdigit() && !b.is_ascii_uppercase(),
    };
    context.len() == TRACEPARENT_BYTES
        && context.starts_with("00-")
        && context.bytes().enumerate().all(expected)
}
