//! The journal: all synced batches since the newest snapshot.

use std::io;

use super::frame::{self, Parsed};
use super::whole_file::{error_in, replace_bytes};
use super::{Disk, StorageError};
use crate::{Batch, HardState, Members, RecoveredState, Snapshot, snapshot_format};

/// The name of the journal file.
const JOURNAL: &str = "journal";

/// A file to which batches are written, and from which they are read after a
/// restart.
///
/// A batch with a snapshot starts a new file, which replaces the old one
/// atomically; other batches are appended. After a failed write the data after
/// the last synced batch is undefined, and [`Journal::repair`] removes it.
#[derive(Debug)]
pub struct Journal<D> {
    disk: D,
    bytes: u64,
}

impl<D: Disk> Journal<D> {
    /// Opens the journal of a voter after a restart.
    ///
    /// A torn last frame is removed. Its batch was never confirmed as synced.
    ///
    /// # Errors
    ///
    /// Returns an error if the journal does not exist, and one with the file and
    /// the offset if a frame before the last one is damaged.
    pub fn open(mut disk: D) -> Result<(Self, RecoveredState), StorageError> {
        let bytes = disk.read(JOURNAL).map_err(error_in(JOURNAL))?;
        let bytes = bytes.ok_or_else(|| StorageError::Missing {
            file: JOURNAL.into(),
        })?;
        let (recovered, len) = replay(&bytes)?;
        if len < bytes.len() {
            log::warn!(
                "{JOURNAL}: truncated from {} to {len} bytes, as the last write was torn",
                bytes.len()
            );
            disk.truncate(JOURNAL, len as u64)
                .map_err(error_in(JOURNAL))?;
        }
        // The data just read may not be synced, but the replica will treat it as
        // synced.
        disk.sync(JOURNAL).map_err(error_in(JOURNAL))?;
        disk.sync_directory().map_err(error_in(JOURNAL))?;
        let bytes = len as u64;
        Ok((Self { disk, bytes }, recovered))
    }

    /// Returns whether the journal exists.
    ///
    /// # Errors
    ///
    /// Returns an error when the file can't be read.
    pub fn exists(disk: &mut D) -> Result<bool, StorageError> {
        let bytes = disk.read(JOURNAL).map_err(error_in(JOURNAL))?;
        Ok(bytes.is_some())
    }

    /// Creates the journal of one of the first voters of a new site.
    ///
    /// # Errors
    ///
    /// Returns an error when the journal already exists or can't be written.
    pub fn init(disk: D, members: Members) -> Result<(Self, RecoveredState), StorageError> {
        let hard_state = HardState {
            joined: true,
            ..HardState::default()
        };
        Self::create(disk, hard_state, Snapshot::initial(members))
    }

    /// Creates the journal of a new voter of an existing site.
    ///
    /// # Errors
    ///
    /// Returns an error when the journal already exists or can't be written.
    pub fn join(disk: D) -> Result<(Self, RecoveredState), StorageError> {
        Self::create(disk, HardState::default(), Snapshot::default())
    }

    fn create(
        mut disk: D,
        hard_state: HardState,
        snapshot: Snapshot,
    ) -> Result<(Self, RecoveredState), StorageError> {
        if disk.read(JOURNAL).map_err(error_in(JOURNAL))?.is_some() {
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
    /// Returns an error when the batch can't be written or synced. The journal
    /// must then be repaired before the next write.
    pub fn write(&mut self, batch: &Batch) -> Result<(), StorageError> {
        let frame = frame::encode(&snapshot_format::encode_batch(batch));
        if batch.snapshot.is_some() {
            return self.replace(&frame).map_err(error_in(JOURNAL));
        }
        self.append(&frame).map_err(error_in(JOURNAL))
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

    /// Truncates the file to the last synced batch after a failed write. The same
    /// batch can then be written again.
    ///
    /// # Errors
    ///
    /// Returns an error when the file can't be truncated or synced. The repair
    /// can be retried.
    pub fn repair(&mut self) -> Result<(), StorageError> {
        let len = self.bytes;
        self.disk
            .truncate(JOURNAL, len)
            .map_err(error_in(JOURNAL))?;
        self.disk.sync(JOURNAL).map_err(error_in(JOURNAL))
    }

    /// Returns the length of the journal in bytes.
    pub fn len_bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns the disk.
    pub fn into_disk(self) -> D {
        self.disk
    }
}

/// Replays the frames, and returns the resulting state and the offset at which
/// the last intact frame ends.
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
                let batch = snapshot_format::decode_batch(payload).map_err(|_| error())?;
                recovered.replay(batch);
                if !recovered.is_consistent() {
                    return Err(error());
                }
                offset = next;
            }
            // The file gets its name only after its first frame is synced, so a
            // damaged first frame is not a torn write.
            Parsed::Invalid if offset == 0 || frame::has_frame_after(bytes, offset) => {
                return Err(StorageError::Damaged {
                    file: JOURNAL.into(),
                    offset: offset as u64,
                });
            }
            Parsed::Invalid => return Ok((recovered, offset)),
        }
    }
}
