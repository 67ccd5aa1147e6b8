//! States of an upstream.

use serde::{Deserialize, Serialize};

/// State that an upstream announces.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamState {
    /// It started recently and takes a growing share of new flows.
    Warming,
    /// It takes its full share of new flows.
    #[default]
    Ready,
    /// It takes no new flows; its open ones continue.
    Draining,
}
