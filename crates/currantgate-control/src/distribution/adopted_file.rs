//! The adopted revision on disk.

use crate::Change;
use crate::storage::{Disk, StorageError, ValueFile};

/// The name of the file.
const FILE: &str = "adopted";

/// A file with the newest adopted revision, so that a VM that restarts without
/// a connection to a publisher continues with that revision.
#[derive(Debug)]
pub struct AdoptedFile<D> {
    file: ValueFile<D, Change>,
}

impl<D: Disk> AdoptedFile<D> {
    /// Uses the file `adopted` on `disk`.
    pub fn new(disk: D) -> Self {
        Self {
            file: ValueFile::new(disk, FILE),
        }
    }

    /// Reads the revision, or returns `None` if the file does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error when the file can't be read, is damaged or does not
    /// decode.
    pub fn load(&mut self) -> Result<Option<Change>, StorageError> {
        self.file.load()
    }

    /// Replaces the revision atomically.
    ///
    /// # Errors
    ///
    /// Returns an error when the file can't be written; the old revision may or
    /// may not have been replaced.
    pub fn save(&mut self, change: &Change) -> Result<(), StorageError> {
        self.file.save(change)
    }
}
