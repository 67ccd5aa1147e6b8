//! Ids of requests, attempts and connections.

/// Id of one request of one caller; the driver assigns a new one to each request.
pub type RequestId = u64;

/// Id of one attempt to serve a request; never reused, so that a late response
/// is not mistaken for that of another attempt.
pub type AttemptId = u64;

/// Id of one connection to an upstream; never reused.
pub type ConnectionId = u64;
