//! The newest adopted revision on the disk of a VM that has one.

use crate::storage::{Disk, StorageError, load_file, replace_file};
use crate::{Change, codec};

/// The file in use.
const FILE: &str = "adopted";

/// The newest adopted revision on disk, so that a VM which restarts while it
/// is cut off goes on with it.
#[derive(Debug)]
pub struct AdoptedFile<D> {
    disk: D,
}

impl<D: Disk> AdoptedFile<D> {
    /// Uses the file in the folder `disk`.
    pub fn new(disk: D) -> Self {
        Self { disk }
    }

    /// Returns the revision on disk, if there is one.
    ///
    /// # Errors
    ///
    /// Returns an error when the file can't be read or is damaged.
    pub fn load(&mut self) -> Result<Option<Change>, StorageError> {
        let Some(payload) = load_file(&mut self.disk, FILE)? else {
            return Ok(None);
        };
        let change = codec::decode(&payload).map_err(|_| StorageError::Inconsistent {
            file: FILE.into(),
            offset: 0,
        })?;
        Ok(Some(change))
    }

    /// Replaces the revision on disk, in one step.
    ///
    /// # Errors
    ///
    /// Returns what the system said; the older revision then stays.
    pub fn save(&mut self, change: &Change) -> Result<(), StorageError> {
        replace_file(&mut self.disk, FILE, &codec::encode(change))
    }
}
