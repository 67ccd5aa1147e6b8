//! Data that accompanies a packet which one entry forwards to another.

use currantgate_config::UpstreamId;
use serde::{Deserialize, Serialize};

/// Data that accompanies a packet which one entry forwards to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Forward {
    /// The receiver decides where the packet goes.
    Decide {
        /// Number of entries that have forwarded the packet, including the
        /// sender.
        hops: u8,
    },
    /// The sender has decided; the receiver records the flow and delivers the
    /// packet.
    Record {
        /// The upstream that the flow belongs to.
        upstream: UpstreamId,
        /// Number of entries that have forwarded the packet, including the
        /// sender.
        hops: u8,
    },
}
