//! Starts and ends of an entry's limit.

use crate::LimitCause;

/// A start or an end of the state in which an entry limits its new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// New flows are limited, or the cause has changed.
    Started(LimitCause),
    /// New flows are no longer limited.
    Ended,
}
