//! Orders the successive states of a bucket.

use currantgate_config::EntryId;
use serde::{Deserialize, Serialize};

/// Orders the successive states of a bucket.
///
/// Two entries that move a bucket at once pick different versions, so that
/// every other entry takes the same one of the two.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    /// Counts the bucket's moves; zero before the first.
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
