//! The data directory of a process.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use super::Disk;

/// A data directory on disk, locked by one process at a time.
#[derive(Debug)]
pub struct DataDirectory {
    path: PathBuf,
    /// The locked file. The operating system releases the lock when the process
    /// ends.
    lock: Arc<File>,
}

impl DataDirectory {
    /// Opens and locks the directory, and creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error when an I/O operation fails or when another process
    /// holds the lock.
    pub fn open(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join("lock"))?;
        lock.try_lock().map_err(|e| {
            io::Error::other(format!(
                "another process has locked the data directory: {e}"
            ))
        })?;
        if let Some(parent) = path.canonicalize()?.parent() {
            File::open(parent)?.sync_all()?;
        }
        Ok(Self {
            path: path.to_owned(),
            lock: Arc::new(lock),
        })
    }

    /// Returns another handle to the same directory, for other files in it.
    pub fn share(&self) -> Self {
        Self {
            path: self.path.clone(),
            lock: Arc::clone(&self.lock),
        }
    }

    fn open_for_write(&self, name: &str) -> io::Result<File> {
        OpenOptions::new().write(true).open(self.path.join(name))
    }
}

impl Disk for DataDirectory {
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>> {
        match fs::read(self.path.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        fs::write(self.path.join(name), bytes)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        OpenOptions::new()
            .append(true)
            .open(self.path.join(name))?
            .write_all(bytes)
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        self.open_for_write(name)?.set_len(len)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.open_for_write(name)?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
