//! Answers to orders.

use serde::{Deserialize, Serialize};

use crate::{Index, RefuseReason};

/// The answer to an [`crate::EvacuationOrder`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EvacuationAnswer {
    /// A quorum has the order on disk. Its index in the log is the revision of the
    /// evacuations.
    Accepted(Index),
    /// The order was not executed, and will not be.
    Refused(RefuseReason),
    /// The order may have been accepted or may be accepted later. Sending it again
    /// does no harm.
    Unknown,
}
