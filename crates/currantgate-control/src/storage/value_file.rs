//! A single value stored in a file of its own.

use std::marker::PhantomData;

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::whole_file::{load_file, replace_file};
use super::{Disk, StorageError};
use crate::codec;

/// A file that holds one value and is replaced atomically.
#[derive(Debug)]
pub struct ValueFile<D, T> {
    disk: D,
    file: Box<str>,
    value: PhantomData<fn() -> T>,
}

impl<D: Disk, T: Serialize + DeserializeOwned> ValueFile<D, T> {
    /// Uses the file named `file` on `disk`.
    pub fn new(disk: D, file: &str) -> Self {
        Self {
            disk,
            file: file.into(),
            value: PhantomData,
        }
    }

    /// Reads the value, or returns `None` if the file does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error when the file can't be read, is damaged or does not decode.
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

    /// Replaces the value atomically.
    ///
    /// # Errors
    ///
    /// Returns an error when the value can't be written; the old value may or may
    /// not have been replaced.
    pub fn save(&mut self, value: &T) -> Result<(), StorageError> {
        replace_file(&mut self.disk, &self.file, &codec::encode(value))
    }
}
