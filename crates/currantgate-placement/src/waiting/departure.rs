//! Flows that leave the queue.

use super::WaitingFlow;

/// A flow that has left the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Departure<K> {
    /// The flow.
    pub flow: WaitingFlow<K>,
    /// Why it has left.
    pub reason: DepartureReason,
}

/// Why a flow has left the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DepartureReason {
    /// The entry may open another flow: the flow is to be placed.
    Room,
    /// The flow has reached its maximum wait and is refused.
    MaxWait,
    /// The queue was full, and a flow of higher priority has its place. It is refused.
    Displaced,
}
