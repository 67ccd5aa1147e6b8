//! The stages of an upstream's life.

use serde::{Deserialize, Serialize};

/// The stage of life that an upstream announces.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamState {
    /// Started a short while ago: it takes new flows at a growing share.
    Warming,
    /// Takes new flows at its full share.
    #[default]
    Ready,
    /// Takes no new flows; its open ones go on.
    Draining,
}
