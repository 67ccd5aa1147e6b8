//! The file operations that the journal needs.

use std::io;

/// A directory of files. Only synced data survives a crash.
pub trait Disk {
    /// Returns the contents of a file, or `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>>;

    /// Creates or replaces a file, without syncing it.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system. The file may be written in
    /// part.
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Appends to a file, without syncing it.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system. The bytes may be written in
    /// part.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Truncates a file to `len` bytes, without syncing it.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()>;

    /// Syncs the contents of a file, so that they survive a crash.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system. Any part of the unsynced data
    /// may be lost.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file, replacing any file with the new name.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Syncs the directory, so that the names of its files survive a crash.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn sync_directory(&mut self) -> io::Result<()>;
}
