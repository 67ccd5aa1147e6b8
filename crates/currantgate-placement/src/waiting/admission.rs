//! Outcome of the arrival of a flow that may wait.

use crate::{Placed, Refusal};

/// Outcome of the arrival of a flow that may wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WaitingAdmission {
    /// The flow is placed.
    Placed(Placed),
    /// The flow waits, and leaves the queue as a [`crate::Departure`].
    Waits,
    /// The queue has no place for the flow, which can't be answered within its latency
    /// target any more.
    NoPlace,
    /// The flow is refused.
    Refused(Refusal),
}
