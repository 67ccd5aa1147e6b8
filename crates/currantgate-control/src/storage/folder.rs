//! A data folder on a real disk.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use super::Disk;

/// A data folder on a real disk, held by one process at a time.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    /// Keeps the lock; the system lets go of it when the process dies.
    lock: Arc<File>,
}

impl Folder {
    /// Opens the folder, makes it if there is none, and locks it.
    ///
    /// # Errors
    ///
    /// Returns what the system said, or that another process holds it.
    pub fn open(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join("lock"))?;
        lock.try_lock()
            .map_err(|e| io::Error::other(format!("another process holds the folder: {e}")))?;
        if let Some(parent) = path.canonicalize()?.parent() {
            File::open(parent)?.sync_all()?;
        }
        Ok(Self {
            path: path.to_owned(),
            lock: Arc::new(lock),
        })
    }

    /// Returns another handle of the same folder, for other files in it.
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

impl Disk for Folder {
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

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
