//! Orders to evacuate a failure domain, and to end that.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The action of an [`EvacuationOrder`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum EvacuationAction {
    /// The upstreams of the domain get no new flows.
    #[display("start")]
    Start,
    /// An earlier start no longer applies.
    #[display("finish")]
    Finish,
}

/// An order to evacuate a failure domain, or to end that.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationOrder {
    /// The name of the domain.
    pub domain: Box<str>,
    /// The action.
    pub action: EvacuationAction,
}
