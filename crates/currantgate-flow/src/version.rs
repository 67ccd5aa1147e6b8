//! The version of a bucket's state.

use currantgate_config::EntryId;
use serde::{Deserialize, Serialize};

/// The version of a bucket's state.
///
/// Versions are totally ordered. Two entries that move a bucket concurrently
/// create different versions, so that every other entry chooses the same one of
/// them.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    /// Number of the bucket's moves; zero before the first.
    pub counter: u32,
    /// The entry that made the move.
    pub coordinator: EntryId,
}

impl Version {
    /// Returns the version of the next move, made by `coordinator`.
    pub(crate) fn next(self, coordinator: EntryId) -> Self {
        Self {
            counter: self.counter.saturating_add(1),
            coordinator,
        }
    }
}
