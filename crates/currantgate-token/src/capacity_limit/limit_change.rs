//! Starts and ends of an entry's limit.

use crate::LimitCause;

/// A start or an end of the time in which a resource limits an entry's new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// The resource limits new flows.
    Started(LimitCause),
    /// The resource no longer limits new flows.
    Ended(LimitCause),
}
