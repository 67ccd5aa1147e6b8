//! The newest adopted revision on the disk of a VM that has one.

use crate::Change;
use crate::storage::{Disk, Saved, StorageError};

/// The file in use.
const FILE: &str = "adopted";

/// The newest adopted revision on disk, so that a VM which restarts while it
/// is cut off goes on with it.
#[derive(Debug)]
pub struct AdoptedFile<D> {
    saved: Saved<D, Change>,
}

impl<D: Disk> AdoptedFile<D> {
    /// Uses the file in the folder `disk`.
    pub fn new(disk: D) -> Self {
        Self {
            saved: Saved::new(disk, FILE),
        }
    }

    /// Returns the revision on disk, if there is one.
    ///
    /// # Errors
    ///
    /// Returns an error when the file can't be read or is damaged.
    pub fn load(&mut self) -> Result<Option<Change>, StorageError> {
        self.saved.load()
    }

    /// Replaces the revision on disk, in one step.
    ///
    /// # Errors
    ///
    /// Returns what the system said; the older revision then stays.
    pub fn save(&mut self, change: &Change) -> Result<(), StorageError> {
        self.saved.save(change)
    }
}
