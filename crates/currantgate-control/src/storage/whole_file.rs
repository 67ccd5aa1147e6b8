//! Files that are written as a whole and replaced atomically.

use std::io;

use super::frame::{self, Parsed};
use super::{Disk, StorageError};

/// Returns the payload of a file with a single frame, or `None` if the file does
/// not exist.
///
/// # Errors
///
/// Returns an error when the file can't be read or is damaged.
pub(crate) fn load_file(disk: &mut impl Disk, name: &str) -> Result<Option<Vec<u8>>, StorageError> {
    let Some(bytes) = disk.read(name).map_err(error_in(name))? else {
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

/// Replaces a file by a single frame. After a crash it has either the old or the
/// new contents.
///
/// # Errors
///
/// Returns an error when the file can't be written, synced or renamed.
pub(crate) fn replace_file(
    disk: &mut impl Disk,
    name: &str,
    payload: &[u8],
) -> Result<(), StorageError> {
    replace_bytes(disk, name, &frame::encode(payload)).map_err(error_in(name))
}

/// Writes and syncs a temporary file, and renames it to replace the file.
pub(super) fn replace_bytes(disk: &mut impl Disk, name: &str, bytes: &[u8]) -> io::Result<()> {
    let next = format!("{name}.next");
    disk.write(&next, bytes)?;
    disk.sync(&next)?;
    disk.rename(&next, name)?;
    disk.sync_directory()
}

/// Returns a function that adds the file `name` to an error of the operating
/// system.
pub(super) fn error_in(name: &str) -> impl Fn(io::Error) -> StorageError {
    move |source| StorageError::Io {
        file: name.into(),
        source,
    }
}
