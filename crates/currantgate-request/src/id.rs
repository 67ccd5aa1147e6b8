//! Ids of requests, attempts and connections.

/// Names one request of one caller; the driver gives each a new one.
pub type RequestId = u64;

/// Names one attempt to have a request answered; it is never used again, so
/// that a late answer can't be taken for that of another attempt.
pub type AttemptId = u64;

/// Names one connection to an upstream; it is never used again.
pub type ConnectionId = u64;
