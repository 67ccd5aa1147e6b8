//! What all spans have in common.

/// The target of all spans that show a hop of a flow or request.
///
/// A flow's spans on all VMs share the field `flow`, the keyed hash of its
/// addresses, so no message has to carry it; a request's spans share the trace
/// id of its `traceparent` header.
pub const TRACE_TARGET: &str = "currantgate::trace";
