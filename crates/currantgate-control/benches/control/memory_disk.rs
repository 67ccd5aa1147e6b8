//! A disk in memory that counts the bytes written.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;

use currantgate_control::Disk;

/// A disk in memory; clones are handles to the same disk.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemoryDisk(Rc<RefCell<Files>>);

#[derive(Debug, Default)]
struct Files {
    files: HashMap<String, Vec<u8>>,
    written: u64,
    appended: u64,
}

impl MemoryDisk {
    /// Returns the number of bytes written, and how many of them were appended.
    pub(crate) fn bytes(&self) -> (u64, u64) {
        let files = self.0.borrow();
        (files.written, files.appended)
    }
}

impl Disk for MemoryDisk {
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>> {
        Ok(self.0.borrow().files.get(name).cloned())
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut files = self.0.borrow_mut();
        files.written += bytes.len() as u64;
        files.files.insert(name.to_owned(), bytes.to_vec());
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut files = self.0.borrow_mut();
        files.written += bytes.len() as u64;
        files.appended += bytes.len() as u64;
        files
            .files
            .entry(name.to_owned())
            .or_default()
            .extend_from_slice(bytes);
        Ok(())
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        if let Some(file) = self.0.borrow_mut().files.get_mut(name) {
            file.truncate(len as usize);
        }
        Ok(())
    }

    fn sync(&mut self, _name: &str) -> io::Result<()> {
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut files = self.0.borrow_mut();
        let file = files.files.remove(from).unwrap_or_default();
        files.files.insert(to.to_owned(), file);
        Ok(())
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        Ok(())
    }
}
