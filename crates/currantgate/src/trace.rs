//! The target of tracing spans.

/// Target of all spans that show a hop of a flow or request.
///
/// A flow's spans on all VMs have the same value of `flow`, a keyed hash of the
/// flow's addresses, so no message has to carry a trace id. A request's spans
/// share the trace id of its `traceparent` header.
pub const TRACE_TARGET: &str = "currantgate::trace";
