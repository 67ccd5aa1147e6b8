//! A value that is kept in a file of its own.

use std::marker::PhantomData;

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::whole_file::{load_file, replace_file};
use super::{Disk, StorageError};
use crate::codec;

/// A value in a file of its own, replaced in one step.
#[derive(Debug)]
pub struct Saved<D, T> {
    disk: D,
    file: Box<str>,
    value: PhantomData<fn() -> T>,
}

impl<D: Disk, T: Serialize + DeserializeOwned> Saved<D, T> {
    /// Uses `file` in the folder `disk`.
    pub fn new(disk: D, file: &str) -> Self {
        Self {
            disk,
            file: file.into(),
            value: PhantomData,
        }
    }

    /// Returns the value on disk, if there is one.
    ///
    /// # Errors
    ///
    /// Returns an error when the file can't be read or is damaged.
    pub fn load(&mut self) -> Result<Option<T>, StorageError> {
        let Some(payload) = load_file(&mut self.disk, &self.file)? else {
            return Ok(None);
        };
        let value = codec::decode(&payload).map_err(|_| StorageError::Inconsistent {
            file: self.file.clone(),
            offset: 0,
        })?;
        Ok(Some(value))
    }

    /// Replaces the value on disk.
    ///
    /// # Errors
    ///
    /// Returns what the system said; the older value then stays.
    pub fn save(&mut self, value: &T) -> Result<(), StorageError> {
        replace_file(&mut self.disk, &self.file, &codec::encode(value))
    }
}
