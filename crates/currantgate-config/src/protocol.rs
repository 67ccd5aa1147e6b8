//! The transport protocol of a service.

use serde::{Deserialize, Serialize};

/// The transport protocol that callers speak to a service.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Protocol {
    /// TCP, whose flags tell where a flow begins and ends.
    #[default]
    Tcp,
    /// UDP, whose flows begin with their first packet and end by silence.
    Udp,
}
