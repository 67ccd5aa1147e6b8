//! The thread that writes and syncs, so that a slow disk stops no heartbeat.

use std::sync::mpsc as thread_mpsc;
use std::thread;

use currantgate_control::{Batch, BatchId, Folder, Journal, StorageError};
use tokio::sync::mpsc;

/// Batches on their way to the disk.
pub(super) type Writes = thread_mpsc::Sender<(BatchId, Batch)>;

/// Confirmations; after an error there are no more.
pub(super) type Confirmations = mpsc::UnboundedReceiver<Result<BatchId, StorageError>>;

/// Starts the thread; it ends when either channel is closed, or on an error.
pub(super) fn start(mut journal: Journal<Folder>) -> (Writes, Confirmations) {
    let (writes, batches) = thread_mpsc::channel::<(BatchId, Batch)>();
    let (tx, confirmations) = mpsc::unbounded_channel();
    thread::spawn(move || {
        while let Ok((id, batch)) = batches.recv() {
            let written = journal.write(&batch).map(|()| id);
            let failed = written.is_err();
            if tx.send(written).is_err() || failed {
                break;
            }
        }
    });
    (writes, confirmations)
}
