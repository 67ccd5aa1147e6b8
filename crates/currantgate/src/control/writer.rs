//! The thread that writes and syncs the journal, so that a slow disk delays no heartbeat.

use std::sync::mpsc as thread_mpsc;
use std::thread;
use std::time::Duration;

use currantgate_control::{Batch, BatchId, DataDirectory, Journal, StorageError};
use tokio::sync::mpsc;

/// Delay before a failed write is retried: shorter than an election, longer than a failing
/// write takes.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Sender of batches to write.
pub(super) type Writes = thread_mpsc::Sender<(BatchId, Batch)>;

/// Receiver of the results of writes, which ends after the first error.
pub(super) type Confirmations = mpsc::UnboundedReceiver<Result<BatchId, StorageError>>;

/// Starts the thread, which ends once either channel is closed or a write fails.
pub(super) fn start(mut journal: Journal<DataDirectory>) -> (Writes, Confirmations) {
    let (writes, batches) = thread_mpsc::channel::<(BatchId, Batch)>();
    let (tx, confirmations) = mpsc::unbounded_channel();
    thread::spawn(move || {
        while let Ok((id, batch)) = batches.recv() {
            let written = write(&mut journal, &batch).map(|()| id);
            let failed = written.is_err();
            if tx.send(written).is_err() || failed {
                break;
            }
        }
    });
    (writes, confirmations)
}

/// Writes a batch, and retries while the operating system returns an I/O error: space on a
/// full disk may be freed, and until then the other voters form the quorum.
fn write(journal: &mut Journal<DataDirectory>, batch: &Batch) -> Result<(), StorageError> {
    let mut has_failed = false;
    loop {
        let error = match journal.write(batch) {
            Ok(()) if has_failed => {
                log::info!(event = "disk"; "writing to the disk succeeds again");
                return Ok(());
            }
            Ok(()) => return Ok(()),
            Err(e @ StorageError::Io { .. }) => e,
            Err(e) => return Err(e),
        };
        if !has_failed {
            log::error!(
                event = "disk";
                "a write to the disk failed and is retried: {error}"
            );
        }
        has_failed = true;
        // A batch with a snapshot needs no repair: it replaces the whole file atomically.
        while batch.snapshot.is_none()
            && let Err(e) = journal.repair()
        {
            log::debug!("repairing the journal failed: {e}");
            thread::sleep(RETRY_DELAY);
        }
        thread::sleep(RETRY_DELAY);
    }
}
