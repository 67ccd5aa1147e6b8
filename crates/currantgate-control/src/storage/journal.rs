//! The journal: every batch that was synced, since the newest snapshot.

use std::io;

use super::frame::{self, Parsed};
use super::whole_file::{at, replace_bytes};
use super::{Disk, StorageError};
use crate::{Batch, HardState, Members, RecoveredState, Snapshot, codec};

/// The journal in use.
const JOURNAL: &str = "journal";

/// Writes batches, and reads them back after a restart.
///
/// A batch with a snapshot begins a new file, which takes the old one's place
/// in one step; other batches are appended. After an error what follows the
/// last confirmed batch is unknown, and [`Journal::repair`] cuts it off.
#[derive(Debug)]
pub struct Journal<D> {
    disk: D,
    bytes: u64,
}

impl<D: Disk> Journal<D> {
    /// Opens the journal of a voter that ran before.
    ///
    /// A torn last frame, which was never confirmed, is cut off.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file and the byte when a frame before
    /// the last one is damaged, and when there is no journal.
    pub fn open(mut disk: D) -> Result<(Self, RecoveredState), StorageError> {
        let bytes = disk.read(JOURNAL).map_err(at(JOURNAL))?;
        let bytes = bytes.ok_or_else(|| StorageError::Missing {
            file: JOURNAL.into(),
        })?;
        let (recovered, len) = replay(&bytes)?;
        if len < bytes.len() {
            log::warn!(
                "{JOURNAL}: cut from {} to {len} bytes: the last write was torn",
                bytes.len()
            );
            disk.truncate(JOURNAL, len as u64).map_err(at(JOURNAL))?;
        }
        // What was read may not be synced yet, and answers will rest on it.
        disk.sync(JOURNAL).map_err(at(JOURNAL))?;
        disk.sync_directory().map_err(at(JOURNAL))?;
        let bytes = len as u64;
        Ok((Self { disk, bytes }, recovered))
    }

    /// Tells whether the disk holds a journal.
    ///
    /// # Errors
    ///
    /// Returns what the system said.
    pub fn exists(disk: &mut D) -> Result<bool, StorageError> {
        let bytes = disk.read(JOURNAL).map_err(at(JOURNAL))?;
        Ok(bytes.is_some())
    }

    /// Begins the journal of one of the first voters of a new site.
    ///
    /// # Errors
    ///
    /// Returns an error when there is a journal already.
    pub fn init(disk: D, members: Members) -> Result<(Self, RecoveredState), StorageError> {
        let hard_state = HardState {
            joined: true,
            ..HardState::default()
        };
        Self::create(disk, hard_state, Snapshot::initial(members))
    }

    /// Begins the journal of a new voter of a site that exists.
    ///
    /// # Errors
    ///
    /// Returns an error when there is a journal already.
    pub fn join(disk: D) -> Result<(Self, RecoveredState), StorageError> {
        Self::create(disk, HardState::default(), Snapshot::default())
    }

    fn create(
        mut disk: D,
        hard_state: HardState,
        snapshot: Snapshot,
    ) -> Result<(Self, RecoveredState), StorageError> {
        if disk.read(JOURNAL).map_err(at(JOURNAL))?.is_some() {
            return Err(StorageError::Exists {
                file: JOURNAL.into(),
            });
        }
        let mut journal = Self { disk, bytes: 0 };
        let batch = Batch {
            snapshot: Some(snapshot),
            hard_state: Some(hard_state),
            ..Batch::default()
        };
        journal.write(&batch)?;
        let mut recovered = RecoveredState::default();
        recovered.replay(batch);
        Ok((journal, recovered))
    }

    /// Writes and syncs a batch.
    ///
    /// # Errors
    ///
    /// Returns what the system said; before anything else is written the
    /// journal must be repaired.
    pub fn write(&mut self, batch: &Batch) -> Result<(), StorageError> {
        let frame = frame::encode(&codec::encode(batch));
        if batch.snapshot.is_some() {
            return self.replace(&frame).map_err(at(JOURNAL));
        }
        self.append(&frame).map_err(at(JOURNAL))
    }

    fn append(&mut self, frame: &[u8]) -> io::Result<()> {
        self.disk.append(JOURNAL, frame)?;
        self.disk.sync(JOURNAL)?;
        self.bytes += frame.len() as u64;
        Ok(())
    }

    fn replace(&mut self, frame: &[u8]) -> io::Result<()> {
        replace_bytes(&mut self.disk, JOURNAL, frame)?;
        self.bytes = frame.len() as u64;
        Ok(())
    }

    /// Brings the file back to what was last confirmed, after a write that the
    /// disk refused; then the same batch can be written again.
    ///
    /// # Errors
    ///
    /// Returns what the system said; this can be tried again.
    pub fn repair(&mut self) -> Result<(), StorageError> {
        let len = self.bytes;
        self.disk.truncate(JOURNAL, len).map_err(at(JOURNAL))?;
        self.disk.sync(JOURNAL).map_err(at(JOURNAL))
    }

    /// Returns the length of the journal in bytes.
    pub fn len_bytes(&self) -> u64 {
        self.bytes
    }

    /// Gives back the disk.
    pub fn into_disk(self) -> D {
        self.disk
    }
}

/// Returns what the frames add up to, and where the last whole one ends.
fn replay(bytes: &[u8]) -> Result<(RecoveredState, usize), StorageError> {
    let mut recovered = RecoveredState::default();
    let mut offset = 0;
    loop {
        match frame::parse(bytes, offset) {
            Parsed::End => return Ok((recovered, offset)),
            Parsed::Frame { payload, next } => {
                let error = || StorageError::Inconsistent {
                    file: JOURNAL.into(),
                    offset: offset as u64,
                };
                let batch: Batch = codec::decode(payload).map_err(|_| error())?;
                recovered.replay(batch);
                if !recovered.is_consistent() {
                    return Err(error());
                }
                offset = next;
            }
            // The first frame is in place before the file gets its name.
            Parsed::Broken if offset == 0 || frame::any_after(bytes, offset) => {
                return Err(StorageError::Damaged {
                    file: JOURNAL.into(),
                    offset: offset as u64,
                });
            }
            Parsed::Broken => return Ok((recovered, offset)),
        }
    }
}
