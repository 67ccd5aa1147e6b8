//! The trace context that travels with a request.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher as _;

use currantgate_request::RequestId;
use http::{HeaderMap, HeaderName, HeaderValue};

/// The W3C trace context header.
const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");

/// Bytes of a `traceparent` of version 00.
const TRACEPARENT_BYTES: usize = 55;

/// Where the trace id stands in a `traceparent`.
const TRACE_ID: std::ops::Range<usize> = 3..35;

/// Gives spans ids that no other process gives.
#[derive(Debug, Default)]
pub(crate) struct TraceContext {
    hasher: RandomState,
}

impl TraceContext {
    /// Carries the caller's trace on, or starts one, with a span of the
    /// relay's own; returns the header as the upstream gets it.
    pub(crate) fn carry(&self, headers: &mut HeaderMap, request: RequestId) -> Box<str> {
        let own = self.hasher.hash_one(request) | 1;
        let given = headers.get(TRACEPARENT).and_then(|v| v.to_str().ok());
        let given = given.filter(|v| is_valid(v));
        let context = match given {
            Some(given) => format!("00-{}-{own:016x}-{}", &given[TRACE_ID], &given[53..]),
            None => format!(
                "00-{:016x}{own:016x}-{own:016x}-01",
                self.hasher.hash_one(own)
            ),
        };
        if let Ok(value) = HeaderValue::from_str(&context) {
            headers.insert(TRACEPARENT, value);
        }
        context.into()
    }
}

fn is_valid(context: &str) -> bool {
    let dash = |i| i == 2 || i == 35 || i == 52;
    let expected = |(i, b): (usize, u8)| match dash(i) {
        true => b == b'-',
        false => b.is_ascii_hexdigit() && !b.is_ascii_uppercase(),
    };
    context.len() == TRACEPARENT_BYTES
        && context.starts_with("00-")
        && context.bytes().enumerate().all(expected)
}
