//! Files that are written whole and replaced in one step.

use std::io;

use super::frame::{self, Parsed};
use super::{Disk, StorageError};

/// Returns the payload of a file that holds one frame, if there is one.
///
/// # Errors
///
/// Returns an error when the file can't be read or is damaged.
pub(crate) fn load_file(disk: &mut impl Disk, name: &str) -> Result<Option<Vec<u8>>, StorageError> {
    let Some(bytes) = disk.read(name).map_err(at(name))? else {
        return Ok(None);
    };
    match frame::parse(&bytes, 0) {
        Parsed::Frame { payload, next } if next == bytes.len() => Ok(Some(payload.to_vec())),
        _ => Err(StorageError::Damaged {
            file: name.into(),
            offset: 0,
        }),
    }
}

/// Replaces a file by one frame; after a crash it is the old or the new one.
///
/// # Errors
///
/// Returns what the system said.
pub(crate) fn replace_file(
    disk: &mut impl Disk,
    name: &str,
    payload: &[u8],
) -> Result<(), StorageError> {
    replace_bytes(disk, name, &frame::encode(payload)).map_err(at(name))
}

/// Writes beside the file, syncs, and takes the file's place.
pub(super) fn replace_bytes(disk: &mut impl Disk, name: &str, bytes: &[u8]) -> io::Result<()> {
    let next = format!("{name}.next");
    disk.write(&next, bytes)?;
    disk.sync(&next)?;
    disk.rename(&next, name)?;
    disk.sync_directory()
}

/// Returns what turns the system's errors about file `name` into this layer's.
pub(super) fn at(name: &str) -> impl Fn(io::Error) -> StorageError {
    move |source| StorageError::Io {
        file: name.into(),
        source,
    }
}
