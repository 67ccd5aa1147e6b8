//! What becomes of a new flow at an entry's own limit.

/// What becomes of a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitAdmission {
    /// The flow is placed.
    Admit,
    /// The flow is refused with a reset.
    Refuse,
    /// The first packet is dropped without a reset, as resets would use too much of what
    /// the entry can send.
    Drop,
}
