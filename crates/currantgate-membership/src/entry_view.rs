//! One entry as the others know it.

use currantgate_config::{Domain, EntryId};
use serde::{Deserialize, Serialize};

/// The stage of an entry's life.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum EntryStage {
    /// It learns what the others know and decides nothing yet.
    #[default]
    Joining,
    /// It decides about flows.
    Serving,
    /// It hands over and takes no new decisions.
    Leaving,
}

/// One live entry as the others know it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EntryView {
    /// The entry's id.
    pub id: EntryId,
    /// The stage of its life.
    pub stage: EntryStage,
    /// The failure domain it stands in.
    pub domain: Domain,
}
