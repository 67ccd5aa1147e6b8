//! View of a live entry.

use currantgate_config::{Domain, EntryId};
use serde::{Deserialize, Serialize};

/// Stage in the life cycle of an entry.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum EntryStage {
    /// It collects the state of the others and makes no decisions yet.
    #[default]
    Joining,
    /// It makes decisions about flows.
    Serving,
    /// It hands its flows over and makes no new decisions.
    Leaving,
}

/// View of a live entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EntryView {
    /// Id of the entry.
    pub id: EntryId,
    /// Stage of the entry.
    pub stage: EntryStage,
    /// Failure domain that it is in.
    pub domain: Domain,
}
