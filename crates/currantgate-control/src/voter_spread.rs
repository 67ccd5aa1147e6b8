//! The state of the spread of voters, for operators.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Whether the voters outlast the loss that the site tolerates. See `docs/design/control.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VoterSpread {
    /// A quorum outlasts it.
    #[display("a tolerated loss leaves a quorum")]
    Spread,
    /// Other voters would outlast it, and the leader changes them.
    #[display("the voters are being changed so that a tolerated loss leaves a quorum")]
    Changing,
    /// No choice of voters among the live control VMs outlasts it.
    #[display("a tolerated loss may leave no quorum: too few control VMs or failure domains")]
    Unattainable,
}
