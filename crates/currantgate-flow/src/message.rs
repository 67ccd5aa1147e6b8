//! What entries tell each other about buckets and flows.

use serde::{Deserialize, Serialize};

/// What entries tell each other about buckets and flows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {}
