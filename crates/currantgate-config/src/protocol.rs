//! The transport protocol of a service.

use serde::{Deserialize, Serialize};

/// The transport protocol between callers and a service.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Protocol {
    /// TCP, whose flags mark the start and the end of a flow.
    #[default]
    Tcp,
    /// UDP, whose flows start with their first packet and end after an idle time.
    Udp,
}
