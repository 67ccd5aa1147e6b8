//! What goes with a packet that one entry hands to another.

use currantgate_config::UpstreamId;
use serde::{Deserialize, Serialize};

/// What goes with a packet that one entry hands to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Forward {
    /// The receiver decides where the packet goes.
    Decide {
        /// Entries that have handed the packet on, the sender included.
        hops: u8,
    },
    /// The sender has decided; the receiver records it and delivers.
    Record {
        /// The upstream that the flow belongs to.
        upstream: UpstreamId,
        /// Entries that have handed the packet on, the sender included.
        hops: u8,
    },
}
