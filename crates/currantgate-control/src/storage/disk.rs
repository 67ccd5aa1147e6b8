//! The few things that the journal asks of a disk.

use std::io;

/// A folder of files of which only what is synced survives a crash.
pub trait Disk {
    /// Returns the whole file, or nothing when there is none.
    ///
    /// # Errors
    ///
    /// Returns what the system said.
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>>;

    /// Writes a new file in place of any other, without syncing it.
    ///
    /// # Errors
    ///
    /// Returns what the system said; the file may be written in part.
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Adds to the end of a file, without syncing it.
    ///
    /// # Errors
    ///
    /// Returns what the system said; the bytes may be written in part.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Cuts a file to `len` bytes, without syncing it.
    ///
    /// # Errors
    ///
    /// Returns what the system said.
    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()>;

    /// Makes the bytes of a file survive a crash.
    ///
    /// # Errors
    ///
    /// Returns what the system said; nothing may be assumed about the file.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Gives a file another name, in place of any file of that name.
    ///
    /// # Errors
    ///
    /// Returns what the system said.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Makes the names of the files survive a crash.
    ///
    /// # Errors
    ///
    /// Returns what the system said.
    fn sync_directory(&mut self) -> io::Result<()>;
}
